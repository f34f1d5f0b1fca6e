//! Audit of quotas: compares the units that all limiters together sent upstream for each tenant
//! with the bound `rate * t + burst`.

use crate::population::{Plan, Population};
use std::collections::HashMap;

/// Microseconds in a second.
const SECOND: f64 = 1e6;

/// Token bucket of one tenant. Units that exceed its level are beyond the quota.
struct Bucket {
    level: f64,
    /// Time in µs of the last refill.
    refilled_at: u64,
}

/// Token buckets and sums of all tenants.
#[derive(Default)]
pub struct QuotaAudit {
    /// Seconds at the plan's rate by which each bucket is larger than the burst.
    slack_s: f64,
    buckets: HashMap<usize, Bucket>,
    /// Units beyond the bound, by tenant.
    beyond: HashMap<usize, f64>,
    sent: f64,
}

/// Result of an audit.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct AuditResult {
    /// Units sent upstream.
    pub sent_units: f64,
    /// Units beyond `rate * t + burst`, over intervals of any length.
    pub beyond_units: f64,
    /// Units beyond the bound as a share of the units sent upstream.
    pub beyond_share: f64,
    /// Number of tenants with units beyond the bound.
    pub tenants_beyond: usize,
    /// The largest excess of any tenant, as a multiple of its plan's burst.
    pub worst_in_bursts: f64,
}

impl QuotaAudit {
    /// Creates an audit against `rate * (t + slack_s) + burst`.
    pub fn with_slack(slack_s: f64) -> Self {
        Self {
            slack_s,
            ..Self::default()
        }
    }

    /// Returns the units sent upstream so far and how many of them were beyond the bound.
    pub fn totals(&self) -> (f64, f64) {
        (
            self.sent,
            self.beyond.values().fold(0.0, |sum, units| sum + units),
        )
    }

    /// Records units that were sent upstream at the time `at` in µs, which must not decrease for a
    /// tenant.
    pub fn sent(&mut self, at: u64, tenant: usize, units: f64, plan: Plan) {
        let capacity = plan.burst + plan.rate * self.slack_s;
        let bucket = self.buckets.entry(tenant).or_insert(Bucket {
            level: capacity,
            refilled_at: at,
        });
        let elapsed_s = at.saturating_sub(bucket.refilled_at) as f64 / SECOND;
        bucket.refilled_at = at.max(bucket.refilled_at);
        bucket.level = (bucket.level + plan.rate * elapsed_s).min(capacity) - units;
        self.sent += units;
        if bucket.level < 0.0 {
            *self.beyond.entry(tenant).or_default() -= bucket.level;
            bucket.level = 0.0;
        }
    }

    /// Returns the result so far.
    pub fn result(&self, population: &Population) -> AuditResult {
        let (_, beyond) = self.totals();
        let in_bursts = |(tenant, units): (&usize, &f64)| units / population.plan(*tenant).burst;
        AuditResult {
            sent_units: self.sent,
            beyond_units: beyond,
            beyond_share: if self.sent > 0.0 {
                beyond / self.sent
            } else {
                0.0
            },
            tenants_beyond: self.beyond.len(),
            worst_in_bursts: self.beyond.iter().map(in_bursts).fold(0.0, f64::max),
        }
    }
}
