//! Slow start: a server that is warming up gets a part of what a warm one gets.

use super::identifiers::Micros;
use super::settings::{Safety, SECOND};

/// The multiple that overloads a server is divided by this, as all that is allowed is sent.
const OVERLOAD_MARGIN: f64 = 6.0;

/// Token bucket of the sends to one server in slow start.
#[derive(Debug, Default)]
pub struct SlowStart {
    tokens: f64,
    refilled_at: Micros,
}

impl SlowStart {
    /// A bucket with a fraction of one send, so that those of many limiters add up.
    pub fn new(now: Micros, tokens: f64) -> Self {
        Self {
            tokens,
            refilled_at: now,
        }
    }

    /// Sends that are allowed now; one to a warm server, which has no `capacity`.
    pub fn tokens_at(
        &self,
        now: Micros,
        capacity: Option<f64>,
        warm_load: f64,
        safety: &Safety,
    ) -> f64 {
        let Some(capacity) = capacity else { return 1.0 };
        let seconds = now.saturating_sub(self.refilled_at) as f64 / SECOND;
        let margin = safety.overload_multiple / OVERLOAD_MARGIN;
        (self.tokens + warm_load * capacity * margin * seconds).min(1.0)
    }

    /// Takes one send out of what [`Self::tokens_at`] gave.
    pub fn take(&mut self, now: Micros, tokens: f64) {
        self.tokens = tokens - 1.0;
        self.refilled_at = now;
    }
}

/// Fraction of its capacity that a server has at the least; none once it has warmed up.
pub fn capacity(started_at: Micros, now: Micros, safety: &Safety) -> Option<f64> {
    let age = now.saturating_sub(started_at);
    if started_at == 0 || age >= safety.slow_start {
        return None;
    }
    let progress = (1.0 - safety.initial_capacity) * age as f64 / safety.slow_start as f64;
    Some(safety.initial_capacity + progress)
}
