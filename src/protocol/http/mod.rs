//! HTTP/1.1 messages over blocking sockets (RFC 9112). Heads are parsed by httparse; bodies are
//! delimited by their length, by chunks or by the end of the connection.

mod framing;
mod reader;

pub use crate::protocol::http::reader::Reader;

use std::io;
use thiserror::Error;

/// Maximum number of header lines in a message, and of trailer lines after a chunked body.
const MAX_HEADERS: usize = 64;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Body {
    /// The message has no body.
    Empty,
    /// The body has a known length, in bytes.
    Length(usize),
    /// The body is sent in chunks.
    Chunked,
    /// The body extends to the end of the connection.
    UntilClose,
}

/// Names and values of header lines, in the order in which they were received.
pub type Headers = Vec<(String, Vec<u8>)>;

/// The head of a response.
#[derive(Debug)]
pub struct Head {
    /// Status code; 0 if there is none.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Framing of the body that follows.
    pub body: Body,
    /// Whether the connection can be used again after the body.
    pub keep_alive: bool,
    /// Header lines.
    pub headers: Headers,
}

/// The head of a request.
#[derive(Debug)]
pub struct RequestHead {
    /// Request method.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Whether the version is HTTP/1.1.
    pub is_http_1_1: bool,
    /// Framing of the body that follows.
    pub body: Body,
    /// Whether the connection can be used again after the body.
    pub keep_alive: bool,
    /// Header lines.
    pub headers: Headers,
}

/// Returns the value of the first header line with this name, compared case-insensitively.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a [u8]> {
    headers
        .iter()
        .find(|(other, _)| other.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_slice())
}

/// Reasons why a message can't be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection ended between two messages.
    #[error("the connection was closed")]
    Closed,
    /// The connection failed, or ended inside a message.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The message is not valid HTTP.
    #[error("{0}")]
    Malformed(&'static str),
    /// A head is larger than a buffer, or a body larger than the caller allows.
    #[error("the message is too large")]
    TooLarge,
    /// There is no memory for the message.
    #[error("no memory for the message")]
    NoMemory,
}
