//! Reads the configuration of an allocator of quota leases.

use super::membership::{read_membership, Member};
use super::ranges::{millis_within, DEFAULT_LIFETIME_MS, LIFETIME_MS, TIMEOUT_MS};
use super::reader::Section;
use super::ConfigError;
use crate::membership::fleet::FleetSettings;
use crate::quota_lease::frame::Timeouts;
use crate::quota_lease::placement::MAX_ALLOCATORS;
use crate::quota_lease::server::ServerSettings;
use serde::Deserialize;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::ops::RangeInclusive;
use std::path::Path;

/// Maximum number of limiters that an allocator can be configured for.
const MAX_LIMITERS: u32 = 100_000;
/// Allowed intervals between two log lines with metrics, in milliseconds.
const LOG_INTERVAL_MS: RangeInclusive<u64> = 100..=86_400_000;
/// Default maximum number of connections per limiter. During an upgrade, or after it has lost a
/// connection, a limiter temporarily has a second one.
const DEFAULT_CONNECTIONS_PER_LIMITER: u32 = 2;

/// Reads the configuration file of an allocator.
///
/// # Errors
///
/// Returns an error that names the file, and the key that is missing, unknown or has an invalid
/// value.
pub fn allocator_from_file(path: &Path) -> Result<ServerSettings, ConfigError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => allocator(&file, &text),
        Err(source) => Err(ConfigError::Unreadable { file, source }),
    }
}

/// Reads the configuration of an allocator from the text of its file. Errors call the file `file`.
///
/// # Errors
///
/// Returns the same errors as [`allocator_from_file`], except for those of reading the file.
pub fn allocator(file: &str, text: &str) -> Result<ServerSettings, ConfigError> {
    parse(text)
        .and_then(AllocatorFile::into_settings)
        .map_err(|source| ConfigError::InFile {
            file: file.to_owned(),
            source: Box::new(source),
        })
}

fn parse(text: &str) -> Result<AllocatorFile, ConfigError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| ConfigError::Deserialize {
        key: error.path().to_string(),
        source: error.into_inner(),
    })
}

/// The keys of an allocator's configuration file.
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

    /// Checks the values and converts them to settings.
    fn into_settings(self) -> Result<ServerSettings, ConfigError> {
        let allocators = self.allocators.get();
        let limiters = self.limiters.get();
        check_maximum("allocators", allocators, MAX_ALLOCATORS)?;
        check_maximum("limiters", limiters, MAX_LIMITERS)?;
        check_maximum("number", self.number, allocators - 1)?;
        let fleet = self.read_fleet()?;
        Ok(ServerSettings {
            number: self.number,
            allocators,
            listen: self.listen,
            limiters,
            lifetime: millis_within("lifetime_ms", self.lifetime_ms, LIFETIME_MS)?,
            accounts: self.accounts.get() as usize,
            timeouts: Timeouts {
                idle: millis_within("idle_ms", self.idle_ms, TIMEOUT_MS)?,
                frame: millis_within("frame_ms", self.frame_ms, TIMEOUT_MS)?,
            },
            log_interval: millis_within("log_interval_ms", self.log_interval_ms, LOG_INTERVAL_MS)?,
            connections: self.max_connections(),
            fleet,
        })
    }

    fn read_fleet(&self) -> Result<FleetSettings, ConfigError> {
        let root = json!({"fleet": self.fleet});
        let member = Member {
            number: self.number,
            fleet_size: self.allocators.get(),
            seed: self.seed.unwrap_or_else(|| u64::from(std::process::id())),
        };
        let fleet = read_membership(&Section::new(&root, ""), member)?;
        fleet.ok_or(ConfigError::Inconsistent {
            key: "fleet",
            reason: "is null, wanted an object",
        })
    }

    fn max_connections(&self) -> usize {
        let connections = self.connections.map_or(
            self.limiters
                .get()
                .saturating_mul(DEFAULT_CONNECTIONS_PER_LIMITER),
            NonZeroU32::get,
        );
        connections as usize
    }
}

fn check_maximum(key: &'static str, found: u32, maximum: u32) -> Result<(), ConfigError> {
    if found > maximum {
        return Err(ConfigError::AboveMaximum {
            key,
            found,
            maximum,
        });
    }
    Ok(())
}
