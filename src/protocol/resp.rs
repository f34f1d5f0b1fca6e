//! The RESP2 codec: commands as clients send them, replies as upstream servers and the Redis store send them.

use std::ops::Range;
use thiserror::Error;

/// The longest value that fits a buffer, in bytes, and the longest that the platform's clients may send.
const MAX_VALUE_BYTES: usize = 64 * 1024;
/// The longest value that an upstream server may send, in bytes; one beyond [`MAX_VALUE_BYTES`] is streamed.
const MAX_STREAMED_VALUE_BYTES: usize = 4 << 20;
/// The longest line in bytes; a longer one is an error before its end is received.
const MAX_LINE_BYTES: usize = 1024;
/// The longest line with a length in bytes.
const MAX_LENGTH_LINE_BYTES: usize = 32;
/// The most words in a command and values in an array; the longest in use has five.
const MAX_ELEMENTS: usize = 16;
/// How deep arrays may be nested.
const MAX_DEPTH: usize = 3;

/// Why bytes are not valid RESP.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum RespError {
    /// A line ends with a line feed alone.
    #[error("line without a carriage return")]
    MissingCarriageReturn,
    /// A line is longer than any in use.
    #[error("line too long")]
    LineTooLong,
    /// An integer is expected.
    #[error("not a number")]
    NotANumber,
    /// A line with a length is longer than any length.
    #[error("length too long")]
    LengthTooLong,
    /// A length is negative, too large or not in plain digits.
    #[error("length out of range")]
    LengthOutOfRange,
    /// No line end follows a value.
    #[error("value longer than its length")]
    ValueTooLong,
    /// A command has another type, or elements of other types.
    #[error("a command is an array of bulk strings")]
    NotACommand,
    /// A command without words.
    #[error("empty command")]
    EmptyCommand,
    /// A null among the words of a command.
    #[error("null in a command")]
    NullInCommand,
    /// Arrays are nested more than three deep.
    #[error("nested too deep")]
    NestedTooDeep,
    /// The first byte of a reply is no type of RESP2.
    #[error("unknown kind of reply")]
    UnknownType,
}

/// What was parsed, and where the rest begins; none while it is incomplete.
type Parsed<T> = Result<Option<(T, usize)>, RespError>;

/// A reply; texts are ranges of the parsed bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// `+text`.
    Simple(Range<usize>),
    /// `-text`.
    Error(Range<usize>),
    /// `:number`.
    Integer(i64),
    /// `$length`; none if null.
    Bulk(Option<Range<usize>>),
    /// `*length`; none if null.
    Array(Option<Vec<Reply>>),
}

/// The line that begins at `at`, without its end.
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

/// The length that begins at `at`, after a type byte; a length of -1 is none.
fn length(bytes: &[u8], at: usize, max: usize) -> Parsed<Option<usize>> {
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
        // A sign or leading zeros are no plain digits.
        size if size >= 0 && size as usize <= max && size.to_string().len() == digits => {
            Ok(Some((Some(size as usize), next)))
        }
        _ => Err(RespError::LengthOutOfRange),
    }
}

/// The bulk string whose length begins at `at`; none if it is null.
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

/// Parses the command at the start of these bytes: its words, as ranges, and where it ends; none while it is incomplete.
///
/// # Errors
///
/// If the bytes are not a command; what follows can't be parsed then.
pub fn command(bytes: &[u8]) -> Parsed<Vec<Range<usize>>> {
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

/// If these bytes begin an upstream server's answer with a value longer than a buffer: where the value begins, and its
/// length.
pub fn long_value(bytes: &[u8]) -> Option<(usize, usize)> {
    let head = bytes.strip_prefix(b"*3\r\n$")?;
    let (size, next) = length(head, 0, MAX_STREAMED_VALUE_BYTES).ok().flatten()?;
    size.filter(|size| *size > MAX_VALUE_BYTES)
        .map(|size| (bytes.len() - head.len() + next, size))
}

/// Parses the reply at `at`: the reply and where it ends; none while it is incomplete.
///
/// # Errors
///
/// If the bytes are not RESP2, or exceed a limit of this module.
pub fn reply(bytes: &[u8], at: usize) -> Parsed<Reply> {
    nested(bytes, at, MAX_DEPTH)
}

/// The reply at `at`; arrays in it may be nested `depth` deep.
fn nested(bytes: &[u8], at: usize, depth: usize) -> Parsed<Reply> {
    let Some(kind) = bytes.get(at) else {
        return Ok(None);
    };
    Ok(match kind {
        b'+' => line(bytes, at + 1)?.map(|(text, next)| (Reply::Simple(text), next)),
        b'-' => line(bytes, at + 1)?.map(|(text, next)| (Reply::Error(text), next)),
        b':' => line(bytes, at + 1)?.map(|(text, next)| match integer(&bytes[text.clone()]) {
            Ok(number) => (Reply::Integer(number), next),
            // Values beside an integer that can't be parsed stay usable.
            Err(_) => (Reply::Simple(text), next),
        }),
        b'$' => bulk(bytes, at + 1)?.map(|(value, next)| (Reply::Bulk(value), next)),
        b'*' if depth > 0 => array(bytes, at + 1, depth - 1)?,
        b'*' => return Err(RespError::NestedTooDeep),
        _ => return Err(RespError::UnknownType),
    })
}

/// The array whose length begins at `at`; its elements may be nested `depth` deep.
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

/// Appends a command of these words.
pub fn write_command<'a>(to: &mut Vec<u8>, words: impl ExactSizeIterator<Item = &'a [u8]>) {
    to.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        to.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        to.extend_from_slice(word);
        to.extend_from_slice(b"\r\n");
    }
}
