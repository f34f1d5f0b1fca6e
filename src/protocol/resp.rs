//! The RESP2 codec: commands as agents send them, replies as ticket nodes and the Redis store give them.

use std::ops::Range;

/// The longest value that the platform allows.
const LONGEST: usize = 64 * 1024;
/// The longest value that a ticket node may give; beyond [`LONGEST`] it is passed on as it comes.
const LONGEST_VALUE: usize = 4 << 20;
/// The longest line of any use; one that never ends is known by its being longer.
const LONGEST_LINE: usize = 1024;
/// Words in a command and values in an array at most; the longest in use has five.
const MOST: usize = 16;

/// What is wrong with what came in.
pub type Malformed = &'static str;

/// What was parsed and where the next begins; none while it is not whole.
type Parsed<T> = Result<Option<(T, usize)>, Malformed>;

/// A reply; texts are ranges of the bytes that were parsed.
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

/// A line from `at` up to its end, and where the next begins; none while it is not whole.
fn line(bytes: &[u8], at: usize) -> Parsed<Range<usize>> {
    match bytes[at..].iter().position(|b| *b == b'\n') {
        Some(0) => Err("line without a carriage return"),
        Some(end) if bytes[at + end - 1] != b'\r' => Err("line without a carriage return"),
        Some(end) => Ok(Some((at..at + end - 1, at + end + 1))),
        None if bytes.len() - at > LONGEST_LINE => Err("line too long"),
        None => Ok(None),
    }
}

fn integer(bytes: &[u8]) -> Result<i64, Malformed> {
    std::str::from_utf8(bytes)
        .ok()
        .and_then(|t| t.parse().ok())
        .ok_or("not a number")
}

/// The number behind a type byte; none while its line is not whole.
fn length(bytes: &[u8], at: usize, most: usize) -> Parsed<Option<usize>> {
    let Some((text, next)) = line(bytes, at)? else {
        return if bytes.len() - at > 32 {
            Err("length too long")
        } else {
            Ok(None)
        };
    };
    let digits = text.len();
    match integer(&bytes[text])? {
        -1 => Ok(Some((None, next))),
        n if n >= 0 && n as usize <= most && n.to_string().len() == digits => {
            Ok(Some((Some(n as usize), next)))
        }
        _ => Err("length out of range"),
    }
}

fn bulk(bytes: &[u8], at: usize) -> Parsed<Option<Range<usize>>> {
    match length(bytes, at, LONGEST)? {
        None => Ok(None),
        Some((None, next)) => Ok(Some((None, next))),
        Some((Some(size), start)) => match bytes.get(start + size..start + size + 2) {
            None => Ok(None),
            Some(b"\r\n") => Ok(Some((Some(start..start + size), start + size + 2))),
            Some(_) => Err("value longer than its length"),
        },
    }
}

/// The words of the command that these bytes begin with, and where it ends; none while it is not whole.
pub fn command(bytes: &[u8]) -> Parsed<Vec<Range<usize>>> {
    match bytes.first() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(_) => return Err("a command is an array of bulk strings"),
    }
    let Some((count, mut at)) = length(bytes, 1, MOST)? else {
        return Ok(None);
    };
    let count = count.filter(|n| *n > 0).ok_or("empty command")?;
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        match bytes.get(at) {
            None => return Ok(None),
            Some(b'$') => {}
            Some(_) => return Err("a command is an array of bulk strings"),
        }
        let Some((word, next)) = bulk(bytes, at + 1)? else {
            return Ok(None);
        };
        words.push(word.ok_or("null in a command")?);
        at = next;
    }
    Ok(Some((words, at)))
}

/// Where the value begins and how long it is, if these bytes begin the answer of a ticket node with a value that is
/// longer than a buffer.
pub fn long_value(bytes: &[u8]) -> Option<(usize, usize)> {
    let head = bytes.strip_prefix(b"*3\r\n$")?;
    let (size, next) = length(head, 0, LONGEST_VALUE).ok().flatten()?;
    size.filter(|size| *size > LONGEST)
        .map(|size| (bytes.len() - head.len() + next, size))
}

/// The reply that stands at `at`, and where it ends; none while it is not whole.
pub fn reply(bytes: &[u8], at: usize) -> Parsed<Reply> {
    nested(bytes, at, 3)
}

fn nested(bytes: &[u8], at: usize, depth: usize) -> Parsed<Reply> {
    let Some(kind) = bytes.get(at) else {
        return Ok(None);
    };
    Ok(match kind {
        b'+' => line(bytes, at + 1)?.map(|(text, next)| (Reply::Simple(text), next)),
        b'-' => line(bytes, at + 1)?.map(|(text, next)| (Reply::Error(text), next)),
        b':' => line(bytes, at + 1)?.map(|(text, next)| match integer(&bytes[text.clone()]) {
            Ok(number) => (Reply::Integer(number), next),
            // A figure that can't be read spoils nothing of what stands beside it.
            Err(_) => (Reply::Simple(text), next),
        }),
        b'$' => bulk(bytes, at + 1)?.map(|(value, next)| (Reply::Bulk(value), next)),
        b'*' if depth > 0 => {
            let Some((count, mut next)) = length(bytes, at + 1, MOST)? else {
                return Ok(None);
            };
            let Some(count) = count else {
                return Ok(Some((Reply::Array(None), next)));
            };
            let mut values = Vec::with_capacity(count);
            for _ in 0..count {
                let Some((value, end)) = nested(bytes, next, depth - 1)? else {
                    return Ok(None);
                };
                values.push(value);
                next = end;
            }
            Some((Reply::Array(Some(values)), next))
        }
        b'*' => return Err("nested too deep"),
        _ => return Err("unknown kind of reply"),
    })
}

/// Appends a command made of these words.
pub fn write_command<'a>(to: &mut Vec<u8>, words: impl ExactSizeIterator<Item = &'a [u8]>) {
    to.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        to.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        to.extend_from_slice(word);
        to.extend_from_slice(b"\r\n");
    }
}
