//! Timer events of the decision module: the usual ones, and those that do the work of each second.

use super::arguments::Plan;
use super::decisions::warm_up;
use super::limiter::{counted, Limiter};
use super::measure::{freed_bytes, Costs};
use super::report::{Axis, Experiment, Figure};
use super::shared_counter::SharedCounter;
use super::traffic::{Shape, Traffic, HEADROOM};
use super::world::SECOND;
use mossrill::decision::{Action, Event, Micros};

/// Sizes that are held while another one varies.
const SERVERS_HELD: u64 = 24;
const TENANTS_HELD: u64 = 100;
const LIMITERS: u64 = 300;
/// Time between two usual timer events: 1/64 of the shortest aim.
const STEP: Micros = 7_812;
/// Seconds played at the most: a limiter forgets a tenant after 60.
const SECONDS: u64 = 40;

/// Timer events, each so long after the last one.
fn measure((servers, tenants): (u64, u64), every: Micros, times: u64, seed: u64) -> Vec<Figure> {
    let shape = Shape {
        tenants,
        limiters: LIMITERS,
        spread: LIMITERS,
        skew: 1.0,
        headroom: HEADROOM,
    };
    let traffic = Traffic::new(shape, seed);
    let mut counter = SharedCounter::new(&traffic, &[0], seed);
    let mut limiter = Limiter::new(&traffic, 0, servers, seed);
    warm_up(&mut limiter, &traffic, &mut counter);
    // The work of the second in which the tenants were made known is not of interest.
    limiter.now += SECOND;
    limiter.give(Event::TimerExpired { token: 0 });
    let mut costs = Costs::default();
    for _ in 0..times {
        limiter.now += every;
        let actions = costs.time(|| limiter.give(Event::TimerExpired { token: 0 }));
        for action in actions {
            if let Action::AddToCounter {
                key: name,
                amount: by,
                ..
            } = action
            {
                let total = counter.add(limiter.now, name, by);
                limiter.give(counted(name, total));
            }
        }
    }
    let mut figures = costs.figures();
    figures.push(freed_bytes(limiter));
    figures
}

/// Timer events against servers and tenants.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    let mut experiments = Vec::new();
    let kinds = [
        (
            "second",
            "the work of each second",
            SECOND,
            SECONDS.min(plan.samples),
        ),
        (
            "timer",
            "a timer event between two seconds",
            STEP,
            plan.samples.min(SECOND / STEP),
        ),
    ];
    for (name, about, every, times) in kinds {
        experiments.push(Experiment::along(
            format!("{name}-by-servers"),
            format!("{about}; {TENANTS_HELD} tenants known, no request open"),
            Axis::Servers,
            (&plan.servers, &plan.seeds),
            |servers, seed| measure((servers, TENANTS_HELD), every, times, seed),
        ));
        experiments.push(Experiment::along(
            format!("{name}-by-tenants"),
            format!("{about}; {SERVERS_HELD} servers, all tenants known, no request open"),
            Axis::Tenants,
            (&plan.tenants, &plan.seeds),
            |tenants, seed| measure((SERVERS_HELD, tenants), every, times, seed),
        ));
    }
    experiments
}
