//! Upstream servers taken out by operators, over whatever service discovery says.

use mossrill::core::bans::ServerBans;
use mossrill::decision::*;
fn node(id: &str, readiness: Readiness) -> Endpoint {
    Endpoint {
        id: id.into(),
        zone: String::new(),
        cell: 0,
        readiness,
        weight: 1.0,
        started_at: 5,
    }
}

fn told(members: &[Endpoint]) -> Vec<(&str, Readiness, Micros)> {
    members
        .iter()
        .map(|m| (&*m.id.0, m.readiness, m.started_at))
        .collect()
}

#[test]
fn a_node_taken_out_stays_out_whatever_the_list_says_until_one_call_back() {
    use Readiness::{Draining, Ready, Removed};
    let mut bans = ServerBans::default();
    let (a, b) = (ServerId::from("a"), ServerId::from("b"));
    bans.news(
        UpdateScope::Snapshot,
        vec![node("a", Ready), node("b", Ready)],
    );
    assert_eq!(bans.disable(&"never".into()), None);
    // Repeated calls are harmless, and one call back ends the ban.
    bans.disable(&a);
    assert_eq!(
        told(&bans.disable(&a).expect("listed")),
        [("a", Draining, 5)]
    );
    assert_eq!(bans.counts(), (2, 1));
    // Told again, a whole list, gone, and back under its id.
    assert_eq!(
        told(&bans.news(UpdateScope::Delta, vec![node("a", Ready)])),
        [("a", Draining, 5)]
    );
    let whole = bans.news(
        UpdateScope::Snapshot,
        vec![node("a", Ready), node("b", Ready)],
    );
    assert_eq!(told(&whole), [("a", Draining, 5), ("b", Ready, 5)]);
    assert_eq!(
        told(&bans.news(UpdateScope::Delta, vec![node("a", Removed)])),
        [("a", Removed, 5)]
    );
    assert_eq!(bans.counts(), (1, 0));
    assert_eq!(
        told(&bans.news(UpdateScope::Delta, vec![node("a", Ready)])),
        [("a", Draining, 5)]
    );
    // Back as a node that has just started, also where the list knows nothing of that.
    assert_eq!(
        told(&bans.enable(&a, 77).expect("listed")),
        [("a", Ready, 77)]
    );
    assert_eq!(
        told(&bans.news(UpdateScope::Delta, vec![node("a", Ready)])),
        [("a", Ready, 77)]
    );
    // What was not out is left as it is.
    assert_eq!(bans.enable(&b, 78), Some(Vec::new()));
    assert_eq!(bans.counts(), (2, 0));
}
