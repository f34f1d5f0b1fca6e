//! Cost of one request in the decision module: its arrival, the replies of the counter, and the end
//! of its attempt.

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

/// Sizes that stay fixed while another one varies. They are small, so that the effect of the
/// varying size shows.
const FIXED_SERVERS: u64 = 24;
const FIXED_TENANTS: u64 = 1_000;
const FIXED_LIMITERS: u64 = 300;
/// Time between two requests at one limiter.
const REQUEST_INTERVAL: Micros = (SECOND as f64 / REQUESTS_PER_LIMITER) as Micros;
/// Time between two requests in the warm-up. It is short because a limiter forgets a tenant after a
/// minute, and all tenants have to be known at the end of the warm-up.
const WARM_UP_INTERVAL: Micros = 50;

/// The parts of a request's cost that are measured separately: prefixes of the experiments' names,
/// and descriptions.
const COST_PARTS: [(&str, &str); 4] = [
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
    /// Measures requests at one limiter. Returns the figures of each of [`COST_PARTS`].
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
            limiter.now += REQUEST_INTERVAL;
            limiter.handle(Event::TimerExpired { token: 0 });
            let cost = limiter.run_request(&traffic, choice.sample(&mut rng), &mut counter);
            costs[0].add(cost.total);
            costs[1].add(cost.arrival);
            cost.counter_replies
                .into_iter()
                .for_each(|part| costs[2].add(part));
            cost.attempt_end
                .into_iter()
                .for_each(|part| costs[3].add(part));
        }
        costs.each_ref().map(Costs::figures)
    }
}

/// Sends one request of each tenant, so that the limiter knows all of them.
pub fn warm_up(limiter: &mut Limiter, traffic: &Traffic, counter: &mut SharedCounter) {
    for tenant in 0..traffic.tenants.len() {
        let started_at = limiter.now;
        limiter.run_request(traffic, tenant, counter);
        // Set back the clock, which the request has advanced, so that the next request follows
        // soon.
        limiter.now = started_at + WARM_UP_INTERVAL;
    }
}

/// Measures all values of one size, with an experiment for each of [`COST_PARTS`].
fn experiments_along(
    plan: &Plan,
    axis: Axis,
    sizes: &[u64],
    fixed: &str,
    fleet: impl Fn(u64) -> Fleet,
) -> Vec<Experiment> {
    let (axis_name, _) = axis.target();
    let experiment = |(part, about): &(&str, &str)| {
        Experiment::empty(
            format!("{part}-by-{axis_name}"),
            format!("{about}; {fixed}"),
            axis,
        )
    };
    let mut experiments: Vec<Experiment> = COST_PARTS.iter().map(experiment).collect();
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

/// Cost of decisions by servers, by tenants and by limiters.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    let (servers, tenants, limiters) = (FIXED_SERVERS, FIXED_TENANTS, FIXED_LIMITERS);
    let fixed = format!("{tenants} tenants known, {limiters} limiters, one pool of servers");
    let mut all = experiments_along(plan, Axis::Servers, &plan.servers, &fixed, |servers| {
        Fleet {
            servers,
            tenants,
            limiters,
        }
    });
    let fixed = format!("{servers} servers, {limiters} limiters, all tenants known");
    all.extend(experiments_along(
        plan,
        Axis::Tenants,
        &plan.tenants,
        &fixed,
        |tenants| Fleet {
            servers,
            tenants,
            limiters,
        },
    ));
    let fixed = format!("{servers} servers, {tenants} tenants known, each through all limiters");
    all.extend(experiments_along(
        plan,
        Axis::Limiters,
        &plan.limiters,
        &fixed,
        |limiters| Fleet {
            servers,
            tenants,
            limiters,
        },
    ));
    all
}
