//! Requests that are rejected or failed, and how early.

use crate::common::{counts, failed, member, refused, sends, settings, Bench};
use mossrill::decision::{
    Action, Event, Outcome, Plan, Readiness, Request, RequestClass, Settings, UpdateScope,
};

#[test]
fn backlog_beyond_the_quota_is_rejected_at_once() {
    let mut bench = Bench::new(settings(), 4);
    let acts = bench.ask("r0", 0, 0, "a");
    bench.count(&acts, 1e4, Outcome::Ok);
    let mut turned = 0;
    for n in 1..40 {
        turned += refused(&bench.ask(&format!("r{n}"), 0, 0, "a"));
    }
    assert!(turned >= 30, "{turned} of 39 refused at once");
}

#[test]
fn retried_request_past_its_latency_objective_is_rejected_at_once() {
    let mut bench = Bench::new(settings(), 4);
    for n in 0..120 {
        for (id, server) in sends(&bench.ask(&format!("r{n}"), 0, 0, &format!("c{n}"))) {
            bench.end(&id.0, 0, &server, Outcome::Ok);
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
    // 2 s is usual here, so 1 s left means that 1 s has gone; the aim was 0.5 s.
    let acts = bench.on(Event::Request(late.clone()));
    assert_eq!((refused(&acts), sends(&acts).len()), (1, 0));
    (late.id, late.timeout) = ("first".into(), 2_000_000);
    assert_eq!(sends(&bench.on(Event::Request(late))).len(), 1);
}

#[test]
fn request_with_a_tiny_time_budget_is_answered_at_once() {
    let mut bench = Bench::new(settings(), 0);
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
    assert_eq!(refused(&bench.on(Event::Request(request))), 1);
}

#[test]
fn invalid_settings_and_requests_are_handled() {
    let plan = Plan::default();
    let none = Settings {
        classes: vec![RequestClass::default()],
        plans: vec![plan],
        counter: true,
        ..Settings::default()
    };
    let mut bench = Bench::new(none, 1);
    for (n, spread) in [0, 1, 99].into_iter().enumerate() {
        bench.on(Event::Request(Request {
            id: format!("r{n}").as_str().into(),
            class: n,
            plan: n,
            account: "a".into(),
            timeout: 1_000_000,
            units: 0.0,
            limiter_count: spread,
            first_limiter: 7,
        }));
    }
    bench.pass(2_000_000);
}

#[test]
fn without_servers_requests_wait_and_are_then_rejected() {
    let mut bench = Bench::new(settings(), 0);
    assert_eq!(
        bench
            .ask("r", 2, 0, "a")
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count(),
        0
    );
    assert_eq!(refused(&bench.pass(2_000_000)), 1);
}

#[test]
fn with_every_server_banned_requests_are_rejected_at_once() {
    // Those that wait, and those that come: there is nothing to be waited for.
    let mut bench = Bench::new(settings(), 1);
    let mut out = member("s0", "z0");
    out.readiness = Readiness::Draining;
    bench.ask("first", 0, 0, "a");
    bench.ask("waits", 0, 0, "a");
    let acts = bench.on(Event::EndpointUpdate {
        scope: UpdateScope::Delta,
        endpoints: vec![out],
    });
    assert_eq!((refused(&acts), sends(&acts).len()), (1, 0));
    let acts = bench.ask("comes", 0, 0, "a");
    assert!(matches!(acts[..], [Action::Reject { .. }]), "{acts:?}");
}

#[test]
fn retry_after_of_a_rejection_allows_meeting_the_latency_objective() {
    // Told to come back after the longest time that clients follow, a second, it came too late for any aim.
    let mut settings = settings();
    settings.limits.max_retry_after = 1_000_000;
    let mut bench = Bench::new(
        Settings {
            counter: false,
            ..settings
        },
        0,
    );
    bench.ask("r", 2, 0, "a");
    let acts = bench.pass(500_000);
    let after = acts.iter().find_map(|a| {
        if let Action::Reject {
            retry_after: after, ..
        } = a
        {
            Some(*after)
        } else {
            None
        }
    });
    assert!(
        after.is_some_and(|a| a > 0 && a < 250_000),
        "told {after:?} under an aim of 500 ms"
    );
}

#[test]
fn request_never_forwarded_is_rejected_before_half_of_its_time_has_passed() {
    // The aim of 500 ms left it waiting to 375 ms, of the 600 ms that the client gives.
    let mut bench = Bench::new(
        Settings {
            counter: false,
            ..settings()
        },
        0,
    );
    let (id, customer) = ("a".into(), "customer".into());
    let request = Request {
        id,
        class: 0,
        plan: 0,
        account: customer,
        timeout: 600_000,
        units: 1.0,
        limiter_count: 2,
        first_limiter: 0,
    };
    bench.on(Event::Request(request));
    assert_eq!(refused(&bench.pass(300_000)), 1);
}

#[test]
fn backlog_is_limited_by_units() {
    // Of six units each, the part of ten and what fills it in half of the aim reach one; by number it was all six.
    let mut bench = Bench::new(
        Settings {
            counter: false,
            ..settings()
        },
        0,
    );
    let mut turned = 0;
    for n in 0..6 {
        let (id, customer) = (format!("a{n}").as_str().into(), "customer".into());
        let request = Request {
            id,
            class: 0,
            plan: 0,
            account: customer,
            timeout: 2_000_000,
            units: 6.0,
            limiter_count: 2,
            first_limiter: 0,
        };
        turned += refused(&bench.on(Event::Request(request)));
    }
    assert_eq!(turned, 5);
}

#[test]
fn request_behind_a_silent_counter_is_answered_within_half_of_its_deadline() {
    for (plan, budget) in [(0, 60_000), (0, 600_000), (1, 60_000), (1, 600_000)] {
        let mut bench = Bench::new(settings(), 4);
        let (id, customer) = ("r".into(), "a".into());
        let request = Request {
            id,
            class: 2,
            plan,
            account: customer,
            timeout: budget,
            units: 11.0,
            limiter_count: 2,
            first_limiter: 0,
        };
        let acts = bench.on(Event::Request(request));
        assert_eq!(
            (counts(&acts), sends(&acts).len()),
            (1, 0),
            "plan {plan} asks first"
        );
        let acts = bench.pass(budget / 2);
        assert_eq!(
            (refused(&acts), failed(&acts)),
            (1, 0),
            "plan {plan}, {budget} us"
        );
        // What comes of the call later is nobody's any more.
        assert!(sends(&bench.pass(budget)).is_empty());
    }
}
