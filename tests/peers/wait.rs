//! Waiting for a condition.

use std::thread;
use std::time::Duration;

/// Long enough for anything that is to happen at all.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Looks until what it sees is so, with patience.
pub fn until<T: std::fmt::Debug>(look: impl Fn() -> T, so: impl Fn(&T) -> bool) -> T {
    let began = std::time::Instant::now();
    loop {
        let seen = look();
        if so(&seen) {
            return seen;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "still {seen:?}");
        thread::yield_now();
    }
}
