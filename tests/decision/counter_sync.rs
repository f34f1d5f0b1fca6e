//! Which counter calls are made, and the effects of late, unanswered and rejected calls.

use crate::common::{counter_call_count, sent_attempts, settings, EngineHarness};
use mossrill::decision::{Action, AttemptResult, Event, Micros, Outcome, Request, Settings};

#[test]
fn plan_without_quota_never_calls_the_counter() {
    let mut settings = settings();
    settings.plans[1].max_concurrent = 0;
    let mut harness = EngineHarness::new(settings, 4);
    let mut actions = harness.request("r0", 0, 1, "a");
    let (id, server) = sent_attempts(&actions).remove(0);
    actions.extend(harness.request("r1", 0, 1, "a"));
    // The units are settled after the attempt, but the plan has no counter total to correct.
    let (outcome, load, settled_units) = (Outcome::Ok, Vec::new(), Some(4.0));
    let result = AttemptResult {
        id,
        attempt: 0,
        server,
        outcome,
        latency: 20_000,
        is_final: true,
        load,
        settled_units,
    };
    actions.extend(harness.handle(Event::AttemptEnded(result)));
    actions.extend(harness.advance(3_000_000));
    assert_eq!(counter_call_count(&actions), 0);
}

/// Returns the number of counter calls at the arrival of the second hundred of 200 requests, if the
/// counter answers each call after `delay`.
fn counter_calls(delay: Micros) -> usize {
    let mut harness = EngineHarness::new(
        Settings {
            limiters: 200,
            ..settings()
        },
        8,
    );
    let mut calls = Vec::new();
    for n in 0..200 {
        let (id, account) = (
            format!("r{n}").as_str().into(),
            format!("c{n}").as_str().into(),
        );
        let (timeout, limiter_count) = (2_000_000, 200);
        let request = Request {
            id,
            class: 0,
            plan: 0,
            account,
            timeout,
            units: 1.0,
            limiter_count,
            first_limiter: 0,
        };
        let mut actions = harness.handle(Event::Request(request));
        calls.push(counter_call_count(&actions));
        let (end, mut sent) = (harness.now + 100_000, Vec::new());
        // All calls are answered, also those that answers cause: an unanswered call would delay
        // later ones.
        while counter_call_count(&actions) > 0 {
            harness.now += delay;
            sent.extend(sent_attempts(&actions));
            // Half of the claims are not granted, so that the value of a claim does not fall by
            // itself.
            actions = harness.answer_counter_calls(
                &actions,
                if n % 2 == 0 { 1.0 } else { 1e6 },
                Outcome::Ok,
            );
        }
        sent.extend(sent_attempts(&actions));
        for (id, server) in sent {
            harness.end_attempt(&id.0, 0, &server, Outcome::Ok);
        }
        harness.now = harness.now.max(end);
    }
    calls[100..].iter().sum()
}

#[test]
fn slow_counter_is_called_less_often() {
    // Answers that take most of the timeout show a standing queue at the counter, so that only
    // calls of a higher value are made.
    let (fast, slow) = (counter_calls(1_000), counter_calls(40_000));
    assert!(
        fast > 90 && slow < fast / 2,
        "expected over 90 calls to a fast counter and less than half as many to a slow one, got {fast} and {slow}"
    );
}

/// Returns the amounts of the counter calls in these actions.
pub fn counter_amounts(actions: &[Action]) -> Vec<f64> {
    let pick = |a: &Action| match a {
        Action::AddToCounter { amount, .. } => Some(*amount),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

#[test]
fn overloaded_counter_is_still_called() {
    // Two rejected calls in a row made every account wait for 100 ms, although an overloaded
    // counter rejects one call in three.
    let mut harness = EngineHarness::new(settings(), 4);
    for n in 0..3 {
        let actions = harness.request(&format!("r{n}"), 0, 0, &format!("c{n}"));
        assert_eq!(
            counter_call_count(&actions),
            1,
            "expected a call for account {n}"
        );
        harness.answer_counter_calls(&actions, 0.0, Outcome::Rejected);
        for (id, server) in sent_attempts(&actions) {
            harness.end_attempt(&id.0, 0, &server, Outcome::Ok);
        }
        harness.advance(20_000);
    }
}

#[test]
fn units_rejected_by_an_overloaded_counter_are_reported_later() {
    // Units of a rejected call were reported again at the next event, so that the limiter itself
    // kept the counter overloaded.
    let mut harness = EngineHarness::new(
        Settings {
            limiters: 200,
            ..settings()
        },
        4,
    );
    let (mut calls, mut unhandled) = (0, Vec::new());
    for n in 0..200 {
        let mut actions = std::mem::take(&mut unhandled);
        actions.extend(harness.request(&format!("r{n}"), 0, 0, &format!("c{}", n % 50)));
        actions.extend(harness.advance(5_000));
        for (id, server) in sent_attempts(&actions) {
            harness.end_attempt(&id.0, 0, &server, Outcome::Ok);
        }
        for call in actions
            .iter()
            .filter(|a| matches!(a, Action::AddToCounter { .. }))
        {
            calls += 1;
            // The counter accepts one call in five.
            let outcome = if calls % 5 == 0 {
                Outcome::Ok
            } else {
                Outcome::Rejected
            };
            unhandled.extend(harness.answer_counter_calls(
                std::slice::from_ref(call),
                1.0,
                outcome,
            ));
        }
    }
    assert!(
        (1..100).contains(&calls),
        "expected 1 to 99 calls in a second, got {calls}"
    );
    // Half a minute later a call is worth its price again, as the price has an upper bound.
    for _ in 0..600 {
        unhandled.extend(harness.advance(50_000));
        unhandled = harness.answer_counter_calls(&unhandled, 1.0, Outcome::Ok);
    }
    let (id, account) = ("later".into(), "later".into());
    let request = Request {
        id,
        class: 0,
        plan: 0,
        account,
        timeout: 2_000_000,
        units: 1.0,
        limiter_count: 200,
        first_limiter: 0,
    };
    assert_eq!(
        counter_call_count(&harness.handle(Event::Request(request))),
        1
    );
}

#[test]
fn unanswered_claim_is_decided_by_the_next_total() {
    // An unanswered claim was taken as granted, so that the request was sent beyond the quota if
    // another limiter had used the units first.
    let mut harness = EngineHarness::new(settings(), 4);
    let first = harness.request("a", 0, 0, "account");
    harness.answer_counter_calls(&first, 1.0, Outcome::Ok);
    harness.request("b", 0, 0, "account");
    let reported = harness.advance(2_200_000);
    harness.answer_counter_calls(&reported, 20.5, Outcome::Ok);
    let claimed = harness.request("c", 0, 0, "account");
    assert_eq!(
        (sent_attempts(&claimed).len(), counter_amounts(&claimed)),
        (0, vec![1.0])
    );
    assert_eq!(
        harness
            .answer_counter_calls(&claimed, 0.0, Outcome::Timeout)
            .len(),
        0
    );
    let unresolved = harness.advance(5_000);
    assert_eq!(
        (
            sent_attempts(&unresolved).len(),
            counter_amounts(&unresolved)
        ),
        (0, vec![0.0])
    );
    assert_eq!(
        sent_attempts(&harness.answer_counter_calls(&unresolved, 21.5, Outcome::Ok)).len(),
        1
    );
}
