//! A rate limit for log lines that invalid input could otherwise repeat without bound.

use crate::threads::lock;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Minimum time between two lines.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Permits one log line per second and counts the suppressed ones.
#[derive(Debug, Default)]
pub struct LogThrottle(Mutex<ThrottleState>);

#[derive(Debug, Default)]
struct ThrottleState {
    last_line: Option<Instant>,
    suppressed: u64,
}

impl LogThrottle {
    /// Returns the number of lines suppressed since the last permitted one if a line may be written
    /// now. Otherwise counts this line as suppressed and returns `None`.
    pub fn permit(&self) -> Option<u64> {
        let mut state = lock(&self.0);
        if state
            .last_line
            .is_some_and(|last| last.elapsed() < LINE_INTERVAL)
        {
            state.suppressed += 1;
            return None;
        }
        state.last_line = Some(Instant::now());
        Some(std::mem::take(&mut state.suppressed))
    }
}
