//! The error of everything that reads the simulator's wire.

use thiserror::Error;

/// Why a line, or the settings in it, can't be read. Messages name the message and the index or key of the value.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The line is JSON, but not a list.
    #[error("not a list")]
    NotAList,
    /// The list does not begin with the name of a message.
    #[error("no message name")]
    NoMessageName,
    /// No message has this name.
    #[error("unknown message {0}")]
    UnknownMessage(String),
    /// A required value is missing.
    #[error("{message}: value {index} is missing, wanted {wanted}")]
    MissingValue {
        /// Name of the message.
        message: String,
        /// Index of the value in the list.
        index: usize,
        /// The form that the value must have.
        wanted: &'static str,
    },
    /// A value has another form than the message requires.
    #[error("{message}: value {index} is {found}, wanted {wanted}")]
    WrongValue {
        /// Name of the message.
        message: String,
        /// Index of the value in the list.
        index: usize,
        /// The value, as JSON.
        found: String,
        /// The form that the value must have.
        wanted: &'static str,
    },
    /// An event is addressed to an instance that does not run.
    #[error("{message}: no instance {instance} runs")]
    UnknownInstance {
        /// Name of the message.
        message: String,
        /// Number of the instance.
        instance: u64,
    },
    /// A request names a class or a plan that the settings lack.
    #[error("{message}: unknown {kind} {name}")]
    UnknownName {
        /// Name of the message.
        message: String,
        /// What the name should denote.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A setting has another form than its key requires.
    #[error("provision: {key} is {found}, wanted {wanted}")]
    WrongSetting {
        /// Path of the key.
        key: String,
        /// The value, as JSON.
        found: String,
        /// The form that the value must have.
        wanted: &'static str,
    },
    /// A class has an idempotency that is not known.
    #[error("provision: {key} is {found:?}")]
    UnknownIdempotency {
        /// Path of the key.
        key: String,
        /// The value.
        found: String,
    },
}
