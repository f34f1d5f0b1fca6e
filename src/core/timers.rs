//! The timer queue of the core.

use crate::decision::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A timer. The derived order compares the fields from top to bottom, so their sequence matters.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer<T> {
    /// When the timer expires.
    at: Micros,
    /// Sequence number, which orders timers that expire at the same time.
    number: u64,
    entry: T,
}

/// Timers in order of expiry. Timers with the same time expire in the order in which they were set.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    heap: BinaryHeap<Reverse<Timer<T>>>,
    /// Number of timers that were ever set.
    count: u64,
}

impl<T: Ord> Timers<T> {
    /// Creates an empty queue.
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            count: 0,
        }
    }

    /// Sets a timer that expires at `at`.
    pub(crate) fn set(&mut self, at: Micros, entry: T) {
        self.count += 1;
        self.heap.push(Reverse(Timer {
            at,
            number: self.count,
            entry,
        }));
    }

    /// Returns when the first timer expires; `None` if no timer is set.
    pub(crate) fn next_expiry(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }

    /// Removes the first timer and returns its entry; `None` if it has not expired yet.
    pub(crate) fn pop_expired(&mut self, now: Micros) -> Option<T> {
        if self.next_expiry()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer.entry)
    }
}
