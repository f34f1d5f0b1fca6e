//! Priority queue of events by time. Events of the same time come in the order in which they were
//! added.

use mossrill::decision::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<T> {
    at: Micros,
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed, because `BinaryHeap` is a max-heap and the earliest event must come first.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Priority queue of events by time.
pub struct EventQueue<T> {
    heap: BinaryHeap<Entry<T>>,
    sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: Micros, event: T) {
        self.sequence += 1;
        self.heap.push(Entry {
            at,
            sequence: self.sequence,
            event,
        });
    }

    /// Returns the time of the next event, or [`Micros::MAX`] if there is none.
    pub fn next_time(&self) -> Micros {
        self.heap.peek().map_or(Micros::MAX, |entry| entry.at)
    }

    /// Removes and returns the next event with its time.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}
