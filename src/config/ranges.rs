//! Allowed ranges of durations in the configuration of quota leases.

use super::ConfigError;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Allowed lifetimes of a lease, in milliseconds.
pub(super) const LIFETIME_MS: RangeInclusive<u64> = 100..=600_000;
/// Default lifetime of a lease, in milliseconds.
pub(super) const DEFAULT_LIFETIME_MS: u64 = 10_000;
/// Allowed timeouts of a connection, in milliseconds.
pub(super) const TIMEOUT_MS: RangeInclusive<u64> = 10..=3_600_000;

/// Converts a number of milliseconds to a duration, or returns an error for `key` if it is out of
/// range.
pub(super) fn millis_within(
    key: &str,
    value: u64,
    range: RangeInclusive<u64>,
) -> Result<Duration, ConfigError> {
    if range.contains(&value) {
        return Ok(Duration::from_millis(value));
    }
    Err(ConfigError::Wrong {
        key: key.to_owned(),
        found: value.to_string(),
        wanted: format!("a whole number from {} to {}", range.start(), range.end()),
    })
}
