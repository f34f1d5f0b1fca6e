//! Events by time, those of one time in the order in which they were added.

use mossrill::decision::Micros;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<T> {
    at: Micros,
    order: u64,
    what: T,
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
        // The heap gives the greatest first.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Events by time.
pub struct EventQueue<T> {
    heap: BinaryHeap<Entry<T>>,
    order: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            order: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event.
    pub fn push(&mut self, at: Micros, what: T) {
        self.order += 1;
        self.heap.push(Entry {
            at,
            order: self.order,
            what,
        });
    }

    /// Time of the next event; [`Micros::MAX`] if there is none.
    pub fn next(&self) -> Micros {
        self.heap.peek().map_or(Micros::MAX, |entry| entry.at)
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        self.heap.pop().map(|entry| (entry.at, entry.what))
    }
}
