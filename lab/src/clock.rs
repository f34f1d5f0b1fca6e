//! The system clock, which all processes of one machine share.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in µs.
pub fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}
