//! Simulated quota counter, which also counts the units of the limiters that are not simulated.
//!
//! A model adds the units of those limiters to the totals. For a sparse account, whose burst has
//! less than one unit for each of its limiters, every request claims one unit at a random time, and
//! a total that implies more than two bursts left is corrected as in `Account::correct_counter` of
//! the decision module. For any other account the units are added evenly over time.

use super::traffic::Traffic;
use super::world::SECOND;
use mossrill::decision::Micros;
use mossrill::decision::{counter_key, counter_window};
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use std::collections::HashMap;

/// The total of one tenant in one counter window.
struct Count {
    tenant: usize,
    window_start: Micros,
    total: f64,
    /// Time up to which the total includes the units of the limiters that are not simulated.
    modelled_until: Micros,
}

/// The simulated counter.
pub struct SharedCounter<'a> {
    traffic: &'a Traffic,
    /// Requests per second of each tenant at the limiters that are not simulated.
    other_rates: Vec<f64>,
    /// Totals by counter key.
    counts: HashMap<u64, Count>,
    rng: StdRng,
}

impl<'a> SharedCounter<'a> {
    /// Creates the counter of a fleet in which these limiters are simulated.
    pub fn new(traffic: &'a Traffic, simulated: &[u32], seed: u64) -> Self {
        let other_rates = traffic.tenants.iter().map(|tenant| {
            let simulated_count = simulated
                .iter()
                .filter(|limiter| traffic.uses_limiter(tenant, **limiter))
                .count();
            tenant.rate * (1.0 - simulated_count as f64 / f64::from(tenant.spread))
        });
        let rng = StdRng::seed_from_u64(seed);
        Self {
            traffic,
            other_rates: other_rates.collect(),
            counts: HashMap::new(),
            rng,
        }
    }

    /// Creates the totals of a tenant for the current and the next counter window, if they don't
    /// exist.
    pub fn register_keys(&mut self, now: Micros, tenant: usize) {
        let window_length = counter_window(&self.traffic.plans[self.traffic.tenants[tenant].plan]);
        for window in [now / window_length, now / window_length + 1] {
            let key = counter_key(&self.traffic.tenants[tenant].account, window);
            let window_start = window * window_length;
            let new_count = Count {
                tenant,
                window_start,
                total: 0.0,
                modelled_until: window_start,
            };
            self.counts.entry(key).or_insert(new_count);
        }
    }

    /// Adds units to a total and returns it; `None` for a key that is not registered.
    pub fn add(&mut self, now: Micros, key: u64, amount: f64) -> Option<f64> {
        let count = self.counts.get_mut(&key)?;
        let tenant = &self.traffic.tenants[count.tenant];
        let rate = self.other_rates[count.tenant];
        if self.traffic.is_sparse(tenant) {
            let plan = &self.traffic.plans[tenant.plan];
            add_claims(count, now, rate, (plan.rate, plan.burst), &mut self.rng);
        } else {
            count.total += rate * now.saturating_sub(count.modelled_until) as f64 / SECOND as f64;
        }
        count.modelled_until = now.max(count.modelled_until);
        count.total += amount;
        Some(count.total)
    }
}

/// Adds the claims of the limiters that are not simulated, one unit each, up to `now`.
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
    let (end, mut at) = (seconds(now), seconds(count.modelled_until));
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
