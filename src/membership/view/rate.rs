//! A bound on events a second.

use crate::decision::Micros;

/// So many a second, and as many at once as in half a second.
pub(super) struct TokenBucket {
    pub(super) per_s: f64,
    pub(super) level: f64,
    pub(super) filled: Micros,
}

impl TokenBucket {
    pub(super) fn new(per_s: f64, now: Micros) -> Self {
        Self {
            per_s,
            level: (per_s / 2.0).max(1.0),
            filled: now,
        }
    }

    pub(super) fn level(&mut self, now: Micros) -> f64 {
        let span = now.saturating_sub(self.filled) as f64 / 1e6;
        self.filled = now.max(self.filled);
        self.level = (self.level + span * self.per_s).min((self.per_s / 2.0).max(1.0));
        self.level
    }

    pub(super) fn take(&mut self, now: Micros) -> bool {
        let any = self.level(now) >= 1.0;
        self.level -= f64::from(u8::from(any));
        any
    }
}
