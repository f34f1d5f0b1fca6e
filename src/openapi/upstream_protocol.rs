//! Attempts at ticket nodes over HTTP: the request goes on as it came, with the time left beside it.

use crate::decision::Outcome;
use crate::openapi::description::Operation;
use crate::platform::upstream_protocol::STALLED;
use crate::protocol::http::{Body, Broken, Head, Headers, Reader};
use crate::upstream::{Connection, Exchange, Source, UpstreamProtocol};
use crossbeam_channel::{bounded, Sender};
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// The longest answer in chunks or up to the end of the connection, which is gathered before it is passed on.
const LONGEST_ANSWER: usize = 1 << 20;
/// A body of more bytes than this, and of no more than the other, is passed on as it comes.
const LONGEST_WHOLE: usize = 64 * 1024;
const LONGEST_LONG: usize = 4 << 20;
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
    pub body: HttpBody,
}

/// The body of an answer.
pub enum HttpBody {
    /// It has come.
    Whole(Vec<u8>),
    /// It is longer than a buffer and is passed on as it comes.
    Long(HttpLong),
}

/// A long body, read by the thread that writes to the agent.
pub struct HttpLong {
    reader: Reader<Source>,
    /// How long it is.
    pub length: usize,
    /// To the thread of the attempt: that it is whole, and whether the connection can be used again; or that the node broke
    /// off.
    ended: Sender<Option<bool>>,
}

impl HttpLong {
    /// Writes the body to the agent as it comes. One that breaks off is shorter than its announced length.
    pub fn pass_on(mut self, mut to: &TcpStream) -> io::Result<()> {
        let mut due = self.length;
        while due > 0 {
            match self.reader.part(due) {
                Ok(part) => {
                    due -= part.len();
                    to.write_all(part)?;
                }
                Err(_) => {
                    _ = self.ended.try_send(None);
                    return Err(ErrorKind::UnexpectedEof.into());
                }
            }
        }
        _ = self.ended.try_send(Some(self.reader.drained()));
        Ok(())
    }
}

/// HTTP to ticket nodes.
pub struct HttpUpstreamProtocol;

impl UpstreamProtocol for HttpUpstreamProtocol {
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

    fn read(
        &self,
        call: &HttpCall,
        from: &Arc<Connection>,
        begins: &dyn Fn(HttpServed),
    ) -> Exchange<HttpServed> {
        let mut reader = Reader::new(Source(from.clone()));
        let head = loop {
            match reader.response() {
                Ok(head) if head.status < 200 => {}
                Ok(head) if call.method == "HEAD" => {
                    break Head {
                        body: Body::Empty,
                        ..head
                    }
                }
                Ok(head) => break head,
                Err(fault) => return broke(&fault),
            }
        };
        let outcome = match head.status {
            status if call.operation.never_ran(status) => Outcome::Rejected,
            500.. => Outcome::Error,
            _ => Outcome::Ok,
        };
        let (keeps, form) = (head.keep, head.body);
        match form {
            Body::Length(length) if outcome == Outcome::Ok && length > LONGEST_WHOLE => {
                if length > LONGEST_LONG || from.stream.set_read_timeout(Some(STALLED)).is_err() {
                    return Exchange::broke(Outcome::Error);
                }
                let (ended, passed) = bounded(1);
                begins(HttpServed {
                    head,
                    body: HttpBody::Long(HttpLong {
                        reader,
                        length,
                        ended,
                    }),
                });
                match passed.recv() {
                    Ok(Some(drained)) => {
                        let keep = keeps && drained && from.stream.set_read_timeout(None).is_ok();
                        Exchange {
                            outcome,
                            load: Vec::new(),
                            value: None,
                            keep,
                        }
                    }
                    Ok(None) => Exchange::broke(Outcome::Reset),
                    // The agent's doing, or nobody wanted it.
                    Err(_) => Exchange::broke(Outcome::Cancelled),
                }
            }
            _ => match reader.body(form, LONGEST_ANSWER) {
                Ok(body) => {
                    let keep = keeps && form != Body::ToEnd && reader.drained();
                    let value = Some(HttpServed {
                        head,
                        body: HttpBody::Whole(body),
                    });
                    Exchange {
                        outcome,
                        load: Vec::new(),
                        value,
                        keep,
                    }
                }
                Err(fault) => broke(&fault),
            },
        }
    }

    fn probe(&self, _: &TcpStream) -> Exchange<HttpServed> {
        // The settings of this front allow none: OpenAPI has no words for a node's load.
        Exchange::broke(Outcome::Superseded)
    }
}

/// What an answer that can't be read makes of its attempt.
fn broke(fault: &Broken) -> Exchange<HttpServed> {
    Exchange::broke(match fault {
        Broken::Io(fault) if fault.kind() == ErrorKind::WouldBlock => Outcome::Timeout,
        Broken::Closed | Broken::Io(_) => Outcome::Reset,
        Broken::Malformed(_) | Broken::TooLarge => Outcome::Error,
    })
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
    let listed: Vec<&[u8]> = listed
        .flat_map(|(_, value)| value.split(|b| *b == b','))
        .collect();
    for (name, value) in headers {
        let own = OWN.iter().chain(others).any(|own| is(name, own))
            || listed
                .iter()
                .any(|word| word.trim_ascii().eq_ignore_ascii_case(name.as_bytes()));
        if !own {
            write!(to, "{name}: ")?;
            to.extend_from_slice(value);
            to.extend_from_slice(b"\r\n");
        }
    }
    Ok(())
}
