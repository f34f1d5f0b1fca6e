//! The core's clock and its timers.

use crate::decision::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
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

/// One timer; the fields are in the order by which timers are sorted.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer<T> {
    at: Micros,
    number: u64,
    entry: T,
}

/// Timers in order of expiry; those of the same time expire in the order in which they were set.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    heap: BinaryHeap<Reverse<Timer<T>>>,
    count: u64,
}

impl<T: Ord> Timers<T> {
    /// No timers.
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            count: 0,
        }
    }

    /// Sets a timer that expires at this time.
    pub(crate) fn set(&mut self, at: Micros, entry: T) {
        self.count += 1;
        self.heap.push(Reverse(Timer {
            at,
            number: self.count,
            entry,
        }));
    }

    /// When the first timer expires; none if none is set.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }

    /// Removes the first timer if it has expired, and returns its entry.
    pub(crate) fn due(&mut self, now: Micros) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer.entry)
    }
}
