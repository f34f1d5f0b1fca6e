//! The concurrency limit.

use mossrill::decision::concurrency::ConcurrencyLimit;

const OBJECTIVE: u64 = 400_000;
const LEAST: f64 = 1.0;

fn limit_after(latency: f64, answers: u64) -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::default();
    limit.initialize(LEAST);
    for answer in 1..=answers {
        let now = answer * 1_000_000;
        limit.record_latency(now, latency, OBJECTIVE);
        if limit.is_overloaded() {
            limit.cut(now, latency, LEAST);
        } else {
            limit.grow(LEAST);
        }
    }
    limit
}

#[test]
fn quick_answers_raise_the_limit() {
    let limit = limit_after(10_000.0, 50);
    assert!(limit.limit() > 10.0, "{}", limit.limit());
}

#[test]
fn slow_answers_cut_the_limit_to_its_least() {
    let mut limit = limit_after(10_000.0, 50);
    for second in 100..200 {
        limit.record_latency(second * 1_000_000, 600_000.0, OBJECTIVE);
        limit.cut(second * 1_000_000, 600_000.0, LEAST);
    }
    assert_eq!(limit.limit(), LEAST);
}

#[test]
fn a_limit_under_one_pauses_after_an_attempt() {
    let mut limit = ConcurrencyLimit::default();
    limit.initialize(LEAST);
    for second in 1..200 {
        limit.record_latency(second * 1_000_000, 600_000.0, OBJECTIVE);
        limit.cut(second * 1_000_000, 600_000.0, 0.25);
    }
    assert_eq!(limit.limit(), 0.25);
    limit.pause(200_000_000, 100_000.0, 0.5);
    assert!(!limit.has_capacity(200_000_000));
    // A quarter of an attempt: three latencies of pause for one in flight.
    assert!(!limit.has_capacity(200_299_999));
    assert!(limit.has_capacity(200_300_000));
}
