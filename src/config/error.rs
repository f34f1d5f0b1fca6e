//! The error of everything that reads configuration.

use crate::openapi::description::DescriptionErrors;
use crate::simulator::ParseError;
use serde_json::Value;
use std::net::SocketAddrV4;
use thiserror::Error;

/// Why a configuration is rejected. Messages name the key, and the file where it is known.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the system.
        source: std::io::Error,
    },
    /// A file was read and has an error.
    #[error("{file}: {source}")]
    InFile {
        /// The file.
        file: String,
        /// The error in it.
        source: Box<ConfigError>,
    },
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The text is JSON, but not an object.
    #[error("not a JSON object")]
    NotAnObject,
    /// A required key is missing.
    #[error("key \"{key}\" is missing, wanted {wanted}")]
    Missing {
        /// Path of the key.
        key: String,
        /// The form that the value must have.
        wanted: String,
    },
    /// A value has another form than its key requires.
    #[error("key \"{key}\" is {found}, wanted {wanted}")]
    Wrong {
        /// Path of the key.
        key: String,
        /// The value, as JSON.
        found: String,
        /// The form that the value must have.
        wanted: String,
    },
    /// A secret is missing or has another form than its key requires. The value is not part of the message.
    #[error("key \"{key}\" is missing or not {wanted}")]
    WrongSecret {
        /// Path of the key.
        key: &'static str,
        /// The form that the value must have.
        wanted: &'static str,
    },
    /// A key that no section has.
    #[error("key \"{key}\" is not known")]
    UnknownKey {
        /// Path of the key.
        key: String,
    },
    /// A number is too large.
    #[error("key \"{key}\" is {found}, {maximum} at most")]
    AboveMaximum {
        /// Path of the key.
        key: &'static str,
        /// The number.
        found: u32,
        /// The largest that is allowed.
        maximum: u32,
    },
    /// A list has too few or too many entries.
    #[error("key \"{key}\" has {found} entries, wanted 1 to {maximum}")]
    WrongLength {
        /// Path of the key.
        key: &'static str,
        /// Number of entries.
        found: usize,
        /// The largest number that is allowed.
        maximum: u32,
    },
    /// A key contradicts another, or a rule for several values is broken.
    #[error("key \"{key}\" {reason}")]
    Inconsistent {
        /// Path of the key.
        key: &'static str,
        /// The rule, as the end of a sentence that begins with the key.
        reason: &'static str,
    },
    /// Values are out of range.
    #[error("key \"{key}\": {reason}")]
    OutOfRange {
        /// Path of the section.
        key: &'static str,
        /// The rule that is broken.
        reason: &'static str,
    },
    /// The number of a limiter is not below the number of limiters.
    #[error("key \"settings.me\" is {limiter}, of {limiters} limiters")]
    LimiterNumber {
        /// Number of the limiter.
        limiter: u32,
        /// Number of limiters.
        limiters: u32,
    },
    /// A fleet is larger than the membership protocol allows.
    #[error("key \"fleet\": {limiters} limiters, {maximum} at the most")]
    FleetTooLarge {
        /// Number of limiters.
        limiters: u32,
        /// The largest number that is allowed.
        maximum: u32,
    },
    /// The list of seeds lacks the process that reads it.
    #[error("key \"fleet.seeds\" lacks this limiter, number {limiter} at {address}")]
    SeedMissing {
        /// Number of this limiter.
        limiter: u32,
        /// Its address.
        address: SocketAddrV4,
    },
    /// An entry of a list has an error.
    #[error("key \"{key}\", entry {index}: {source}")]
    InEntry {
        /// Path of the list.
        key: String,
        /// Index of the entry, from 0.
        index: usize,
        /// The error in it.
        source: Box<ConfigError>,
    },
    /// A section has an error, whose paths begin at the section.
    #[error("key \"{key}\": {source}")]
    InSection {
        /// Path of the section.
        key: &'static str,
        /// The error in it.
        source: Box<ConfigError>,
    },
    /// A key is missing, unknown or of another type, as serde found.
    #[error("key \"{key}\": {source}")]
    Deserialize {
        /// Path of the key.
        key: String,
        /// The error of serde.
        source: serde_json::Error,
    },
    /// The settings of the decision module can't be read.
    #[error("key \"settings\": {0}")]
    Settings(#[source] ParseError),
    /// The file of the OpenAPI description can't be read.
    #[error("key \"description\": {file}: {reason}")]
    DescriptionUnreadable {
        /// The file.
        file: String,
        /// The error of the system.
        reason: String,
    },
    /// The OpenAPI description has errors.
    #[error("key \"description\": {file}: {source}")]
    Description {
        /// The file.
        file: String,
        /// All errors that it has.
        source: DescriptionErrors,
    },
}

impl ConfigError {
    /// The error for a value that is missing or has the wrong form; null counts as missing.
    pub(super) fn wrong_value(key: String, value: &Value, wanted: &str) -> Self {
        let wanted = wanted.to_owned();
        match value {
            Value::Null => Self::Missing { key, wanted },
            value => Self::Wrong {
                key,
                found: value.to_string(),
                wanted,
            },
        }
    }
}
