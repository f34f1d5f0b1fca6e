//! HTTP protocol of upstream servers: forwards the client's request with the time left for it, and
//! reads the response.

use super::forwarded_headers::write_forwarded_headers;
use super::streamed_body::{StreamEnd, StreamedBody};
use crate::decision::Outcome;
use crate::memory::{MemoryBudget, MemoryCharge, MemoryHolder};
use crate::openapi::description::Operation;
use crate::protocol::buffers::SMALL_BUFFER_BYTES;
use crate::protocol::http::{Body, Head, Headers, ReadError, Reader};
use crate::retrying_stream::{RetryingStream, PEER_STALL_TIMEOUT};
use crate::upstream::{Connection, ConnectionReader, Exchange, UpstreamProtocol};
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Maximum length of a body of unknown length (in chunks, or up to the end of the connection), in
/// bytes. Such a body is received completely before it is forwarded.
const MAX_UNSIZED_BODY_BYTES: usize = 1 << 20;
/// Maximum length of a body of known length that is received completely before it is forwarded, in
/// bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a body that is streamed, in bytes.
const MAX_STREAMED_BODY_BYTES: usize = 4 << 20;
/// Name of the header that tells the upstream server for how many milliseconds the limiter waits
/// for the response.
pub const TIME_LEFT_HEADER: &str = "X-Deadline-Ms";

/// A request as it is forwarded to an upstream server.
pub struct HttpRequest {
    /// Request method.
    pub method: String,
    /// Request target (path and query) as received.
    pub target: String,
    /// Header lines as received.
    pub headers: Headers,
    /// Request body.
    pub body: Vec<u8>,
    /// The operation of the description that the request calls.
    pub operation: Operation,
}

/// The response of an upstream server.
pub struct HttpResponse {
    /// Status and header lines.
    pub head: Head,
    /// Response body.
    pub body: HttpBody,
    /// Charge for a body that was received completely and is not short.
    pub charge: Option<MemoryCharge>,
}

/// The body of a response.
pub enum HttpBody {
    /// The whole body was received.
    Complete(Vec<u8>),
    /// The body is forwarded while it is received.
    Streamed(StreamedBody),
}

impl HttpBody {
    /// Returns the length in bytes.
    pub fn length(&self) -> usize {
        match self {
            Self::Complete(body) => body.len(),
            Self::Streamed(body) => body.length(),
        }
    }
}

/// HTTP protocol of upstream servers.
pub struct HttpUpstreamProtocol;

impl UpstreamProtocol for HttpUpstreamProtocol {
    type Call = HttpRequest;
    type Value = HttpResponse;

    fn write(&self, request: &HttpRequest, to: &TcpStream, time_left: Duration) -> io::Result<()> {
        let mut to = RetryingStream(to);
        let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.target).into_bytes();
        write_forwarded_headers(&mut text, &request.headers, &[TIME_LEFT_HEADER])?;
        write!(
            text,
            "{TIME_LEFT_HEADER}: {}\r\n",
            time_left.as_millis().max(1)
        )?;
        if !request.body.is_empty() || matches!(&*request.method, "POST" | "PUT" | "PATCH") {
            write!(text, "Content-Length: {}\r\n", request.body.len())?;
        }
        text.extend_from_slice(b"\r\n");
        if request.body.len() > SMALL_BUFFER_BYTES {
            to.write_all(&text)?;
            return to.write_all(&request.body);
        }
        text.extend_from_slice(&request.body);
        to.write_all(&text)
    }

    fn read(
        &self,
        request: &HttpRequest,
        connection: &Arc<Connection>,
        memory: &Arc<MemoryBudget>,
        on_value_start: &dyn Fn(HttpResponse),
    ) -> Exchange<HttpResponse> {
        let source = ConnectionReader(connection.clone());
        let mut reader = Reader::with_memory(source, memory.clone(), MemoryHolder::Reply);
        let head = match read_final_head(&mut reader, &request.method) {
            Ok(head) => head,
            Err(error) => return failed(&error),
        };
        let outcome = match head.status {
            status if request.operation.never_ran(status) => Outcome::Rejected,
            500.. => Outcome::Error,
            _ => Outcome::Ok,
        };
        match (outcome, head.body) {
            (Outcome::Ok, Body::Length(length)) => {
                let charge = memory
                    .try_charge(MemoryHolder::Reply, length)
                    .filter(|_| length <= MAX_BUFFERED_BODY_BYTES);
                match charge {
                    Some(charge) => buffer_response(reader, head, charge),
                    None => stream_response(reader, head, length, connection, on_value_start),
                }
            }
            (Outcome::Ok, _) => {
                buffer_response(reader, head, memory.charge(MemoryHolder::Reply, 0))
            }
            _ => skip_response(reader, &head, outcome),
        }
    }

    fn check_health(&self, _: &TcpStream) -> Exchange<HttpResponse> {
        // Never called: the settings of this front disable health checks, as OpenAPI defines no
        // load reports.
        Exchange::failed(Outcome::Superseded)
    }
}

/// Reads the head of the final response and skips interim responses. A response to HEAD has no
/// body, even if its header lines announce one.
fn read_final_head(reader: &mut Reader<ConnectionReader>, method: &str) -> Result<Head, ReadError> {
    let mut head = reader.read_response()?;
    while head.status < 200 {
        head = reader.read_response()?;
    }
    if method == "HEAD" {
        head.body = Body::Empty;
    }
    Ok(head)
}

/// Receives the whole body of a response, which is charged as it gets longer.
fn buffer_response(
    mut reader: Reader<ConnectionReader>,
    head: Head,
    mut charge: MemoryCharge,
) -> Exchange<HttpResponse> {
    let framing = head.body;
    let mut has_memory = |bytes| charge.try_grow(bytes);
    let body = match reader.read_body_within(framing, MAX_UNSIZED_BODY_BYTES, &mut has_memory) {
        Ok(Some(body)) => body,
        Ok(None) => return failed(&ReadError::NoMemory),
        Err(error) => return failed(&error),
    };
    Exchange {
        outcome: Outcome::Ok,
        load: Vec::new(),
        reusable: is_reusable(&reader, &head),
        value: Some(HttpResponse {
            head,
            body: HttpBody::Complete(body),
            charge: Some(charge),
        }),
    }
}

/// Reads a response that is not passed on up to its end, so that its connection can be used again.
fn skip_response(
    mut reader: Reader<ConnectionReader>,
    head: &Head,
    outcome: Outcome,
) -> Exchange<HttpResponse> {
    match reader.read_body_within(head.body, MAX_UNSIZED_BODY_BYTES, &mut |_| false) {
        Ok(_) => Exchange {
            reusable: is_reusable(&reader, head),
            ..Exchange::failed(outcome)
        },
        Err(error) => failed(&error),
    }
}

/// Whether the connection can be used again after a response that was read up to its end.
fn is_reusable(reader: &Reader<ConnectionReader>, head: &Head) -> bool {
    head.keep_alive && head.body != Body::UntilClose && reader.is_drained()
}

/// Passes a response on before its body is received, and waits until the body has been forwarded.
fn stream_response(
    reader: Reader<ConnectionReader>,
    head: Head,
    length: usize,
    connection: &Connection,
    on_value_start: &dyn Fn(HttpResponse),
) -> Exchange<HttpResponse> {
    let stream = &connection.stream;
    let timeout = Some(PEER_STALL_TIMEOUT);
    if length > MAX_STREAMED_BODY_BYTES || stream.set_read_timeout(timeout).is_err() {
        return Exchange::failed(Outcome::Error);
    }
    let keep_alive = head.keep_alive;
    let (body, end_receiver) = StreamedBody::new(reader, length);
    on_value_start(HttpResponse {
        head,
        body: HttpBody::Streamed(body),
        charge: None,
    });
    match end_receiver.recv() {
        Ok(StreamEnd::Complete { is_drained }) => Exchange {
            outcome: Outcome::Ok,
            load: Vec::new(),
            value: None,
            reusable: keep_alive && is_drained && stream.set_read_timeout(None).is_ok(),
        },
        Ok(StreamEnd::UpstreamFailed) => Exchange::failed(Outcome::Reset),
        // The client closed its connection, or the body was dropped because the attempt was
        // superseded.
        Err(_) => Exchange::failed(Outcome::Cancelled),
    }
}

/// Returns the exchange for a response that can't be read.
fn failed(error: &ReadError) -> Exchange<HttpResponse> {
    Exchange::failed(match error {
        ReadError::Io(error) if error.kind() == ErrorKind::WouldBlock => Outcome::Timeout,
        ReadError::Closed | ReadError::Io(_) => Outcome::Reset,
        ReadError::Malformed(_) | ReadError::TooLarge | ReadError::NoMemory => Outcome::Error,
    })
}
