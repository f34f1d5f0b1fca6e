//! The error type of this module and its submodules.

use crate::openapi::description::DescriptionErrors;
use crate::simulator::ParseError;
use serde_json::Value;
use std::net::SocketAddrV4;
use thiserror::Error;

/// The reason why a configuration is rejected. The message names the key, and the file if it is
/// known.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A file was read and contains an error.
    #[error("{file}: {source}")]
    InFile {
        /// Path of the file.
        file: String,
        /// The error in the file.
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
        /// Description of the form that the value must have.
        wanted: String,
    },
    /// A value does not have the form that its key requires.
    #[error("key \"{key}\" is {found}, wanted {wanted}")]
    Wrong {
        /// Path of the key.
        key: String,
        /// The value, as JSON.
        found: String,
        /// Description of the form that the value must have.
        wanted: String,
    },
    /// A secret is missing or does not have the form that its key requires. The message does not
    /// contain the value.
    #[error("key \"{key}\" is missing or not {wanted}")]
    WrongSecret {
        /// Path of the key.
        key: &'static str,
        /// Description of the form that the value must have.
        wanted: &'static str,
    },
    /// The section has no key of this name.
    #[error("key \"{key}\" is not known")]
    UnknownKey {
        /// Path of the key.
        key: String,
    },
    /// A number is too large.
    #[error("key \"{key}\" is {found}, wanted {maximum} or less")]
    AboveMaximum {
        /// Path of the key.
        key: &'static str,
        /// The number.
        found: u32,
        /// The largest number that is allowed.
        maximum: u32,
    },
    /// A list has too few or too many entries.
    #[error("key \"{key}\" has {found} entries, wanted 1 to {maximum}")]
    WrongLength {
        /// Path of the key.
        key: &'static str,
        /// Number of entries that the list has.
        found: usize,
        /// The largest number of entries that is allowed.
        maximum: u32,
    },
    /// The value of a key is inconsistent with that of another key, or is missing where it is
    /// required.
    #[error("key \"{key}\" {reason}")]
    Inconsistent {
        /// Path of the key.
        key: &'static str,
        /// The violated rule, as the end of a sentence that begins with the key.
        reason: &'static str,
    },
    /// Values in a section are out of range.
    #[error("key \"{key}\": {reason}")]
    OutOfRange {
        /// Path of the section.
        key: &'static str,
        /// The violated rule.
        reason: &'static str,
    },
    /// The number of this limiter is not less than the number of limiters.
    #[error("key \"settings.me\" is {limiter}, of {limiters} limiters")]
    LimiterNumber {
        /// Number of this limiter.
        limiter: u32,
        /// Number of limiters.
        limiters: u32,
    },
    /// A fleet is larger than the membership protocol allows.
    #[error("key \"fleet\": {limiters} limiters, wanted {maximum} or less")]
    FleetTooLarge {
        /// Number of limiters.
        limiters: u32,
        /// The largest number of limiters that is allowed.
        maximum: u32,
    },
    /// The list of seeds does not contain the process that reads it.
    #[error("key \"fleet.seeds\" lacks this limiter, number {limiter} at {address}")]
    SeedMissing {
        /// Number of this limiter.
        limiter: u32,
        /// Address of this limiter.
        address: SocketAddrV4,
    },
    /// An entry of a list contains an error.
    #[error("key \"{key}\", entry {index}: {source}")]
    InEntry {
        /// Path of the list.
        key: String,
        /// Index of the entry, from 0.
        index: usize,
        /// The error in the entry. Its paths are relative to the entry.
        source: Box<ConfigError>,
    },
    /// A section contains an error.
    #[error("key \"{key}\": {source}")]
    InSection {
        /// Path of the section.
        key: &'static str,
        /// The error in the section. Its paths are relative to the section.
        source: Box<ConfigError>,
    },
    /// A key is missing, unknown or of the wrong type, as reported by serde.
    #[error("key \"{key}\": {source}")]
    Deserialize {
        /// Path of the key.
        key: String,
        /// The error that serde reported.
        source: serde_json::Error,
    },
    /// The settings of the decision engine are invalid.
    #[error("key \"settings\": {0}")]
    Settings(#[source] ParseError),
    /// The file of the OpenAPI description can't be read.
    #[error("key \"description\": {file}: {reason}")]
    DescriptionUnreadable {
        /// Path of the file.
        file: String,
        /// The error of the operating system.
        reason: String,
    },
    /// The OpenAPI description contains errors.
    #[error("key \"description\": {file}: {source}")]
    Description {
        /// Path of the file.
        file: String,
        /// All errors in the description.
        source: DescriptionErrors,
    },
}

impl ConfigError {
    /// Returns the error for a value that is missing or does not have the wanted form. Null counts
    /// as missing.
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
