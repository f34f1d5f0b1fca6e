//! The core's timers.

use crate::decision::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

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
