//! A typed reader for the sections of a JSON configuration. Its errors name the path of the key.

use super::ConfigError;
use crate::decision::Micros;
use serde_json::Value;
use std::net::{SocketAddr, ToSocketAddrs};
use std::time::Duration;

/// Description of a network address in error messages.
const ADDRESS_FORM: &str = "host:port";
/// Description of an integer in error messages.
const INTEGER_FORM: &str = "a whole number";

/// Parses the text of a configuration file.
pub(super) fn parse(text: &str) -> Result<Value, ConfigError> {
    serde_json::from_str(text).map_err(ConfigError::NotJson)
}

/// Resolves `host:port`. If the host is a name with several addresses, returns the first one.
pub(super) fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse()
        .ok()
        .or_else(|| text.to_socket_addrs().ok()?.next())
}

/// Reads a number that is greater than 0.
pub(super) fn positive(value: &Value) -> Option<f64> {
    value.as_f64().filter(|number| *number > 0.0)
}

/// A section of the configuration: a JSON value with its path. A section that is absent or not an
/// object has no keys.
pub(super) struct Section<'a> {
    pub(super) value: &'a Value,
    path: String,
}

impl<'a> Section<'a> {
    /// Creates the section at `path`. The path is empty for the whole file, and for an entry of a
    /// list whose index the caller adds to errors.
    pub(super) fn new(value: &'a Value, path: impl Into<String>) -> Self {
        Self {
            value,
            path: path.into(),
        }
    }

    /// Returns the section at a key of this section.
    pub(super) fn section(&self, key: &str) -> Self {
        Self::new(&self.value[key], self.path_of(key))
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Returns the error for a key whose value is missing, or does not have the form that `wanted`
    /// describes.
    pub(super) fn wrong_value(&self, key: &str, wanted: &str) -> ConfigError {
        ConfigError::wrong_value(self.path_of(key), &self.value[key], wanted)
    }

    /// Reads a required key.
    pub(super) fn required<T>(
        &self,
        key: &str,
        wanted: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, ConfigError> {
        read(&self.value[key]).ok_or_else(|| self.wrong_value(key, wanted))
    }

    /// Reads a key that has a default.
    pub(super) fn optional<T>(
        &self,
        key: &str,
        default: T,
        wanted: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, ConfigError> {
        match &self.value[key] {
            Value::Null => Ok(default),
            value => read(value).ok_or_else(|| self.wrong_value(key, wanted)),
        }
    }

    /// Reads a required string.
    pub(super) fn text(&self, key: &str) -> Result<&'a str, ConfigError> {
        self.required(key, "text", Value::as_str)
    }

    /// Reads a string that has a default.
    pub(super) fn text_or(&self, key: &str, default: &str) -> Result<String, ConfigError> {
        self.optional(key, default.to_owned(), "text", |value| {
            value.as_str().map(str::to_owned)
        })
    }

    /// Reads a number that has a default.
    pub(super) fn number_or(&self, key: &str, default: f64) -> Result<f64, ConfigError> {
        self.optional(key, default, "a number", Value::as_f64)
    }

    /// Reads an integer that has a default.
    pub(super) fn integer_or(&self, key: &str, default: u64) -> Result<u64, ConfigError> {
        self.optional(key, default, INTEGER_FORM, Value::as_u64)
    }

    /// Reads an integer that has a default and must be within a range.
    pub(super) fn integer_within(
        &self,
        key: &str,
        default: u64,
        range: std::ops::RangeInclusive<u64>,
    ) -> Result<u64, ConfigError> {
        let wanted = format!("a whole number from {} to {}", range.start(), range.end());
        self.optional(key, default, &wanted, |value| {
            value.as_u64().filter(|number| range.contains(number))
        })
    }

    /// Reads a duration in microseconds that has a default.
    pub(super) fn micros_or(&self, key: &str, default: Micros) -> Result<Duration, ConfigError> {
        self.optional(key, default, "microseconds", Value::as_u64)
            .map(Duration::from_micros)
    }

    /// Reads a required address.
    pub(super) fn address(&self, key: &str) -> Result<SocketAddr, ConfigError> {
        self.required(key, ADDRESS_FORM, read_address)
    }

    /// Reads an address that has a default.
    pub(super) fn address_or(
        &self,
        key: &str,
        default: SocketAddr,
    ) -> Result<SocketAddr, ConfigError> {
        self.optional(key, default, ADDRESS_FORM, read_address)
    }

    /// Reads an address that may be absent, without a default.
    pub(super) fn optional_address(&self, key: &str) -> Result<Option<SocketAddr>, ConfigError> {
        self.optional(key, None, ADDRESS_FORM, |value| {
            read_address(value).map(Some)
        })
    }

    /// Reads a required list with at least one entry. The paths of an entry's keys are relative to
    /// the entry.
    pub(super) fn entries<T>(
        &self,
        key: &str,
        read: impl Fn(Section<'a>) -> Result<T, ConfigError>,
    ) -> Result<Vec<T>, ConfigError> {
        let list = self.required(key, "a list that is not empty", |value| {
            value.as_array().filter(|list| !list.is_empty())
        })?;
        let mut entries = Vec::with_capacity(list.len());
        for (index, value) in list.iter().enumerate() {
            let entry = read(Section::new(value, "")).map_err(|source| ConfigError::InEntry {
                key: key.to_owned(),
                index,
                source: Box::new(source),
            })?;
            entries.push(entry);
        }
        Ok(entries)
    }
}

fn read_address(value: &Value) -> Option<SocketAddr> {
    parse_address(value.as_str()?)
}
