//! Token buckets of accounts, kept together with the totals of the counter.

use crate::common::{counts, sends, settings, Bench};
use crate::counter_sync::counter_amounts;
use mossrill::decision::{Action, Event, Outcome, Request, Settings};

#[test]
fn local_bucket_admits_as_much_as_the_shared_bucket() {
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
fn units_used_by_other_limiters_are_taken_from_the_bucket() {
    let mut bench = Bench::new(settings(), 4);
    let acts = bench.ask("r0", 0, 0, "a");
    assert_eq!(counts(&acts), 1, "a new customer asks the counter at once");
    // Others have used the whole burst and what the window has filled since it began.
    bench.count(&acts, 1e4, Outcome::Ok);
    assert!(sends(&bench.ask("r1", 0, 0, "a")).is_empty());
}

#[test]
fn unreachable_counter_leaves_the_quota_share() {
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
fn ceiling_is_kept_by_each_limiter_alone() {
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
fn forwarded_request_is_not_queued_any_more() {
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

#[test]
fn new_account_with_a_quota_share_below_one_request_calls_the_counter_at_once() {
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

#[test]
fn last_units_of_a_bucket_go_to_one_limiter() {
    // Each gateway that waited for the same units found them in the total and sent: a twentieth of all units was
    // sent beyond the quotas.
    let mut bench = Bench::new(settings(), 4);
    let first = bench.ask("a", 0, 0, "customer");
    bench.count(&first, 1.0, Outcome::Ok);
    assert_eq!(sends(&bench.ask("b", 0, 0, "customer")).len(), 1);
    let told = bench.pass(2_200_000);
    assert_eq!(counter_amounts(&told), [1.0]);
    // Others took all but 1.5 of the 20 that the store holds by now.
    bench.count(&told, 20.5, Outcome::Ok);
    let claimed = bench.ask("c", 0, 0, "customer");
    assert_eq!(
        (sends(&claimed).len(), counter_amounts(&claimed)),
        (0, vec![1.0])
    );
    // Another was quicker: its units stand in the total beside the one claimed here, which goes back.
    let lost = bench.count(&claimed, 23.0, Outcome::Ok);
    assert_eq!(
        (sends(&lost).len(), counter_amounts(&lost)),
        (0, vec![-1.0])
    );
    bench.count(&lost, 22.0, Outcome::Ok);
    let claimed = bench.pass(150_000);
    assert_eq!(counter_amounts(&claimed), [1.0]);
    assert_eq!(sends(&bench.count(&claimed, 23.0, Outcome::Ok)).len(), 1);
}

#[test]
fn first_total_is_not_offset_by_the_overflow_of_a_full_bucket() {
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
