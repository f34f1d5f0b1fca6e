//! Choice of the upstream server, slow start, health and the concurrency limit D.

use crate::common::{member, sends, settings, Bench};
use mossrill::decision::{
    Action, AttemptResult, Endpoint, Event, LoadField, Micros, Outcome, Readiness, Settings,
    UpdateScope,
};

#[test]
fn late_answers_of_all_servers_lower_the_concurrency_limit_and_good_ones_raise_it() {
    let mut bench = Bench::new(settings(), 4);
    let flood = |bench: &mut Bench, rounds: usize, took: Micros, tag: &str| -> usize {
        let mut most = 0;
        for round in 0..rounds {
            let asks = (0..60).map(|n| format!("{tag}{round}-{n}"));
            let mut out: Vec<_> = asks
                .flat_map(|id| sends(&bench.ask(&id, 0, 0, &id)))
                .collect();
            most = out.len();
            bench.now += took;
            while let Some((id, server)) = out.pop() {
                let (attempt, outcome, load) = (0, Outcome::Ok, Vec::new());
                let ended = AttemptResult {
                    id,
                    attempt,
                    server,
                    outcome,
                    latency: took,
                    is_final: true,
                    load,
                    settled_units: None,
                };
                out.extend(sends(&bench.on(Event::AttemptEnded(ended))));
            }
            bench.pass(600_000);
        }
        most
    };
    let few = flood(&mut bench, 6, 450_000, "jam");
    let many = flood(&mut bench, 25, 20_000, "good");
    assert!(
        few < 30 && many > 2 * few,
        "{few} sent in the jam, {many} after it"
    );
    // Of answers that take 0.3 of the aim in the mean, one in thirty comes after it: that is a jam already.
    let slow = flood(&mut bench, 25, 150_000, "slow");
    assert!(
        slow < many / 2,
        "{slow} sent at 0.3 of the aim, {many} before"
    );
}

#[test]
fn only_the_silent_server_loses_its_load() {
    let mut bench = Bench::new(settings(), 4);
    let mut to_bad = 0;
    for n in 0..400 {
        bench.now += 5_000;
        for (id, server) in sends(&bench.ask(&format!("r{n}"), 2, 0, &format!("c{n}"))) {
            let bad = &*server.0 == "s0";
            to_bad += usize::from(bad && n >= 200);
            bench.end(
                &id.0,
                0,
                &server,
                if bad { Outcome::Error } else { Outcome::Ok },
            );
        }
    }
    assert!(
        to_bad < 15,
        "{to_bad} of 200 went to a server that fails all"
    );
}

#[test]
fn server_that_fails_one_class_is_avoided_for_that_class_only() {
    // One of four servers answers class 0 with errors and class 3 well: judged as a whole it looked half good.
    let mut bench = Bench::new(settings(), 4);
    let mut to_bad = [0, 0];
    for n in 0..200 {
        for (at, class) in [0, 3].into_iter().enumerate() {
            let id = format!("r{n}-{class}");
            for (_, server) in sends(&bench.ask(&id, class, 0, &format!("c{n}-{class}"))) {
                let bad = *server.0 == *"s1" && class == 0;
                to_bad[at] += u32::from(*server.0 == *"s1" && n >= 100);
                let outcome = if bad { Outcome::Error } else { Outcome::Ok };
                let (attempt, took, load) = (0, 125_000, Vec::new());
                let (id, last) = (id.as_str().into(), !bad);
                bench.on(Event::AttemptEnded(AttemptResult {
                    id,
                    attempt,
                    server,
                    outcome,
                    latency: took,
                    is_final: last,
                    load,
                    settled_units: None,
                }));
            }
        }
        bench.pass(20_000);
    }
    assert!(
        to_bad[0] <= 8 && to_bad[1] >= 12,
        "{to_bad:?} of 100 each sent to the server that fails one class"
    );
}

#[test]
fn limiter_with_only_cold_servers_begins_to_send() {
    // Without a send there was no rate, and without a rate no cold server ever got a part of one.
    let mut bench = Bench::new(settings(), 0);
    let cold = |n: usize| Endpoint {
        started_at: 1_000_000,
        ..member(&format!("s{n}"), "z0")
    };
    bench.on(Event::EndpointUpdate {
        scope: UpdateScope::Snapshot,
        endpoints: (0..4).map(cold).collect(),
    });
    let mut sent = 0;
    for n in 0..50 {
        sent += sends(&bench.ask(&format!("r{n}"), 0, 0, &format!("c{n}"))).len();
        sent += sends(&bench.pass(100_000)).len();
    }
    assert!(sent > 0, "nothing sent in 5 s");
}

#[test]
fn unanswered_attempt_counts_against_its_server_at_the_latency_objective() {
    // Where late answers earn something attempts run to the deadline: a server that left a class unanswered
    // was learned of after two seconds and took its share of sends all that time.
    let mut settings = settings();
    settings.classes[0].late_weight = 0.2;
    let mut bench = Bench::new(
        Settings {
            limiters: 1,
            counter: false,
            ..settings
        },
        8,
    );
    let drained = |n| Endpoint {
        readiness: Readiness::Draining,
        ..member(&format!("s{n}"), "z0")
    };
    bench.on(Event::EndpointUpdate {
        scope: UpdateScope::Delta,
        endpoints: (2..8).map(drained).collect(),
    });
    let (_, silent) = sends(&bench.ask("r0", 0, 0, "a"))[0].clone();
    // Past the aim of 500 ms, long before the deadline of two seconds.
    bench.pass(600_000);
    for n in 1..5 {
        let sent = sends(&bench.ask(&format!("r{n}"), 0, 0, &format!("c{n}")));
        assert!(
            sent.len() == 1 && sent[0].1 != silent,
            "request {n} sent to {sent:?}"
        );
    }
}

#[test]
fn removed_servers_are_not_counted_as_carrying_load() {
    // With every one that had gone before, D kept to one attempt a server that was no more.
    let mut bench = Bench::new(
        Settings {
            limiters: 1,
            counter: false,
            ..settings()
        },
        2,
    );
    for n in 0..40 {
        let fresh = Endpoint {
            started_at: bench.now,
            ..member(&format!("n{n}"), "z0")
        };
        let gone = Endpoint {
            readiness: Readiness::Removed,
            ..member(&format!("n{}", n - 1), "z0")
        };
        bench.on(Event::EndpointUpdate {
            scope: UpdateScope::Delta,
            endpoints: vec![fresh, gone],
        });
        bench.pass(1_000_000);
    }
    let plan = 2;
    for n in 0..60 {
        for (id, server) in sends(&bench.ask(&format!("r{n}"), 0, plan, "customer")) {
            bench.end(&id.0, 0, &server, Outcome::Rejected);
        }
        bench.pass(500_000);
    }
    let out = (0..20)
        .map(|n| sends(&bench.ask(&format!("o{n}"), 0, 0, "a")).len())
        .sum::<usize>();
    assert!((1..=6).contains(&out), "{out} out at once to three servers");
}

proptest::proptest! {
    /// Reports that stop, lie or come late change no decision.
    #[test]
    fn load_reports_change_no_decision(loads in proptest::collection::vec(
        proptest::collection::vec(proptest::num::f64::ANY, 0..4), 60)) {
        let settings = Settings { load_fields: vec![LoadField::Other, LoadField::InFlight], ..settings() };
        let play = |reports: &dyn Fn(usize) -> Vec<f64>| -> Vec<Action> {
            let (mut bench, mut all) = (Bench::new(settings.clone(), 5), Vec::new());
            for n in 0..60 {
                let acts = bench.ask(&format!("r{n}"), n % 3, 0, &format!("c{}", n % 7));
                let more = bench.count(&acts, 3.0, Outcome::Ok);
                for (id, server) in sends(&[acts.clone(), more.clone()].concat()) {
                    let outcome = if n % 9 == 8 { Outcome::Error } else { Outcome::Ok };
                    let (last, load) = (outcome == Outcome::Ok, reports(n));
                    let took = 20_000 + 1_000 * n as Micros;
                    let ended = AttemptResult { id, attempt: 0, server, outcome, latency: took, is_final: last, load, settled_units: None };
                    all.extend(bench.on(Event::AttemptEnded(ended)));
                }
                all.extend(acts.into_iter().chain(more).chain(bench.pass(5_000)));
            }
            all
        };
        proptest::prop_assert_eq!(play(&|n| loads[n].clone()), play(&|_| Vec::new()));
    }
}
