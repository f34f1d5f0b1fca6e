//! Waits between calls of the service discovery.

use mossrill::discovery::poll_wait::{
    fleet_poll_time, jittered_wait, next_wait, prompt_wait_limit, response_timeout, PollResult,
    CONNECT_TIMEOUT, LEAST_REJECTED_WAIT_LIMIT, MAX_REJECTED_WAIT_LIMIT, POLL_TIME, WATCH_TIMEOUT,
};
use std::time::Duration;

/// The longest wait before a prompt poll, for a drain grace of a second.
const FIRST: Duration = Duration::from_millis(700);

/// Simulates 100 limiters that were cut off at the same moment and poll a server that takes 20 ms for each and rejects
/// those that wait longer than 250 ms, which costs it the same time. Returns how many limiters have no list after 10 s, and
/// the times at which the others were served, in ms.
fn cut_off(mut pause: impl FnMut(&mut (Duration, fastrand::Rng)) -> Duration) -> (usize, Vec<u64>) {
    let fleet = (0..100).map(|seed| {
        (
            next_wait(
                fleet_poll_time(100),
                fleet_poll_time(100),
                FIRST,
                PollResult::Succeeded,
            ),
            fastrand::Rng::with_seed(seed),
        )
    });
    let mut fleet: Vec<_> = fleet.collect();
    let mut asks: Vec<(Duration, usize)> = fleet
        .iter_mut()
        .enumerate()
        .map(|(n, limiter)| (pause(limiter), n))
        .collect();
    let (mut free, mut served) = (Duration::ZERO, Vec::new());
    while let Some(next) = (0..asks.len()).min_by_key(|n| asks[*n]) {
        let (at, n) = asks.swap_remove(next);
        if at > Duration::from_secs(10) {
            return (asks.len() + 1, served);
        }
        let patient = free.saturating_sub(at) <= Duration::from_millis(250);
        free = free.max(at) + POLL_TIME;
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
            PollResult::Rejected
        } else {
            PollResult::Succeeded
        };
        let pause = jittered_wait(*wait, call, rng.f64());
        *wait = next_wait(*wait, fleet_poll_time(100), FIRST, PollResult::Rejected);
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
    let (few, many) = (fleet_poll_time(3), fleet_poll_time(300));
    let longest = |turns, call| (0..10).fold(turns, |wait, _| next_wait(wait, turns, FIRST, call));
    let away = |turns| longest(turns, PollResult::Rejected);
    assert_eq!(
        (away(few), away(many)),
        (LEAST_REJECTED_WAIT_LIMIT, MAX_REJECTED_WAIT_LIMIT)
    );
    // What breaks off has turned nobody away, and may have news that counts as told.
    assert_eq!(
        (
            longest(few, PollResult::Failed),
            longest(many, PollResult::Failed)
        ),
        (FIRST, FIRST)
    );
    // A first try comes well before a second has gone.
    assert!(
        jittered_wait(
            next_wait(many, many, FIRST, PollResult::Succeeded),
            PollResult::Succeeded,
            1.0
        ) < Duration::from_millis(800)
    );
    assert_eq!(
        next_wait(away(many), many, FIRST, PollResult::Succeeded),
        FIRST
    );
    assert!(
        jittered_wait(many, PollResult::Succeeded, 0.0) > Duration::ZERO
            && jittered_wait(many, PollResult::Succeeded, 1.0) <= many
    );
}

/// A change of the list counts as known this long after the server could be reached.
const KNOWN_AFTER: Duration = Duration::from_secs(6);
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
        let poll_time = fleet_poll_time(limiters);
        let first = prompt_wait_limit(Duration::from_secs_f64(grace));
        // The longest wait after a call, however many came to the same before it.
        let wait = |call| {
            let waits = std::iter::successors(Some(poll_time), |last| {
                Some(next_wait(*last, poll_time, first, call))
            });
            jittered_wait(waits.skip(1).take(20).max().expect("a wait"), call, 1.0)
        };
        // The list can be reached just after a call that was in vain began, or was turned away; the answer to the next one is
        // lost, and the one after that is answered.
        let lost = |given_up| response_timeout(given_up) + wait(PollResult::Failed);
        let silent_watch =
            WATCH_TIMEOUT + wait(PollResult::Succeeded).max(wait(PollResult::Failed)) + lost(0);
        let turned_away = wait(PollResult::Rejected) + lost(0);
        let given_up = (0..20).map(response_timeout).max().expect("a call")
            + wait(PollResult::Failed)
            + lost(20);
        let unreachable = CONNECT_TIMEOUT + wait(PollResult::Failed) + lost(20);
        for (what, time) in [
            ("a watch fell silent", silent_watch),
            ("a call was turned away", turned_away),
            ("a call was given up", given_up),
            ("a connection did not come up", unreachable),
        ] {
            assert!(
                time + MARGIN <= KNOWN_AFTER,
                "{limiters} limiters, drain grace {grace} s, {what}: {time:?}"
            );
        }
    }
}
