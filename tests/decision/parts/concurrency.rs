//! Unit tests of the concurrency limit.

use mossrill::decision::concurrency::ConcurrencyLimit;

const OBJECTIVE_MICROS: u64 = 400_000;
const MIN_LIMIT: f64 = 1.0;

fn limit_after(latency: f64, answers: u64) -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::default();
    limit.initialize(MIN_LIMIT);
    for answer in 1..=answers {
        let now = answer * 1_000_000;
        limit.record_latency(now, latency, OBJECTIVE_MICROS);
        if limit.is_overloaded() {
            limit.cut(now, latency, MIN_LIMIT);
        } else {
            limit.grow(MIN_LIMIT);
        }
    }
    limit
}

#[test]
fn quick_answers_raise_the_limit() {
    let limit = limit_after(10_000.0, 50);
    assert!(
        limit.limit() > 10.0,
        "expected a limit above 10, got {}",
        limit.limit()
    );
}

#[test]
fn slow_answers_cut_the_limit_to_its_minimum() {
    let mut limit = limit_after(10_000.0, 50);
    for second in 100..200 {
        limit.record_latency(second * 1_000_000, 600_000.0, OBJECTIVE_MICROS);
        limit.cut(second * 1_000_000, 600_000.0, MIN_LIMIT);
    }
    assert_eq!(limit.limit(), MIN_LIMIT);
}

#[test]
fn a_limit_below_one_pauses_after_an_attempt() {
    let mut limit = ConcurrencyLimit::default();
    limit.initialize(MIN_LIMIT);
    for second in 1..200 {
        limit.record_latency(second * 1_000_000, 600_000.0, OBJECTIVE_MICROS);
        limit.cut(second * 1_000_000, 600_000.0, 0.25);
    }
    assert_eq!(limit.limit(), 0.25);
    limit.pause(200_000_000, 100_000.0, 0.5);
    assert!(!limit.has_capacity(200_000_000));
    // A limit of 0.25 requires a mean pause of three latencies after each attempt.
    assert!(!limit.has_capacity(200_299_999));
    assert!(limit.has_capacity(200_300_000));
}
