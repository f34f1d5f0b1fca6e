//! Final answers leave in the actions of the event that causes them.

use crate::common::{counts, sends, settings, Bench};
use mossrill::decision::{Action, Event, Outcome, Request, Settings};

/// Ids of the requests that got a final answer in these actions.
fn finally_answered(actions: &[Action]) -> Vec<String> {
    let pick = |a: &Action| match a {
        Action::Reject { id, .. } | Action::Fail { id } => Some(id.0.to_string()),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

#[test]
fn abandoned_request_gets_its_final_answer_in_the_actions_of_the_same_event() {
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
    assert_eq!(
        finally_answered(&ask(&mut bench, "short", 0, 0, 1_000, 2)),
        ["short"]
    );
    assert_eq!(
        finally_answered(&ask(&mut bench, "unknown", 99, 0, 2_000_000, 2)),
        ["unknown"]
    );
    // A later try whose first is past its aim: it has 400 ms of the usual two seconds.
    for n in 0..8 {
        let acts = ask(&mut bench, &format!("usual{n}"), 2, 1, 2_000_000, 2);
        for (id, server) in sends(&acts) {
            bench.end(&id.0, 0, &server, Outcome::Ok);
        }
    }
    assert_eq!(
        finally_answered(&ask(&mut bench, "late", 2, 1, 400_000, 2)),
        ["late"]
    );
    // A backlog beyond what the quota reaches: of four over the cap of two a gateway, all but what may still go.
    let acts: Vec<_> = (0..40)
        .flat_map(|n| ask(&mut bench, &format!("b{n}"), 2, 1, 2_000_000, 2))
        .collect();
    let (sent, turned) = (sends(&acts).len(), finally_answered(&acts).len());
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
    assert_eq!((counts(&acts), finally_answered(&acts).len()), (1, 0));
    assert_eq!(
        finally_answered(&bench.count(&acts, 1e6, Outcome::Ok)),
        ["claim"]
    );
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
        finally_answered(&bench.end("failed", 0, &server, Outcome::Reset)),
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
    assert!(finally_answered(&ask(&mut bench, "waits", 2, 0, 2_000_000, 2)).is_empty());
    assert_eq!(finally_answered(&bench.pass(500_000)), ["waits"]);
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
        assert!(finally_answered(&acts).is_empty());
    }
    assert_eq!(finally_answered(&bench.pass(20_000)).len(), 8);
}
