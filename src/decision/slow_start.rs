//! Slow start: a server that is warming up gets a fraction of the load of a warm one.

use super::identifiers::Micros;
use super::settings::{Safety, SECOND};

/// Divisor of the multiple of its capacity that overloads a server. All sends that the bucket
/// allows are made, so that it must allow less than that multiple.
const OVERLOAD_MARGIN: f64 = 6.0;

/// Token bucket of the sends to one server in slow start.
#[derive(Debug, Default)]
pub struct SlowStart {
    tokens: f64,
    refilled_at: Micros,
}

impl SlowStart {
    /// Creates a bucket that holds `tokens`, a fraction of one send. The fractions differ between
    /// limiters, so that the sends of many limiters add up to the allowed rate.
    pub fn new(now: Micros, tokens: f64) -> Self {
        Self {
            tokens,
            refilled_at: now,
        }
    }

    /// Returns the sends that are allowed now. A warm server, for which `capacity` is `None`, is
    /// always allowed one.
    pub fn tokens_at(
        &self,
        now: Micros,
        capacity: Option<f64>,
        warm_load: f64,
        safety: &Safety,
    ) -> f64 {
        let Some(capacity) = capacity else { return 1.0 };
        let seconds = now.saturating_sub(self.refilled_at) as f64 / SECOND;
        let allowed_multiple = safety.overload_multiple / OVERLOAD_MARGIN;
        (self.tokens + warm_load * capacity * allowed_multiple * seconds).min(1.0)
    }

    /// Takes one send from the bucket. `tokens` is the result of [`Self::tokens_at`].
    pub fn take(&mut self, now: Micros, tokens: f64) {
        self.tokens = tokens - 1.0;
        self.refilled_at = now;
    }
}

/// Returns the fraction of its capacity that a server has at least, or `None` once it is warm.
pub fn capacity(started_at: Micros, now: Micros, safety: &Safety) -> Option<f64> {
    let age = now.saturating_sub(started_at);
    if started_at == 0 || age >= safety.slow_start {
        return None;
    }
    let progress = (1.0 - safety.initial_capacity) * age as f64 / safety.slow_start as f64;
    Some(safety.initial_capacity + progress)
}
