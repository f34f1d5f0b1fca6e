//! What allocators and limiters are told of quota leases at their start.

use super::frame::Timeouts;
use super::holder::{Holder, HolderSettings};
use super::link::LinkTimeouts;
use super::placement::MAX_ALLOCATORS;
use crate::config::{self, Fault, Key};
use crate::decision::Micros;
use crate::membership::link::Place;
use serde::Deserialize;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// Limiters that an allocator can be configured for.
pub const MAX_LIMITERS: u32 = 100_000;
/// Shortest and longest lifetime of a lease, in milliseconds.
pub const LIFETIME_MS: RangeInclusive<u64> = 100..=600_000;
/// Lifetime of a lease where none is configured.
const DEFAULT_LIFETIME_MS: u64 = 10_000;
/// Shortest and longest time for which a connection is waited for, in milliseconds.
const TIMEOUT_MS: RangeInclusive<u64> = 10..=3_600_000;
/// Shortest and longest time between two lines of figures, in milliseconds.
const LOG_INTERVAL_MS: RangeInclusive<u64> = 100..=86_400_000;

/// Why a configuration is not taken.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{file}: {fault}")]
    File {
        /// The file.
        file: String,
        /// What the system says.
        fault: std::io::Error,
    },
    /// A key is missing, unknown, or of another type.
    #[error("{file}: key \"{key}\": {fault}")]
    Key {
        /// The file.
        file: String,
        /// Path of the key.
        key: String,
        /// What is wrong with it.
        fault: String,
    },
    /// What the checks found, which names the key.
    #[error("{file}: {fault}")]
    Value {
        /// The file.
        file: String,
        /// What is wrong, and with which key.
        fault: Fault,
    },
}

/// The file of an allocator.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AllocatorFile {
    number: u32,
    allocators: NonZeroU32,
    listen: SocketAddr,
    limiters: NonZeroU32,
    #[serde(default = "AllocatorFile::default_lifetime_ms")]
    lifetime_ms: u64,
    #[serde(default = "AllocatorFile::default_idle_ms")]
    idle_ms: u64,
    #[serde(default = "AllocatorFile::default_frame_ms")]
    frame_ms: u64,
    #[serde(default = "AllocatorFile::default_log_interval_ms")]
    log_interval_ms: u64,
    #[serde(default = "AllocatorFile::default_accounts")]
    accounts: NonZeroU32,
    #[serde(default)]
    connections: Option<NonZeroU32>,
    #[serde(default)]
    seed: Option<u64>,
    fleet: Value,
}

impl AllocatorFile {
    fn default_lifetime_ms() -> u64 {
        DEFAULT_LIFETIME_MS
    }

    fn default_idle_ms() -> u64 {
        60_000
    }

    fn default_frame_ms() -> u64 {
        2_000
    }

    fn default_log_interval_ms() -> u64 {
        60_000
    }

    fn default_accounts() -> NonZeroU32 {
        NonZeroU32::new(200_000).unwrap_or(NonZeroU32::MIN)
    }
}

/// What an allocator is told at its start.
#[derive(Clone)]
pub struct AllocatorConfig {
    /// Own number, from 0.
    pub number: u32,
    /// Allocators in all.
    pub allocators: u32,
    /// Where limiters connect.
    pub listen: SocketAddr,
    /// Limiters in all, numbered from 0.
    pub limiters: u32,
    /// Lifetime of a lease.
    pub lifetime: Duration,
    /// Accounts kept at most.
    pub accounts: usize,
    /// A connection without a frame for so long, or with a frame that takes too long, is closed.
    pub timeouts: Timeouts,
    /// Time between two lines of figures in the log.
    pub log_interval: Duration,
    /// Connections at most.
    pub connections: usize,
    /// The place in the fleet of allocators.
    pub fleet: Place,
}

impl AllocatorConfig {
    /// Reads a file.
    pub fn from_file(path: &Path) -> Result<Self, ConfigError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::from_text(&file, &text),
            Err(fault) => Err(ConfigError::File { file, fault }),
        }
    }

    /// Reads the text of a file; its name goes into errors.
    pub fn from_text(name: &str, text: &str) -> Result<Self, ConfigError> {
        let file: AllocatorFile =
            serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))
                .map_err(|fault| {
                    let (key, fault) = (fault.path().to_string(), fault.into_inner().to_string());
                    ConfigError::Key {
                        file: name.to_owned(),
                        key,
                        fault,
                    }
                })?;
        file.check().map_err(|fault| ConfigError::Value {
            file: name.to_owned(),
            fault,
        })
    }
}

impl AllocatorFile {
    fn check(self) -> Result<AllocatorConfig, Fault> {
        let (allocators, limiters) = (self.allocators.get(), self.limiters.get());
        at_most("allocators", allocators, MAX_ALLOCATORS)?;
        at_most("limiters", limiters, MAX_LIMITERS)?;
        at_most("number", self.number, allocators - 1)?;
        let seed = self.seed.unwrap_or_else(|| u64::from(std::process::id()));
        let root = json!({"fleet": self.fleet});
        let fleet = config::fleet(&Key::new(&root, ""), (self.number, allocators), seed)?
            .ok_or("key \"fleet\" is null, wanted an object")?;
        Ok(AllocatorConfig {
            number: self.number,
            allocators,
            listen: self.listen,
            limiters,
            lifetime: within("lifetime_ms", self.lifetime_ms, LIFETIME_MS)?,
            accounts: self.accounts.get() as usize,
            timeouts: Timeouts {
                idle: within("idle_ms", self.idle_ms, TIMEOUT_MS)?,
                frame: within("frame_ms", self.frame_ms, TIMEOUT_MS)?,
            },
            log_interval: within("log_interval_ms", self.log_interval_ms, LOG_INTERVAL_MS)?,
            // A limiter that is being upgraded or has lost a connection has a second one for a while.
            connections: self
                .connections
                .map_or(limiters.saturating_mul(2), NonZeroU32::get)
                as usize,
            fleet,
        })
    }
}

/// What a limiter is told of the allocators.
#[derive(Clone, Debug)]
pub struct LimiterLeases {
    /// Where allocators are reached; the place of an address is the allocator's number.
    pub allocators: Vec<SocketAddr>,
    /// How long connections to them may take.
    pub timeouts: LinkTimeouts,
    settings: HolderSettings,
}

/// The key `store` of a limiter's file.
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

    /// Addresses by number: all numbers from 0 on, each once.
    fn addresses(&self) -> Result<Vec<SocketAddr>, Fault> {
        let count = self.allocators.len();
        if count == 0 || count > MAX_ALLOCATORS as usize {
            return Err(format!(
                "key \"store.allocators\" has {count} entries, wanted 1 to {MAX_ALLOCATORS}"
            ));
        }
        let mut addresses: Vec<Option<SocketAddr>> = vec![None; count];
        for (index, entry) in self.allocators.iter().enumerate() {
            let key = |name: &str| format!("key \"store.allocators[{index}].{name}\"");
            let (number, address) = (entry.number, entry.address);
            let Some(place) = addresses.get(number as usize) else {
                let last = count - 1;
                return Err(format!(
                    "{} is {number}, wanted a whole number from 0 to {last}",
                    key("number")
                ));
            };
            if place.is_some() {
                return Err(format!(
                    "{} is {number}, wanted one that no other allocator has",
                    key("number")
                ));
            }
            if addresses.contains(&Some(address)) {
                return Err(format!(
                    "{} is {address}, wanted one that no other allocator has",
                    key("address")
                ));
            }
            if address.port() == 0 || address.ip().is_unspecified() {
                return Err(format!(
                    "{} is {address}, wanted where the allocator is reached",
                    key("address")
                ));
            }
            addresses[number as usize] = Some(address);
        }
        Ok(addresses.into_iter().flatten().collect())
    }
}

impl LimiterLeases {
    /// Reads the key `store` of the file of the limiter with this number.
    pub fn from_store(store: &Value, limiter: u32) -> Result<Self, Fault> {
        let keys: StoreKeys = serde_path_to_error::deserialize(store).map_err(|fault| {
            let path = fault.path().to_string();
            let dot = if path == "." { "" } else { "." };
            format!(
                "key \"store{dot}{}\": {}",
                path.trim_start_matches('.'),
                fault.inner()
            )
        })?;
        let allocators = keys.addresses()?;
        let lifetime = within("store.lifetime_ms", keys.lifetime_ms, LIFETIME_MS)?;
        // Leases are renewed before they expire, and what they leave is returned soon after.
        let interval = within(
            "store.interval_ms",
            keys.interval_ms,
            10..=keys.lifetime_ms / 4,
        )?;
        let answer = within("store.answer_ms", keys.answer_ms, TIMEOUT_MS)?;
        if !(0.0..=1.0).contains(&keys.fallback) {
            return Err(format!(
                "key \"store.fallback\" is {}, wanted a number from 0 to 1",
                keys.fallback
            ));
        }
        Ok(Self {
            timeouts: LinkTimeouts {
                connect: within("store.connect_ms", keys.connect_ms, TIMEOUT_MS)?,
                write: answer,
                answer,
            },
            settings: HolderSettings {
                limiter,
                allocators: allocators.len() as u32,
                lease: lifetime.as_micros() as Micros,
                interval: interval.as_micros() as Micros,
                lost_after: answer.as_micros() as Micros,
                fallback_thousandths: (keys.fallback * 1_000.0).round() as u32,
                ..HolderSettings::default()
            },
            allocators,
        })
    }

    /// A holder of leases for a limiter that starts now. A later start has a higher incarnation.
    pub fn holder(&self, now: Micros) -> Holder {
        Holder::new(
            now,
            HolderSettings {
                incarnation: now.max(1),
                ..self.settings
            },
        )
    }
}

fn at_most(key: &str, value: u32, most: u32) -> Result<(), Fault> {
    if value > most {
        return Err(format!("key \"{key}\" is {value}, {most} at most"));
    }
    Ok(())
}

fn within(key: &str, value: u64, range: RangeInclusive<u64>) -> Result<Duration, Fault> {
    if !range.contains(&value) {
        let (least, most) = range.into_inner();
        return Err(format!(
            "key \"{key}\" is {value}, wanted a whole number from {least} to {most}"
        ));
    }
    Ok(Duration::from_millis(value))
}
