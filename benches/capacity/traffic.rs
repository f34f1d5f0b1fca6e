//! Tenants, how their requests are spread over limiters, and what one limiter sees of them.
//!
//! A tenant's share of all requests follows a Zipf distribution by rank. Its requests come in through `spread` limiters in a
//! row, evenly; a tenant too large for that comes through as many as keep it to half of the load of each.

use super::arguments::Plan as Run;
use super::report::{Axis, Experiment, Figure, Quantity};
use mossrill::decision::{AccountId, Plan};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Requests a second that each limiter takes at the peak.
pub const REQUESTS_PER_LIMITER: f64 = 130.0;
/// A tenant takes this part of a limiter's load at the most.
const LARGEST_PART: f64 = 0.5;
/// A tenant's plan usually allows at least so many times what it sends.
pub const HEADROOM: f64 = 1.5;
/// Rates of the plans rise by this factor from the first, in units a second.
const PLAN_STEP: f64 = 4.0;
const PLANS: u32 = 12;
/// A plan's burst holds this many seconds of its rate.
const BURST_SECONDS: f64 = 2.0;
/// Limiters over which what one limiter sees is averaged.
const OBSERVED: u64 = 8;

/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its name.
    pub customer: AccountId,
    /// Index of its plan.
    pub plan: usize,
    /// Requests a second through all limiters.
    pub rate: f64,
    /// Number of limiters that its requests come through.
    pub spread: u32,
    /// The first of them.
    pub first: u32,
}

/// All tenants of a fleet.
pub struct Traffic {
    /// The tenants, largest first.
    pub tenants: Vec<Tenant>,
    /// Their plans.
    pub plans: Vec<Plan>,
    /// Limiters of the fleet.
    pub limiters: u32,
}

/// How requests are distributed.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Tenants.
    pub tenants: u64,
    /// Limiters.
    pub limiters: u64,
    /// Limiters of one tenant.
    pub spread: u64,
    /// Exponent of the Zipf distribution.
    pub skew: f64,
    /// A tenant's plan allows at least so many times what it sends.
    pub headroom: f64,
}

impl Traffic {
    /// Draws the tenants of a fleet.
    pub fn new(shape: Shape, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let limiters = shape.limiters as u32;
        let plans = plans();
        let weights: Vec<f64> = (1..=shape.tenants)
            .map(|rank| (rank as f64).powf(-shape.skew))
            .collect();
        let each = REQUESTS_PER_LIMITER * f64::from(limiters) / weights.iter().sum::<f64>();
        let tenant = |(rank, weight): (usize, &f64)| {
            let rate = weight * each;
            let needed = (rate / (REQUESTS_PER_LIMITER * LARGEST_PART)).ceil() as u32;
            Tenant {
                customer: format!("tenant-{rank:06}").as_str().into(),
                plan: plan_for(rate * shape.headroom, &plans),
                rate,
                spread: needed.max(shape.spread as u32).clamp(1, limiters),
                first: rng.random_range(0..limiters),
            }
        };
        let tenants = weights.iter().enumerate().map(tenant).collect();
        Self {
            tenants,
            plans,
            limiters,
        }
    }

    /// Whether a tenant's requests come through a limiter.
    pub fn comes_through(&self, tenant: &Tenant, limiter: u32) -> bool {
        (limiter + self.limiters - tenant.first) % self.limiters < tenant.spread
    }

    /// Requests a second that each tenant sends through a limiter.
    pub fn rates_at(&self, limiter: u32) -> Vec<f64> {
        let rate = |tenant: &Tenant| match self.comes_through(tenant, limiter) {
            true => tenant.rate / f64::from(tenant.spread),
            false => 0.0,
        };
        self.tenants.iter().map(rate).collect()
    }

    /// Whether a tenant has under one unit of its burst at each of its limiters.
    pub fn is_thin(&self, tenant: &Tenant) -> bool {
        self.plans[tenant.plan].burst < f64::from(tenant.spread)
    }

    /// What limiters see, as a mean of some of them.
    fn figures(&self) -> Vec<Figure> {
        let observed = OBSERVED.min(u64::from(self.limiters));
        let (mut seen, mut all, mut thin) = ([0.0; 3], 0.0, 0.0);
        for place in 0..observed {
            let limiter = (place * u64::from(self.limiters) / observed) as u32;
            for (tenant, rate) in self.tenants.iter().zip(self.rates_at(limiter)) {
                for (count, seconds) in seen.iter_mut().zip([1.0, 5.0, 60.0]) {
                    // At least one arrival of a Poisson stream.
                    *count += (1.0 - (-rate * seconds).exp()) / observed as f64;
                }
                all += rate;
                thin += if self.is_thin(tenant) { rate } else { 0.0 };
            }
        }
        let total: f64 = self.tenants.iter().map(|tenant| tenant.rate).sum();
        let largest = self
            .tenants
            .first()
            .map_or(0.0, |tenant| tenant.rate / total);
        vec![
            Figure::new(Quantity::TenantsInOneSecond, seen[0]),
            Figure::new(Quantity::TenantsInFiveSeconds, seen[1]),
            Figure::new(Quantity::TenantsInOneMinute, seen[2]),
            Figure::new(Quantity::LargestTenant, largest),
            Figure::new(
                Quantity::ThinTraffic,
                if all > 0.0 { thin / all } else { 0.0 },
            ),
        ]
    }
}

fn plans() -> Vec<Plan> {
    let plan = |step: u32| {
        let rate = PLAN_STEP.powi(step as i32);
        Plan {
            rate,
            burst: rate * BURST_SECONDS,
            weight_factor: 1.0,
            over_quota_cost: 1.0,
            ..Plan::default()
        }
    };
    (0..PLANS).map(plan).collect()
}

/// The smallest plan of at least this rate, or the largest one.
fn plan_for(rate: f64, plans: &[Plan]) -> usize {
    plans
        .iter()
        .position(|plan| plan.rate >= rate)
        .unwrap_or(plans.len() - 1)
}

/// What a limiter sees of the tenants, against their number and against their spread.
pub fn experiments(run: &Run) -> Vec<Experiment> {
    let mut experiments = Vec::new();
    let (tenants, limiters) = (run.most_tenants(), run.most_limiters());
    for skew in &run.skews {
        let (skew, headroom) = (*skew, run.headroom);
        let seen = |shape: Shape, seed: u64| Traffic::new(shape, seed).figures();
        experiments.push(Experiment::along(
            format!("traffic-by-tenants-zipf-{skew}"),
            format!("what a limiter sees; {limiters} limiters, tenants through all of them, Zipf {skew}"),
            Axis::Tenants,
            (&run.tenants, &run.seeds),
            |tenants, seed| seen(Shape { tenants, limiters, spread: limiters, skew, headroom }, seed),
        ));
        experiments.push(Experiment::along(
            format!("traffic-by-spread-zipf-{skew}"),
            format!("what a limiter sees; {limiters} limiters, {tenants} tenants, Zipf {skew}"),
            Axis::Spread,
            (&run.spreads, &run.seeds),
            |spread, seed| {
                seen(
                    Shape {
                        tenants,
                        limiters,
                        spread,
                        skew,
                        headroom,
                    },
                    seed,
                )
            },
        ));
    }
    experiments
}
