//! Start times of servers beside a wall clock that steps.

use mossrill::core::start_times::StartTimes;
use mossrill::decision::{Endpoint, Readiness, UpdateScope};

const SECOND: u64 = 1_000_000;
/// Time of the limiter's clock at the beginning, in microseconds.
const START: u64 = 1_800_000_000 * SECOND;
const HOUR: i64 = 3_600 * SECOND as i64;

fn endpoint(id: &str, started_at: u64) -> Endpoint {
    Endpoint {
        id: id.into(),
        zone: String::new(),
        cell: 0,
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at,
    }
}

/// Returns the start time of a server that is listed at `now`, when the wall clock is ahead by
/// `offset`.
fn converted(times: &mut StartTimes, now: u64, offset: i64, id: &str, listed: u64) -> u64 {
    times.observe(now, now.saturating_add_signed(offset));
    let mut endpoints = [endpoint(id, listed)];
    times.convert(now, UpdateScope::Delta, &mut endpoints);
    endpoints[0].started_at
}

#[test]
fn start_times_stay_while_the_clock_does_not_step() {
    let mut times = StartTimes::default();
    for listed in [0, START - 5 * SECOND, START + 2 * SECOND] {
        assert_eq!(converted(&mut times, START, 1_000, "a", listed), listed);
    }
}

/// Guards against a server that has just started and seems to have started an hour ago.
#[test]
fn server_that_started_after_a_step_back_has_just_started() {
    let mut times = StartTimes::default();
    converted(&mut times, START, 0, "a", START - HOUR as u64);
    let now = START + 60 * SECOND;
    let listed = (now - 2 * SECOND).saturating_add_signed(-HOUR);
    let started = converted(&mut times, now, -HOUR, "b", listed);
    assert_eq!(started, now - 2 * SECOND);
}

/// Guards against a server that never seems to warm up, as its start lies in the future.
#[test]
fn server_that_started_after_a_step_forward_has_started_by_now() {
    let mut times = StartTimes::default();
    converted(&mut times, START, 0, "a", START - SECOND);
    let now = START + 60 * SECOND;
    let listed = (now - 2 * SECOND).saturating_add_signed(HOUR);
    let started = converted(&mut times, now, HOUR, "b", listed);
    assert_eq!(started, now - 2 * SECOND);
}

/// Guards against a warm server that is taken for a new one when the clock steps.
#[test]
fn start_time_of_a_known_server_stays_after_a_step() {
    let mut times = StartTimes::default();
    let listed = START - 30 * 60 * SECOND;
    assert_eq!(converted(&mut times, START, 0, "a", listed), listed);
    let now = START + SECOND;
    assert_eq!(converted(&mut times, now, -HOUR, "a", listed), listed);
    assert_eq!(converted(&mut times, now, HOUR, "a", listed), listed);
}
