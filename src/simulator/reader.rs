//! Typed access to the values of a line and to the settings in it.

use super::ParseError;
use crate::decision::Outcome;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::Value;

/// A message from the simulator, or an entry in one, whose values are accessed by index. A null
/// value is treated as absent.
pub(super) struct Message<'a> {
    /// Name of the message or entry, for errors.
    pub(super) name: &'a str,
    /// The values. The first value of a message is its name; entries have no name among their values.
    pub(super) values: &'a [Value],
}

impl<'a> Message<'a> {
    pub(super) fn get(&self, index: usize) -> Option<&'a Value> {
        self.values.get(index).filter(|value| !value.is_null())
    }

    /// Returns the error for a value that is missing or not of the form `wanted`.
    pub(super) fn invalid_value(&self, index: usize, wanted: &'static str) -> ParseError {
        let message = self.name.to_owned();
        match self.get(index) {
            None => ParseError::MissingValue {
                message,
                index,
                wanted,
            },
            Some(value) => ParseError::WrongValue {
                message,
                index,
                found: value.to_string(),
                wanted,
            },
        }
    }

    pub(super) fn integer(&self, index: usize) -> Result<u64, ParseError> {
        self.get(index)
            .and_then(Value::as_u64)
            .ok_or_else(|| self.invalid_value(index, "a whole number"))
    }

    pub(super) fn integer_or(&self, index: usize, default: u64) -> Result<u64, ParseError> {
        self.get(index).map_or(Ok(default), |_| self.integer(index))
    }

    pub(super) fn number(&self, index: usize) -> Result<f64, ParseError> {
        self.get(index)
            .and_then(Value::as_f64)
            .ok_or_else(|| self.invalid_value(index, "a number"))
    }

    pub(super) fn number_or(&self, index: usize, default: f64) -> Result<f64, ParseError> {
        self.get(index).map_or(Ok(default), |_| self.number(index))
    }

    pub(super) fn optional_number(&self, index: usize) -> Result<Option<f64>, ParseError> {
        self.get(index).map(|_| self.number(index)).transpose()
    }

    pub(super) fn text(&self, index: usize) -> Result<&'a str, ParseError> {
        self.get(index)
            .and_then(Value::as_str)
            .ok_or_else(|| self.invalid_value(index, "text"))
    }

    /// Reads a flag. An absent flag is false.
    pub(super) fn flag(&self, index: usize) -> Result<bool, ParseError> {
        let Some(value) = self.get(index) else {
            return Ok(false);
        };
        value
            .as_bool()
            .ok_or_else(|| self.invalid_value(index, "true or false"))
    }

    /// Reads a list. An absent list is empty.
    pub(super) fn list(&self, index: usize) -> Result<&'a [Value], ParseError> {
        let Some(value) = self.get(index) else {
            return Ok(&[]);
        };
        value
            .as_array()
            .map(Vec::as_slice)
            .ok_or_else(|| self.invalid_value(index, "a list"))
    }

    pub(super) fn base64(&self, index: usize) -> Result<Vec<u8>, ParseError> {
        STANDARD
            .decode(self.text(index)?)
            .map_err(|_| self.invalid_value(index, "base64"))
    }

    pub(super) fn load_report(&self, index: usize) -> Result<Vec<f64>, ParseError> {
        self.list(index)?
            .iter()
            .map(|value| {
                value
                    .as_f64()
                    .ok_or_else(|| self.invalid_value(index, "a load report"))
            })
            .collect()
    }

    pub(super) fn outcome(&self, index: usize) -> Result<Outcome, ParseError> {
        match self.integer(index)? {
            100 => Ok(Outcome::Ok),
            301 => Ok(Outcome::Error),
            302 => Ok(Outcome::Rejected),
            303 => Ok(Outcome::Timeout),
            304 => Ok(Outcome::ConnectFailed),
            305 => Ok(Outcome::Reset),
            306 => Ok(Outcome::Cancelled),
            307 => Ok(Outcome::Superseded),
            _ => Err(self.invalid_value(index, "an outcome code")),
        }
    }
}

/// A section of the settings, whose values are accessed by key. Every key has a default, and null
/// is treated as absent.
pub(super) struct Section<'a> {
    value: &'a Value,
    /// Path of the section in the settings, for errors.
    path: String,
}

impl<'a> Section<'a> {
    pub(super) fn new(value: &'a Value, path: String) -> Self {
        Self { value, path }
    }

    /// Returns the subsection at a key.
    pub(super) fn section(&self, key: &str) -> Section<'a> {
        Section::new(&self.value[key], self.path_of(key))
    }

    /// Returns the path of a key, for errors.
    pub(super) fn path_of(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    /// Reads the value of a key with `read`, which returns `None` if the value is not of the form
    /// `wanted`. Returns `default` if the key is absent.
    pub(super) fn optional<T>(
        &self,
        key: &str,
        default: T,
        wanted: &'static str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, ParseError> {
        match &self.value[key] {
            Value::Null => Ok(default),
            value => read(value).ok_or_else(|| ParseError::WrongSetting {
                key: self.path_of(key),
                found: value.to_string(),
                wanted,
            }),
        }
    }

    pub(super) fn number(&self, key: &str) -> Result<f64, ParseError> {
        self.optional(key, 0.0, "a number", Value::as_f64)
    }

    pub(super) fn integer(&self, key: &str) -> Result<u64, ParseError> {
        self.optional(key, 0, "a whole number", Value::as_u64)
    }

    pub(super) fn flag(&self, key: &str) -> Result<bool, ParseError> {
        self.optional(key, false, "true or false", Value::as_bool)
    }

    pub(super) fn text(&self, key: &str) -> Result<&'a str, ParseError> {
        self.optional(key, "", "text", Value::as_str)
    }

    /// Returns the entries of a list as sections. Each has the path of the list.
    pub(super) fn entries(&self, key: &str) -> Result<Vec<Section<'a>>, ParseError> {
        let entries = self.optional(key, &[][..], "a list", |value| {
            value.as_array().map(Vec::as_slice)
        })?;
        let sections = entries
            .iter()
            .map(|entry| Section::new(entry, self.path_of(key)));
        Ok(sections.collect())
    }
}
