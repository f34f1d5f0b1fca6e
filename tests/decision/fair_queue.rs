//! Order in which requests are sent, by their start tags.

use crate::common::{counter_call_count, endpoint, sent_attempts, settings, EngineHarness};
use mossrill::decision::{Event, Outcome, UpdateScope};

/// Removes all servers, so that requests queue, and returns the order in which they are sent once
/// there are enough servers again.
fn dispatch_order(harness: &mut EngineHarness, requests: &[(&str, &str)]) -> Vec<String> {
    harness.handle(Event::EndpointUpdate {
        scope: UpdateScope::Snapshot,
        endpoints: Vec::new(),
    });
    for (id, account) in requests {
        assert!(sent_attempts(&harness.request(id, 0, 0, account)).is_empty());
    }
    let endpoints = (0..12).map(|n| endpoint(&format!("s{n}"), "z0")).collect();
    let actions = harness.handle(Event::EndpointUpdate {
        scope: UpdateScope::Snapshot,
        endpoints,
    });
    sent_attempts(&actions)
        .into_iter()
        .map(|(id, _)| id.0.to_string())
        .collect()
}

#[test]
fn smallest_start_tag_is_dispatched_first() {
    // a1: S = 0, F = 1; a2: S = 1. b is new with φ = 1/2: b1: S = v = 0, F = 2; b2: S = 2.
    let mut harness = EngineHarness::new(settings(), 0);
    let order = dispatch_order(
        &mut harness,
        &[("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")],
    );
    assert_eq!(order, ["a1", "b1", "a2", "b2"]);
}

#[test]
fn units_used_by_other_limiters_shift_the_next_start_tag() {
    let mut harness = EngineHarness::new(settings(), 16);
    let actions = harness.request("a0", 0, 0, "a");
    // The units in the first total of an account do not count as a rise.
    let actions = [
        actions.clone(),
        harness.answer_counter_calls(&actions, 1.0, Outcome::Ok),
    ]
    .concat();
    assert_eq!(sent_attempts(&actions).len(), 1);
    harness.now += 1_000_000;
    let mut actions = harness.request("a1", 0, 0, "a");
    actions.extend(harness.advance(1_100_000));
    assert!(counter_call_count(&actions) >= 1);
    // Two units were used here and six at other limiters.
    harness.answer_counter_calls(&actions, 8.0, Outcome::Ok);
    // a2 alone has φ = 1: S = F + 6 = 8. b has φ = 1/2 and S = 1, 3, 5, 7, 9.
    let requests = [
        ("a2", "a"),
        ("b1", "b"),
        ("b2", "b"),
        ("b3", "b"),
        ("b4", "b"),
        ("b5", "b"),
    ];
    assert_eq!(
        dispatch_order(&mut harness, &requests),
        ["b1", "b2", "b3", "b4", "a2", "b5"]
    );
}
