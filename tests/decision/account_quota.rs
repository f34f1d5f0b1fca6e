//! Token buckets of accounts and the totals of the counter that correct them.

use crate::common::{counter_call_count, sent_attempts, settings, EngineHarness};
use crate::counter_sync::counter_amounts;
use mossrill::decision::{Action, Event, Outcome, Request, Settings};

#[test]
fn local_bucket_admits_as_much_as_the_shared_bucket() {
    // A rate of 10 and a burst of 20 over two limiters: the local share is 10 until the counter
    // answers. Its total shows no use by other limiters, so that the rest may be used too.
    let mut harness = EngineHarness::new(settings(), 4);
    let mut sent = 0;
    let mut total = 0.0;
    for n in 0..60 {
        let actions = harness.request(&format!("r{n}"), 0, 0, "a");
        let mut all = actions.clone();
        let calls = actions.iter().filter_map(|a| match a {
            Action::AddToCounter { amount, .. } => Some(*amount),
            _ => None,
        });
        total += calls.sum::<f64>();
        all.extend(harness.answer_counter_calls(&actions, total, Outcome::Ok));
        for (id, server) in sent_attempts(&all) {
            sent += 1;
            harness.end_attempt(&id.0, 0, &server, Outcome::Ok);
        }
    }
    assert!(
        (18..=21).contains(&sent),
        "expected 18 to 21 requests sent from a burst of 20, got {sent}"
    );
}

#[test]
fn units_used_by_other_limiters_are_taken_from_the_bucket() {
    let mut harness = EngineHarness::new(settings(), 4);
    let actions = harness.request("r0", 0, 0, "a");
    assert_eq!(
        counter_call_count(&actions),
        1,
        "a new account calls the counter at once"
    );
    // Other limiters have used the whole burst and all units refilled since the window began.
    harness.answer_counter_calls(&actions, 1e4, Outcome::Ok);
    assert!(sent_attempts(&harness.request("r1", 0, 0, "a")).is_empty());
}

#[test]
fn unreachable_counter_leaves_the_quota_share() {
    let mut harness = EngineHarness::new(settings(), 4);
    let mut sent = 0;
    let mut calls = 0;
    for n in 0..400 {
        let mut all = harness.request(&format!("r{n}"), 0, 0, "a");
        all.extend(harness.advance(25_000));
        calls += counter_call_count(&all);
        let more = harness.answer_counter_calls(&all.clone(), 0.0, Outcome::Timeout);
        all.extend(more);
        for (id, server) in sent_attempts(&all) {
            sent += 1;
            harness.end_attempt(&id.0, 0, &server, Outcome::Ok);
        }
    }
    // In 10 s half of the rate of 10 and half of the burst of 20 give 60 units; the whole quota
    // would give 120.
    assert!(
        (50..=70).contains(&sent),
        "expected 50 to 70 requests sent in 10 s without the counter, got {sent}"
    );
    assert!(
        calls <= 25,
        "expected at most 25 calls to an unresponsive counter in 10 s, got {calls}"
    );
}

#[test]
fn ceiling_is_enforced_by_each_limiter_on_its_share() {
    // A ceiling of 4 units per second over 2 limiters allows at most 2 per second here. As the
    // bucket starts empty, this also holds after a restart.
    let mut harness = EngineHarness::new(settings(), 4);
    let mut sent = 0;
    for n in 0..200 {
        let mut actions = harness.request(&format!("r{n}"), 0, 2, "a");
        actions.extend(harness.advance(20_000));
        for (id, server) in sent_attempts(&actions) {
            sent += 1;
            harness.end_attempt(&id.0, 0, &server, Outcome::Ok);
        }
    }
    assert!(
        (3..=8).contains(&sent),
        "expected 3 to 8 units sent in 4 s, got {sent}"
    );
}

#[test]
fn sent_request_is_removed_from_the_waiting_requests_of_its_account() {
    // A sent request that stayed among its account's waiting requests was queued, sent and claimed
    // again.
    let mut harness = EngineHarness::new(
        Settings {
            limiters: 200,
            ..settings()
        },
        600,
    );
    let request = |harness: &mut EngineHarness, id: &str| {
        let (account, limiter_count) = ("a".into(), 200);
        let (id, timeout) = (id.into(), 2_000_000);
        harness.handle(Event::Request(Request {
            id,
            class: 0,
            plan: 0,
            account,
            timeout,
            units: 1.0,
            limiter_count,
            first_limiter: 0,
        }))
    };
    let claims = |actions: &[Action]| -> Vec<f64> {
        actions
            .iter()
            .filter_map(|a| {
                if let Action::AddToCounter { amount, .. } = a {
                    Some(*amount)
                } else {
                    None
                }
            })
            .collect()
    };
    let first = request(&mut harness, "r0");
    assert_eq!(claims(&first), [1.0]);
    // With this total the bucket is exactly full before the claim, so that no correction is
    // reported.
    let total = 10.0 * (harness.now % 20_000_000) as f64 / 1e6 + 1.0;
    assert_eq!(
        sent_attempts(&harness.answer_counter_calls(&first, total, Outcome::Ok)).len(),
        1
    );
    assert_eq!(claims(&request(&mut harness, "r1")), [1.0]);
}

#[test]
fn new_account_with_a_quota_share_below_one_request_calls_the_counter_at_once() {
    // A new account had nothing to report and made no call: the request waited for the local share
    // to refill, and was rejected although the whole quota was unused.
    let mut settings = settings();
    settings.limiters = 4;
    let mut harness = EngineHarness::new(settings, 4);
    let (id, account) = ("big".into(), "once".into());
    let request = Request {
        id,
        class: 0,
        plan: 0,
        account,
        timeout: 2_000_000,
        units: 6.0,
        limiter_count: 4,
        first_limiter: 0,
    };
    let actions = harness.handle(Event::Request(request));
    assert_eq!(
        (sent_attempts(&actions).len(), counter_call_count(&actions)),
        (0, 1)
    );
    assert_eq!(
        sent_attempts(&harness.answer_counter_calls(&actions, 0.0, Outcome::Ok)).len(),
        1
    );
}

#[test]
fn last_units_of_a_bucket_go_to_one_limiter() {
    // Limiters that waited for the same units all found them in the total and sent their requests:
    // a twentieth of all units was sent beyond the quotas.
    let mut harness = EngineHarness::new(settings(), 4);
    let first = harness.request("a", 0, 0, "account");
    harness.answer_counter_calls(&first, 1.0, Outcome::Ok);
    assert_eq!(
        sent_attempts(&harness.request("b", 0, 0, "account")).len(),
        1
    );
    let reported = harness.advance(2_200_000);
    assert_eq!(counter_amounts(&reported), [1.0]);
    // Other limiters have used all but 1.5 of the 20 units that the bucket holds by now.
    harness.answer_counter_calls(&reported, 20.5, Outcome::Ok);
    let claimed = harness.request("c", 0, 0, "account");
    assert_eq!(
        (sent_attempts(&claimed).len(), counter_amounts(&claimed)),
        (0, vec![1.0])
    );
    // Another limiter was faster: its units are in the total beside the unit claimed here, which is
    // given back.
    let not_granted = harness.answer_counter_calls(&claimed, 23.0, Outcome::Ok);
    assert_eq!(
        (
            sent_attempts(&not_granted).len(),
            counter_amounts(&not_granted)
        ),
        (0, vec![-1.0])
    );
    harness.answer_counter_calls(&not_granted, 22.0, Outcome::Ok);
    let claimed = harness.advance(150_000);
    assert_eq!(counter_amounts(&claimed), [1.0]);
    assert_eq!(
        sent_attempts(&harness.answer_counter_calls(&claimed, 23.0, Outcome::Ok)).len(),
        1
    );
}

#[test]
fn first_total_is_not_offset_by_the_overflow_of_a_full_bucket() {
    // Many units were used in the 19 s of the window, but the total does not show when: of the 210
    // units available, an unknown number overflowed from a full bucket.
    let mut harness = EngineHarness::new(settings(), 4);
    harness.now = 39_000_000;
    let first = harness.request("a", 0, 0, "account");
    harness.answer_counter_calls(&first, 120.0, Outcome::Ok);
    let mut sent = 0;
    for (id, server) in sent_attempts(&first) {
        harness.end_attempt(&id.0, 0, &server, Outcome::Ok);
    }
    for n in 0..15 {
        for (id, server) in sent_attempts(&harness.request(&format!("b{n}"), 0, 0, "account")) {
            harness.end_attempt(&id.0, 0, &server, Outcome::Ok);
            sent += 1;
        }
    }
    assert!(
        sent <= 9,
        "expected at most 9 further requests from a share of ten, got {sent}"
    );
}
