//! Tests of the waits between polls of service discovery.

use mossrill::discovery::poll_wait::{
    fleet_poll_time, jittered_wait, next_wait, prompt_wait_limit, response_timeout, PollResult,
    CONNECT_TIMEOUT, MAX_REJECTED_WAIT_LIMIT, MIN_REJECTED_WAIT_LIMIT, POLL_TIME, WATCH_TIMEOUT,
};
use std::time::Duration;

/// The longest wait before a poll that may be answered at once, for a drain grace of 1 s.
const PROMPT_WAIT_LIMIT: Duration = Duration::from_millis(700);

/// Simulates 100 limiters that were cut off at the same moment and poll a server that takes 20 ms
/// for each and rejects those that wait longer than 250 ms, which costs it the same time.
/// `draw_wait` returns the wait of a limiter before its next poll. Returns how many limiters have
/// no list after 10 s, and the times at which the others were served, in ms.
fn simulate_reconnection(
    mut draw_wait: impl FnMut(&mut (Duration, fastrand::Rng)) -> Duration,
) -> (usize, Vec<u64>) {
    let fleet = (0..100).map(|seed| {
        (
            next_wait(
                fleet_poll_time(100),
                fleet_poll_time(100),
                PROMPT_WAIT_LIMIT,
                PollResult::Succeeded,
            ),
            fastrand::Rng::with_seed(seed),
        )
    });
    let mut fleet: Vec<_> = fleet.collect();
    let mut polls: Vec<(Duration, usize)> = fleet
        .iter_mut()
        .enumerate()
        .map(|(number, limiter)| (draw_wait(limiter), number))
        .collect();
    let (mut server_free_at, mut served_at_ms) = (Duration::ZERO, Vec::new());
    while let Some(earliest) = (0..polls.len()).min_by_key(|index| polls[*index]) {
        let (at, number) = polls.swap_remove(earliest);
        if at > Duration::from_secs(10) {
            return (polls.len() + 1, served_at_ms);
        }
        let is_accepted = server_free_at.saturating_sub(at) <= Duration::from_millis(250);
        server_free_at = server_free_at.max(at) + POLL_TIME;
        if is_accepted {
            served_at_ms.push(at.as_millis() as u64);
        } else {
            polls.push((at + draw_wait(&mut fleet[number]), number));
        }
    }
    (0, served_at_ms)
}

#[test]
fn fleet_that_was_cut_off_at_once_reconnects_spread_over_time() {
    let jittered = |(wait_limit, rng): &mut (Duration, fastrand::Rng)| {
        // Only the limit of the first wait is within the prompt limit; all later ones follow a
        // rejection.
        let last_result = if *wait_limit > PROMPT_WAIT_LIMIT {
            PollResult::Rejected
        } else {
            PollResult::Succeeded
        };
        let wait = jittered_wait(*wait_limit, last_result, rng.f64());
        *wait_limit = next_wait(
            *wait_limit,
            fleet_poll_time(100),
            PROMPT_WAIT_LIMIT,
            PollResult::Rejected,
        );
        wait
    };
    let (unserved, served_at_ms) = simulate_reconnection(jittered);
    assert!(
        unserved == 0,
        "{unserved} limiters without a list after 10 s, the others served at {served_at_ms:?} ms"
    );
    // Control: limiters that all poll each second, in step, keep the server busy with rejections.
    let (unserved, _) = simulate_reconnection(|_| Duration::from_secs(1));
    assert!(
        unserved > 50,
        "only {unserved} limiters without a list: the simulated server is not overloaded"
    );
}

#[test]
fn wait_limits_grow_with_the_fleet_and_are_reset_by_a_successful_poll() {
    let (small_fleet, large_fleet) = (fleet_poll_time(3), fleet_poll_time(300));
    let limit_after = |fleet_poll_time, result| {
        (0..10).fold(fleet_poll_time, |limit, _| {
            next_wait(limit, fleet_poll_time, PROMPT_WAIT_LIMIT, result)
        })
    };
    let limit_after_rejections =
        |fleet_poll_time| limit_after(fleet_poll_time, PollResult::Rejected);
    assert_eq!(
        (
            limit_after_rejections(small_fleet),
            limit_after_rejections(large_fleet)
        ),
        (MIN_REJECTED_WAIT_LIMIT, MAX_REJECTED_WAIT_LIMIT)
    );
    // A failed poll was not rejected, and the list may have changed in a way that already counts as
    // known, so the next poll comes soon.
    assert_eq!(
        (
            limit_after(small_fleet, PollResult::Failed),
            limit_after(large_fleet, PollResult::Failed)
        ),
        (PROMPT_WAIT_LIMIT, PROMPT_WAIT_LIMIT)
    );
    // The first poll is made well within 1 s.
    assert!(
        jittered_wait(
            next_wait(
                large_fleet,
                large_fleet,
                PROMPT_WAIT_LIMIT,
                PollResult::Succeeded
            ),
            PollResult::Succeeded,
            1.0
        ) < Duration::from_millis(800)
    );
    assert_eq!(
        next_wait(
            limit_after_rejections(large_fleet),
            large_fleet,
            PROMPT_WAIT_LIMIT,
            PollResult::Succeeded
        ),
        PROMPT_WAIT_LIMIT
    );
    assert!(
        jittered_wait(large_fleet, PollResult::Succeeded, 0.0) > Duration::ZERO
            && jittered_wait(large_fleet, PollResult::Succeeded, 1.0) <= large_fleet
    );
}

/// A change of the list counts as known to a limiter this long after the server could be reached.
const CHANGE_KNOWN_AFTER: Duration = Duration::from_secs(6);
/// Reserve for the delays of a limiter that has a tenth of a processor core.
const MARGIN: Duration = Duration::from_millis(300);

#[test]
fn list_is_received_before_its_changes_count_as_known_whatever_previous_polls_returned() {
    for (limiters, grace) in [
        (3, 0.05),
        (3, 1.0),
        (3, 10.0),
        (300, 0.05),
        (300, 1.0),
        (300, 10.0),
    ] {
        let poll_time = fleet_poll_time(limiters);
        let prompt_limit = prompt_wait_limit(Duration::from_secs_f64(grace));
        // Returns the longest wait after a poll with this result, however many consecutive polls
        // had the same result.
        let longest_wait = |result| {
            let waits = std::iter::successors(Some(poll_time), |last| {
                Some(next_wait(*last, poll_time, prompt_limit, result))
            });
            let limit = waits
                .skip(1)
                .take(20)
                .max()
                .expect("the series has 20 limits");
            jittered_wait(limit, result, 1.0)
        };
        // Worst case: the server can be reached just after a poll began that will fail, or just
        // after a poll was rejected. The response to the next poll is lost, and the poll after that
        // is answered.
        let lost_response = |unanswered_polls| {
            response_timeout(unanswered_polls) + longest_wait(PollResult::Failed)
        };
        let silent_watch = WATCH_TIMEOUT
            + longest_wait(PollResult::Succeeded).max(longest_wait(PollResult::Failed))
            + lost_response(0);
        let rejected = longest_wait(PollResult::Rejected) + lost_response(0);
        let unanswered = (0..20)
            .map(response_timeout)
            .max()
            .expect("there are 20 timeouts")
            + longest_wait(PollResult::Failed)
            + lost_response(20);
        let unreachable = CONNECT_TIMEOUT + longest_wait(PollResult::Failed) + lost_response(20);
        for (cause, time) in [
            ("a watch fell silent", silent_watch),
            ("a poll was rejected", rejected),
            ("a poll got no response in time", unanswered),
            ("a connection attempt timed out", unreachable),
        ] {
            assert!(
                time + MARGIN <= CHANGE_KNOWN_AFTER,
                "{limiters} limiters, drain grace {grace} s, {cause}: a change is received after {time:?}"
            );
        }
    }
}
