//! Protocol of HTTP clients: requests are matched with the operations of the OpenAPI description.

use super::reply::{write_response, Problem, ReplyContext};
use crate::client::interruptible::InterruptibleReader;
use crate::client::{ClientProtocol, CloseReason, DirectReply, ReplyReservation, Session};
use crate::config::AccountConfig;
use crate::core::{Answer, IncomingRequest};
use crate::decision::AccountId;
use crate::memory::MemoryHolder;
use crate::openapi::description::{Description, Operation, OperationMatch};
use crate::openapi::upstream_protocol::{
    HttpBody, HttpRequest, HttpResponse, HttpUpstreamProtocol,
};
use crate::protocol::buffers::SMALL_BUFFER_BYTES;
use crate::protocol::http::{header, Body, ReadError, Reader, RequestHead};
use crate::retrying_stream::RetryingStream;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Interim response to a client that waits for it before it sends the body.
const CONTINUE_RESPONSE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// Protocol that clients of the OpenAPI front speak.
pub struct HttpClientProtocol {
    description: Description,
    account_header: String,
    accounts: HashMap<String, AccountConfig>,
}

/// A request that was received completely, with its body.
struct ReceivedRequest {
    head: RequestHead,
    body: Vec<u8>,
    received_at: Instant,
}

impl ReceivedRequest {
    /// Returns how many bytes the request holds until it is answered.
    fn held_bytes(&self) -> usize {
        let headers = self.head.headers.iter();
        let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        self.head.target.len() + header_bytes + self.body.len()
    }
}

/// What was read from a connection.
enum Received {
    /// A whole request.
    Request(ReceivedRequest),
    /// The head of a request whose body was skipped, as there was no memory for it.
    WithoutBody(RequestHead),
    /// The end of the connection.
    End,
}

/// The operation that a request calls, and the account that it is charged to.
struct RequestTarget<'a> {
    operation: &'a Operation,
    account_name: &'a str,
    account: AccountConfig,
}

/// Whether the next request is read from a connection.
#[derive(Clone, Copy, PartialEq)]
enum NextRequest {
    Read,
    Stop,
}

impl ClientProtocol for HttpClientProtocol {
    type Upstream = HttpUpstreamProtocol;
    type ReplyContext = ReplyContext;

    fn read(&self, from: &mut InterruptibleReader, session: &Session<Self>) -> Vec<u8> {
        let memory = session.memory().clone();
        let mut reader = Reader::with_memory(from, memory, MemoryHolder::IncompleteCommand);
        let mut behind_since = None;
        loop {
            behind_since = behind_since
                .or_else(|| session.take_pause())
                .filter(|_| !reader.unread().is_empty() || reader.source().has_received());
            let next = match self.read_request(&mut reader, session) {
                Ok(Received::Request(mut request)) => {
                    // It may have been received when reading paused.
                    request.received_at = behind_since.unwrap_or(request.received_at);
                    self.process(request, session)
                }
                Ok(Received::WithoutBody(head)) => self.reject_for_memory(&head, session),
                Ok(Received::End) => return reader.unread().to_vec(),
                Err(problem) => {
                    // The connection must be closed, as the start of the next request is unknown.
                    let text = problem.encode(&ReplyContext::CLOSING);
                    session.reply_and_close(ReplyContext::CLOSING, text, problem.detail());
                    return Vec::new();
                }
            };
            if next == NextRequest::Stop {
                return Vec::new();
            }
        }
    }

    fn closing_reply(&self, reason: CloseReason) -> (ReplyContext, Vec<u8>) {
        let status = match reason {
            CloseReason::TooSlow => 408,
            CloseReason::TooMany => 429,
        };
        let text = Problem::new(status, reason.description()).encode(&ReplyContext::CLOSING);
        (ReplyContext::CLOSING, text)
    }

    fn held_bytes(response: &HttpResponse) -> usize {
        match &response.body {
            HttpBody::Complete(body) => body.len(),
            HttpBody::Streamed(_) => 0,
        }
    }

    fn write(
        &self,
        client: &TcpStream,
        context: ReplyContext,
        answer: Answer<HttpResponse>,
    ) -> io::Result<bool> {
        let problem = match answer {
            Answer::Served(response) => {
                write_response(client, &context, response)?;
                return Ok(context.keep_alive);
            }
            Answer::Rejected {
                retry_after,
                timed_out,
            } => Problem::rejected(retry_after, timed_out),
            Answer::Failed { timed_out } => Problem::failed(timed_out),
        };
        RetryingStream(client).write_all(&problem.encode(&context))?;
        Ok(context.keep_alive)
    }
}

impl HttpClientProtocol {
    /// Creates the protocol for the operations of a description. `account_header` is the name of
    /// the header that holds the account of a request.
    pub fn new(
        description: Description,
        account_header: String,
        accounts: HashMap<String, AccountConfig>,
    ) -> Self {
        Self {
            description,
            account_header,
            accounts,
        }
    }

    /// Rejects a request whose body was skipped.
    fn reject_for_memory(&self, head: &RequestHead, session: &Session<Self>) -> NextRequest {
        let context = reply_context(head);
        let target = match self.identify(head) {
            Ok(target) => target,
            Err(problem) => return reply_with_problem(&problem, context, session),
        };
        match session.reject_for_memory(context, Some(target.operation.class)) {
            ReplyReservation::Closing => NextRequest::Stop,
            _ => next_request(head.keep_alive),
        }
    }

    /// Submits a request to the core, or replies with a problem if its operation or account is
    /// invalid.
    fn process(&self, request: ReceivedRequest, session: &Session<Self>) -> NextRequest {
        let context = reply_context(&request.head);
        match self.identify(&request.head) {
            Ok(target) => self.submit(request, &target, context, session),
            Err(problem) => reply_with_problem(&problem, context, session),
        }
    }

    fn submit(
        &self,
        request: ReceivedRequest,
        target: &RequestTarget<'_>,
        context: ReplyContext,
        session: &Session<Self>,
    ) -> NextRequest {
        let next = next_request(context.keep_alive);
        let operation = target.operation;
        let bytes = request.held_bytes();
        let (number, client, permit) = match session.reserve_reply(context, operation.class, bytes)
        {
            ReplyReservation::Reserved {
                number,
                slot,
                permit,
            } => (number, slot, permit),
            ReplyReservation::Rejected => return next,
            ReplyReservation::Closing => return NextRequest::Stop,
        };
        session.submit(IncomingRequest {
            number,
            permit,
            id: None,
            arrived: request.received_at,
            timeout: self.deadline(operation),
            class: operation.class,
            plan: target.account.plan,
            account: AccountId::from(target.account_name),
            units: operation.units,
            limiter_count: target.account.limiter_count,
            first_limiter: target.account.first_limiter,
            client,
            call: HttpRequest {
                method: request.head.method,
                target: request.head.target,
                headers: request.head.headers,
                body: request.body,
                operation: operation.clone(),
            },
        });
        next
    }

    fn deadline(&self, operation: &Operation) -> Duration {
        let class = self.description.classes.get(operation.class);
        Duration::from_micros(class.map_or(0, |class| class.deadline))
    }

    /// Reads one request with its body.
    fn read_request(
        &self,
        reader: &mut Reader<&mut InterruptibleReader>,
        session: &Session<Self>,
    ) -> Result<Received, Problem> {
        let head = match reader.read_request() {
            Ok(head) => head,
            Err(ReadError::Closed | ReadError::Io(_)) => return Ok(Received::End),
            Err(ReadError::Malformed(reason)) => return Err(Problem::new(400, reason)),
            Err(ReadError::TooLarge) => return Err(Problem::new(431, "the header is too large")),
            Err(ReadError::NoMemory) => return Err(Problem::rejected(Duration::ZERO, false)),
        };
        check_head(&head)?;
        if awaits_continue(&head) {
            // The interim response is queued, as it must follow the replies to earlier requests.
            let interim = DirectReply::new(CONTINUE_RESPONSE.as_bytes());
            if !session.reply_directly(ReplyContext::INTERIM, interim) {
                return Ok(Received::End);
            }
        }
        session.note_partial_command();
        // The head was consumed, so the connection can't be handed over to another process until
        // the body is read.
        reader.source().set_uninterruptible(true);
        let mut charge = session.memory().charge(MemoryHolder::IncompleteCommand, 0);
        let mut has_memory = |bytes| bytes <= SMALL_BUFFER_BYTES || charge.try_grow(bytes);
        let body = reader.read_body_within(head.body, MAX_BODY_BYTES, &mut has_memory);
        reader.source().set_uninterruptible(false);
        match body {
            Ok(Some(body)) => Ok(Received::Request(ReceivedRequest {
                head,
                body,
                received_at: Instant::now(),
            })),
            Ok(None) => Ok(Received::WithoutBody(head)),
            Err(ReadError::Closed | ReadError::Io(_)) => Ok(Received::End),
            Err(ReadError::Malformed(reason)) => Err(Problem::new(400, reason)),
            Err(ReadError::TooLarge) => Err(body_too_large()),
            Err(ReadError::NoMemory) => Err(Problem::rejected(Duration::ZERO, false)),
        }
    }

    /// Finds the operation and the account of a request, and checks that a required idempotency key
    /// is present.
    fn identify(&self, head: &RequestHead) -> Result<RequestTarget<'_>, Problem> {
        let operation = self.find_operation(head)?;
        let (account_name, account) = self.find_account(head)?;
        if let Some(key) = &operation.key_header {
            // Without a key, upstream servers can't distinguish a retry from a new request.
            if header(&head.headers, key).is_none_or(<[u8]>::is_empty) {
                let detail = format!("the operation needs a key in {key}");
                return Err(Problem::new(400, detail));
            }
        }
        Ok(RequestTarget {
            operation,
            account_name,
            account,
        })
    }

    fn find_operation(&self, head: &RequestHead) -> Result<&Operation, Problem> {
        let path = head.target.split(['?', '#']).next().unwrap_or("");
        match self.description.find(&head.method, path) {
            OperationMatch::Operation(operation) => Ok(operation),
            OperationMatch::OtherMethods(methods) => {
                let detail = format!("the path has {methods}");
                Err(Problem::new(405, detail).with_header("Allow", methods))
            }
            OperationMatch::NoPath => Err(Problem::new(404, "no such path in the description")),
        }
    }

    fn find_account(&self, head: &RequestHead) -> Result<(&str, AccountConfig), Problem> {
        let name = header(&head.headers, &self.account_header)
            .and_then(|name| std::str::from_utf8(name).ok());
        match name.and_then(|name| self.accounts.get_key_value(name)) {
            Some((name, account)) => Ok((name, *account)),
            None => {
                let challenge = format!("AgentAccount header=\"{}\"", self.account_header);
                let problem = Problem::new(401, "unknown agent account");
                Err(problem.with_header("WWW-Authenticate", challenge))
            }
        }
    }
}

/// Returns what is needed of a request to write its reply.
fn reply_context(head: &RequestHead) -> ReplyContext {
    ReplyContext {
        keep_alive: head.keep_alive,
        is_http_1_1: head.is_http_1_1,
        is_head: head.method == "HEAD",
    }
}

/// Replies with a problem to a request that was read completely, after which the connection remains
/// usable.
fn reply_with_problem(
    problem: &Problem,
    context: ReplyContext,
    session: &Session<HttpClientProtocol>,
) -> NextRequest {
    let text = problem.encode(&context);
    if !context.keep_alive {
        session.reply_and_close(context, text, problem.detail());
        return NextRequest::Stop;
    }
    next_request(session.reply_directly(context, DirectReply::new(text)))
}

fn next_request(connection_continues: bool) -> NextRequest {
    if connection_continues {
        NextRequest::Read
    } else {
        NextRequest::Stop
    }
}

/// Rejects a request whose body must not be read: it lacks the `Host` header, or its body is too
/// long.
fn check_head(head: &RequestHead) -> Result<(), Problem> {
    if head.is_http_1_1 && header(&head.headers, "host").is_none() {
        return Err(Problem::new(400, "no Host"));
    }
    if matches!(head.body, Body::Length(length) if length > MAX_BODY_BYTES) {
        return Err(body_too_large());
    }
    Ok(())
}

fn body_too_large() -> Problem {
    Problem::new(413, format!("a body may have {MAX_BODY_BYTES} bytes"))
}

/// Whether the client waits for an interim response before it sends the body (RFC 9110, 10.1.1).
fn awaits_continue(head: &RequestHead) -> bool {
    let expects = header(&head.headers, "expect")
        .is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"));
    expects && head.is_http_1_1 && head.body != Body::Empty
}
