//! The system's clock as all processes of one machine share it.

use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in µs.
pub fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}
