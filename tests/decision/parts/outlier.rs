//! Unit tests of outlier detection.

use mossrill::decision::latency::ClassLatency;
use mossrill::decision::outlier::ServerHealth;
use mossrill::decision::Outcome;

const LIFETIME_MICROS: f64 = 6e6;

fn health_after(outcome: Outcome, latency: f64, count: u64) -> ServerHealth {
    let mut class = ClassLatency::new(400_000);
    let mut health = ServerHealth::default();
    for number in 0..count {
        health.record(
            number * 1_000,
            0,
            &mut class,
            outcome,
            latency,
            LIFETIME_MICROS,
        );
    }
    health
}

#[test]
fn a_slow_server_has_a_high_relative_latency_that_decays_without_answers() {
    let health = health_after(Outcome::Ok, 800_000.0, 10);
    assert!(health.latency_at(10_000, LIFETIME_MICROS) > 2.0);
    assert!(health.latency_at(120_000_000, LIFETIME_MICROS) < 1.01);
}

#[test]
fn a_failing_server_is_penalized_only_in_the_failing_class() {
    let health = health_after(Outcome::Error, 1_000.0, 10);
    assert!(health.penalty(10_000, 0, 0.0, LIFETIME_MICROS) > 10.0);
    assert_eq!(health.penalty(10_000, 1, 0.0, LIFETIME_MICROS), 1.0);
}

#[test]
fn a_superseded_attempt_does_not_count_as_a_failure() {
    let health = health_after(Outcome::Superseded, 1_000.0, 10);
    assert_eq!(health.penalty(10_000, 0, 0.0, LIFETIME_MICROS), 1.0);
}
