//! RESP2 codec: parses the commands of clients and the replies of upstream servers and the Redis
//! store.

use std::ops::Range;
use thiserror::Error;

/// Maximum length of a value that is held in a buffer, in bytes. Values in clients' commands may
/// not be longer.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Maximum length of a value from an upstream server, in bytes. A value longer than
/// [`MAX_VALUE_BYTES`] is streamed.
const MAX_STREAMED_VALUE_BYTES: usize = 4 << 20;
/// Maximum length of a line, in bytes. A longer line is rejected without waiting for its end.
const MAX_LINE_BYTES: usize = 1024;
/// Maximum length of a line that holds a length, in bytes.
const MAX_LENGTH_LINE_BYTES: usize = 32;
/// Maximum number of words in a command and of values in an array. The longest in use has five.
pub(super) const MAX_ELEMENTS: usize = 16;
/// Maximum nesting depth of arrays.
const MAX_DEPTH: usize = 3;

/// Reasons why bytes are not valid RESP.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum RespError {
    /// A line ends with a line feed but no carriage return.
    #[error("line without a carriage return")]
    MissingCarriageReturn,
    /// A line exceeds the maximum length.
    #[error("line too long")]
    LineTooLong,
    /// The text of an integer is not a number.
    #[error("not a number")]
    NotANumber,
    /// A line that holds a length exceeds the maximum length of such a line.
    #[error("length too long")]
    LengthTooLong,
    /// A length is negative, too large, or has a plus sign or leading zeros.
    #[error("length out of range")]
    LengthOutOfRange,
    /// A value is not followed by CRLF at its announced length.
    #[error("value longer than its length")]
    ValueTooLong,
    /// A command is not an array of bulk strings.
    #[error("a command is an array of bulk strings")]
    NotACommand,
    /// A command has no words.
    #[error("empty command")]
    EmptyCommand,
    /// A word of a command is null.
    #[error("null in a command")]
    NullInCommand,
    /// Arrays are nested more than three levels deep.
    #[error("nested too deep")]
    NestedTooDeep,
    /// The first byte of a reply is not a RESP2 type.
    #[error("unknown kind of reply")]
    UnknownType,
}

/// The parsed value and the index of the first byte after it; `None` if the input is incomplete.
type Parsed<T> = Result<Option<(T, usize)>, RespError>;

/// A reply. Texts are given as ranges of the parsed bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// `+text`.
    Simple(Range<usize>),
    /// `-text`.
    Error(Range<usize>),
    /// `:number`.
    Integer(i64),
    /// `$length`; `None` for the null bulk string.
    Bulk(Option<Range<usize>>),
    /// `*length`; `None` for the null array.
    Array(Option<Vec<Reply>>),
}

/// Parses the line that begins at `at`. Returns its range without the line end.
fn line(bytes: &[u8], at: usize) -> Parsed<Range<usize>> {
    match bytes[at..].iter().position(|byte| *byte == b'\n') {
        Some(0) => Err(RespError::MissingCarriageReturn),
        Some(end) if bytes[at + end - 1] != b'\r' => Err(RespError::MissingCarriageReturn),
        Some(end) => Ok(Some((at..at + end - 1, at + end + 1))),
        None if bytes.len() - at > MAX_LINE_BYTES => Err(RespError::LineTooLong),
        None => Ok(None),
    }
}

fn integer(bytes: &[u8]) -> Result<i64, RespError> {
    std::str::from_utf8(bytes)
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or(RespError::NotANumber)
}

/// Parses the length that begins at `at`, after a type byte. A length of -1, which means null, is
/// returned as `None`.
pub(super) fn length(bytes: &[u8], at: usize, max: usize) -> Parsed<Option<usize>> {
    let Some((text, next)) = line(bytes, at)? else {
        return if bytes.len() - at > MAX_LENGTH_LINE_BYTES {
            Err(RespError::LengthTooLong)
        } else {
            Ok(None)
        };
    };
    let digits = text.len();
    match integer(&bytes[text])? {
        -1 => Ok(Some((None, next))),
        // The comparison of digits rejects a plus sign and leading zeros.
        size if size >= 0 && size as usize <= max && size.to_string().len() == digits => {
            Ok(Some((Some(size as usize), next)))
        }
        _ => Err(RespError::LengthOutOfRange),
    }
}

/// Parses the bulk string whose length begins at `at`. The null bulk string is returned as `None`.
fn bulk(bytes: &[u8], at: usize) -> Parsed<Option<Range<usize>>> {
    match length(bytes, at, MAX_VALUE_BYTES)? {
        None => Ok(None),
        Some((None, next)) => Ok(Some((None, next))),
        Some((Some(size), start)) => match bytes.get(start + size..start + size + 2) {
            None => Ok(None),
            Some(b"\r\n") => Ok(Some((Some(start..start + size), start + size + 2))),
            Some(_) => Err(RespError::ValueTooLong),
        },
    }
}

/// Parses the command at the start of `bytes`. Returns the ranges of its words and the index of its
/// end, or `None` if the command is incomplete.
///
/// # Errors
///
/// Returns an error if the bytes are not a command. Bytes that follow can't be parsed in that case.
pub fn parse_command(bytes: &[u8]) -> Parsed<Vec<Range<usize>>> {
    match bytes.first() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(_) => return Err(RespError::NotACommand),
    }
    let Some((count, mut at)) = length(bytes, 1, MAX_ELEMENTS)? else {
        return Ok(None);
    };
    let count = count
        .filter(|count| *count > 0)
        .ok_or(RespError::EmptyCommand)?;
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        match bytes.get(at) {
            None => return Ok(None),
            Some(b'$') => {}
            Some(_) => return Err(RespError::NotACommand),
        }
        let Some((word, next)) = bulk(bytes, at + 1)? else {
            return Ok(None);
        };
        words.push(word.ok_or(RespError::NullInCommand)?);
        at = next;
    }
    Ok(Some((words, at)))
}

/// Returns the complete words at the start of a command that may be incomplete or invalid.
pub fn words_received(bytes: &[u8]) -> Vec<&[u8]> {
    let mut words = Vec::new();
    let first_line = match bytes.first() {
        Some(b'*') => length(bytes, 1, MAX_ELEMENTS),
        _ => return words,
    };
    let Ok(Some((_, mut at))) = first_line else {
        return words;
    };
    while bytes.get(at) == Some(&b'$') {
        let Ok(Some((Some(word), next))) = bulk(bytes, at + 1) else {
            break;
        };
        words.push(&bytes[word]);
        at = next;
    }
    words
}

/// If `bytes` begin an upstream server's reply with a value longer than `max_held` bytes, returns
/// the index at which the value begins and its length in bytes.
pub fn long_value(bytes: &[u8], max_held: usize) -> Option<(usize, usize)> {
    let head = bytes.strip_prefix(b"*3\r\n$")?;
    let (size, next) = length(head, 0, MAX_STREAMED_VALUE_BYTES).ok().flatten()?;
    size.filter(|size| *size > max_held)
        .map(|size| (bytes.len() - head.len() + next, size))
}

/// Parses the reply that begins at `at`. Returns the reply and the index of its end, or `None` if
/// the reply is incomplete.
///
/// # Errors
///
/// Returns an error if the bytes are not RESP2, or exceed a limit of this module.
pub fn parse_reply(bytes: &[u8], at: usize) -> Parsed<Reply> {
    nested(bytes, at, MAX_DEPTH)
}

/// Parses the reply that begins at `at`, in which arrays may be nested `depth` levels deep.
fn nested(bytes: &[u8], at: usize, depth: usize) -> Parsed<Reply> {
    let Some(kind) = bytes.get(at) else {
        return Ok(None);
    };
    Ok(match kind {
        b'+' => line(bytes, at + 1)?.map(|(text, next)| (Reply::Simple(text), next)),
        b'-' => line(bytes, at + 1)?.map(|(text, next)| (Reply::Error(text), next)),
        b':' => line(bytes, at + 1)?.map(|(text, next)| match integer(&bytes[text.clone()]) {
            Ok(number) => (Reply::Integer(number), next),
            // An integer that can't be parsed does not invalidate the other values of an array.
            Err(_) => (Reply::Simple(text), next),
        }),
        b'$' => bulk(bytes, at + 1)?.map(|(value, next)| (Reply::Bulk(value), next)),
        b'*' if depth > 0 => array(bytes, at + 1, depth - 1)?,
        b'*' => return Err(RespError::NestedTooDeep),
        _ => return Err(RespError::UnknownType),
    })
}

/// Parses the array whose length begins at `at`, in whose elements arrays may be nested `depth`
/// levels deep.
fn array(bytes: &[u8], at: usize, depth: usize) -> Parsed<Reply> {
    let Some((count, mut next)) = length(bytes, at, MAX_ELEMENTS)? else {
        return Ok(None);
    };
    let Some(count) = count else {
        return Ok(Some((Reply::Array(None), next)));
    };
    let mut values = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((value, end)) = nested(bytes, next, depth)? else {
            return Ok(None);
        };
        values.push(value);
        next = end;
    }
    Ok(Some((Reply::Array(Some(values)), next)))
}

/// Appends the command that consists of `words`.
pub fn write_command<'a>(to: &mut Vec<u8>, words: impl ExactSizeIterator<Item = &'a [u8]>) {
    to.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        to.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        to.extend_from_slice(word);
        to.extend_from_slice(b"\r\n");
    }
}
