//! RESP and HTTP as far as the stand-ins of a soak need them. Shares no code with the limiter.

use std::io::{self, BufRead, Read};

/// Longest value that is read, in bytes.
const MAX_VALUE_BYTES: usize = 8 << 20;

/// Returns a command of these words.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(&bulk(word));
    }
    bytes
}

/// Returns a bulk string.
pub fn bulk(value: &[u8]) -> Vec<u8> {
    let mut bytes = format!("${}\r\n", value.len()).into_bytes();
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Reads a line without its end; `None` at the end of the connection.
///
/// # Errors
///
/// If the connection fails.
pub fn read_line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads the value of a bulk string of this length.
///
/// # Errors
///
/// If the connection ends or fails, or the length is none of a bulk string.
pub fn read_value(from: &mut impl Read, length: &str) -> io::Result<Vec<u8>> {
    let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
    if length > MAX_VALUE_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut value = vec![0; length + 2];
    from.read_exact(&mut value)?;
    value.truncate(length);
    Ok(value)
}

/// Reads the words of a command; `None` at the end of the connection.
///
/// # Errors
///
/// If the connection ends within a command or fails, or sends something else.
pub fn read_command(from: &mut impl BufRead) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(line) = read_line(from)? else {
        return Ok(None);
    };
    let count = line.strip_prefix('*').and_then(|count| count.parse().ok());
    let count: usize = count.ok_or(io::ErrorKind::InvalidData)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let line = read_line(from)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let length = line.strip_prefix('$').ok_or(io::ErrorKind::InvalidData)?;
        words.push(read_value(from, length)?);
    }
    Ok(Some(words))
}

/// Reads the head of an HTTP request, and returns its target; `None` at the end of the connection.
///
/// # Errors
///
/// If the connection fails.
pub fn read_http_target(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let Some(line) = read_line(from)? else {
        return Ok(None);
    };
    while read_line(from)?.is_some_and(|line| !line.is_empty()) {}
    Ok(line.split(' ').nth(1).map(str::to_owned))
}

/// Returns an HTTP response with this body.
pub fn http_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a chunk of an HTTP response.
pub fn http_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
