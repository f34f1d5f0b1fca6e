//! Reasons for dropping messages, and counters of dropped messages.

use super::{FORMAT, MAX_BYTES};
use thiserror::Error;

/// Reason why a message is dropped.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The message is longer than [`MAX_BYTES`]; has its length in bytes.
    #[error("message of {0} bytes, expected at most {MAX_BYTES}")]
    TooLong(usize),
    /// The message is truncated or not a protocol buffer of the expected type.
    #[error("message cannot be decoded: {0}")]
    Malformed(#[source] prost::DecodeError),
    /// The message has another version of the format than [`FORMAT`].
    #[error("message of format {0}, expected {FORMAT}")]
    Format(u32),
    /// The message has too many entries, columns of different lengths, or an index or number out of
    /// range.
    #[error("message with invalid entries: {0}")]
    Entries(&'static str),
    /// The number of the sender is not that of a configured limiter or allocator, or not that of the
    /// allocator on this connection.
    #[error("message from unknown sender {0}")]
    UnknownSender(u32),
    /// The message is older than the last one of its sender, or does not answer the report in
    /// flight; has its sequence number.
    #[error("outdated message with sequence {0}")]
    Outdated(u64),
}

/// Number of dropped messages, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedMessages {
    /// Messages with [`MessageError::TooLong`].
    pub too_long: u64,
    /// Messages with [`MessageError::Malformed`].
    pub malformed: u64,
    /// Messages with [`MessageError::Format`].
    pub format: u64,
    /// Messages with [`MessageError::Entries`].
    pub entries: u64,
    /// Messages with [`MessageError::UnknownSender`].
    pub unknown_sender: u64,
    /// Messages with [`MessageError::Outdated`].
    pub outdated: u64,
}

impl DroppedMessages {
    /// Counts one message that is dropped for `reason`.
    pub fn count(&mut self, reason: &MessageError) {
        let counter = match reason {
            MessageError::TooLong(_) => &mut self.too_long,
            MessageError::Malformed(_) => &mut self.malformed,
            MessageError::Format(_) => &mut self.format,
            MessageError::Entries(_) => &mut self.entries,
            MessageError::UnknownSender(_) => &mut self.unknown_sender,
            MessageError::Outdated(_) => &mut self.outdated,
        };
        *counter = counter.saturating_add(1);
    }
}
