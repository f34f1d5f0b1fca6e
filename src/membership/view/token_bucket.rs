//! A rate limit by tokens.

use crate::decision::Micros;

/// Seconds in which an empty bucket fills.
const BURST_SECONDS: f64 = 0.5;

/// A token bucket whose capacity is the tokens of half a second, one at the least.
pub(super) struct TokenBucket {
    rate_per_second: f64,
    level: f64,
    updated_at: Micros,
}

impl TokenBucket {
    /// Returns a full bucket.
    pub(super) fn new(rate_per_second: f64, now: Micros) -> Self {
        Self {
            rate_per_second,
            level: capacity(rate_per_second),
            updated_at: now,
        }
    }

    /// Refills the bucket and returns its tokens.
    pub(super) fn level(&mut self, now: Micros) -> f64 {
        let elapsed_seconds = now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.updated_at = now.max(self.updated_at);
        let refilled = self.level + elapsed_seconds * self.rate_per_second;
        self.level = refilled.min(capacity(self.rate_per_second));
        self.level
    }

    /// Takes one token; returns false if there is none.
    pub(super) fn take(&mut self, now: Micros) -> bool {
        if self.level(now) < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

fn capacity(rate_per_second: f64) -> f64 {
    (rate_per_second * BURST_SECONDS).max(1.0)
}
