//! HTTP/1.1 messages over blocking sockets (RFC 9112): heads are parsed by httparse, bodies by length or in chunks.

mod framing;
mod reader;

pub use crate::protocol::http::reader::Reader;

use std::io;
use thiserror::Error;

/// The most header lines of a message, and trailer lines of a body.
const MAX_HEADERS: usize = 64;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Body {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(usize),
    /// The body is in chunks.
    Chunked,
    /// The body ends with the connection.
    ToEnd,
}

/// Header lines with their names and values, as received.
pub type Headers = Vec<(String, Vec<u8>)>;

/// The head of a response.
#[derive(Debug)]
pub struct Head {
    /// The status code; 0 if there is none.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// The body that follows.
    pub body: Body,
    /// Whether the connection can be used again after the body.
    pub keep_alive: bool,
    /// The header lines.
    pub headers: Headers,
}

/// The head of a request.
#[derive(Debug)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The request target: path and query.
    pub target: String,
    /// Whether the version is HTTP/1.1.
    pub is_http_1_1: bool,
    /// The body that follows.
    pub body: Body,
    /// Whether the connection can be used again after the body.
    pub keep_alive: bool,
    /// The header lines.
    pub headers: Headers,
}

/// The value of the first header line of this name, compared without case.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a [u8]> {
    headers
        .iter()
        .find(|(other, _)| other.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_slice())
}

/// Why a message can't be read.
#[derive(Debug, Error)]
pub enum Broken {
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
}
