//! Upstream protocol of the platform: writes attempts as RESP commands and reads the replies of
//! upstream servers.

pub use super::call::{PlatformCall, FIELDS_INDEX};

use crate::decision::Outcome;
use crate::memory::{MemoryBudget, MemoryHolder};
use crate::platform::streamed_value::{StreamEnd, StreamedValue};
use crate::protocol::buffers::{Buffer, BUFFER_BYTES};
use crate::protocol::resp::{self, Reply, MAX_VALUE_BYTES};
use crate::retrying_stream::{RetryingStream, PEER_STALL_TIMEOUT};
use crate::upstream::{Connection, Exchange, UpstreamProtocol};
use crossbeam_channel::bounded;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// First bytes of a reply with a value, which is an array of value, usage and load report.
const SERVED_PREFIX: &[u8] = b"*3\r\n";
/// Index of the load report in that array.
const LOAD_REPORT_INDEX: usize = 2;
/// Timeout for the usage and load report that follow a streamed value, once the client has received
/// the value.
const TRAILING_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes received at a time after a streamed value.
const TRAILING_RECEIVE_BYTES: usize = 1_024;
/// Number of bytes received after a streamed value above which no more are read, even if usage and
/// load report are incomplete.
const MAX_TRAILING_BYTES: usize = 4 * TRAILING_RECEIVE_BYTES;

/// A value from an upstream server.
pub enum Served {
    /// The whole value was received.
    Whole {
        /// Buffer that contains the reply of the upstream server.
        buffer: Buffer,
        /// Range of the value in the buffer.
        value: Range<usize>,
    },
    /// The value is too long for a buffer, and its first bytes were received.
    Streamed(StreamedValue),
}

/// Protocol of the platform's upstream servers. Contains the names of the figures in a load report,
/// in the order of the settings.
pub struct PlatformUpstreamProtocol(pub Vec<String>);

impl UpstreamProtocol for PlatformUpstreamProtocol {
    type Call = PlatformCall;
    type Value = Served;

    fn write(&self, call: &PlatformCall, to: &TcpStream, time_left: Duration) -> io::Result<()> {
        call.write(to, time_left)
    }

    fn read(
        &self,
        _: &PlatformCall,
        from: &Arc<Connection>,
        memory: &Arc<MemoryBudget>,
        on_value_start: &dyn Fn(Served),
    ) -> Exchange<Served> {
        let exchange = match self.read_answer(&from.stream, Some(memory)) {
            Answer::Complete(exchange) => exchange,
            Answer::LongValue { received, length } => {
                return self.stream_value(from, received, length, on_value_start)
            }
        };
        // A load report without a value is not a valid reply to a request.
        if exchange.outcome == Outcome::Ok && exchange.value.is_none() {
            return Exchange::failed(Outcome::Error);
        }
        exchange
    }

    fn check_health(&self, stream: &TcpStream) -> Exchange<Served> {
        if RetryingStream(stream)
            .write_all(b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")
            .is_err()
        {
            return Exchange::failed(Outcome::ConnectFailed);
        }
        match self.read_answer(stream, None) {
            Answer::Complete(exchange) => exchange,
            Answer::LongValue { .. } => Exchange::failed(Outcome::Error),
        }
    }
}

/// The reply of an upstream server, as far as it was received.
enum Answer {
    /// The reply was received completely, or the exchange failed.
    Complete(Exchange<Served>),
    /// The reply begins with a value that is too long for a buffer.
    LongValue {
        /// The received bytes of the value.
        received: Vec<u8>,
        /// Length of the value, in bytes.
        length: usize,
    },
}

impl PlatformUpstreamProtocol {
    /// Reads a reply. A buffer of full size for it is charged to `memory`. If that has no room, or
    /// there is no `memory`, only short replies are read, and of others the beginning of a value.
    fn read_answer(&self, stream: &TcpStream, memory: Option<&Arc<MemoryBudget>>) -> Answer {
        let failed = |outcome| Answer::Complete(Exchange::failed(outcome));
        let mut buffer = Buffer::empty();
        let mut end = 0;
        loop {
            match buffer.read(end, RetryingStream(stream)) {
                Ok(0) => return failed(Outcome::Reset),
                Ok(read) => end += read,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return failed(Outcome::Timeout)
                }
                Err(error) if error.kind() == ErrorKind::OutOfMemory => {
                    return failed(Outcome::Error)
                }
                Err(_) => return failed(Outcome::Reset),
            }
            let received = &buffer[..end];
            if let Some(answer) = long_value(received, MAX_VALUE_BYTES) {
                return answer;
            }
            if is_other_array(received) {
                return failed(Outcome::Error);
            }
            match resp::parse_reply(received, 0) {
                Ok(Some((reply, size))) => {
                    let is_last = size == end;
                    return Answer::Complete(self.decode_reply(buffer, reply, is_last));
                }
                Ok(None) => {}
                Err(_) => return failed(Outcome::Error),
            }
            if buffer.should_grow(end) && !grow_within(memory, &mut buffer, end) {
                if let Some(answer) = long_value(&buffer[..end], 0) {
                    return answer;
                }
            }
        }
    }

    /// Passes a long value on to be copied to the client, and waits until the copy has ended.
    fn stream_value(
        &self,
        from: &Arc<Connection>,
        received: Vec<u8>,
        length: usize,
        on_value_start: &dyn Fn(Served),
    ) -> Exchange<Served> {
        // The request's deadline does not apply once the value has begun.
        let timeout = Some(PEER_STALL_TIMEOUT);
        if from.stream.set_read_timeout(timeout).is_err() {
            return Exchange::failed(Outcome::Reset);
        }
        let (end_sender, end_receiver) = bounded(1);
        on_value_start(Served::Streamed(StreamedValue {
            connection: from.clone(),
            received,
            length,
            end_sender,
        }));
        match end_receiver.recv() {
            Ok(StreamEnd::Complete(trailing)) => self.finish_stream(&from.stream, trailing),
            Ok(StreamEnd::UpstreamFailed) => Exchange::failed(Outcome::Reset),
            // The client disconnected, or the value was dropped because the attempt was superseded.
            Ok(StreamEnd::ClientFailed) | Err(_) => Exchange::failed(Outcome::Cancelled),
        }
    }

    /// Returns the exchange for a value that was copied completely. The connection is reusable only
    /// if the usage and the load report follow the value.
    fn finish_stream(&self, stream: &TcpStream, trailing: Vec<u8>) -> Exchange<Served> {
        let report = match stream.set_read_timeout(Some(TRAILING_TIMEOUT)) {
            Ok(()) => self.read_trailing_report(stream, trailing),
            Err(_) => None,
        };
        let reusable = report.is_some() && stream.set_read_timeout(None).is_ok();
        Exchange {
            outcome: Outcome::Ok,
            load: report.unwrap_or_default(),
            value: None,
            reusable,
        }
    }

    /// Reads the usage and the load report that follow a value. Returns the load report, or `None`
    /// if the connection can't be used again.
    fn read_trailing_report(&self, stream: &TcpStream, mut received: Vec<u8>) -> Option<Vec<f64>> {
        let began = Instant::now();
        // The timeout applies to all reads together and not only to each of them, as an upstream
        // server may go on sending single bytes indefinitely.
        while began.elapsed() < TRAILING_TIMEOUT {
            if let Some((report, end)) = trailing_report(&received).ok()? {
                let load = match report {
                    Reply::Bulk(Some(text)) => self.parse_load(&received[text]),
                    _ => Vec::new(),
                };
                return (end == received.len()).then_some(load);
            }
            let mut chunk = [0; TRAILING_RECEIVE_BYTES];
            let read = RetryingStream(stream).read(&mut chunk).ok()?;
            if read == 0 || received.len() >= MAX_TRAILING_BYTES {
                return None;
            }
            received.extend_from_slice(&chunk[..read]);
        }
        None
    }

    /// Decodes a complete reply. `is_last` states that no bytes were received after it, so the
    /// connection can be used again.
    ///
    /// A reply that is not one of the protocol fails the exchange, which closes the connection:
    /// after a corrupt reply, the connection may stay open without any further replies.
    fn decode_reply(&self, buffer: Buffer, reply: Reply, is_last: bool) -> Exchange<Served> {
        let exchange = |outcome, load, value| Exchange {
            outcome,
            load,
            value,
            reusable: is_last,
        };
        match reply {
            Reply::Array(Some(parts)) => {
                let load = match parts.get(LOAD_REPORT_INDEX) {
                    Some(Reply::Bulk(Some(text))) => self.parse_load(&buffer[text.clone()]),
                    _ => Vec::new(),
                };
                let Some(Reply::Bulk(Some(value))) = parts.into_iter().next() else {
                    return Exchange::failed(Outcome::Error);
                };
                exchange(Outcome::Ok, load, Some(Served::Whole { buffer, value }))
            }
            Reply::Bulk(Some(report)) => {
                exchange(Outcome::Ok, self.parse_load(&buffer[report]), None)
            }
            Reply::Error(text) => {
                let text = &buffer[text];
                let load = self.parse_error_load(text);
                match text.split(|byte| *byte == b' ').next() {
                    Some(b"BUSY") => exchange(Outcome::Rejected, load, None),
                    Some(b"ERR") => exchange(Outcome::Error, load, None),
                    _ => Exchange::failed(Outcome::Error),
                }
            }
            _ => Exchange::failed(Outcome::Error),
        }
    }

    /// Parses the load report in an error reply, which is the last word of the reply. Returns an
    /// empty list if there is none.
    fn parse_error_load(&self, text: &[u8]) -> Vec<f64> {
        match text.rsplit(|byte| *byte == b' ').next() {
            Some(report) if report.contains(&b'=') => self.parse_load(report),
            _ => Vec::new(),
        }
    }

    /// Parses a load report into figures in the order of the settings. Returns an empty list unless
    /// every figure is present.
    fn parse_load(&self, report: &[u8]) -> Vec<f64> {
        let text = std::str::from_utf8(report).unwrap_or("");
        let figure = |name: &String| {
            let (_, value) = text
                .split(',')
                .filter_map(|pair| pair.split_once('='))
                .find(|(other, _)| other == name)?;
            let value = value.parse::<f64>().ok()?;
            value.is_finite().then_some(value)
        };
        let figures: Option<Vec<f64>> = self.0.iter().map(figure).collect();
        figures.unwrap_or_default()
    }
}

/// Returns the answer that begins with a value longer than `max_held` bytes, if `received` does.
fn long_value(received: &[u8], max_held: usize) -> Option<Answer> {
    let (start, length) = resp::long_value(received, max_held)?;
    Some(Answer::LongValue {
        received: received[start..].to_vec(),
        length,
    })
}

/// Replaces a small buffer by one of full size. Returns false if `memory` has no room for it.
fn grow_within(memory: Option<&Arc<MemoryBudget>>, buffer: &mut Buffer, end: usize) -> bool {
    let charge = memory.and_then(|memory| memory.try_charge(MemoryHolder::Reply, BUFFER_BYTES));
    let has_room = charge.is_some();
    if has_room {
        buffer.grow(end, charge);
    }
    has_room
}

/// Whether the bytes begin an array other than one of value, usage and load report. Such a reply is
/// rejected at once, as its end may never be received.
fn is_other_array(received: &[u8]) -> bool {
    let compared = received.len().min(SERVED_PREFIX.len());
    received[0] == b'*' && received[..compared] != SERVED_PREFIX[..compared]
}

/// Parses the usage and the load report that follow it. Returns the load report and the index of
/// its end, or `None` if they are incomplete.
fn trailing_report(received: &[u8]) -> Result<Option<(Reply, usize)>, resp::RespError> {
    match resp::parse_reply(received, 0)? {
        Some((_, usage_end)) => resp::parse_reply(received, usage_end),
        None => Ok(None),
    }
}
