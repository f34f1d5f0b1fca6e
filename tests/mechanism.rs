//! The mechanism by hand-worked examples, and a small test for each failure found.

mod common;
use common::*;
use mossrill::decision::*;

/// Takes all servers away, so that requests queue, and the order in which they leave when enough are back.
fn leave_order(bench: &mut Bench, asked: &[(&str, &str)]) -> Vec<String> {
    bench.on(Event::EndpointUpdate {
        scope: UpdateScope::Snapshot,
        endpoints: Vec::new(),
    });
    for (id, customer) in asked {
        assert!(sends(&bench.ask(id, 0, 0, customer)).is_empty());
    }
    let members = (0..12).map(|n| member(&format!("s{n}"), "z0")).collect();
    let acts = bench.on(Event::EndpointUpdate {
        scope: UpdateScope::Snapshot,
        endpoints: members,
    });
    sends(&acts)
        .into_iter()
        .map(|(id, _)| id.0.to_string())
        .collect()
}

#[test]
fn smallest_start_tag_leaves_first() {
    // a1: S = 0, F = 1; a2: S = 1. b is new with φ = 1/2: b1: S = v = 0, F = 2; b2: S = 2.
    let mut bench = Bench::new(settings(), 0);
    let order = leave_order(
        &mut bench,
        &[("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")],
    );
    assert_eq!(order, ["a1", "b1", "a2", "b2"]);
}

#[test]
fn units_elsewhere_shift_the_next_start_tag() {
    let mut bench = Bench::new(settings(), 16);
    let acts = bench.ask("a0", 0, 0, "a");
    // Not read before: what this total holds is no rise.
    let acts = [acts.clone(), bench.count(&acts, 1.0, Outcome::Ok)].concat();
    assert_eq!(sends(&acts).len(), 1);
    bench.now += 1_000_000;
    let mut acts = bench.ask("a1", 0, 0, "a");
    acts.extend(bench.pass(1_100_000));
    assert!(counts(&acts) >= 1);
    // Two own units and six elsewhere.
    bench.count(&acts, 8.0, Outcome::Ok);
    // a2 alone has φ = 1: S = F + 6 = 8. b has φ = 1/2 and S = 1, 3, 5, 7, 9.
    let asked = [
        ("a2", "a"),
        ("b1", "b"),
        ("b2", "b"),
        ("b3", "b"),
        ("b4", "b"),
        ("b5", "b"),
    ];
    assert_eq!(
        leave_order(&mut bench, &asked),
        ["b1", "b2", "b3", "b4", "a2", "b5"]
    );
}

#[test]
fn the_copy_of_the_store_admits_what_one_bucket_does() {
    // Rate 10, burst 20, a part of 10 until the counter answers; after it says that nobody took more, the rest.
    let mut bench = Bench::new(settings(), 4);
    let mut sent = 0;
    let mut total = 0.0;
    for n in 0..60 {
        let acts = bench.ask(&format!("r{n}"), 0, 0, "a");
        let mut all = acts.clone();
        let calls = acts.iter().filter_map(|a| match a {
            Action::AddToCounter { amount: by, .. } => Some(*by),
            _ => None,
        });
        total += calls.sum::<f64>();
        all.extend(bench.count(&acts, total, Outcome::Ok));
        for (id, server) in sends(&all) {
            sent += 1;
            bench.end(&id.0, 0, &server, Outcome::Ok);
        }
    }
    assert!((18..=21).contains(&sent), "burst of 20, {sent} sent");
}

#[test]
fn units_elsewhere_leave_the_store() {
    let mut bench = Bench::new(settings(), 4);
    let acts = bench.ask("r0", 0, 0, "a");
    assert_eq!(counts(&acts), 1, "a new customer asks the counter at once");
    // Others have used the whole burst and what the window has filled since it began.
    bench.count(&acts, 1e4, Outcome::Ok);
    assert!(sends(&bench.ask("r1", 0, 0, "a")).is_empty());
}

#[test]
fn a_silent_counter_leaves_a_fair_part_of_the_quota() {
    let mut bench = Bench::new(settings(), 4);
    let mut sent = 0;
    let mut calls = 0;
    for n in 0..400 {
        let mut all = bench.ask(&format!("r{n}"), 0, 0, "a");
        all.extend(bench.pass(25_000));
        calls += counts(&all);
        let more = bench.count(&all.clone(), 0.0, Outcome::Timeout);
        all.extend(more);
        for (id, server) in sends(&all) {
            sent += 1;
            bench.end(&id.0, 0, &server, Outcome::Ok);
        }
    }
    // 10 s at half of rate 10 and half of burst 20 make 60 units; the whole quota would be 120.
    assert!(
        (50..=70).contains(&sent),
        "{sent} sent in 10 s without the counter"
    );
    assert!(calls <= 25, "{calls} calls to a silent counter in 10 s");
}

#[test]
fn without_the_counter_a_cap_on_open_attempts_holds_per_gateway() {
    let mut bench = Bench::new(
        Settings {
            counter: false,
            ..settings()
        },
        6,
    );
    let mut out = 0;
    for n in 0..6 {
        out += sends(&bench.ask(&format!("r{n}"), 0, 1, "a")).len();
    }
    assert_eq!(out, 2, "a cap of 4 over 2 gateways leaves 2 here");
}

/// Two gateways of one customer under a cap of 4, before one counter that answers each call at once.
struct Pair {
    gateways: [Bench; 2],
    totals: std::collections::BTreeMap<u64, f64>,
}

impl Pair {
    fn new() -> Self {
        Self {
            gateways: [(); 2].map(|()| Bench::new(settings(), 6)),
            totals: Default::default(),
        }
    }

    /// Answers what these actions call, and what follows; all sends of that.
    fn serve(&mut self, at: usize, mut acts: Vec<Action>) -> Vec<(RequestId, ServerId)> {
        let mut sent = Vec::new();
        while !acts.is_empty() {
            sent.extend(sends(&acts));
            let calls = std::mem::take(&mut acts);
            for call in calls {
                if let Action::AddToCounter {
                    key: name,
                    amount: by,
                    ..
                } = call
                {
                    let total = self.totals.entry(name).or_default();
                    *total += by;
                    let counted = Event::CounterReply {
                        key: name,
                        total: *total,
                        outcome: Outcome::Ok,
                    };
                    acts.extend(self.gateways[at].on(counted));
                }
            }
        }
        sent
    }

    fn ask(&mut self, at: usize, id: &str) -> Vec<(RequestId, ServerId)> {
        let acts = self.gateways[at].ask(id, 0, 1, "a");
        self.serve(at, acts)
    }

    fn end(
        &mut self,
        at: usize,
        (id, server): &(RequestId, ServerId),
    ) -> Vec<(RequestId, ServerId)> {
        let acts = self.gateways[at].end(&id.0, 0, server, Outcome::Ok);
        self.serve(at, acts)
    }

    /// Lets time pass at both; all sends at the first.
    fn pass(&mut self, span: Micros) -> Vec<(RequestId, ServerId)> {
        let mut first = Vec::new();
        for _ in 0..span / 5_000 {
            for at in 0..2 {
                let acts = self.gateways[at].pass(5_000);
                let sent = self.serve(at, acts);
                first.extend(if at == 0 { sent } else { Vec::new() });
            }
        }
        first
    }
}

#[test]
fn a_cap_on_open_attempts_is_one_for_all_gateways() {
    // Traffic that is nearly all at one gateway has the whole cap there, not a half of it.
    let mut pair = Pair::new();
    let held: Vec<_> = ["a1", "a2", "a3"]
        .iter()
        .flat_map(|id| pair.ask(0, id))
        .collect();
    assert_eq!(held.len(), 3, "three of four places at the busy gateway");
    assert_eq!(pair.ask(1, "b1").len(), 1, "and the fourth at the other");
    // None is left, at either; what was claimed beyond goes back at once.
    assert!(pair.ask(1, "b2").is_empty() && pair.ask(0, "a4").is_empty());
    assert_eq!(pair.totals.values().copied().collect::<Vec<_>>(), [4.0]);
    // A place that is free again goes to whoever waits, within a mean response.
    let more = pair.end(0, &held[0]);
    let sent = if more.is_empty() {
        pair.pass(150_000)
    } else {
        more
    };
    assert_eq!(sent.len(), 1, "the place of a1 is used again");
    assert_eq!(pair.totals.values().copied().collect::<Vec<_>>(), [4.0]);
}

#[test]
fn places_of_a_gateway_that_died_are_free_again_with_the_next_window() {
    let mut pair = Pair::new();
    for id in ["a1", "a2"] {
        assert_eq!(pair.ask(0, id).len(), 1);
    }
    let held: Vec<_> = ["b1", "b2"].iter().flat_map(|id| pair.ask(1, id)).collect();
    assert_eq!(held.len(), 2);
    // The first comes back and knows nothing of its two.
    pair.gateways[0] = Bench::new(settings(), 6);
    assert!(
        pair.ask(0, "a3").is_empty(),
        "all four places are taken in this window"
    );
    pair.pass(5_000_000);
    // What the other holds is told anew, once; what the dead one held is not.
    let served = pair.end(1, &held[0]);
    assert!(served.is_empty());
    let sent: Vec<_> = ["a4", "a5", "a6"]
        .iter()
        .flat_map(|id| pair.ask(0, id))
        .collect();
    assert_eq!(
        sent.len(),
        3,
        "three places are free, one is held elsewhere"
    );
    assert!(pair.ask(0, "a7").is_empty(), "and no more than these");
}

#[test]
fn a_plan_without_any_quota_never_calls_the_counter() {
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

#[test]
fn a_counter_that_goes_silent_leaves_each_gateway_its_part_of_a_cap() {
    let mut bench = Bench::new(settings(), 6);
    let mut out = 0;
    for n in 0..12 {
        let mut acts = bench.ask(&format!("r{n}"), 0, 1, "a");
        while counts(&acts) > 0 {
            out += sends(&acts).len();
            acts = bench.count(&acts, 0.0, Outcome::Timeout);
        }
        out += sends(&acts).len() + sends(&bench.pass(5_000)).len();
    }
    assert_eq!(out, 2, "a half of four places");
}

#[test]
fn a_ceiling_holds_by_one_gateway_alone() {
    // 4 units a second over 2 gateways, opening empty: never more than 2 a second here, after a restart too.
    let mut bench = Bench::new(settings(), 4);
    let mut sent = 0;
    for n in 0..200 {
        let mut acts = bench.ask(&format!("r{n}"), 0, 2, "a");
        acts.extend(bench.pass(20_000));
        for (id, server) in sends(&acts) {
            sent += 1;
            bench.end(&id.0, 0, &server, Outcome::Ok);
        }
    }
    assert!((3..=8).contains(&sent), "{sent} units in 4 s");
}

#[test]
fn a_greedy_backlog_is_cut_at_once_not_held_to_the_brink() {
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
fn a_later_try_past_its_aim_is_refused_at_once() {
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
fn a_tiny_budget_is_answered_at_once() {
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
fn late_answers_of_all_servers_shrink_depth_and_good_ones_regrow_it() {
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
fn one_silent_server_loses_its_load_and_not_the_others() {
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
fn senseless_settings_and_requests_do_no_harm() {
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
fn without_a_server_requests_are_held_then_refused() {
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
fn with_every_server_taken_out_requests_are_refused_at_once() {
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
fn a_sent_request_is_not_held_to_wait_still() {
    // A sent request that stayed among its customer's waiting ones was queued, sent and claimed once more.
    let mut bench = Bench::new(
        Settings {
            limiters: 200,
            ..settings()
        },
        600,
    );
    let ask = |bench: &mut Bench, id: &str| {
        let (customer, spread) = ("a".into(), 200);
        let (id, budget) = (id.into(), 2_000_000);
        bench.on(Event::Request(Request {
            id,
            class: 0,
            plan: 0,
            account: customer,
            timeout: budget,
            units: 1.0,
            limiter_count: spread,
            first_limiter: 0,
        }))
    };
    let claims = |acts: &[Action]| -> Vec<f64> {
        acts.iter()
            .filter_map(|a| {
                if let Action::AddToCounter { amount: by, .. } = a {
                    Some(*by)
                } else {
                    None
                }
            })
            .collect()
    };
    let first = ask(&mut bench, "r0");
    assert_eq!(claims(&first), [1.0]);
    // The count holds what makes the store just full, so that nothing is to be put right.
    let total = 10.0 * (bench.now % 20_000_000) as f64 / 1e6 + 1.0;
    assert_eq!(sends(&bench.count(&first, total, Outcome::Ok)).len(), 1);
    assert_eq!(claims(&ask(&mut bench, "r1")), [1.0]);
}

/// How many of the second hundred requests ask a counter that answers each call after so long.
fn asked(delay: Micros) -> usize {
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
fn a_slow_counter_is_asked_less() {
    // Answers that take most of the time-out show a standing queue: what is asked must be worth more then.
    let (quick, slow) = (asked(1_000), asked(40_000));
    assert!(
        quick > 90 && slow < quick / 2,
        "asked {quick} times when quick, {slow} when slow"
    );
}

#[test]
fn a_class_that_fails_alone_is_kept_off_its_server_and_the_others_are_not() {
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
fn a_gateway_that_knows_only_cold_servers_begins_to_send() {
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
fn an_attempt_without_an_answer_counts_against_its_server_at_the_aim() {
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

/// Ids of the requests that got a final answer in these actions.
fn ended(actions: &[Action]) -> Vec<String> {
    let pick = |a: &Action| match a {
        Action::Reject { id, .. } | Action::Fail { id } => Some(id.0.to_string()),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

#[test]
fn what_is_given_up_gets_its_final_answer_in_the_actions_of_that_event() {
    // An answer held back to near the deadline keeps the client from asking again while nothing is done for it.
    // Too little time, an unknown class: the event is the request.
    let ask = |bench: &mut Bench, id: &str, class, plan, budget, spread| {
        let (id, customer) = (id.into(), "a".into());
        bench.on(Event::Request(Request {
            id,
            class,
            plan,
            account: customer,
            timeout: budget,
            units: 1.0,
            limiter_count: spread,
            first_limiter: 0,
        }))
    };
    let mut bench = Bench::new(settings(), 4);
    assert_eq!(ended(&ask(&mut bench, "short", 0, 0, 1_000, 2)), ["short"]);
    assert_eq!(
        ended(&ask(&mut bench, "unknown", 99, 0, 2_000_000, 2)),
        ["unknown"]
    );
    // A later try whose first is past its aim: it has 400 ms of the usual two seconds.
    for n in 0..8 {
        let acts = ask(&mut bench, &format!("usual{n}"), 2, 1, 2_000_000, 2);
        for (id, server) in sends(&acts) {
            bench.end(&id.0, 0, &server, Outcome::Ok);
        }
    }
    assert_eq!(ended(&ask(&mut bench, "late", 2, 1, 400_000, 2)), ["late"]);
    // A backlog beyond what the quota reaches: of four over the cap of two a gateway, all but what may still go.
    let acts: Vec<_> = (0..40)
        .flat_map(|n| ask(&mut bench, &format!("b{n}"), 2, 1, 2_000_000, 2))
        .collect();
    let (sent, turned) = (sends(&acts).len(), ended(&acts).len());
    assert!(
        sent + turned >= 40 - 12 && turned > 0,
        "{sent} sent, {turned} turned of 40"
    );
    // A claim that the counter refuses: the event is the total.
    let mut bench = Bench::new(
        Settings {
            limiters: 200,
            ..settings()
        },
        600,
    );
    let acts = ask(&mut bench, "claim", 0, 0, 2_000_000, 200);
    assert_eq!((counts(&acts), ended(&acts).len()), (1, 0));
    assert_eq!(ended(&bench.count(&acts, 1e6, Outcome::Ok)), ["claim"]);
    // An attempt that ends with no further one allowed: the event is the outcome.
    let mut bench = Bench::new(
        Settings {
            counter: false,
            ..settings()
        },
        1,
    );
    let (_, server) = sends(&ask(&mut bench, "failed", 2, 0, 2_000_000, 2))[0].clone();
    assert_eq!(
        ended(&bench.end("failed", 0, &server, Outcome::Reset)),
        ["failed"]
    );
    // No server: waits for one while it could still be in time for its aim of 500 ms, and no longer.
    let mut bench = Bench::new(
        Settings {
            counter: false,
            ..settings()
        },
        0,
    );
    assert!(ended(&ask(&mut bench, "waits", 2, 0, 2_000_000, 2)).is_empty());
    assert_eq!(ended(&bench.pass(500_000)), ["waits"]);
    // D full: what waits beyond it is shed at the next look, long before its aim.
    let mut bench = Bench::new(
        Settings {
            limiters: 300,
            counter: false,
            ..settings()
        },
        60,
    );
    for n in 0..10 {
        let acts = bench.ask(&format!("s{n}"), 2, 0, &format!("c{n}"));
        assert!(ended(&acts).is_empty());
    }
    assert_eq!(ended(&bench.pass(20_000)).len(), 8);
}

#[test]
fn a_refused_client_is_told_to_come_back_while_its_aim_can_be_met() {
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
fn a_new_customer_whose_part_is_under_one_request_asks_the_counter_at_once() {
    // Nothing was sent yet, so nothing was to be told: the request waited for its own part to fill, and was refused
    // with the whole quota unused.
    let mut settings = settings();
    settings.limiters = 4;
    let mut bench = Bench::new(settings, 4);
    let (id, customer) = ("big".into(), "once".into());
    let request = Request {
        id,
        class: 0,
        plan: 0,
        account: customer,
        timeout: 2_000_000,
        units: 6.0,
        limiter_count: 4,
        first_limiter: 0,
    };
    let asked = bench.on(Event::Request(request));
    assert_eq!((sends(&asked).len(), counts(&asked)), (0, 1));
    assert_eq!(sends(&bench.count(&asked, 0.0, Outcome::Ok)).len(), 1);
}

/// Amounts of the calls in these actions.
fn amounts(actions: &[Action]) -> Vec<f64> {
    let pick = |a: &Action| match a {
        Action::AddToCounter { amount: by, .. } => Some(*by),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

#[test]
fn the_last_units_of_a_store_go_to_one_gateway() {
    // Each gateway that waited for the same units found them in the total and sent: a twentieth of all units was
    // sent beyond the quotas.
    let mut bench = Bench::new(settings(), 4);
    let first = bench.ask("a", 0, 0, "customer");
    bench.count(&first, 1.0, Outcome::Ok);
    assert_eq!(sends(&bench.ask("b", 0, 0, "customer")).len(), 1);
    let told = bench.pass(2_200_000);
    assert_eq!(amounts(&told), [1.0]);
    // Others took all but 1.5 of the 20 that the store holds by now.
    bench.count(&told, 20.5, Outcome::Ok);
    let claimed = bench.ask("c", 0, 0, "customer");
    assert_eq!((sends(&claimed).len(), amounts(&claimed)), (0, vec![1.0]));
    // Another was quicker: its units stand in the total beside the one claimed here, which goes back.
    let lost = bench.count(&claimed, 23.0, Outcome::Ok);
    assert_eq!((sends(&lost).len(), amounts(&lost)), (0, vec![-1.0]));
    bench.count(&lost, 22.0, Outcome::Ok);
    let claimed = bench.pass(150_000);
    assert_eq!(amounts(&claimed), [1.0]);
    assert_eq!(sends(&bench.count(&claimed, 23.0, Outcome::Ok)).len(), 1);
}

#[test]
fn a_first_total_is_not_made_up_for_by_what_a_full_store_lost() {
    // Much was used in the 19 s of the window, it can't be told when: of 210 units that came, a full store lost some.
    let mut bench = Bench::new(settings(), 4);
    bench.now = 39_000_000;
    let first = bench.ask("a", 0, 0, "customer");
    bench.count(&first, 120.0, Outcome::Ok);
    let mut sent = 0;
    for (id, server) in sends(&first) {
        bench.end(&id.0, 0, &server, Outcome::Ok);
    }
    for n in 0..15 {
        for (id, server) in sends(&bench.ask(&format!("b{n}"), 0, 0, "customer")) {
            bench.end(&id.0, 0, &server, Outcome::Ok);
            sent += 1;
        }
    }
    assert!(sent <= 9, "{sent} sent of a part of ten");
}

#[test]
fn what_was_never_sent_is_refused_before_half_of_its_time_has_gone() {
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
fn a_backlog_is_cut_by_its_units() {
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
fn servers_that_are_gone_are_not_counted_among_those_that_carry_the_load() {
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

#[test]
fn a_crowded_counter_is_still_asked() {
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
fn what_a_crowded_counter_turned_away_is_told_later_and_not_again_at_once() {
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
fn a_claim_without_an_answer_is_decided_by_the_next_total() {
    // It was taken for granted, and sent beyond the quota where another gateway had been quicker.
    let mut bench = Bench::new(settings(), 4);
    let first = bench.ask("a", 0, 0, "customer");
    bench.count(&first, 1.0, Outcome::Ok);
    bench.ask("b", 0, 0, "customer");
    let told = bench.pass(2_200_000);
    bench.count(&told, 20.5, Outcome::Ok);
    let claimed = bench.ask("c", 0, 0, "customer");
    assert_eq!((sends(&claimed).len(), amounts(&claimed)), (0, vec![1.0]));
    assert_eq!(bench.count(&claimed, 0.0, Outcome::Timeout).len(), 0);
    let doubtful = bench.pass(5_000);
    assert_eq!((sends(&doubtful).len(), amounts(&doubtful)), (0, vec![0.0]));
    assert_eq!(sends(&bench.count(&doubtful, 21.5, Outcome::Ok)).len(), 1);
}

#[test]
fn a_deadline_behind_a_silent_counter_is_answered_within_half_of_its_time() {
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

proptest::proptest! {
    /// Reports that stop, lie or come late change no decision.
    #[test]
    fn load_reports_move_nothing(loads in proptest::collection::vec(
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
