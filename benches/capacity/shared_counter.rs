//! A stand-in for the quota counter, which answers for the limiters that are not simulated too.
//!
//! What those add to a tenant's count is a model. Of a tenant with less than one unit of its burst at each limiter every
//! request claims its unit, at random times, and a count that shows more than two bursts left is put right as
//! `Customer::claim` does it. Of any other tenant the units come in evenly.

use super::traffic::Traffic;
use super::world::SECOND;
use mossrill::decision::Micros;
use mossrill::decision::{counter_key, counter_window};
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use std::collections::HashMap;

/// The count of one tenant in one window.
struct Count {
    tenant: usize,
    window_start: Micros,
    total: f64,
    /// What the others added is in the total up to this time.
    up_to: Micros,
}

/// The counter.
pub struct SharedCounter<'a> {
    traffic: &'a Traffic,
    /// Requests a second of each tenant that come through limiters which are not simulated.
    others: Vec<f64>,
    counts: HashMap<u64, Count>,
    rng: StdRng,
}

impl<'a> SharedCounter<'a> {
    /// A counter for these simulated limiters and all the others.
    pub fn new(traffic: &'a Traffic, simulated: &[u32], seed: u64) -> Self {
        let others = traffic.tenants.iter().map(|tenant| {
            let own = simulated
                .iter()
                .filter(|limiter| traffic.comes_through(tenant, **limiter))
                .count();
            tenant.rate * (1.0 - own as f64 / f64::from(tenant.spread))
        });
        let rng = StdRng::seed_from_u64(seed);
        Self {
            traffic,
            others: others.collect(),
            counts: HashMap::new(),
            rng,
        }
    }

    /// Makes the names known under which a tenant may be counted now and soon.
    pub fn expect(&mut self, now: Micros, tenant: usize) {
        let length = counter_window(&self.traffic.plans[self.traffic.tenants[tenant].plan]);
        for number in [now / length, now / length + 1] {
            let name = counter_key(&self.traffic.tenants[tenant].customer, number);
            let window_start = number * length;
            let fresh = Count {
                tenant,
                window_start,
                total: 0.0,
                up_to: window_start,
            };
            self.counts.entry(name).or_insert(fresh);
        }
    }

    /// Adds to a count and tells its total; none for a name that nobody expects.
    pub fn add(&mut self, now: Micros, name: u64, by: f64) -> Option<f64> {
        let count = self.counts.get_mut(&name)?;
        let tenant = &self.traffic.tenants[count.tenant];
        let rate = self.others[count.tenant];
        if self.traffic.is_thin(tenant) {
            let plan = &self.traffic.plans[tenant.plan];
            add_claims(count, now, rate, (plan.rate, plan.burst), &mut self.rng);
        } else {
            count.total += rate * now.saturating_sub(count.up_to) as f64 / SECOND as f64;
        }
        count.up_to = now.max(count.up_to);
        count.total += by;
        Some(count.total)
    }
}

/// Adds the claims of other limiters up to now, one unit each.
fn add_claims(
    count: &mut Count,
    now: Micros,
    rate: f64,
    (refill, burst): (f64, f64),
    rng: &mut StdRng,
) {
    let Ok(gaps) = Exp::new(rate) else { return };
    if rate <= 0.0 {
        return;
    }
    let seconds = |time: Micros| time.saturating_sub(count.window_start) as f64 / SECOND as f64;
    let (end, mut at) = (seconds(now), seconds(count.up_to));
    loop {
        at += gaps.sample(rng);
        if at > end {
            return;
        }
        count.total += 1.0;
        let left = burst + refill * at - count.total;
        if left > 2.0 * burst {
            count.total += left - burst;
        }
    }
}
