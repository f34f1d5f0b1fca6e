//! The clock of a limiter: Unix time that never decreases.

use crate::decision::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time, read from the system once and advanced by the monotonic clock.
///
/// The engine uses Unix time because service discovery reports start times of endpoints in it. The
/// monotonic clock keeps a step of the system clock from expiring all attempts at once.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// Unix time at `origin`, in microseconds.
    unix_origin: Micros,
}

impl Clock {
    /// Starts a clock at the current time of the system clock.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
            unix_origin: Self::wall_clock(),
        }
    }

    /// Returns the Unix time of the system clock, in microseconds. It may step, so that nothing is
    /// measured by it.
    pub fn wall_clock() -> Micros {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        unix.as_micros() as Micros
    }

    /// Returns the current Unix time, in microseconds.
    pub fn now(&self) -> Micros {
        self.unix_time_of(Instant::now())
    }

    /// Returns the Unix time of an instant, in microseconds.
    pub fn unix_time_of(&self, instant: Instant) -> Micros {
        self.unix_origin + instant.saturating_duration_since(self.origin).as_micros() as Micros
    }

    /// Returns the instant of a Unix time in microseconds. Times before the start of the clock are
    /// mapped to its start.
    pub fn instant_of(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.unix_origin))
    }
}
