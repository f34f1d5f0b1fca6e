//! A scripted quota counter: so many calls a second over two parts, exact totals, calls turned away when crowded.

use mossrill::decision::Micros;
use std::collections::HashMap;

/// A caller waits so long at the most before it is turned away.
const LONGEST_QUEUE: f64 = 80_000.0;

pub struct Counter {
    totals: HashMap<u64, f64>,
    /// By part, when it is free again.
    free: [f64; 2],
    /// Time in µs that a call takes at its part.
    work: f64,
}

/// What becomes of a call: when its answer leaves, and the total, or none if it was turned away.
pub type Served = (f64, Option<f64>);

impl Counter {
    pub fn new(calls_a_second: f64) -> Self {
        Self {
            totals: HashMap::new(),
            free: [0.0; 2],
            work: 2e6 / calls_a_second,
        }
    }

    pub fn call(&mut self, now: Micros, name: u64, by: f64) -> Served {
        let (now, free) = (now as f64, &mut self.free[(name % 2) as usize]);
        if *free > now + LONGEST_QUEUE {
            return (now, None);
        }
        *free = free.max(now) + self.work;
        let total = self.totals.entry(name).or_insert(0.0);
        *total += by;
        (*free, Some(*total))
    }

    /// Loses this part of all counts.
    pub fn lose(&mut self, part: f64) {
        self.totals
            .values_mut()
            .for_each(|total| *total *= 1.0 - part);
    }
}
