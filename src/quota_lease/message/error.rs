//! Errors of messages, and how often each occurred.

use super::{FORMAT, MAX_BYTES};
use thiserror::Error;

/// Why a message is dropped.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Longer than [`MAX_BYTES`].
    #[error("message of {0} bytes, {MAX_BYTES} at most")]
    TooLong(usize),
    /// Not a protocol buffer of this type, or truncated.
    #[error("message can't be read: {0}")]
    Malformed(#[source] prost::DecodeError),
    /// Another version of the format.
    #[error("message of format {0}, wanted {FORMAT}")]
    Format(u32),
    /// Too many entries, columns of different lengths, or an index or number out of range.
    #[error("entries of the message don't fit together: {0}")]
    Entries(&'static str),
    /// The sender is not a configured member.
    #[error("unknown sender {0}")]
    UnknownSender(u32),
    /// Older than the last message of this sender, or not the answer to the last report.
    #[error("outdated message with sequence {0}")]
    Outdated(u64),
}

/// Counts dropped messages by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedMessages {
    /// [`MessageError::TooLong`].
    pub too_long: u64,
    /// [`MessageError::Malformed`].
    pub malformed: u64,
    /// [`MessageError::Format`].
    pub format: u64,
    /// [`MessageError::Entries`].
    pub entries: u64,
    /// [`MessageError::UnknownSender`].
    pub unknown_sender: u64,
    /// [`MessageError::Outdated`].
    pub outdated: u64,
}

impl DroppedMessages {
    /// Counts one message.
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
