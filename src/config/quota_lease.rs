//! Reads the configuration of quota leases from a limiter's file: the section `store` of kind
//! `leases`.

use super::ranges::{millis_within, DEFAULT_LIFETIME_MS, LIFETIME_MS, TIMEOUT_MS};
use super::ConfigError;
use crate::decision::Micros;
use crate::quota_lease::holder::{Holder, HolderSettings};
use crate::quota_lease::link::LinkTimeouts;
use crate::quota_lease::placement::MAX_ALLOCATORS;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum interval between two reports of a limiter to an allocator, in milliseconds.
const MIN_REPORT_INTERVAL_MS: u64 = 10;

/// How a limiter obtains quota leases.
#[derive(Clone, Debug)]
pub struct QuotaLeaseConfig {
    /// Addresses of the allocators, indexed by their numbers.
    pub allocators: Vec<SocketAddr>,
    /// Timeouts of connections to the allocators.
    pub timeouts: LinkTimeouts,
    settings: HolderSettings,
}

impl QuotaLeaseConfig {
    /// Reads the section `store` from the file of the limiter with this number.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key which is missing, unknown or has an invalid value.
    pub fn from_store(store: &Value, limiter: u32) -> Result<Self, ConfigError> {
        let keys: StoreKeys = serde_path_to_error::deserialize(store).map_err(|error| {
            let path = error.path().to_string();
            let separator = if path == "." { "" } else { "." };
            ConfigError::Deserialize {
                key: format!("store{separator}{}", path.trim_start_matches('.')),
                source: error.into_inner(),
            }
        })?;
        let allocators = keys.addresses()?;
        let lifetime = millis_within("store.lifetime_ms", keys.lifetime_ms, LIFETIME_MS)?;
        let report_interval = keys.report_interval()?;
        let answer_timeout = millis_within("store.answer_ms", keys.answer_ms, TIMEOUT_MS)?;
        keys.check_fallback()?;
        Ok(Self {
            timeouts: LinkTimeouts {
                connect: millis_within("store.connect_ms", keys.connect_ms, TIMEOUT_MS)?,
                write: answer_timeout,
                answer: answer_timeout,
            },
            settings: HolderSettings {
                limiter,
                allocators: allocators.len() as u32,
                lease: lifetime.as_micros() as Micros,
                report_interval: report_interval.as_micros() as Micros,
                unavailable_after: answer_timeout.as_micros() as Micros,
                fallback_thousandths: (keys.fallback * 1_000.0).round() as u32,
                ..HolderSettings::default()
            },
            allocators,
        })
    }

    /// Creates the lease holder of a limiter that starts at `now`. The start time is used as the
    /// incarnation, so a later start has a higher one.
    pub fn holder(&self, now: Micros) -> Holder {
        let settings = HolderSettings {
            incarnation: now.max(1),
            ..self.settings
        };
        Holder::new(now, settings)
    }
}

/// The keys of the section `store` of a limiter's file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreKeys {
    #[serde(rename = "kind")]
    _kind: String,
    allocators: Vec<AllocatorAddress>,
    #[serde(default = "StoreKeys::default_lifetime_ms")]
    lifetime_ms: u64,
    #[serde(default = "StoreKeys::default_interval_ms")]
    interval_ms: u64,
    #[serde(default = "StoreKeys::default_answer_ms")]
    answer_ms: u64,
    #[serde(default = "StoreKeys::default_connect_ms")]
    connect_ms: u64,
    #[serde(default = "StoreKeys::default_fallback")]
    fallback: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AllocatorAddress {
    number: u32,
    address: SocketAddr,
}

impl StoreKeys {
    fn default_lifetime_ms() -> u64 {
        DEFAULT_LIFETIME_MS
    }

    fn default_interval_ms() -> u64 {
        1_000
    }

    fn default_answer_ms() -> u64 {
        1_000
    }

    fn default_connect_ms() -> u64 {
        250
    }

    fn default_fallback() -> f64 {
        0.5
    }

    /// Returns the addresses of the allocators, indexed by their numbers. Each number from 0 on
    /// must occur exactly once.
    fn addresses(&self) -> Result<Vec<SocketAddr>, ConfigError> {
        let count = self.allocators.len();
        if count == 0 || count > MAX_ALLOCATORS as usize {
            return Err(ConfigError::WrongLength {
                key: "store.allocators",
                found: count,
                maximum: MAX_ALLOCATORS,
            });
        }
        let mut addresses = vec![None; count];
        for (index, entry) in self.allocators.iter().enumerate() {
            entry.check(index, &addresses)?;
            addresses[entry.number as usize] = Some(entry.address);
        }
        Ok(addresses.into_iter().flatten().collect())
    }

    /// Returns the interval between two reports. It may be at most a quarter of a lease's lifetime,
    /// so that leases are renewed before they expire, and units that the limiter no longer needs
    /// are returned soon.
    fn report_interval(&self) -> Result<Duration, ConfigError> {
        let range = MIN_REPORT_INTERVAL_MS..=self.lifetime_ms / 4;
        millis_within("store.interval_ms", self.interval_ms, range)
    }

    fn check_fallback(&self) -> Result<(), ConfigError> {
        if (0.0..=1.0).contains(&self.fallback) {
            return Ok(());
        }
        Err(ConfigError::Wrong {
            key: "store.fallback".into(),
            found: self.fallback.to_string(),
            wanted: "a number from 0 to 1".into(),
        })
    }
}

impl AllocatorAddress {
    /// Checks the entry at `index` of the list against `earlier`, the addresses of the entries
    /// before it.
    fn check(&self, index: usize, earlier: &[Option<SocketAddr>]) -> Result<(), ConfigError> {
        let wrong = |name: &str, found: String, wanted: String| {
            let key = format!("store.allocators[{index}].{name}");
            Err(ConfigError::Wrong { key, found, wanted })
        };
        let number = || self.number.to_string();
        let address = || self.address.to_string();
        let unique = || "a value that no other allocator has".to_owned();
        let Some(same_number) = earlier.get(self.number as usize) else {
            let last = earlier.len() - 1;
            let wanted = format!("a whole number from 0 to {last}");
            return wrong("number", number(), wanted);
        };
        if same_number.is_some() {
            return wrong("number", number(), unique());
        }
        if earlier.contains(&Some(self.address)) {
            return wrong("address", address(), unique());
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            let wanted = "the host:port at which the allocator can be reached".to_owned();
            return wrong("address", address(), wanted);
        }
        Ok(())
    }
}
