//! A trial of what the program does not have: a decision module for each service, with that service's servers alone.

use super::arguments::Plan;
use super::limiter::Limiter;
use super::measure::{held_bytes, Costs};
use super::report::{Axis, Experiment, Figure};
use super::traffic::{Shape, Traffic, HEADROOM};
use super::world::SECOND;
use mossrill::decision::Event;

/// Servers of one service: 21,000 over 860.
const SERVERS: u64 = 24;
/// Seconds played.
const SECONDS: u64 = 20;

/// So many modules; a round of timer events, each with the work of a second.
fn measure(services: u64, times: u64, seed: u64) -> Vec<Figure> {
    let shape = Shape {
        tenants: 1,
        limiters: 2_000,
        spread: 2_000,
        skew: 1.0,
        headroom: HEADROOM,
    };
    let traffic = Traffic::new(shape, seed);
    let make = || -> Vec<Limiter> {
        (0..services)
            .map(|service| Limiter::new(&traffic, 0, SERVERS, seed + service))
            .collect()
    };
    let (mut modules, held) = held_bytes(make);
    let mut costs = Costs::default();
    for _ in 0..times {
        costs.time(|| {
            for module in &mut modules {
                module.now += SECOND;
                module.give(Event::TimerExpired { token: 0 });
            }
        });
    }
    let mut figures = costs.figures();
    figures.push(held);
    figures
}

/// Modules against services.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    let about = format!(
        "trial, not in the program: a module for each service, {SERVERS} servers each; work of a second"
    );
    vec![Experiment::along(
        "pools-by-services",
        about,
        Axis::Services,
        (&plan.services, &plan.seeds),
        |services, seed| measure(services, SECONDS.min(plan.samples), seed),
    )]
}
