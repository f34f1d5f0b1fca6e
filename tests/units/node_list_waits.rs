//! Waits between calls of the service discovery.

use mossrill::discovery::poll_wait::{
    answer_timeout, first_wait, next_wait, spread, turns, Call, CONNECT_TIMEOUT, LONGEST_WAIT,
    TURN, WATCH_TIMEOUT,
};
use std::time::Duration;

/// Where a node told to be draining may be sent to for a second.
const FIRST: Duration = Duration::from_millis(700);

/// 100 limiters that were cut off at the same moment ask a list that takes one of them in 20 ms and turns away
/// who waits longer than 250 ms; who is turned away took that time all the same. So many are left after 10 s,
/// and when the others were served, in ms.
fn cut_off(mut pause: impl FnMut(&mut (Duration, fastrand::Rng)) -> Duration) -> (usize, Vec<u64>) {
    let fleet = (0..100).map(|seed| {
        (
            next_wait(turns(100), turns(100), FIRST, Call::Heard),
            fastrand::Rng::with_seed(seed),
        )
    });
    let mut fleet: Vec<_> = fleet.collect();
    let mut asks: Vec<(Duration, usize)> = fleet
        .iter_mut()
        .enumerate()
        .map(|(n, own)| (pause(own), n))
        .collect();
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
        // Only the first one is no longer than that.
        let call = if *wait > FIRST {
            Call::TurnedAway
        } else {
            Call::Heard
        };
        let pause = spread(*wait, call, rng.f64());
        *wait = next_wait(*wait, turns(100), FIRST, Call::TurnedAway);
        pause
    };
    let (left, served) = cut_off(spread_out);
    assert!(
        left == 0,
        "{left} limiters without a list after 10 s, the others at {served:?}"
    );
    // In step, each second, the list is kept busy with turning away.
    let (left, _) = cut_off(|_| Duration::from_secs(1));
    assert!(
        left > 50,
        "{left} left: the list of this test is never crowded"
    );
}

#[test]
fn waits_grow_with_the_fleet_and_start_again_after_news() {
    let (few, many) = (turns(3), turns(300));
    let longest = |turns, call| (0..10).fold(turns, |wait, _| next_wait(wait, turns, FIRST, call));
    let away = |turns| longest(turns, Call::TurnedAway);
    assert_eq!((away(few), away(many)), (LONGEST_WAIT[0], LONGEST_WAIT[1]));
    // What breaks off has turned nobody away, and may have news that counts as told.
    assert_eq!(
        (longest(few, Call::Broke), longest(many, Call::Broke)),
        (FIRST, FIRST)
    );
    // A first try comes well before a second has gone.
    assert!(
        spread(next_wait(many, many, FIRST, Call::Heard), Call::Heard, 1.0)
            < Duration::from_millis(800)
    );
    assert_eq!(next_wait(away(many), many, FIRST, Call::Heard), FIRST);
    assert!(
        spread(many, Call::Heard, 0.0) > Duration::ZERO && spread(many, Call::Heard, 1.0) <= many
    );
}

/// What the list has to tell counts as told so long after it could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// Left for a limiter that has a tenth of a core.
const MARGIN: Duration = Duration::from_millis(300);

#[test]
fn whatever_came_of_the_calls_before_the_list_is_heard_before_its_news_counts_as_told() {
    for (limiters, grace) in [
        (3, 0.05),
        (3, 1.0),
        (3, 10.0),
        (300, 0.05),
        (300, 1.0),
        (300, 10.0),
    ] {
        let (turns, first) = (turns(limiters), first_wait(Duration::from_secs_f64(grace)));
        // The longest wait after a call, however many came to the same before it.
        let wait = |call| {
            let waits = std::iter::successors(Some(turns), |last| {
                Some(next_wait(*last, turns, first, call))
            });
            spread(waits.skip(1).take(20).max().expect("a wait"), call, 1.0)
        };
        // The list can be reached just after a call that was in vain began, or was turned away; the answer to the next one is
        // lost, and the one after that is answered.
        let lost = |given_up| answer_timeout(given_up) + wait(Call::Broke);
        let silent_watch = WATCH_TIMEOUT + wait(Call::Heard).max(wait(Call::Broke)) + lost(0);
        let turned_away = wait(Call::TurnedAway) + lost(0);
        let given_up =
            (0..20).map(answer_timeout).max().expect("a call") + wait(Call::Broke) + lost(20);
        let unreachable = CONNECT_TIMEOUT + wait(Call::Broke) + lost(20);
        for (what, time) in [
            ("a watch fell silent", silent_watch),
            ("a call was turned away", turned_away),
            ("a call was given up", given_up),
            ("a connection did not come up", unreachable),
        ] {
            assert!(
                time + MARGIN <= TOLD,
                "{limiters} limiters, drain grace {grace} s, {what}: {time:?}"
            );
        }
    }
}
