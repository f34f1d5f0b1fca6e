//! One request through the decision module: arrival, answers of the counter, end of its attempt.

use super::arguments::Plan;
use super::limiter::Limiter;
use super::measure::Costs;
use super::report::{Axis, Experiment, Figure, Row};
use super::shared_counter::SharedCounter;
use super::traffic::{Shape, Traffic, HEADROOM, REQUESTS_PER_LIMITER};
use super::world::SECOND;
use mossrill::decision::{Event, Micros};
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand::rngs::StdRng;
use rand::SeedableRng;

/// Sizes that are held while another one varies: small enough to leave the one that varies to be seen.
const SERVERS_HELD: u64 = 24;
const TENANTS_HELD: u64 = 1_000;
const LIMITERS_HELD: u64 = 300;
/// Time between two requests of one limiter.
const GAP: Micros = (SECOND as f64 / REQUESTS_PER_LIMITER) as Micros;
/// Time between two requests while tenants are made known: all of them well within the minute of remembering.
const WARM_UP_GAP: Micros = 50;

/// The parts of a request's cost that are told apart.
const PARTS: [(&str, &str); 4] = [
    ("decision", "all events of one request"),
    ("arrival", "the arrival of a request alone"),
    (
        "counted",
        "answers of the counter for one request, with the choice of a server",
    ),
    ("outcome", "the end of a request's attempt alone"),
];

/// A fleet as seen from one limiter.
#[derive(Clone, Copy)]
struct Fleet {
    servers: u64,
    tenants: u64,
    limiters: u64,
}

impl Fleet {
    /// Measures requests at one limiter; figures of each of [`PARTS`].
    fn measure(self, samples: u64, seed: u64) -> [Vec<Figure>; 4] {
        let Fleet {
            servers,
            tenants,
            limiters,
        } = self;
        let traffic = Traffic::new(
            Shape {
                tenants,
                limiters,
                spread: limiters,
                skew: 1.0,
                headroom: HEADROOM,
            },
            seed,
        );
        let mut counter = SharedCounter::new(&traffic, &[0], seed);
        let mut limiter = Limiter::new(&traffic, 0, servers, seed);
        warm_up(&mut limiter, &traffic, &mut counter);
        let mut rng = StdRng::seed_from_u64(seed);
        let Ok(choice) = WeightedIndex::new(traffic.rates_at(0)) else {
            return Default::default();
        };
        let mut costs: [Costs; 4] = Default::default();
        for _ in 0..samples {
            limiter.now += GAP;
            limiter.give(Event::TimerExpired { token: 0 });
            let cost = limiter.carry(&traffic, choice.sample(&mut rng), &mut counter);
            costs[0].add(cost.whole);
            costs[1].add(cost.arrival);
            cost.counted.into_iter().for_each(|part| costs[2].add(part));
            cost.outcome.into_iter().for_each(|part| costs[3].add(part));
        }
        costs.each_ref().map(Costs::figures)
    }
}

/// One request of each tenant, so that the limiter knows all of them.
pub fn warm_up(limiter: &mut Limiter, traffic: &Traffic, counter: &mut SharedCounter) {
    for tenant in 0..traffic.tenants.len() {
        let began = limiter.now;
        limiter.carry(traffic, tenant, counter);
        // However long the request took, the next one comes soon: time goes on between events alone.
        limiter.now = began + WARM_UP_GAP;
    }
}

/// Measures along one size, an experiment for each of [`PARTS`].
fn along(
    plan: &Plan,
    axis: Axis,
    sizes: &[u64],
    held: &str,
    fleet: impl Fn(u64) -> Fleet,
) -> Vec<Experiment> {
    let (by, _) = axis.target();
    let experiment = |(part, about): &(&str, &str)| {
        Experiment::empty(format!("{part}-by-{by}"), format!("{about}; {held}"), axis)
    };
    let mut experiments: Vec<Experiment> = PARTS.iter().map(experiment).collect();
    for size in sizes {
        for seed in &plan.seeds {
            let parts = fleet(*size).measure(plan.samples, *seed);
            for (experiment, figures) in experiments.iter_mut().zip(parts) {
                experiment.rows.push(Row {
                    size: *size,
                    seed: *seed,
                    figures,
                });
            }
        }
    }
    experiments
}

/// Decisions against servers, tenants and limiters.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    let (servers, tenants, limiters) = (SERVERS_HELD, TENANTS_HELD, LIMITERS_HELD);
    let held = format!("{tenants} tenants known, {limiters} limiters, one pool of servers");
    let mut all = along(plan, Axis::Servers, &plan.servers, &held, |servers| Fleet {
        servers,
        tenants,
        limiters,
    });
    let held = format!("{servers} servers, {limiters} limiters, all tenants known");
    all.extend(along(
        plan,
        Axis::Tenants,
        &plan.tenants,
        &held,
        |tenants| Fleet {
            servers,
            tenants,
            limiters,
        },
    ));
    let held = format!("{servers} servers, {tenants} tenants known, each through all limiters");
    all.extend(along(
        plan,
        Axis::Limiters,
        &plan.limiters,
        &held,
        |limiters| Fleet {
            servers,
            tenants,
            limiters,
        },
    ));
    all
}
