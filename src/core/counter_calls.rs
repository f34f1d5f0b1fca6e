//! Calls to the counter that are in flight.

use crate::decision::Micros;
use std::collections::HashMap;

/// The calls in flight.
pub(super) struct CounterCalls {
    /// Key of the counter of each call, by call number.
    keys: HashMap<u64, u64>,
    /// Number of the last call that was started.
    last_call: u64,
    /// Timeout of each call, in microseconds.
    timeout: Micros,
}

impl CounterCalls {
    /// Creates an empty set of calls, each of which times out after `timeout` microseconds.
    pub(super) fn new(timeout: Micros) -> Self {
        Self {
            keys: HashMap::new(),
            last_call: 0,
            timeout,
        }
    }

    /// Registers a call for the counter with this key; returns the number of the call.
    pub(super) fn start(&mut self, key: u64) -> u64 {
        self.last_call += 1;
        self.keys.insert(self.last_call, key);
        self.last_call
    }

    /// Removes a call; returns the key of its counter, or `None` if the call has ended before.
    pub(super) fn finish(&mut self, call: u64) -> Option<u64> {
        self.keys.remove(&call)
    }

    /// Returns the time after which a call is considered failed, in microseconds.
    pub(super) fn timeout(&self) -> Micros {
        self.timeout
    }

    /// Whether no call is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
