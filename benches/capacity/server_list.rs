//! Whole server lists and changes of them: reading the text, and giving the entries to the decision module.

use super::arguments::Plan;
use super::limiter::Limiter;
use super::measure::{held_bytes, Costs};
use super::report::{Axis, Experiment, Figure, Quantity};
use super::traffic::{Shape, Traffic, HEADROOM};
use super::world::{list_text, member, members};
use mossrill::config::{read_endpoint_update, EndpointUpdate};
use mossrill::decision::{Event, Readiness, UpdateScope};
use serde_json::Value;
use std::hint::black_box;

/// Repeats of what takes milliseconds, as a part of the samples asked for.
const FEWER: u64 = 20;
/// Limiters and tenants of the fleet, which the list does not depend on.
const SHAPE: Shape = Shape {
    tenants: 1,
    limiters: 300,
    spread: 300,
    skew: 1.0,
    headroom: HEADROOM,
};

fn repeats(plan: &Plan) -> u64 {
    (plan.samples / FEWER).max(3)
}

/// Reads a text as the limiter does.
fn read(text: &str) -> EndpointUpdate {
    let value: Value = serde_json::from_str(text).expect("the text was written as JSON");
    read_endpoint_update(&value).expect("the text has every key")
}

/// Reading the text of so many entries.
fn reading(entries: u64, whole: bool, repeats: u64) -> Vec<Figure> {
    let text = list_text(entries, whole);
    let mut costs = Costs::default();
    for _ in 0..repeats {
        black_box(costs.time(|| read(&text)));
    }
    let (_news, held) = held_bytes(|| read(&text));
    let mut figures = costs.figures();
    figures.push(held);
    figures.push(Figure::new(Quantity::TextBytes, text.len() as f64));
    figures
}

/// Giving a whole list to a limiter that knows its servers already.
fn applying_whole(servers: u64, seed: u64, repeats: u64) -> Vec<Figure> {
    let traffic = Traffic::new(SHAPE, seed);
    let (mut limiter, held) = held_bytes(|| Limiter::new(&traffic, 0, servers, seed));
    let mut costs = Costs::default();
    for _ in 0..repeats {
        let members = members(servers);
        costs.time(|| {
            limiter.give(Event::EndpointUpdate {
                scope: UpdateScope::Snapshot,
                endpoints: members,
            })
        });
    }
    let mut figures = costs.figures();
    figures.push(held);
    figures
}

/// Giving changed entries to a limiter that knows so many servers: drained ones first, then the same as ready.
fn applying_changes(servers: u64, changes: u64, seed: u64, repeats: u64) -> Vec<Figure> {
    let traffic = Traffic::new(SHAPE, seed);
    let mut limiter = Limiter::new(&traffic, 0, servers, seed);
    let mut costs = Costs::default();
    for repeat in 0..repeats {
        let readiness = if repeat % 2 == 0 {
            Readiness::Draining
        } else {
            Readiness::Ready
        };
        let members = (0..changes.min(servers))
            .map(|number| member(number, readiness))
            .collect();
        costs.time(|| {
            limiter.give(Event::EndpointUpdate {
                scope: UpdateScope::Delta,
                endpoints: members,
            })
        });
    }
    costs.figures()
}

/// Lists against servers, changes against their entries.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    let (repeats, most) = (repeats(plan), plan.most_servers());
    vec![
        Experiment::along(
            "list-read",
            "reading the JSON of a whole server list",
            Axis::Servers,
            (&plan.servers, &plan.seeds),
            |servers, _| reading(servers, true, repeats),
        ),
        Experiment::along(
            "list-apply",
            "giving a whole server list to the decision module; held by the module with its servers",
            Axis::Servers,
            (&plan.servers, &plan.seeds),
            |servers, seed| applying_whole(servers, seed, repeats),
        ),
        Experiment::along(
            "change-read",
            "reading the JSON of changed entries",
            Axis::Changes,
            (&plan.changes, &plan.seeds),
            |changes, _| reading(changes, false, repeats),
        ),
        Experiment::along(
            "change-apply",
            format!("giving changed entries to the decision module, which knows {most} servers"),
            Axis::Changes,
            (&plan.changes, &plan.seeds),
            |changes, seed| applying_changes(most, changes, seed, repeats),
        ),
    ]
}
