//! Bounds for how long connections have waited until they were accepted, which the system does not tell.

use std::time::{Duration, Instant};

/// Longest time for which a connection is assumed to have waited.
pub const MAX_ACCEPT_DELAY: Duration = Duration::from_millis(500);

/// Follows whether connections are waiting to be accepted.
#[derive(Debug, Default)]
pub struct AcceptDelay {
    /// Since when connections may have waited without a break; none if none was waiting.
    waiting_since: Option<Instant>,
}

impl AcceptDelay {
    /// Records whether a connection is waiting before the next one is accepted.
    pub fn note_waiting(&mut self, is_waiting: bool) {
        if !is_waiting {
            self.waiting_since = None;
        }
    }

    /// Records that a connection was accepted. Returns when bytes may have arrived on it at the earliest.
    pub fn accepted(&mut self, now: Instant) -> Instant {
        // From now on others may wait.
        let since = *self.waiting_since.get_or_insert(now);
        now.checked_sub(MAX_ACCEPT_DELAY)
            .map_or(since, |limit| limit.max(since))
    }
}
