//! Calls of the counter that have no reply yet.

use crate::decision::Micros;
use std::collections::HashMap;

/// The calls in flight, by number.
pub(super) struct CounterCalls {
    keys: HashMap<u64, u64>,
    last_call: u64,
    timeout: Micros,
}

impl CounterCalls {
    /// No calls; each is to time out after `timeout`.
    pub(super) fn new(timeout: Micros) -> Self {
        Self {
            keys: HashMap::new(),
            last_call: 0,
            timeout,
        }
    }

    /// Starts a call for the counter with this key; returns the number of the call.
    pub(super) fn start(&mut self, key: u64) -> u64 {
        self.last_call += 1;
        self.keys.insert(self.last_call, key);
        self.last_call
    }

    /// Ends a call; returns the key of its counter, or none if the call has ended before.
    pub(super) fn finish(&mut self, call: u64) -> Option<u64> {
        self.keys.remove(&call)
    }

    /// Time after which a call has failed.
    pub(super) fn timeout(&self) -> Micros {
        self.timeout
    }

    /// Whether no call is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
