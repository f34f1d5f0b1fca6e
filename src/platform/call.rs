//! A request of a client in the form in which it is forwarded.

use crate::protocol::buffers::{Buffer, SMALL_BUFFER_BYTES};
use crate::retrying_stream::RetryingStream;
use std::io::{self, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::time::Duration;

/// Upper bound of the bytes that a word of an encoded command needs besides its own: its length
/// line, its line end and the additional digits of a longer deadline.
const MAX_FRAMING_BYTES: usize = 32;
/// Index of the command word that holds the fields.
pub const FIELDS_INDEX: usize = 3;
/// Index of the command word that holds the body.
const BODY_INDEX: usize = FIELDS_INDEX + 1;

/// A command that is forwarded as received except for its deadline.
pub struct PlatformCall {
    /// Buffer that contains the client's command.
    pub buffer: Buffer,
    /// The words of the command, as ranges of the buffer.
    pub words: Vec<Range<usize>>,
    /// Range of the deadline's digits in the buffer; empty if the command has no deadline.
    pub deadline_at: Range<usize>,
}

impl PlatformCall {
    /// Writes the command with `time_left` as its deadline.
    ///
    /// # Errors
    ///
    /// If the command was not written completely.
    pub(super) fn write(&self, to: &TcpStream, time_left: Duration) -> io::Result<()> {
        let mut to = RetryingStream(to);
        let max_bytes = self.max_encoded_bytes();
        if max_bytes > SMALL_BUFFER_BYTES {
            return self.write_words(to, time_left);
        }
        let mut command = Buffer::with_room_for(max_bytes);
        let size = self.encode(&mut command, time_left)?;
        to.write_all(&command[..size])
    }

    /// Returns an upper bound of the length of the encoded command, in bytes.
    fn max_encoded_bytes(&self) -> usize {
        self.max_encoded_bytes_of(&self.words)
    }

    fn max_encoded_bytes_of(&self, words: &[Range<usize>]) -> usize {
        let words = words.iter().map(|word| word.len() + MAX_FRAMING_BYTES);
        words.sum::<usize>() + MAX_FRAMING_BYTES
    }

    /// Writes the command with `time_left` as its deadline. Returns the number of bytes written.
    fn encode(&self, mut to: &mut [u8], time_left: Duration) -> io::Result<usize> {
        let capacity = to.len();
        write!(to, "*{}\r\n", self.words.len())?;
        for index in 0..self.words.len() {
            self.encode_word(&mut to, index, time_left)?;
        }
        Ok(capacity - to.len())
    }

    /// Writes a word with its length line and its line end.
    fn encode_word(
        &self,
        to: &mut impl Write,
        index: usize,
        time_left: Duration,
    ) -> io::Result<()> {
        let word = &self.words[index];
        if index == FIELDS_INDEX && !self.deadline_at.is_empty() {
            let deadline = time_left.as_millis().max(1).to_string();
            let before = &self.buffer[word.start..self.deadline_at.start];
            let after = &self.buffer[self.deadline_at.end..word.end];
            let length = before.len() + deadline.len() + after.len();
            write!(to, "${length}\r\n")?;
            to.write_all(before)?;
            to.write_all(deadline.as_bytes())?;
            to.write_all(after)?;
        } else {
            write!(to, "${}\r\n", word.len())?;
            to.write_all(&self.buffer[word.clone()])?;
        }
        to.write_all(b"\r\n")
    }

    /// Writes a command that is too long for a small buffer to the stream, word by word from where
    /// it is.
    fn write_words(&self, mut to: RetryingStream, time_left: Duration) -> io::Result<()> {
        let mut head = Vec::with_capacity(self.max_encoded_bytes_of(&self.words[..BODY_INDEX]));
        write!(head, "*{}\r\n", self.words.len())?;
        for index in 0..self.words.len().min(BODY_INDEX) {
            self.encode_word(&mut head, index, time_left)?;
        }
        to.write_all(&head)?;
        for index in BODY_INDEX..self.words.len() {
            self.encode_word(&mut to, index, time_left)?;
        }
        Ok(())
    }
}
