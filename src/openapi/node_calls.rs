//! Attempts at ticket nodes over HTTP: the request goes on as it came, with the time left beside it.

use super::description::Operation;
use crate::interface::Outcome;
use crate::net::http::{Body, Broken, Head, Headers, Reader};
use crate::net::ticket_nodes::{Connection, Exchange, Speech};
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// The longest answer passed on.
const LONGEST_ANSWER: usize = 1 << 20;
/// Tells a ticket node for how many milliseconds the limiter waits.
pub const TIME_LEFT: &str = "X-Deadline-Ms";

/// A request as it goes on to a ticket node.
pub struct HttpCall {
    /// Its method.
    pub method: String,
    /// Path and query as they came.
    pub target: String,
    /// Header lines that go on.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
    /// What the description says of it.
    pub operation: Operation,
}

/// What a ticket node answered.
pub struct HttpServed {
    /// Status and header lines.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
}

/// HTTP to ticket nodes.
pub struct HttpSpeech;

impl Speech for HttpSpeech {
    type Call = HttpCall;
    type Value = HttpServed;

    fn write(&self, call: &HttpCall, mut to: &TcpStream, left: Duration) -> io::Result<()> {
        let mut text = format!("{} {} HTTP/1.1\r\n", call.method, call.target).into_bytes();
        write_headers(&mut text, &call.headers, &[TIME_LEFT])?;
        write!(text, "{TIME_LEFT}: {}\r\n", left.as_millis().max(1))?;
        if !call.body.is_empty() || matches!(&*call.method, "POST" | "PUT" | "PATCH") {
            write!(text, "Content-Length: {}\r\n", call.body.len())?;
        }
        text.extend_from_slice(b"\r\n");
        text.extend_from_slice(&call.body);
        to.write_all(&text)
    }

    fn read(&self, call: &HttpCall, from: &Arc<Connection>, _: &dyn Fn(HttpServed)) -> Exchange<HttpServed> {
        let mut reader = Reader::new(&from.stream);
        let answer = reader.response_with_body(LONGEST_ANSWER, call.method == "HEAD");
        let (head, body) = match answer {
            Ok(answer) => answer,
            Err(Broken::Io(fault)) if fault.kind() == ErrorKind::WouldBlock => {
                return Exchange::broke(Outcome::Timeout)
            }
            Err(Broken::Closed | Broken::Io(_)) => return Exchange::broke(Outcome::Reset),
            Err(Broken::Malformed(_) | Broken::TooLarge) => return Exchange::broke(Outcome::Error),
        };
        let keep = head.keep && head.body != Body::ToEnd && reader.drained();
        let outcome = match head.status {
            status if call.operation.never_ran(status) => Outcome::Full,
            500.. => Outcome::Error,
            _ => Outcome::Ok,
        };
        Exchange { outcome, load: Vec::new(), value: Some(HttpServed { head, body }), keep }
    }

    fn probe(&self, _: &TcpStream) -> Exchange<HttpServed> {
        // The settings of this front allow none: OpenAPI has no words for a node's load.
        Exchange::broke(Outcome::Moot)
    }
}

/// Header lines that belong to one connection, or that each side writes anew.
const OWN: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Appends the header lines that go on to the other side, but for `others`.
pub fn write_headers(to: &mut Vec<u8>, headers: &Headers, others: &[&str]) -> io::Result<()> {
    let is = |name: &str, other: &str| name.eq_ignore_ascii_case(other);
    let listed = headers.iter().filter(|(name, _)| is(name, "connection"));
    let listed: Vec<&[u8]> = listed.flat_map(|(_, value)| value.split(|b| *b == b',')).collect();
    for (name, value) in headers {
        let own = OWN.iter().chain(others).any(|own| is(name, own))
            || listed.iter().any(|word| word.trim_ascii().eq_ignore_ascii_case(name.as_bytes()));
        if !own {
            write!(to, "{name}: ")?;
            to.extend_from_slice(value);
            to.extend_from_slice(b"\r\n");
        }
    }
    Ok(())
}
