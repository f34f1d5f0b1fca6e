//! Cost of timer events in the decision module: the frequent ones, and those that also do the work
//! of each second.

use super::arguments::Plan;
use super::decisions::warm_up;
use super::limiter::{counter_reply, Limiter};
use super::measure::{measure_freed_bytes, Costs};
use super::report::{Axis, Experiment, Figure};
use super::shared_counter::SharedCounter;
use super::traffic::{Shape, Traffic, HEADROOM};
use super::world::SECOND;
use mossrill::decision::{Action, Event, Micros};

/// Sizes that stay fixed while another one varies.
const FIXED_SERVERS: u64 = 24;
const FIXED_TENANTS: u64 = 100;
const LIMITERS: u64 = 300;
/// Time between two frequent timer events: 1/64 of the shortest latency objective.
const TIMER_INTERVAL: Micros = 7_812;
/// Largest number of simulated seconds: a limiter forgets a tenant after 60.
const MAX_SECONDS: u64 = 40;

/// Measures this number of timer events with this interval between them, and the memory that the
/// limiter holds at the end.
fn measure((servers, tenants): (u64, u64), interval: Micros, count: u64, seed: u64) -> Vec<Figure> {
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
    // Do the work of the second in which the limiter learned the tenants, which is not measured.
    limiter.now += SECOND;
    limiter.handle(Event::TimerExpired { token: 0 });
    let mut costs = Costs::default();
    for _ in 0..count {
        limiter.now += interval;
        let actions = costs.measure(|| limiter.handle(Event::TimerExpired { token: 0 }));
        for action in actions {
            if let Action::AddToCounter { key, amount, .. } = action {
                let total = counter.add(limiter.now, key, amount);
                limiter.handle(counter_reply(key, total));
            }
        }
    }
    let mut figures = costs.figures();
    figures.push(measure_freed_bytes(limiter));
    figures
}

/// Cost of timer events by servers and by tenants.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    let mut experiments = Vec::new();
    let kinds = [
        (
            "second",
            "the work of each second",
            SECOND,
            MAX_SECONDS.min(plan.samples),
        ),
        (
            "timer",
            "a timer event between two seconds",
            TIMER_INTERVAL,
            plan.samples.min(SECOND / TIMER_INTERVAL),
        ),
    ];
    for (name, about, interval, count) in kinds {
        experiments.push(Experiment::run(
            format!("{name}-by-servers"),
            format!("{about}; {FIXED_TENANTS} tenants known, no request open"),
            Axis::Servers,
            (&plan.servers, &plan.seeds),
            |servers, seed| measure((servers, FIXED_TENANTS), interval, count, seed),
        ));
        experiments.push(Experiment::run(
            format!("{name}-by-tenants"),
            format!("{about}; {FIXED_SERVERS} servers, all tenants known, no request open"),
            Axis::Tenants,
            (&plan.tenants, &plan.seeds),
            |tenants, seed| measure((FIXED_SERVERS, tenants), interval, count, seed),
        ));
    }
    experiments
}
