//! The tenants of a scenario: their traffic, their quotas, and the limiters that receive their
//! requests.

use crate::scenario::Scenario;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Burst of a plan in seconds at its rate.
const BURST_SECONDS: f64 = 10.0;
/// Minimum burst of a plan in units.
const MIN_BURST: f64 = 10.0;
/// Rate of the smallest plan in units per second; each following plan has twice the rate.
const MIN_RATE: f64 = 1.0 / 32.0;
/// Number of plans.
const PLAN_COUNT: usize = 28;
/// Quota of a tenant that exceeds it, as a multiple of its mean demand.
const OVER_QUOTA_FACTOR: f64 = 0.5;
/// Requests per second of a small tenant: one per minute.
const SMALL_TENANT_RATE: f64 = 1.0 / 60.0;

/// A plan: rate and burst of a quota.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Units per second.
    pub rate: f64,
    /// Capacity of the bucket in units.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Copy, Debug)]
pub struct Tenant {
    /// Requests per second over all limiters.
    pub requests_per_s: f64,
    /// Index of the plan of the tenant.
    pub plan: usize,
    /// Number of the first limiter that receives its requests.
    pub first: u32,
    /// Number of consecutive limiters that receive its requests.
    pub spread: u32,
}

/// All tenants of a run.
pub struct Population {
    /// The tenants, by number.
    pub tenants: Vec<Tenant>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// Sums of the requests per second up to each tenant.
    cumulative_rates: Vec<f64>,
    limiters: u32,
    mean_units: f64,
}

/// A randomly drawn request.
#[derive(Clone, Copy, Debug)]
pub struct DrawnRequest {
    /// Number of the tenant.
    pub tenant: usize,
    /// The limiter that receives it.
    pub limiter: u32,
    /// Units of quota that it takes.
    pub units: f64,
}

impl Population {
    /// Creates the tenants of a scenario. The same seed gives the same tenants in every process.
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let traffic = &scenario.traffic;
        let mut rng = StdRng::seed_from_u64(seed);
        let plans: Vec<Plan> = (0..PLAN_COUNT)
            .map(|number| plan(MIN_RATE * 2f64.powi(number as i32)))
            .collect();
        let limiters = scenario.sizes.limiters;
        let spread = traffic.spread.min(limiters);
        let mut tenants: Vec<Tenant> = rates(scenario)
            .into_iter()
            .map(|requests_per_s| {
                let demand = requests_per_s * traffic.mean_units;
                let over = rng.random_bool(traffic.over_quota_share);
                let quota = demand
                    * if over {
                        OVER_QUOTA_FACTOR
                    } else {
                        traffic.quota_headroom
                    };
                let plan = plan_for(&plans, quota, over);
                Tenant {
                    requests_per_s,
                    plan,
                    first: rng.random_range(0..limiters),
                    spread,
                }
            })
            .collect();
        if traffic.giant_share > 0.0 {
            // The giant tenant has such a large share of the traffic that it sends to every
            // limiter.
            tenants[0].spread = limiters;
        }
        let mut sum = 0.0;
        let cumulative_rates = tenants
            .iter()
            .map(|tenant| {
                sum += tenant.requests_per_s;
                sum
            })
            .collect();
        Self {
            tenants,
            plans,
            cumulative_rates,
            limiters,
            mean_units: traffic.mean_units,
        }
    }

    /// Returns the requests per second over all limiters.
    pub fn requests_per_s(&self) -> f64 {
        self.cumulative_rates.last().copied().unwrap_or(0.0)
    }

    /// Returns the plan of a tenant.
    pub fn plan(&self, tenant: usize) -> Plan {
        self.plans[self.tenants[tenant].plan]
    }

    /// Draws a request from the whole fleet's traffic.
    pub fn draw(&self, rng: &mut StdRng) -> DrawnRequest {
        let point = rng.random_range(0.0..self.requests_per_s());
        let tenant = self
            .cumulative_rates
            .partition_point(|sum| *sum <= point)
            .min(self.tenants.len() - 1);
        let Tenant { first, spread, .. } = self.tenants[tenant];
        let limiter = (first + rng.random_range(0..spread)) % self.limiters;
        DrawnRequest {
            tenant,
            limiter,
            units: self.draw_units(rng),
        }
    }

    /// Draws the units of a request: integers from 1 on, uniformly distributed around the mean.
    pub fn draw_units(&self, rng: &mut StdRng) -> f64 {
        let max_units = (2.0 * self.mean_units - 1.0).round().max(1.0) as u32;
        f64::from(rng.random_range(1..=max_units))
    }

    /// Returns the part of the traffic that one limiter receives.
    pub fn local_traffic(&self, limiter: u32) -> LocalTraffic {
        let (mut tenants, mut cumulative_rates, mut sum) = (Vec::new(), Vec::new(), 0.0);
        for (number, tenant) in self.tenants.iter().enumerate() {
            let offset = (limiter + self.limiters - tenant.first) % self.limiters;
            if offset < tenant.spread {
                sum += tenant.requests_per_s / f64::from(tenant.spread);
                tenants.push(number as u32);
                cumulative_rates.push(sum);
            }
        }
        LocalTraffic {
            tenants,
            cumulative_rates,
        }
    }
}

/// The part of the traffic that one limiter receives.
pub struct LocalTraffic {
    tenants: Vec<u32>,
    cumulative_rates: Vec<f64>,
}

impl LocalTraffic {
    /// Returns the requests per second.
    pub fn requests_per_s(&self) -> f64 {
        self.cumulative_rates.last().copied().unwrap_or(0.0)
    }

    /// Draws the tenant of a request, or `None` if no tenant sends to this limiter.
    pub fn draw(&self, rng: &mut StdRng) -> Option<usize> {
        let point = rng.random_range(0.0..1.0) * self.requests_per_s();
        let index = self.cumulative_rates.partition_point(|sum| *sum <= point);
        self.tenants
            .get(index.min(self.tenants.len().saturating_sub(1)))
            .map(|tenant| *tenant as usize)
    }
}

/// Returns the requests per second of each tenant: the giant one if there is any, then the
/// Zipf-distributed ones, then the small ones.
fn rates(scenario: &Scenario) -> Vec<f64> {
    let traffic = &scenario.traffic;
    let total = traffic.requests_per_s * traffic.scale;
    let scaled = |count: u32| (f64::from(count) * traffic.scale).round() as usize;
    let zipf = scaled(scenario.sizes.tenants).max(1);
    let shares: Vec<f64> = (1..=zipf)
        .map(|rank| (rank as f64).powf(-traffic.tenant_skew))
        .collect();
    let sum: f64 = shares.iter().sum();
    let rest = total * (1.0 - traffic.giant_share);
    let giant = (traffic.giant_share > 0.0).then_some(total * traffic.giant_share);
    let small = std::iter::repeat_n(SMALL_TENANT_RATE, scaled(traffic.small_tenants));
    giant
        .into_iter()
        .chain(shares.into_iter().map(|share| rest * share / sum))
        .chain(small)
        .collect()
}

fn plan(rate: f64) -> Plan {
    Plan {
        rate,
        burst: (rate * BURST_SECONDS).max(MIN_BURST),
    }
}

/// Returns the index of the smallest plan whose rate is at least `quota`. For a tenant that exceeds
/// its quota, it is the largest plan below `quota`.
fn plan_for(plans: &[Plan], quota: f64, over: bool) -> usize {
    let above = plans.partition_point(|plan| plan.rate < quota);
    let plan = if over { above.saturating_sub(1) } else { above };
    plan.min(plans.len() - 1)
}
