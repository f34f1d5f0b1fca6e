//! Tenants, the distribution of their requests over limiters, and the part of them that one limiter
//! receives.
//!
//! A tenant's share of all requests follows a Zipf distribution by rank. Its requests are spread
//! evenly over `spread` consecutive limiters. A tenant too large for that uses as many limiters as
//! keep its rate at each of them to at most half of the load of a limiter.

use super::arguments::Plan as Run;
use super::report::{Axis, Experiment, Figure, Quantity};
use mossrill::decision::{AccountId, Plan};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Requests per second that each limiter receives at the peak.
pub const REQUESTS_PER_LIMITER: f64 = 130.0;
/// Largest fraction of a limiter's load that one tenant may cause.
const MAX_LOAD_FRACTION: f64 = 0.5;
/// Default of the least ratio of a tenant's quota to the rate at which it sends.
pub const HEADROOM: f64 = 1.5;
/// Ratio of the rates of consecutive plans. The first plan has a rate of 1 unit per second.
const PLAN_RATE_RATIO: f64 = 4.0;
/// Number of plans.
const PLANS: u32 = 12;
/// Burst of a plan, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;
/// Number of limiters over which the figures are averaged.
const OBSERVED_LIMITERS: u64 = 8;

/// A tenant, which has one account.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Id of its account.
    pub account: AccountId,
    /// Index of its plan.
    pub plan: usize,
    /// Requests per second over all limiters.
    pub rate: f64,
    /// Number of limiters that its requests arrive at.
    pub spread: u32,
    /// Number of the first of these limiters.
    pub first: u32,
}

/// All tenants of a fleet.
pub struct Traffic {
    /// The tenants, largest first.
    pub tenants: Vec<Tenant>,
    /// Their plans.
    pub plans: Vec<Plan>,
    /// Number of limiters in the fleet.
    pub limiters: u32,
}

/// How requests are distributed.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of tenants.
    pub tenants: u64,
    /// Number of limiters.
    pub limiters: u64,
    /// Number of limiters that the requests of one tenant arrive at.
    pub spread: u64,
    /// Exponent of the Zipf distribution.
    pub skew: f64,
    /// Least ratio of a tenant's quota to the rate at which it sends.
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
        let first_rate = REQUESTS_PER_LIMITER * f64::from(limiters) / weights.iter().sum::<f64>();
        let tenant = |(rank, weight): (usize, &f64)| {
            let rate = weight * first_rate;
            let needed = (rate / (REQUESTS_PER_LIMITER * MAX_LOAD_FRACTION)).ceil() as u32;
            Tenant {
                account: format!("tenant-{rank:06}").as_str().into(),
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

    /// Whether a tenant's requests arrive at this limiter.
    pub fn uses_limiter(&self, tenant: &Tenant, limiter: u32) -> bool {
        (limiter + self.limiters - tenant.first) % self.limiters < tenant.spread
    }

    /// Returns the requests per second that each tenant sends to a limiter.
    pub fn rates_at(&self, limiter: u32) -> Vec<f64> {
        let rate = |tenant: &Tenant| match self.uses_limiter(tenant, limiter) {
            true => tenant.rate / f64::from(tenant.spread),
            false => 0.0,
        };
        self.tenants.iter().map(rate).collect()
    }

    /// Whether a tenant's burst has less than one unit for each of its limiters.
    pub fn is_sparse(&self, tenant: &Tenant) -> bool {
        self.plans[tenant.plan].burst < f64::from(tenant.spread)
    }

    /// Returns figures of the requests that one limiter receives, averaged over some limiters.
    fn figures(&self) -> Vec<Figure> {
        let observed = OBSERVED_LIMITERS.min(u64::from(self.limiters));
        let (mut tenant_counts, mut all, mut sparse) = ([0.0; 3], 0.0, 0.0);
        for place in 0..observed {
            let limiter = (place * u64::from(self.limiters) / observed) as u32;
            for (tenant, rate) in self.tenants.iter().zip(self.rates_at(limiter)) {
                for (count, seconds) in tenant_counts.iter_mut().zip([1.0, 5.0, 60.0]) {
                    // Probability of at least one arrival of a Poisson process.
                    *count += (1.0 - (-rate * seconds).exp()) / observed as f64;
                }
                all += rate;
                sparse += if self.is_sparse(tenant) { rate } else { 0.0 };
            }
        }
        let total: f64 = self.tenants.iter().map(|tenant| tenant.rate).sum();
        let largest = self
            .tenants
            .first()
            .map_or(0.0, |tenant| tenant.rate / total);
        vec![
            Figure::new(Quantity::TenantsInOneSecond, tenant_counts[0]),
            Figure::new(Quantity::TenantsInFiveSeconds, tenant_counts[1]),
            Figure::new(Quantity::TenantsInOneMinute, tenant_counts[2]),
            Figure::new(Quantity::LargestTenant, largest),
            Figure::new(
                Quantity::SparseTraffic,
                if all > 0.0 { sparse / all } else { 0.0 },
            ),
        ]
    }
}

/// Returns plans of rising rate.
fn plans() -> Vec<Plan> {
    let plan = |step: u32| {
        let rate = PLAN_RATE_RATIO.powi(step as i32);
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

/// Returns the index of the smallest plan with at least this rate, or of the largest plan.
fn plan_for(rate: f64, plans: &[Plan]) -> usize {
    plans
        .iter()
        .position(|plan| plan.rate >= rate)
        .unwrap_or(plans.len() - 1)
}

/// Requests that one limiter receives, by the number of tenants and by their spread.
pub fn experiments(run: &Run) -> Vec<Experiment> {
    let mut experiments = Vec::new();
    let (tenants, limiters) = (run.max_tenants(), run.max_limiters());
    for skew in &run.skews {
        let (skew, headroom) = (*skew, run.headroom);
        let measure = |shape: Shape, seed: u64| Traffic::new(shape, seed).figures();
        experiments.push(Experiment::run(
            format!("traffic-by-tenants-zipf-{skew}"),
            format!("what a limiter sees; {limiters} limiters, tenants through all of them, Zipf {skew}"),
            Axis::Tenants,
            (&run.tenants, &run.seeds),
            |tenants, seed| measure(Shape { tenants, limiters, spread: limiters, skew, headroom }, seed),
        ));
        experiments.push(Experiment::run(
            format!("traffic-by-spread-zipf-{skew}"),
            format!("what a limiter sees; {limiters} limiters, {tenants} tenants, Zipf {skew}"),
            Axis::Spread,
            (&run.spreads, &run.seeds),
            |spread, seed| {
                measure(
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
