//! Skips a RESP command whose bytes are not kept, up to its end.

use super::resp::{length, RespError, MAX_ELEMENTS, MAX_VALUE_BYTES};

/// Length of the line end that follows a word, in bytes.
const LINE_END_BYTES: usize = 2;

/// A command that is being skipped. Its framing is checked; its words are not.
#[derive(Debug, Default)]
pub struct CommandSkipper {
    /// Number of words whose length has not been read yet; none before the first line.
    words_left: Option<usize>,
    /// Number of bytes left of the current word, with its line end.
    word_bytes_left: usize,
    /// Number of bytes skipped so far.
    skipped: usize,
}

impl CommandSkipper {
    /// Skips the bytes that belong to the command at the start of `bytes`. Returns their number; the
    /// rest belongs to the next command, or to a line that is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a command.
    pub fn skip(&mut self, bytes: &[u8]) -> Result<usize, RespError> {
        let mut at = 0;
        while at < bytes.len() && !self.is_at_end() {
            let step = if self.word_bytes_left > 0 {
                self.skip_word(bytes.len() - at)
            } else {
                self.read_length(bytes, at)?
            };
            if step == 0 {
                break;
            }
            at += step;
        }
        self.skipped += at;
        Ok(at)
    }

    /// Whether the whole command was skipped.
    pub fn is_at_end(&self) -> bool {
        self.words_left == Some(0) && self.word_bytes_left == 0
    }

    /// Returns the number of bytes skipped so far.
    pub fn skipped(&self) -> usize {
        self.skipped
    }

    fn skip_word(&mut self, available: usize) -> usize {
        let step = self.word_bytes_left.min(available);
        self.word_bytes_left -= step;
        step
    }

    /// Reads the line at `at`, which holds the number of words or the length of a word. Returns the
    /// length of the line, or 0 if it is incomplete.
    fn read_length(&mut self, bytes: &[u8], at: usize) -> Result<usize, RespError> {
        let (kind, max) = match self.words_left {
            None => (b'*', MAX_ELEMENTS),
            Some(_) => (b'$', MAX_VALUE_BYTES),
        };
        if bytes[at] != kind {
            return Err(RespError::NotACommand);
        }
        let Some((value, next)) = length(bytes, at + 1, max)? else {
            return Ok(0);
        };
        match self.words_left {
            None => {
                let words = value.filter(|count| *count > 0);
                self.words_left = Some(words.ok_or(RespError::EmptyCommand)?);
            }
            Some(words) => {
                self.word_bytes_left = value.ok_or(RespError::NullInCommand)? + LINE_END_BYTES;
                self.words_left = Some(words - 1);
            }
        }
        Ok(next - at)
    }
}
