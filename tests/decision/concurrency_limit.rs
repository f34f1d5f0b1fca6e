//! Limits on the attempts in flight of an account, shared by all limiters.

use crate::common::{counts, sends, settings, Bench};
use mossrill::decision::{Action, Event, Micros, Outcome, RequestId, ServerId, Settings};

#[test]
fn without_a_counter_the_concurrency_limit_is_divided_among_limiters() {
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
struct LimiterPair {
    gateways: [Bench; 2],
    totals: std::collections::BTreeMap<u64, f64>,
}

impl LimiterPair {
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
fn concurrency_limit_is_shared_by_all_limiters() {
    // Traffic that is nearly all at one gateway has the whole cap there, not a half of it.
    let mut pair = LimiterPair::new();
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
fn concurrency_slots_of_a_dead_limiter_are_free_in_the_next_window() {
    let mut pair = LimiterPair::new();
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
fn unreachable_counter_leaves_each_limiter_its_share_of_the_concurrency_limit() {
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
