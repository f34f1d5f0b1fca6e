//! Choice of the upstream server, slow start, server health and the concurrency limit.

use crate::common::{endpoint, sent_attempts, settings, EngineHarness};
use mossrill::decision::{
    Action, AttemptResult, Endpoint, Event, LoadField, Micros, Outcome, Readiness, Settings,
    UpdateScope,
};

#[test]
fn late_answers_of_all_servers_lower_the_concurrency_limit_and_good_ones_raise_it() {
    let mut harness = EngineHarness::new(settings(), 4);
    let send_rounds =
        |harness: &mut EngineHarness, rounds: usize, latency: Micros, tag: &str| -> usize {
            let mut sent = 0;
            for round in 0..rounds {
                let ids = (0..60).map(|n| format!("{tag}{round}-{n}"));
                let mut in_flight: Vec<_> = ids
                    .flat_map(|id| sent_attempts(&harness.request(&id, 0, 0, &id)))
                    .collect();
                sent = in_flight.len();
                harness.now += latency;
                while let Some((id, server)) = in_flight.pop() {
                    let (attempt, outcome, load) = (0, Outcome::Ok, Vec::new());
                    let result = AttemptResult {
                        id,
                        attempt,
                        server,
                        outcome,
                        latency,
                        is_final: true,
                        load,
                        settled_units: None,
                    };
                    in_flight.extend(sent_attempts(&harness.handle(Event::AttemptEnded(result))));
                }
                harness.advance(600_000);
            }
            sent
        };
    let overloaded = send_rounds(&mut harness, 6, 450_000, "late");
    let recovered = send_rounds(&mut harness, 25, 20_000, "fast");
    assert!(
        overloaded < 30 && recovered > 2 * overloaded,
        "expected fewer than 30 attempts sent in overload and more than twice as many after it, got {overloaded} and {recovered}"
    );
    // If answers take 0.3 of the latency objective on average, one in thirty misses it, which
    // already counts as overload.
    let slow = send_rounds(&mut harness, 25, 150_000, "slow");
    assert!(
        slow < recovered / 2,
        "expected less than half as many attempts sent at 0.3 of the objective as before, got {slow} and {recovered}"
    );
}

#[test]
fn only_the_failing_server_loses_its_traffic() {
    let mut harness = EngineHarness::new(settings(), 4);
    let mut to_failing = 0;
    for n in 0..400 {
        harness.now += 5_000;
        for (id, server) in
            sent_attempts(&harness.request(&format!("r{n}"), 2, 0, &format!("c{n}")))
        {
            let fails = &*server.0 == "s0";
            to_failing += usize::from(fails && n >= 200);
            harness.end_attempt(
                &id.0,
                0,
                &server,
                if fails { Outcome::Error } else { Outcome::Ok },
            );
        }
    }
    assert!(
        to_failing < 15,
        "expected fewer than 15 of 200 requests sent to the server that fails all of them, got {to_failing}"
    );
}

#[test]
fn server_that_fails_one_class_is_avoided_for_that_class_only() {
    // One of four servers fails class 0 and serves class 3. With one failure rate over all classes
    // it looked half reliable.
    let mut harness = EngineHarness::new(settings(), 4);
    let mut to_failing = [0, 0];
    for n in 0..200 {
        for (index, class) in [0, 3].into_iter().enumerate() {
            let id = format!("r{n}-{class}");
            for (_, server) in
                sent_attempts(&harness.request(&id, class, 0, &format!("c{n}-{class}")))
            {
                let fails = *server.0 == *"s1" && class == 0;
                to_failing[index] += u32::from(*server.0 == *"s1" && n >= 100);
                let outcome = if fails { Outcome::Error } else { Outcome::Ok };
                let (attempt, latency, load) = (0, 125_000, Vec::new());
                let (id, is_final) = (id.as_str().into(), !fails);
                harness.handle(Event::AttemptEnded(AttemptResult {
                    id,
                    attempt,
                    server,
                    outcome,
                    latency,
                    is_final,
                    load,
                    settled_units: None,
                }));
            }
        }
        harness.advance(20_000);
    }
    assert!(
        to_failing[0] <= 8 && to_failing[1] >= 12,
        "expected at most 8 of class 0 and at least 12 of class 3 sent to the server that fails class 0, got {to_failing:?} of 100 each"
    );
}

#[test]
fn limiter_with_only_cold_servers_begins_to_send() {
    // Without any attempt sent, the send rate was zero, and with a send rate of zero the slow start
    // of a cold server never allowed an attempt.
    let mut harness = EngineHarness::new(settings(), 0);
    let cold = |n: usize| Endpoint {
        started_at: 1_000_000,
        ..endpoint(&format!("s{n}"), "z0")
    };
    harness.handle(Event::EndpointUpdate {
        scope: UpdateScope::Snapshot,
        endpoints: (0..4).map(cold).collect(),
    });
    let mut sent = 0;
    for n in 0..50 {
        sent += sent_attempts(&harness.request(&format!("r{n}"), 0, 0, &format!("c{n}"))).len();
        sent += sent_attempts(&harness.advance(100_000)).len();
    }
    assert!(sent > 0, "expected at least one send in 5 s, got none");
}

#[test]
fn unanswered_attempt_counts_against_its_server_at_the_latency_objective() {
    // If late answers have a weight, attempts run until the deadline: a server that did not answer
    // a class was detected only after 2 s, and got its share of the attempts until then.
    let mut settings = settings();
    settings.classes[0].late_weight = 0.2;
    let mut harness = EngineHarness::new(
        Settings {
            limiters: 1,
            counter: false,
            ..settings
        },
        8,
    );
    let drained = |n| Endpoint {
        readiness: Readiness::Draining,
        ..endpoint(&format!("s{n}"), "z0")
    };
    harness.handle(Event::EndpointUpdate {
        scope: UpdateScope::Delta,
        endpoints: (2..8).map(drained).collect(),
    });
    let (_, silent) = sent_attempts(&harness.request("r0", 0, 0, "a"))[0].clone();
    // This is after the latency objective of 500 ms, but long before the deadline of 2 s.
    harness.advance(600_000);
    for n in 1..5 {
        let sent = sent_attempts(&harness.request(&format!("r{n}"), 0, 0, &format!("c{n}")));
        assert!(
            sent.len() == 1 && sent[0].1 != silent,
            "expected request {n} to be sent once and not to {silent:?}, got {sent:?}"
        );
    }
}

#[test]
fn removed_servers_do_not_raise_the_minimum_concurrency_limit() {
    // Removed servers still counted in the minimum, so that the concurrency limit stayed at one
    // attempt for each server that had ever been listed.
    let mut harness = EngineHarness::new(
        Settings {
            limiters: 1,
            counter: false,
            ..settings()
        },
        2,
    );
    for n in 0..40 {
        let added = Endpoint {
            started_at: harness.now,
            ..endpoint(&format!("n{n}"), "z0")
        };
        let removed = Endpoint {
            readiness: Readiness::Removed,
            ..endpoint(&format!("n{}", n - 1), "z0")
        };
        harness.handle(Event::EndpointUpdate {
            scope: UpdateScope::Delta,
            endpoints: vec![added, removed],
        });
        harness.advance(1_000_000);
    }
    let plan = 2;
    for n in 0..60 {
        for (id, server) in sent_attempts(&harness.request(&format!("r{n}"), 0, plan, "account")) {
            harness.end_attempt(&id.0, 0, &server, Outcome::Rejected);
        }
        harness.advance(500_000);
    }
    let in_flight = (0..20)
        .map(|n| sent_attempts(&harness.request(&format!("o{n}"), 0, 0, "a")).len())
        .sum::<usize>();
    assert!(
        (1..=6).contains(&in_flight),
        "expected 1 to 6 attempts in flight to three servers, got {in_flight}"
    );
}

proptest::proptest! {
    /// Missing, wrong or late load reports do not change any decision.
    #[test]
    fn load_reports_change_no_decision(loads in proptest::collection::vec(
        proptest::collection::vec(proptest::num::f64::ANY, 0..4), 60)) {
        let settings = Settings { load_fields: vec![LoadField::Other, LoadField::InFlight], ..settings() };
        let run = |reports: &dyn Fn(usize) -> Vec<f64>| -> Vec<Action> {
            let (mut harness, mut all) = (EngineHarness::new(settings.clone(), 5), Vec::new());
            for n in 0..60 {
                let actions = harness.request(&format!("r{n}"), n % 3, 0, &format!("c{}", n % 7));
                let more = harness.answer_counter_calls(&actions, 3.0, Outcome::Ok);
                for (id, server) in sent_attempts(&[actions.clone(), more.clone()].concat()) {
                    let outcome = if n % 9 == 8 { Outcome::Error } else { Outcome::Ok };
                    let (is_final, load) = (outcome == Outcome::Ok, reports(n));
                    let latency = 20_000 + 1_000 * n as Micros;
                    let result = AttemptResult { id, attempt: 0, server, outcome, latency, is_final, load, settled_units: None };
                    all.extend(harness.handle(Event::AttemptEnded(result)));
                }
                all.extend(actions.into_iter().chain(more).chain(harness.advance(5_000)));
            }
            all
        };
        proptest::prop_assert_eq!(run(&|n| loads[n].clone()), run(&|_| Vec::new()));
    }
}
