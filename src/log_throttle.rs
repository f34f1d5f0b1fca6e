//! A limit on log lines that bad input could otherwise repeat without end.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Between two lines of one kind.
const EVERY: Duration = Duration::from_secs(1);

/// Lets one line a second through and counts the others.
#[derive(Debug, Default)]
pub struct LogThrottle(Mutex<(Option<Instant>, u64)>);

impl LogThrottle {
    /// How many lines were kept back since the last one, if one may be written now.
    pub fn permit(&self) -> Option<u64> {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.0.is_some_and(|last| last.elapsed() < EVERY) {
            state.1 += 1;
            return None;
        }
        state.0 = Some(Instant::now());
        Some(std::mem::take(&mut state.1))
    }
}
