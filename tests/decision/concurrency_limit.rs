//! Limits on the attempts in flight of an account, shared by all limiters.

use crate::common::{counter_call_count, sent_attempts, settings, EngineHarness};
use mossrill::decision::{Action, Event, Micros, Outcome, RequestId, ServerId, Settings};

#[test]
fn without_a_counter_the_concurrency_limit_is_divided_among_limiters() {
    let mut harness = EngineHarness::new(
        Settings {
            counter: false,
            ..settings()
        },
        6,
    );
    let mut sent = 0;
    for n in 0..6 {
        sent += sent_attempts(&harness.request(&format!("r{n}"), 0, 1, "a")).len();
    }
    assert_eq!(
        sent, 2,
        "a concurrency limit of 4 over 2 limiters leaves 2 here"
    );
}

/// Two limiters that share an account with a concurrency limit of 4, and a counter that answers
/// each call immediately.
struct LimiterPair {
    limiters: [EngineHarness; 2],
    totals: std::collections::BTreeMap<u64, f64>,
}

impl LimiterPair {
    fn new() -> Self {
        Self {
            limiters: [(); 2].map(|()| EngineHarness::new(settings(), 6)),
            totals: Default::default(),
        }
    }

    /// Answers the counter calls in these actions and in those that follow from the answers.
    /// Returns all attempts sent.
    fn answer_calls(
        &mut self,
        limiter: usize,
        mut actions: Vec<Action>,
    ) -> Vec<(RequestId, ServerId)> {
        let mut sent = Vec::new();
        while !actions.is_empty() {
            sent.extend(sent_attempts(&actions));
            let calls = std::mem::take(&mut actions);
            for call in calls {
                if let Action::AddToCounter { key, amount, .. } = call {
                    let total = self.totals.entry(key).or_default();
                    *total += amount;
                    let reply = Event::CounterReply {
                        key,
                        total: *total,
                        outcome: Outcome::Ok,
                    };
                    actions.extend(self.limiters[limiter].handle(reply));
                }
            }
        }
        sent
    }

    fn request(&mut self, limiter: usize, id: &str) -> Vec<(RequestId, ServerId)> {
        let actions = self.limiters[limiter].request(id, 0, 1, "a");
        self.answer_calls(limiter, actions)
    }

    fn end_attempt(
        &mut self,
        limiter: usize,
        (id, server): &(RequestId, ServerId),
    ) -> Vec<(RequestId, ServerId)> {
        let actions = self.limiters[limiter].end_attempt(&id.0, 0, server, Outcome::Ok);
        self.answer_calls(limiter, actions)
    }

    /// Advances both limiters by `span` and returns all attempts that the first sent.
    fn advance(&mut self, span: Micros) -> Vec<(RequestId, ServerId)> {
        let mut first = Vec::new();
        for _ in 0..span / 5_000 {
            for limiter in 0..2 {
                let actions = self.limiters[limiter].advance(5_000);
                let sent = self.answer_calls(limiter, actions);
                first.extend(if limiter == 0 { sent } else { Vec::new() });
            }
        }
        first
    }
}

#[test]
fn concurrency_limit_is_shared_by_all_limiters() {
    // An account with nearly all of its traffic at one limiter may use the whole concurrency limit
    // there, not only half of it.
    let mut pair = LimiterPair::new();
    let held: Vec<_> = ["a1", "a2", "a3"]
        .iter()
        .flat_map(|id| pair.request(0, id))
        .collect();
    assert_eq!(held.len(), 3, "three of four slots at the busy limiter");
    assert_eq!(
        pair.request(1, "b1").len(),
        1,
        "the fourth slot at the other limiter"
    );
    // No slot is left at either limiter, and claims beyond the limit are given back at once.
    assert!(pair.request(1, "b2").is_empty() && pair.request(0, "a4").is_empty());
    assert_eq!(pair.totals.values().copied().collect::<Vec<_>>(), [4.0]);
    // A freed slot goes to a waiting request within a mean latency.
    let more = pair.end_attempt(0, &held[0]);
    let sent = if more.is_empty() {
        pair.advance(150_000)
    } else {
        more
    };
    assert_eq!(sent.len(), 1, "the slot of a1 is used again");
    assert_eq!(pair.totals.values().copied().collect::<Vec<_>>(), [4.0]);
}

#[test]
fn concurrency_slots_of_a_dead_limiter_are_free_in_the_next_window() {
    let mut pair = LimiterPair::new();
    for id in ["a1", "a2"] {
        assert_eq!(pair.request(0, id).len(), 1);
    }
    let held: Vec<_> = ["b1", "b2"]
        .iter()
        .flat_map(|id| pair.request(1, id))
        .collect();
    assert_eq!(held.len(), 2);
    // The first limiter restarts and does not know its two attempts in flight.
    pair.limiters[0] = EngineHarness::new(settings(), 6);
    assert!(
        pair.request(0, "a3").is_empty(),
        "all four slots are taken in this window"
    );
    pair.advance(5_000_000);
    // In the new window the second limiter reports its slots again, once. Those of the dead process
    // are not reported.
    let sent = pair.end_attempt(1, &held[0]);
    assert!(sent.is_empty());
    let sent: Vec<_> = ["a4", "a5", "a6"]
        .iter()
        .flat_map(|id| pair.request(0, id))
        .collect();
    assert_eq!(
        sent.len(),
        3,
        "three slots are free, one is held by the other limiter"
    );
    assert!(pair.request(0, "a7").is_empty(), "no further slot is free");
}

#[test]
fn unreachable_counter_leaves_each_limiter_its_share_of_the_concurrency_limit() {
    let mut harness = EngineHarness::new(settings(), 6);
    let mut sent = 0;
    for n in 0..12 {
        let mut actions = harness.request(&format!("r{n}"), 0, 1, "a");
        while counter_call_count(&actions) > 0 {
            sent += sent_attempts(&actions).len();
            actions = harness.answer_counter_calls(&actions, 0.0, Outcome::Timeout);
        }
        sent += sent_attempts(&actions).len() + sent_attempts(&harness.advance(5_000)).len();
    }
    assert_eq!(sent, 2, "expected half of four slots");
}
