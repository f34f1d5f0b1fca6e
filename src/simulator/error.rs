//! Error of the parsers of simulator lines.

use thiserror::Error;

/// Reasons why a line, or the settings in it, can't be parsed. The texts give the name of the
/// simulator message, and the index or key of the invalid value.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The line is JSON, but not a list.
    #[error("not a list")]
    NotAList,
    /// The list does not begin with a message name.
    #[error("no message name")]
    NoMessageName,
    /// There is no message of this name.
    #[error("unknown message {0}")]
    UnknownMessage(String),
    /// A required value is missing.
    #[error("{message}: value {index} is missing, wanted {wanted}")]
    MissingValue {
        /// Name of the message.
        message: String,
        /// Index of the value in the list.
        index: usize,
        /// Description of a valid value.
        wanted: &'static str,
    },
    /// A value does not have the form that the message requires.
    #[error("{message}: value {index} is {found}, wanted {wanted}")]
    WrongValue {
        /// Name of the message.
        message: String,
        /// Index of the value in the list.
        index: usize,
        /// The invalid value, as JSON.
        found: String,
        /// Description of a valid value.
        wanted: &'static str,
    },
    /// An event names an instance that is not running.
    #[error("{message}: no instance {instance} runs")]
    UnknownInstance {
        /// Name of the message.
        message: String,
        /// Number of the instance.
        instance: u64,
    },
    /// A request names a class or plan that is not in the settings.
    #[error("{message}: unknown {kind} {name}")]
    UnknownName {
        /// Name of the message.
        message: String,
        /// Whether the name is that of a class or of a plan.
        kind: &'static str,
        /// The unknown name.
        name: String,
    },
    /// A setting does not have the form that its key requires.
    #[error("provision: {key} is {found}, wanted {wanted}")]
    WrongSetting {
        /// Path of the setting's key.
        key: String,
        /// The invalid value, as JSON.
        found: String,
        /// Description of a valid value.
        wanted: &'static str,
    },
    /// A class has an unknown idempotency.
    #[error("provision: {key} is {found:?}")]
    UnknownIdempotency {
        /// Path of the setting's key.
        key: String,
        /// The unknown value.
        found: String,
    },
}
