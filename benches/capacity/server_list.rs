//! Cost of full endpoint lists and of changes to them: parsing the JSON, and applying the entries
//! in the decision module.

use super::arguments::Plan;
use super::limiter::Limiter;
use super::measure::{measure_held_bytes, Costs};
use super::report::{Axis, Experiment, Figure, Quantity};
use super::traffic::{Shape, Traffic, HEADROOM};
use super::world::{endpoint, endpoint_update_text, endpoints};
use mossrill::config::{read_endpoint_update, EndpointUpdate};
use mossrill::decision::{Event, Readiness, UpdateScope};
use serde_json::Value;
use std::hint::black_box;

/// Divisor of the requested number of samples, as these operations take milliseconds.
const SAMPLES_DIVISOR: u64 = 20;
/// Traffic of the fleet; the cost of the list does not depend on it.
const SHAPE: Shape = Shape {
    tenants: 1,
    limiters: 300,
    spread: 300,
    skew: 1.0,
    headroom: HEADROOM,
};

/// Returns how often each operation is measured.
fn repeats(plan: &Plan) -> u64 {
    (plan.samples / SAMPLES_DIVISOR).max(3)
}

/// Parses an endpoint update as the limiter does.
fn parse(text: &str) -> EndpointUpdate {
    let value: Value = serde_json::from_str(text).expect("the generated endpoint update is JSON");
    read_endpoint_update(&value).expect("the generated endpoint update has every key")
}

/// Measures the parsing of a full list, or of a change, with this number of entries.
fn measure_parsing(entries: u64, is_full: bool, repeats: u64) -> Vec<Figure> {
    let text = endpoint_update_text(entries, is_full);
    let mut costs = Costs::default();
    for _ in 0..repeats {
        black_box(costs.measure(|| parse(&text)));
    }
    let (_update, held) = measure_held_bytes(|| parse(&text));
    let mut figures = costs.figures();
    figures.push(held);
    figures.push(Figure::new(Quantity::TextBytes, text.len() as f64));
    figures
}

/// Measures applying a full list in a limiter that knows the same servers already.
fn measure_full_list(servers: u64, seed: u64, repeats: u64) -> Vec<Figure> {
    let traffic = Traffic::new(SHAPE, seed);
    let (mut limiter, held) = measure_held_bytes(|| Limiter::new(&traffic, 0, servers, seed));
    let mut costs = Costs::default();
    for _ in 0..repeats {
        let endpoints = endpoints(servers);
        costs.measure(|| {
            limiter.handle(Event::EndpointUpdate {
                scope: UpdateScope::Snapshot,
                endpoints,
            })
        });
    }
    let mut figures = costs.figures();
    figures.push(held);
    figures
}

/// Measures applying changes in a limiter that knows this number of servers. The changed servers
/// are draining in every other change, and ready again in the next one.
fn measure_changes(servers: u64, changes: u64, seed: u64, repeats: u64) -> Vec<Figure> {
    let traffic = Traffic::new(SHAPE, seed);
    let mut limiter = Limiter::new(&traffic, 0, servers, seed);
    let mut costs = Costs::default();
    for repeat in 0..repeats {
        let readiness = if repeat % 2 == 0 {
            Readiness::Draining
        } else {
            Readiness::Ready
        };
        let endpoints = (0..changes.min(servers))
            .map(|number| endpoint(number, readiness))
            .collect();
        costs.measure(|| {
            limiter.handle(Event::EndpointUpdate {
                scope: UpdateScope::Delta,
                endpoints,
            })
        });
    }
    costs.figures()
}

/// Cost of full lists by the number of servers, and of changes by the number of entries.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    let (repeats, max_servers) = (repeats(plan), plan.max_servers());
    vec![
        Experiment::run(
            "list-read",
            "reading the JSON of a whole server list",
            Axis::Servers,
            (&plan.servers, &plan.seeds),
            |servers, _| measure_parsing(servers, true, repeats),
        ),
        Experiment::run(
            "list-apply",
            "giving a whole server list to the decision module; held by the module with its servers",
            Axis::Servers,
            (&plan.servers, &plan.seeds),
            |servers, seed| measure_full_list(servers, seed, repeats),
        ),
        Experiment::run(
            "change-read",
            "reading the JSON of changed entries",
            Axis::Changes,
            (&plan.changes, &plan.seeds),
            |changes, _| measure_parsing(changes, false, repeats),
        ),
        Experiment::run(
            "change-apply",
            format!("giving changed entries to the decision module, which knows {max_servers} servers"),
            Axis::Changes,
            (&plan.changes, &plan.seeds),
            |changes, seed| measure_changes(max_servers, changes, seed, repeats),
        ),
    ]
}
