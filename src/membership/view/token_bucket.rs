//! A token bucket that limits a rate.

use crate::decision::Micros;

/// Time in seconds in which an empty bucket fills.
const BURST_SECONDS: f64 = 0.5;

/// A token bucket. Its capacity is the number of tokens added in half a second, at least one.
pub(super) struct TokenBucket {
    rate_per_second: f64,
    /// Number of tokens at `updated_at`.
    level: f64,
    /// Time in µs of the last refill.
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

    /// Refills the bucket and returns the number of tokens in it.
    pub(super) fn level(&mut self, now: Micros) -> f64 {
        let elapsed_seconds = now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.updated_at = now.max(self.updated_at);
        let refilled = self.level + elapsed_seconds * self.rate_per_second;
        self.level = refilled.min(capacity(self.rate_per_second));
        self.level
    }

    /// Takes one token. Returns false if there is less than one.
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
