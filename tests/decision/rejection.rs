//! Which requests are rejected or failed, and when.

use crate::common::{
    counter_call_count, endpoint, failure_count, rejection_count, sent_attempts, settings,
    EngineHarness,
};
use mossrill::decision::{
    Action, Event, Outcome, Plan, Readiness, Request, RequestClass, Settings, UpdateScope,
};

#[test]
fn backlog_beyond_the_quota_is_rejected_at_once() {
    let mut harness = EngineHarness::new(settings(), 4);
    let actions = harness.request("r0", 0, 0, "a");
    harness.answer_counter_calls(&actions, 1e4, Outcome::Ok);
    let mut rejected = 0;
    for n in 1..40 {
        rejected += rejection_count(&harness.request(&format!("r{n}"), 0, 0, "a"));
    }
    assert!(
        rejected >= 30,
        "expected at least 30 of 39 requests rejected at once, got {rejected}"
    );
}

#[test]
fn retried_request_past_its_latency_objective_is_rejected_at_once() {
    let mut harness = EngineHarness::new(settings(), 4);
    for n in 0..120 {
        for (id, server) in
            sent_attempts(&harness.request(&format!("r{n}"), 0, 0, &format!("c{n}")))
        {
            harness.end_attempt(&id.0, 0, &server, Outcome::Ok);
        }
    }
    let mut late = Request {
        id: "late".into(),
        class: 0,
        plan: 0,
        account: "x".into(),
        timeout: 1_000_000,
        units: 1.0,
        limiter_count: 2,
        first_limiter: 0,
    };
    // The usual timeout is 2 s, so that a timeout of 1 s means that 1 s has passed. The latency
    // objective is 0.5 s.
    let actions = harness.handle(Event::Request(late.clone()));
    assert_eq!(
        (rejection_count(&actions), sent_attempts(&actions).len()),
        (1, 0)
    );
    (late.id, late.timeout) = ("first".into(), 2_000_000);
    assert_eq!(
        sent_attempts(&harness.handle(Event::Request(late))).len(),
        1
    );
}

#[test]
fn request_with_a_tiny_timeout_is_rejected_at_once() {
    let mut harness = EngineHarness::new(settings(), 0);
    let request = Request {
        id: "r".into(),
        class: 0,
        plan: 0,
        account: "a".into(),
        timeout: 5_000,
        units: 1.0,
        limiter_count: 2,
        first_limiter: 0,
    };
    assert_eq!(rejection_count(&harness.handle(Event::Request(request))), 1);
}

#[test]
fn invalid_settings_and_requests_cause_no_panic() {
    let plan = Plan::default();
    let none = Settings {
        classes: vec![RequestClass::default()],
        plans: vec![plan],
        counter: true,
        ..Settings::default()
    };
    let mut harness = EngineHarness::new(none, 1);
    for (n, limiter_count) in [0, 1, 99].into_iter().enumerate() {
        harness.handle(Event::Request(Request {
            id: format!("r{n}").as_str().into(),
            class: n,
            plan: n,
            account: "a".into(),
            timeout: 1_000_000,
            units: 0.0,
            limiter_count,
            first_limiter: 7,
        }));
    }
    harness.advance(2_000_000);
}

#[test]
fn without_servers_requests_wait_and_are_then_rejected() {
    let mut harness = EngineHarness::new(settings(), 0);
    assert_eq!(
        harness
            .request("r", 2, 0, "a")
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count(),
        0
    );
    assert_eq!(rejection_count(&harness.advance(2_000_000)), 1);
}

#[test]
fn with_every_server_draining_requests_are_rejected_at_once() {
    // Both waiting and new requests are rejected, as no server will become available.
    let mut harness = EngineHarness::new(settings(), 1);
    let mut draining = endpoint("s0", "z0");
    draining.readiness = Readiness::Draining;
    harness.request("first", 0, 0, "a");
    harness.request("waits", 0, 0, "a");
    let actions = harness.handle(Event::EndpointUpdate {
        scope: UpdateScope::Delta,
        endpoints: vec![draining],
    });
    assert_eq!(
        (rejection_count(&actions), sent_attempts(&actions).len()),
        (1, 0)
    );
    let actions = harness.request("comes", 0, 0, "a");
    assert!(
        matches!(actions[..], [Action::Reject { .. }]),
        "expected one rejection, got {actions:?}"
    );
}

#[test]
fn retry_after_of_a_rejection_allows_meeting_the_latency_objective() {
    // A client that was told to retry after the longest delay that clients follow, 1 s, missed
    // every latency objective.
    let mut settings = settings();
    settings.limits.max_retry_after = 1_000_000;
    let mut harness = EngineHarness::new(
        Settings {
            counter: false,
            ..settings
        },
        0,
    );
    harness.request("r", 2, 0, "a");
    let actions = harness.advance(500_000);
    let retry_after = actions.iter().find_map(|a| {
        if let Action::Reject { retry_after, .. } = a {
            Some(*retry_after)
        } else {
            None
        }
    });
    assert!(
        retry_after.is_some_and(|a| a > 0 && a < 250_000),
        "expected a Retry-After below 250 ms for a latency objective of 500 ms, got {retry_after:?} µs"
    );
}

#[test]
fn request_never_sent_is_rejected_before_half_of_its_time_has_passed() {
    // By the latency objective of 500 ms alone, the request waited for 375 ms of the client's
    // timeout of 600 ms.
    let mut harness = EngineHarness::new(
        Settings {
            counter: false,
            ..settings()
        },
        0,
    );
    let (id, account) = ("a".into(), "account".into());
    let request = Request {
        id,
        class: 0,
        plan: 0,
        account,
        timeout: 600_000,
        units: 1.0,
        limiter_count: 2,
        first_limiter: 0,
    };
    harness.handle(Event::Request(request));
    assert_eq!(rejection_count(&harness.advance(300_000)), 1);
}

#[test]
fn backlog_is_limited_by_units() {
    // The local share of ten units and the refill within half of the latency objective suffice for
    // one request of six units. A bound by the number of requests admitted all six.
    let mut harness = EngineHarness::new(
        Settings {
            counter: false,
            ..settings()
        },
        0,
    );
    let mut rejected = 0;
    for n in 0..6 {
        let (id, account) = (format!("a{n}").as_str().into(), "account".into());
        let request = Request {
            id,
            class: 0,
            plan: 0,
            account,
            timeout: 2_000_000,
            units: 6.0,
            limiter_count: 2,
            first_limiter: 0,
        };
        rejected += rejection_count(&harness.handle(Event::Request(request)));
    }
    assert_eq!(rejected, 5);
}

#[test]
fn request_waiting_for_an_unresponsive_counter_is_rejected_within_half_of_its_deadline() {
    for (plan, timeout) in [(0, 60_000), (0, 600_000), (1, 60_000), (1, 600_000)] {
        let mut harness = EngineHarness::new(settings(), 4);
        let (id, account) = ("r".into(), "a".into());
        let request = Request {
            id,
            class: 2,
            plan,
            account,
            timeout,
            units: 11.0,
            limiter_count: 2,
            first_limiter: 0,
        };
        let actions = harness.handle(Event::Request(request));
        assert_eq!(
            (counter_call_count(&actions), sent_attempts(&actions).len()),
            (1, 0),
            "a request of plan {plan} is not sent before the counter is called"
        );
        let actions = harness.advance(timeout / 2);
        assert_eq!(
            (rejection_count(&actions), failure_count(&actions)),
            (1, 0),
            "expected one rejection and no failure: plan {plan}, timeout {timeout} µs"
        );
        // Nothing is sent for the request after its rejection.
        assert!(sent_attempts(&harness.advance(timeout)).is_empty());
    }
}
