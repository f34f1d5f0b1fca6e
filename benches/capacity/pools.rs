//! Cost of a design that is not implemented: a decision module for each service, with only that
//! service's servers.

use super::arguments::Plan;
use super::limiter::Limiter;
use super::measure::{measure_held_bytes, Costs};
use super::report::{Axis, Experiment, Figure};
use super::traffic::{Shape, Traffic, HEADROOM};
use super::world::SECOND;
use mossrill::decision::Event;

/// Number of servers of one service: 21,000 servers over 860 services.
const SERVERS: u64 = 24;
/// Largest number of simulated seconds.
const SECONDS: u64 = 20;

/// Measures rounds of timer events, one for each decision module, that do the work of a second.
/// Also measures the memory that all modules hold.
fn measure(services: u64, rounds: u64, seed: u64) -> Vec<Figure> {
    let shape = Shape {
        tenants: 1,
        limiters: 2_000,
        spread: 2_000,
        skew: 1.0,
        headroom: HEADROOM,
    };
    let traffic = Traffic::new(shape, seed);
    let create = || -> Vec<Limiter> {
        (0..services)
            .map(|service| Limiter::new(&traffic, 0, SERVERS, seed + service))
            .collect()
    };
    let (mut modules, held) = measure_held_bytes(create);
    let mut costs = Costs::default();
    for _ in 0..rounds {
        costs.measure(|| {
            for module in &mut modules {
                module.now += SECOND;
                module.handle(Event::TimerExpired { token: 0 });
            }
        });
    }
    let mut figures = costs.figures();
    figures.push(held);
    figures
}

/// Cost of all decision modules by the number of services.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    let about = format!(
        "trial, not in the program: a module for each service, {SERVERS} servers each; work of a second"
    );
    vec![Experiment::run(
        "pools-by-services",
        about,
        Axis::Services,
        (&plan.services, &plan.seeds),
        |services, seed| measure(services, SECONDS.min(plan.samples), seed),
    )]
}
