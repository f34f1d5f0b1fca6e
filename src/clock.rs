//! The clock of a limiter: Unix time that never goes back.

use crate::decision::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time, read from the system once and advanced by the monotonic clock.
///
/// Start times of endpoints are Unix time, so the engine needs it; a step of the system's clock must not
/// expire every attempt at once.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Micros,
}

impl Clock {
    /// Reads the system's clock.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            origin: Instant::now(),
            unix: unix.as_micros() as Micros,
        }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// Unix time of an instant.
    pub fn at(&self, instant: Instant) -> Micros {
        self.unix + instant.saturating_duration_since(self.origin).as_micros() as Micros
    }

    /// The instant of a Unix time; the start of the clock for an earlier one.
    pub fn moment(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.unix))
    }
}
