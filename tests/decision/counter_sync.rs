//! Which counter calls are made, and the effects of late, unanswered and rejected calls.

use crate::common::{counts, sends, settings, Bench};
use mossrill::decision::{Action, AttemptResult, Event, Micros, Outcome, Request, Settings};

#[test]
fn plan_without_quota_never_calls_the_counter() {
    let mut settings = settings();
    settings.plans[1].max_concurrent = 0;
    let mut bench = Bench::new(settings, 4);
    let mut actions = bench.ask("r0", 0, 1, "a");
    let (id, server) = sends(&actions).remove(0);
    actions.extend(bench.ask("r1", 0, 1, "a"));
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
    actions.extend(bench.on(Event::AttemptEnded(result)));
    actions.extend(bench.pass(3_000_000));
    assert_eq!(counts(&actions), 0);
}

/// Returns the number of counter calls at the arrival of the second hundred of 200 requests, if the
/// counter answers each call after `delay`.
fn counter_calls(delay: Micros) -> usize {
    let mut bench = Bench::new(
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
        let mut actions = bench.on(Event::Request(request));
        calls.push(counts(&actions));
        let (end, mut sent) = (bench.now + 100_000, Vec::new());
        // All calls are answered, also those that answers cause: an unanswered call would delay
        // later ones.
        while counts(&actions) > 0 {
            bench.now += delay;
            sent.extend(sends(&actions));
            // Half of the claims are not granted, so that the value of a claim does not fall by
            // itself.
            actions = bench.count(&actions, if n % 2 == 0 { 1.0 } else { 1e6 }, Outcome::Ok);
        }
        sent.extend(sends(&actions));
        for (id, server) in sent {
            bench.end(&id.0, 0, &server, Outcome::Ok);
        }
        bench.now = bench.now.max(end);
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
    let mut bench = Bench::new(settings(), 4);
    for n in 0..3 {
        let actions = bench.ask(&format!("r{n}"), 0, 0, &format!("c{n}"));
        assert_eq!(counts(&actions), 1, "expected a call for account {n}");
        bench.count(&actions, 0.0, Outcome::Rejected);
        for (id, server) in sends(&actions) {
            bench.end(&id.0, 0, &server, Outcome::Ok);
        }
        bench.pass(20_000);
    }
}

#[test]
fn units_rejected_by_an_overloaded_counter_are_reported_later() {
    // Units of a rejected call were reported again at the next event, so that the limiter itself
    // kept the counter overloaded.
    let mut bench = Bench::new(
        Settings {
            limiters: 200,
            ..settings()
        },
        4,
    );
    let (mut calls, mut unhandled) = (0, Vec::new());
    for n in 0..200 {
        let mut actions = std::mem::take(&mut unhandled);
        actions.extend(bench.ask(&format!("r{n}"), 0, 0, &format!("c{}", n % 50)));
        actions.extend(bench.pass(5_000));
        for (id, server) in sends(&actions) {
            bench.end(&id.0, 0, &server, Outcome::Ok);
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
            unhandled.extend(bench.count(std::slice::from_ref(call), 1.0, outcome));
        }
    }
    assert!(
        (1..100).contains(&calls),
        "expected 1 to 99 calls in a second, got {calls}"
    );
    // Half a minute later a call is worth its price again, as the price has an upper bound.
    for _ in 0..600 {
        unhandled.extend(bench.pass(50_000));
        unhandled = bench.count(&unhandled, 1.0, Outcome::Ok);
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
    assert_eq!(counts(&bench.on(Event::Request(request))), 1);
}

#[test]
fn unanswered_claim_is_decided_by_the_next_total() {
    // An unanswered claim was taken as granted, so that the request was sent beyond the quota if
    // another limiter had used the units first.
    let mut bench = Bench::new(settings(), 4);
    let first = bench.ask("a", 0, 0, "account");
    bench.count(&first, 1.0, Outcome::Ok);
    bench.ask("b", 0, 0, "account");
    let reported = bench.pass(2_200_000);
    bench.count(&reported, 20.5, Outcome::Ok);
    let claimed = bench.ask("c", 0, 0, "account");
    assert_eq!(
        (sends(&claimed).len(), counter_amounts(&claimed)),
        (0, vec![1.0])
    );
    assert_eq!(bench.count(&claimed, 0.0, Outcome::Timeout).len(), 0);
    let unresolved = bench.pass(5_000);
    assert_eq!(
        (sends(&unresolved).len(), counter_amounts(&unresolved)),
        (0, vec![0.0])
    );
    assert_eq!(sends(&bench.count(&unresolved, 21.5, Outcome::Ok)).len(), 1);
}
