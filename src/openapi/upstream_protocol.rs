//! Attempts at upstream servers over HTTP: the client's request is forwarded with the time that is left for it.

use super::forwarded_headers::write_forwarded_headers;
use super::streamed_body::{StreamEnd, StreamedBody};
use crate::decision::Outcome;
use crate::openapi::description::Operation;
use crate::platform::upstream_protocol::STALL_TIMEOUT;
use crate::protocol::http::{Body, Broken, Head, Headers, Reader};
use crate::upstream::{Connection, ConnectionReader, Exchange, UpstreamProtocol};
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// The longest body in chunks, or up to the end of the connection, in bytes. It is received before it is forwarded.
const MAX_UNSIZED_BODY: usize = 1 << 20;
/// The longest body of known length that is received before it is forwarded, in bytes.
const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// The longest body of known length that is streamed, in bytes.
const MAX_STREAMED_BODY: usize = 4 << 20;
/// The header that states how many milliseconds the limiter waits for the response.
pub const TIME_LEFT: &str = "X-Deadline-Ms";

/// A request as it is forwarded to an upstream server.
pub struct HttpRequest {
    /// Its method.
    pub method: String,
    /// Path and query as they were received.
    pub target: String,
    /// Header lines as they were received.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
    /// Its operation in the description.
    pub operation: Operation,
}

/// The response of an upstream server.
pub struct HttpResponse {
    /// Status and header lines.
    pub head: Head,
    /// Its body.
    pub body: HttpBody,
}

/// The body of a response.
pub enum HttpBody {
    /// All of it has been received.
    Complete(Vec<u8>),
    /// It is forwarded as it is received.
    Streamed(StreamedBody),
}

impl HttpBody {
    /// Its length in bytes.
    pub fn length(&self) -> usize {
        match self {
            Self::Complete(body) => body.len(),
            Self::Streamed(body) => body.length(),
        }
    }
}

/// HTTP to upstream servers.
pub struct HttpUpstreamProtocol;

impl UpstreamProtocol for HttpUpstreamProtocol {
    type Call = HttpRequest;
    type Value = HttpResponse;

    fn write(
        &self,
        request: &HttpRequest,
        mut to: &TcpStream,
        time_left: Duration,
    ) -> io::Result<()> {
        let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.target).into_bytes();
        write_forwarded_headers(&mut text, &request.headers, &[TIME_LEFT])?;
        write!(text, "{TIME_LEFT}: {}\r\n", time_left.as_millis().max(1))?;
        if !request.body.is_empty() || matches!(&*request.method, "POST" | "PUT" | "PATCH") {
            write!(text, "Content-Length: {}\r\n", request.body.len())?;
        }
        text.extend_from_slice(b"\r\n");
        text.extend_from_slice(&request.body);
        to.write_all(&text)
    }

    fn read(
        &self,
        request: &HttpRequest,
        connection: &Arc<Connection>,
        begins: &dyn Fn(HttpResponse),
    ) -> Exchange<HttpResponse> {
        let mut reader = Reader::new(ConnectionReader(connection.clone()));
        let head = match read_final_head(&mut reader, &request.method) {
            Ok(head) => head,
            Err(error) => return failed(&error),
        };
        let outcome = match head.status {
            status if request.operation.never_ran(status) => Outcome::Rejected,
            500.. => Outcome::Error,
            _ => Outcome::Ok,
        };
        match head.body {
            Body::Length(length) if outcome == Outcome::Ok && length > MAX_BUFFERED_BODY => {
                stream_response(reader, head, length, connection, begins)
            }
            _ => buffer_response(reader, head, outcome),
        }
    }

    fn check_health(&self, _: &TcpStream) -> Exchange<HttpResponse> {
        // Never called: the settings of this front allow no health checks, as OpenAPI has no load reports.
        Exchange::failed(Outcome::Superseded)
    }
}

/// Reads the head of the final response, after any interim ones. A response to HEAD has no body, whatever its headers
/// say.
fn read_final_head(reader: &mut Reader<ConnectionReader>, method: &str) -> Result<Head, Broken> {
    let mut head = reader.response()?;
    while head.status < 200 {
        head = reader.response()?;
    }
    if method == "HEAD" {
        head.body = Body::Empty;
    }
    Ok(head)
}

/// Receives the whole body.
fn buffer_response(
    mut reader: Reader<ConnectionReader>,
    head: Head,
    outcome: Outcome,
) -> Exchange<HttpResponse> {
    let framing = head.body;
    let body = match reader.body(framing, MAX_UNSIZED_BODY) {
        Ok(body) => body,
        Err(error) => return failed(&error),
    };
    Exchange {
        outcome,
        load: Vec::new(),
        reusable: head.keep_alive && framing != Body::ToEnd && reader.drained(),
        value: Some(HttpResponse {
            head,
            body: HttpBody::Complete(body),
        }),
    }
}

/// Passes the response on before its body is received, and waits until the body has been forwarded.
fn stream_response(
    reader: Reader<ConnectionReader>,
    head: Head,
    length: usize,
    connection: &Connection,
    begins: &dyn Fn(HttpResponse),
) -> Exchange<HttpResponse> {
    let stream = &connection.stream;
    if length > MAX_STREAMED_BODY || stream.set_read_timeout(Some(STALL_TIMEOUT)).is_err() {
        return Exchange::failed(Outcome::Error);
    }
    let server_keeps = head.keep_alive;
    let (body, ended) = StreamedBody::new(reader, length);
    begins(HttpResponse {
        head,
        body: HttpBody::Streamed(body),
    });
    match ended.recv() {
        Ok(StreamEnd::Complete { drained }) => Exchange {
            outcome: Outcome::Ok,
            load: Vec::new(),
            value: None,
            reusable: server_keeps && drained && stream.set_read_timeout(None).is_ok(),
        },
        Ok(StreamEnd::BrokenOff) => Exchange::failed(Outcome::Reset),
        // The client closed its connection, or the attempt was superseded.
        Err(_) => Exchange::failed(Outcome::Cancelled),
    }
}

/// The result of an attempt whose response can't be read.
fn failed(error: &Broken) -> Exchange<HttpResponse> {
    Exchange::failed(match error {
        Broken::Io(error) if error.kind() == ErrorKind::WouldBlock => Outcome::Timeout,
        Broken::Closed | Broken::Io(_) => Outcome::Reset,
        Broken::Malformed(_) | Broken::TooLarge => Outcome::Error,
    })
}
