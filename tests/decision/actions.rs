//! Final answers are among the actions of the event that causes them.

use crate::common::{counter_call_count, sent_attempts, settings, EngineHarness};
use mossrill::decision::{Action, Event, Outcome, Request, Settings};

/// Returns the ids of the requests that got a final answer in these actions.
fn ids_with_final_answer(actions: &[Action]) -> Vec<String> {
    let pick = |a: &Action| match a {
        Action::Reject { id, .. } | Action::Fail { id } => Some(id.0.to_string()),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

#[test]
fn unservable_request_gets_its_final_answer_in_the_actions_of_the_same_event() {
    // A final answer that is delayed until near the deadline keeps the client from retrying,
    // although nothing more is done for its request.
    let request = |harness: &mut EngineHarness, id: &str, class, plan, timeout, limiter_count| {
        let (id, account) = (id.into(), "a".into());
        harness.handle(Event::Request(Request {
            id,
            class,
            plan,
            account,
            timeout,
            units: 1.0,
            limiter_count,
            first_limiter: 0,
        }))
    };
    // Caused by the request itself: its timeout is too short, or its class is unknown.
    let mut harness = EngineHarness::new(settings(), 4);
    assert_eq!(
        ids_with_final_answer(&request(&mut harness, "short", 0, 0, 1_000, 2)),
        ["short"]
    );
    assert_eq!(
        ids_with_final_answer(&request(&mut harness, "unknown", 99, 0, 2_000_000, 2)),
        ["unknown"]
    );
    // Caused by a retry after the latency objective: its timeout is 400 ms, the usual one is 2 s.
    for n in 0..8 {
        let actions = request(&mut harness, &format!("usual{n}"), 2, 1, 2_000_000, 2);
        for (id, server) in sent_attempts(&actions) {
            harness.end_attempt(&id.0, 0, &server, Outcome::Ok);
        }
    }
    assert_eq!(
        ids_with_final_answer(&request(&mut harness, "late", 2, 1, 400_000, 2)),
        ["late"]
    );
    // Caused by a backlog beyond the quota. The concurrency limit of four leaves two at each
    // limiter; all requests are rejected but those that can still be sent in time.
    let actions: Vec<_> = (0..40)
        .flat_map(|n| request(&mut harness, &format!("b{n}"), 2, 1, 2_000_000, 2))
        .collect();
    let (sent, rejected) = (
        sent_attempts(&actions).len(),
        ids_with_final_answer(&actions).len(),
    );
    assert!(
        sent + rejected >= 40 - 12 && rejected > 0,
        "expected at least 28 of 40 requests sent or rejected, and some rejected; got {sent} sent, {rejected} rejected"
    );
    // Caused by a total that does not grant the claim.
    let mut harness = EngineHarness::new(
        Settings {
            limiters: 200,
            ..settings()
        },
        600,
    );
    let actions = request(&mut harness, "claim", 0, 0, 2_000_000, 200);
    assert_eq!(
        (
            counter_call_count(&actions),
            ids_with_final_answer(&actions).len()
        ),
        (1, 0)
    );
    assert_eq!(
        ids_with_final_answer(&harness.answer_counter_calls(&actions, 1e6, Outcome::Ok)),
        ["claim"]
    );
    // Caused by the end of an attempt after which no further attempt is allowed.
    let mut harness = EngineHarness::new(
        Settings {
            counter: false,
            ..settings()
        },
        1,
    );
    let (_, server) =
        sent_attempts(&request(&mut harness, "failed", 2, 0, 2_000_000, 2))[0].clone();
    assert_eq!(
        ids_with_final_answer(&harness.end_attempt("failed", 0, &server, Outcome::Reset)),
        ["failed"]
    );
    // Without a server the request waits only as long as it could still meet its latency objective
    // of 500 ms.
    let mut harness = EngineHarness::new(
        Settings {
            counter: false,
            ..settings()
        },
        0,
    );
    assert!(ids_with_final_answer(&request(&mut harness, "waits", 2, 0, 2_000_000, 2)).is_empty());
    assert_eq!(ids_with_final_answer(&harness.advance(500_000)), ["waits"]);
    // With the concurrency limit reached, requests beyond the bound on the queue are rejected at
    // the next tick, long before their latency objective.
    let mut harness = EngineHarness::new(
        Settings {
            limiters: 300,
            counter: false,
            ..settings()
        },
        60,
    );
    for n in 0..10 {
        let actions = harness.request(&format!("s{n}"), 2, 0, &format!("c{n}"));
        assert!(ids_with_final_answer(&actions).is_empty());
    }
    assert_eq!(ids_with_final_answer(&harness.advance(20_000)).len(), 8);
}
