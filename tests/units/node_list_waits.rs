//! Waits between calls of the node list.

use mossrill::net::node_list_waits::{next_wait, spread, turns, Call, LONGEST_WAIT, TURN};
use std::time::Duration;
/// Where a node told to be draining may be sent to for a second.
const FIRST: Duration = Duration::from_millis(700);

/// 100 limiters that were cut off at the same moment ask a list that takes one of them in 20 ms and turns away
/// who waits longer than 250 ms; who is turned away took that time all the same. So many are left after 10 s,
/// and when the others were served, in ms.
fn cut_off(mut pause: impl FnMut(&mut (Duration, fastrand::Rng)) -> Duration) -> (usize, Vec<u64>) {
    let fleet = (0..100)
        .map(|seed| (next_wait(turns(100), turns(100), FIRST, Call::Heard), fastrand::Rng::with_seed(seed)));
    let mut fleet: Vec<_> = fleet.collect();
    let mut asks: Vec<(Duration, usize)> =
        fleet.iter_mut().enumerate().map(|(n, own)| (pause(own), n)).collect();
    let (mut free, mut served) = (Duration::ZERO, Vec::new());
    while let Some(next) = (0..asks.len()).min_by_key(|n| asks[*n]) {
        let (at, n) = asks.swap_remove(next);
        if at > Duration::from_secs(10) {
            return (asks.len() + 1, served);
        }
        let patient = free.saturating_sub(at) <= Duration::from_millis(250);
        free = free.max(at) + TURN;
        if patient {
            served.push(at.as_millis() as u64);
        } else {
            asks.push((at + pause(&mut fleet[n]), n));
        }
    }
    (0, served)
}

#[test]
fn a_fleet_that_was_cut_off_together_comes_back_one_after_another() {
    let spread_out = |(wait, rng): &mut (Duration, fastrand::Rng)| {
        let pause = spread(*wait, rng.f64());
        *wait = next_wait(*wait, turns(100), FIRST, Call::TurnedAway);
        pause
    };
    let (left, served) = cut_off(spread_out);
    assert!(left == 0, "{left} limiters without a list after 10 s, the others at {served:?}");
    // In step, each second, the list is kept busy with turning away.
    let (left, _) = cut_off(|_| Duration::from_secs(1));
    assert!(left > 50, "{left} left: the list of this test is never crowded");
}

#[test]
fn waits_grow_with_the_fleet_and_start_again_after_news() {
    let (few, many) = (turns(3), turns(300));
    let longest = |turns, call| (0..10).fold(turns, |wait, _| next_wait(wait, turns, FIRST, call));
    let away = |turns| longest(turns, Call::TurnedAway);
    assert_eq!((away(few), away(many)), (LONGEST_WAIT[0], LONGEST_WAIT[1]));
    // What breaks off has turned nobody away, and may have news that counts as told.
    assert_eq!((longest(few, Call::Broke), longest(many, Call::Broke)), (FIRST, FIRST));
    // A first try comes well before a second has gone.
    assert!(spread(next_wait(many, many, FIRST, Call::Heard), 1.0) < Duration::from_millis(800));
    assert_eq!(next_wait(away(many), many, FIRST, Call::Heard), FIRST);
    assert!(spread(many, 0.0) > Duration::ZERO && spread(many, 1.0) <= many);
}
