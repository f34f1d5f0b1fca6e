//! Which calls of the quota counter are made, and what late, lost and rejected ones lead to.

use crate::common::{counts, sends, settings, Bench};
use mossrill::decision::{Action, AttemptResult, Event, Micros, Outcome, Request, Settings};

#[test]
fn plan_without_quota_never_calls_the_counter() {
    let mut settings = settings();
    settings.plans[1].max_concurrent = 0;
    let mut bench = Bench::new(settings, 4);
    let mut acts = bench.ask("r0", 0, 1, "a");
    let (id, server) = sends(&acts).remove(0);
    acts.extend(bench.ask("r1", 0, 1, "a"));
    // Its units are settled afterwards, and there is no store to put them right in.
    let (outcome, load, settled) = (Outcome::Ok, Vec::new(), Some(4.0));
    let ended = AttemptResult {
        id,
        attempt: 0,
        server,
        outcome,
        latency: 20_000,
        is_final: true,
        load,
        settled_units: settled,
    };
    acts.extend(bench.on(Event::AttemptEnded(ended)));
    acts.extend(bench.pass(3_000_000));
    assert_eq!(counts(&acts), 0);
}

/// How many of the second hundred requests ask a counter that answers each call after so long.
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
        let (id, customer) = (
            format!("r{n}").as_str().into(),
            format!("c{n}").as_str().into(),
        );
        let (budget, spread) = (2_000_000, 200);
        let asked = Request {
            id,
            class: 0,
            plan: 0,
            account: customer,
            timeout: budget,
            units: 1.0,
            limiter_count: spread,
            first_limiter: 0,
        };
        let mut acts = bench.on(Event::Request(asked));
        calls.push(counts(&acts));
        let (end, mut out) = (bench.now + 100_000, Vec::new());
        // Every call is answered, those that come of answers too: one left out would hold up later ones.
        while counts(&acts) > 0 {
            bench.now += delay;
            out.extend(sends(&acts));
            // Half of the claims find no room: what claims are worth does not fall by itself.
            acts = bench.count(&acts, if n % 2 == 0 { 1.0 } else { 1e6 }, Outcome::Ok);
        }
        out.extend(sends(&acts));
        for (id, server) in out {
            bench.end(&id.0, 0, &server, Outcome::Ok);
        }
        bench.now = bench.now.max(end);
    }
    calls[100..].iter().sum()
}

#[test]
fn slow_counter_is_called_less_often() {
    // Answers that take most of the time-out show a standing queue: what is asked must be worth more then.
    let (quick, slow) = (counter_calls(1_000), counter_calls(40_000));
    assert!(
        quick > 90 && slow < quick / 2,
        "asked {quick} times when quick, {slow} when slow"
    );
}

/// Amounts of the calls in these actions.
pub fn counter_amounts(actions: &[Action]) -> Vec<f64> {
    let pick = |a: &Action| match a {
        Action::AddToCounter { amount: by, .. } => Some(*by),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

#[test]
fn overloaded_counter_is_still_called() {
    // Two calls turned away in a row had every account wait 100 ms, where one in three is.
    let mut bench = Bench::new(settings(), 4);
    for n in 0..3 {
        let asked = bench.ask(&format!("r{n}"), 0, 0, &format!("c{n}"));
        assert_eq!(counts(&asked), 1, "of account {n}");
        bench.count(&asked, 0.0, Outcome::Rejected);
        for (id, server) in sends(&asked) {
            bench.end(&id.0, 0, &server, Outcome::Ok);
        }
        bench.pass(20_000);
    }
}

#[test]
fn units_rejected_by_an_overloaded_counter_are_reported_later() {
    // Every unit told to it came back and went out again at the next event: a crowd of its own making.
    let mut bench = Bench::new(
        Settings {
            limiters: 200,
            ..settings()
        },
        4,
    );
    let (mut calls, mut waiting) = (0, Vec::new());
    for n in 0..200 {
        let mut told = std::mem::take(&mut waiting);
        told.extend(bench.ask(&format!("r{n}"), 0, 0, &format!("c{}", n % 50)));
        told.extend(bench.pass(5_000));
        for (id, server) in sends(&told) {
            bench.end(&id.0, 0, &server, Outcome::Ok);
        }
        for call in told
            .iter()
            .filter(|a| matches!(a, Action::AddToCounter { .. }))
        {
            calls += 1;
            // One in five finds room.
            let outcome = if calls % 5 == 0 {
                Outcome::Ok
            } else {
                Outcome::Rejected
            };
            waiting.extend(bench.count(std::slice::from_ref(call), 1.0, outcome));
        }
    }
    assert!((1..100).contains(&calls), "{calls} calls in a second");
    // Half a minute later a call is worth its price again, which has not risen without end meanwhile.
    for _ in 0..600 {
        waiting.extend(bench.pass(50_000));
        waiting = bench.count(&waiting, 1.0, Outcome::Ok);
    }
    let (id, customer) = ("later".into(), "later".into());
    let asked = Request {
        id,
        class: 0,
        plan: 0,
        account: customer,
        timeout: 2_000_000,
        units: 1.0,
        limiter_count: 200,
        first_limiter: 0,
    };
    assert_eq!(counts(&bench.on(Event::Request(asked))), 1);
}

#[test]
fn unanswered_claim_is_decided_by_the_next_total() {
    // It was taken for granted, and sent beyond the quota where another gateway had been quicker.
    let mut bench = Bench::new(settings(), 4);
    let first = bench.ask("a", 0, 0, "customer");
    bench.count(&first, 1.0, Outcome::Ok);
    bench.ask("b", 0, 0, "customer");
    let told = bench.pass(2_200_000);
    bench.count(&told, 20.5, Outcome::Ok);
    let claimed = bench.ask("c", 0, 0, "customer");
    assert_eq!(
        (sends(&claimed).len(), counter_amounts(&claimed)),
        (0, vec![1.0])
    );
    assert_eq!(bench.count(&claimed, 0.0, Outcome::Timeout).len(), 0);
    let doubtful = bench.pass(5_000);
    assert_eq!(
        (sends(&doubtful).len(), counter_amounts(&doubtful)),
        (0, vec![0.0])
    );
    assert_eq!(sends(&bench.count(&doubtful, 21.5, Outcome::Ok)).len(), 1);
}
