//! Simulated quota counter: two shards of limited capacity, exact totals, calls rejected when the
//! queue is too long.

use mossrill::decision::Micros;
use std::collections::HashMap;

/// Longest queueing time in µs; a call that would wait longer is rejected.
const MAX_QUEUE_MICROS: f64 = 80_000.0;

pub struct Counter {
    totals: HashMap<u64, f64>,
    /// For each shard, the time in µs at which it has worked off its queue.
    idle_at: [f64; 2],
    /// Time in µs that a call occupies its shard.
    call_micros: f64,
}

/// Time in µs at which the reply to a call leaves the counter, and the new total; `None` if the
/// call was rejected.
pub type CallResult = (f64, Option<f64>);

impl Counter {
    pub fn new(calls_per_second: f64) -> Self {
        Self {
            totals: HashMap::new(),
            idle_at: [0.0; 2],
            call_micros: 2e6 / calls_per_second,
        }
    }

    pub fn call(&mut self, now: Micros, key: u64, amount: f64) -> CallResult {
        let (now, idle_at) = (now as f64, &mut self.idle_at[(key % 2) as usize]);
        if *idle_at > now + MAX_QUEUE_MICROS {
            return (now, None);
        }
        *idle_at = idle_at.max(now) + self.call_micros;
        let total = self.totals.entry(key).or_insert(0.0);
        *total += amount;
        (*idle_at, Some(*total))
    }

    /// Reduces every total by this fraction of it.
    pub fn lose(&mut self, fraction: f64) {
        self.totals
            .values_mut()
            .for_each(|total| *total *= 1.0 - fraction);
    }
}
