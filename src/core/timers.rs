//! The core's clock and its heap of things that fall due.

use crate::decision::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time, read from the system once and carried on by the monotonic clock.
///
/// Start times in the node list are Unix time, so the module's clock has to be that too; a step of the
/// system's clock in mid-run must not end every attempt at once.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Micros,
}

impl Clock {
    /// Anchors the clock now.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            origin: Instant::now(),
            unix: unix.as_micros() as Micros,
        }
    }

    /// This moment.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// A moment of the monotonic clock as Unix time.
    pub fn at(&self, moment: Instant) -> Micros {
        self.unix + moment.saturating_duration_since(self.origin).as_micros() as Micros
    }

    /// A Unix time as a moment of the monotonic clock.
    pub fn moment(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.unix))
    }
}

/// Entries in order of time; those due together come in the order in which they were set.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    heap: BinaryHeap<Reverse<(Micros, u64, T)>>,
    set: u64,
}

impl<T: Ord> Timers<T> {
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            set: 0,
        }
    }

    pub(crate) fn set(&mut self, at: Micros, entry: T) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, entry)));
    }

    pub(crate) fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    pub(crate) fn due(&mut self, now: Micros) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, entry))| entry)
    }
}
