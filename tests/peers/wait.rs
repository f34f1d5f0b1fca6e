//! Waiting for a condition.

use std::panic::Location;
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a wait fails; no event that the tests wait for takes as long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Observes a value again and again until the condition holds for it, and returns that value.
///
/// # Panics
///
/// If the condition does not hold within [`WAIT_TIMEOUT`].
#[track_caller]
pub fn wait_until<T: std::fmt::Debug>(
    observe: impl Fn() -> T,
    condition: impl Fn(&T) -> bool,
) -> T {
    let began = Instant::now();
    loop {
        let seen = observe();
        if condition(&seen) {
            return seen;
        }
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "expected the condition of the wait at {} to hold within {WAIT_TIMEOUT:?}, \
             last seen: {seen:?}",
            Location::caller()
        );
        thread::yield_now();
    }
}
