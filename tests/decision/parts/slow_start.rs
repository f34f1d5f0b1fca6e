//! Unit tests of slow start.

use mossrill::decision::slow_start::{capacity, SlowStart};
use mossrill::decision::Safety;

fn safety() -> Safety {
    Safety {
        initial_capacity: 0.2,
        slow_start: 10_000_000,
        overload_multiple: 3.0,
        ..Safety::default()
    }
}

#[test]
fn capacity_rises_linearly_until_the_server_is_warm() {
    let started_at = 1_000_000;
    assert_eq!(capacity(started_at, started_at, &safety()), Some(0.2));
    let half = capacity(started_at, started_at + 5_000_000, &safety())
        .expect("the server is in slow start");
    assert!(
        (half - 0.6).abs() < 1e-9,
        "expected a capacity of 0.6 after half of the slow start, got {half}"
    );
    assert_eq!(
        capacity(started_at, started_at + 10_000_000, &safety()),
        None
    );
    assert_eq!(
        capacity(0, 5, &safety()),
        None,
        "a server that started long ago is warm"
    );
}

#[test]
fn sends_stay_below_the_multiple_that_overloads_a_server() {
    let warm_load = 40.0;
    let mut bucket = SlowStart::new(0, 0.0);
    let mut sent_attempts = 0;
    for millisecond in 0..1_000 {
        let now = millisecond * 1_000;
        let tokens = bucket.tokens_at(now, Some(0.2), warm_load, &safety());
        if tokens >= 1.0 {
            bucket.take(now, tokens);
            sent_attempts += 1;
        }
    }
    let overload = warm_load * 0.2 * safety().overload_multiple;
    assert!(
        sent_attempts > 0,
        "expected at least one attempt at a cold server, got none"
    );
    assert!(
        f64::from(sent_attempts) < overload,
        "expected fewer than the {overload} attempts in a second that overload the server, got {sent_attempts}"
    );
}

#[test]
fn a_warm_server_is_always_allowed_one_send() {
    let bucket = SlowStart::new(0, 0.0);
    assert_eq!(bucket.tokens_at(0, None, 40.0, &safety()), 1.0);
}
