//! Unit tests of start-time fair queueing.

use mossrill::decision::fair_queue::FairQueue;
use mossrill::decision::RequestId;

#[test]
fn accounts_are_served_in_proportion_to_their_weights() {
    let mut queue = FairQueue::default();
    queue.add_weight(3.0);
    queue.add_weight(1.0);
    let (mut heavy, mut light) = (0.0, 0.0);
    let (heavy_share, light_share) = (queue.share(3.0), queue.share(1.0));
    for number in 0..40 {
        let tag = queue.tag(&mut heavy, 0.0, 1.0, heavy_share);
        queue.insert(tag, RequestId::from(format!("heavy-{number}").as_str()));
        let tag = queue.tag(&mut light, 0.0, 1.0, light_share);
        queue.insert(tag, RequestId::from(format!("light-{number}").as_str()));
    }
    let first: Vec<_> = queue.iter().take(20).map(|(_, id)| id.0.clone()).collect();
    let heavy = first.iter().filter(|id| id.starts_with("heavy")).count();
    assert_eq!(heavy, 15, "{first:?}");
}

#[test]
fn a_delay_moves_an_account_behind_the_others() {
    let mut queue = FairQueue::default();
    queue.add_weight(1.0);
    queue.add_weight(1.0);
    let (mut delayed, mut other) = (0.0, 0.0);
    let tag = queue.tag(&mut delayed, 5.0, 1.0, 0.5);
    queue.insert(tag, RequestId::from("delayed"));
    let tag = queue.tag(&mut other, 0.0, 1.0, 0.5);
    queue.insert(tag, RequestId::from("other"));
    let order: Vec<_> = queue.iter().map(|(_, id)| id.0.to_string()).collect();
    assert_eq!(order, ["other", "delayed"]);
}

#[test]
fn equal_tags_keep_the_order_of_arrival() {
    let mut queue = FairQueue::default();
    for id in ["z", "a", "m"] {
        let tag = queue.tag(&mut 0.0, 0.0, 1.0, 1.0);
        queue.insert(tag, RequestId::from(id));
    }
    let order: Vec<_> = queue.iter().map(|(_, id)| id.0.to_string()).collect();
    assert_eq!(order, ["z", "a", "m"]);
}
