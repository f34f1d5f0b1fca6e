//! Order of requests by start tags.

use crate::common::{counts, member, sends, settings, Bench};
use mossrill::decision::{Event, Outcome, UpdateScope};

/// Takes all servers away, so that requests queue, and the order in which they leave when enough are back.
fn dispatch_order(bench: &mut Bench, asked: &[(&str, &str)]) -> Vec<String> {
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
fn smallest_start_tag_is_dispatched_first() {
    // a1: S = 0, F = 1; a2: S = 1. b is new with φ = 1/2: b1: S = v = 0, F = 2; b2: S = 2.
    let mut bench = Bench::new(settings(), 0);
    let order = dispatch_order(
        &mut bench,
        &[("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")],
    );
    assert_eq!(order, ["a1", "b1", "a2", "b2"]);
}

#[test]
fn units_used_by_other_limiters_shift_the_next_start_tag() {
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
        dispatch_order(&mut bench, &asked),
        ["b1", "b2", "b3", "b4", "a2", "b5"]
    );
}
