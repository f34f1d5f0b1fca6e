//! The platform's upstream protocol: attempts as RESP commands, and the answers of upstream servers.

use crate::decision::Outcome;
use crate::platform::streamed_value::{StreamEnd, StreamedValue};
use crate::protocol::buffers::{Buffer, SIZE};
use crate::protocol::resp::{self, Reply};
use crate::upstream::{Connection, Exchange, UpstreamProtocol};
use crossbeam_channel::bounded;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The beginning of an answer with a value: an array of value, usage and load report.
const SERVED: &[u8] = b"*3\r\n";
/// The place of the load report in that array.
const LOAD_REPORT: usize = 2;
/// The word of a command that holds its fields.
pub const FIELDS: usize = 3;
/// An upstream server that has begun a streamed value and sends nothing for this long has failed. No deadline ends the
/// copy sooner.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of usage and load report after a streamed value that the client has received.
const TRAILING_TIMEOUT: Duration = Duration::from_millis(500);
/// The most bytes read at a time after a streamed value.
const TRAILING_PIECE_BYTES: usize = 1_024;
/// No further bytes are read after a streamed value once this many were received.
const MAX_TRAILING_BYTES: usize = 4 * TRAILING_PIECE_BYTES;

/// A command to be forwarded: as received, but for its deadline.
pub struct PlatformCall {
    /// The client's command.
    pub buffer: Buffer,
    /// Its words, as ranges of the buffer.
    pub words: Vec<Range<usize>>,
    /// Where the digits of the deadline are; empty if the command has none.
    pub deadline_at: Range<usize>,
}

impl PlatformCall {
    /// Writes the command with the time left as its deadline. Returns the number of bytes written.
    fn encode(&self, mut to: &mut [u8], time_left: Duration) -> io::Result<usize> {
        let capacity = to.len();
        let deadline = time_left.as_millis().max(1).to_string();
        write!(to, "*{}\r\n", self.words.len())?;
        for (index, word) in self.words.iter().enumerate() {
            if index == FIELDS && !self.deadline_at.is_empty() {
                let before = &self.buffer[word.start..self.deadline_at.start];
                let after = &self.buffer[self.deadline_at.end..word.end];
                let length = before.len() + deadline.len() + after.len();
                write!(to, "${length}\r\n")?;
                to.write_all(before)?;
                to.write_all(deadline.as_bytes())?;
                to.write_all(after)?;
            } else {
                write!(to, "${}\r\n", word.len())?;
                to.write_all(&self.buffer[word.clone()])?;
            }
            to.write_all(b"\r\n")?;
        }
        Ok(capacity - to.len())
    }
}

/// A value from an upstream server.
pub enum Served {
    /// The whole value was received.
    Whole {
        /// The answer of the upstream server.
        buffer: Buffer,
        /// Where the value is in it.
        value: Range<usize>,
    },
    /// A value longer than a buffer, the beginning of which was received.
    Streamed(StreamedValue),
}

/// The upstream protocol, with the names of the figures in a load report in the order of the settings.
pub struct PlatformUpstreamProtocol(pub Vec<String>);

impl UpstreamProtocol for PlatformUpstreamProtocol {
    type Call = PlatformCall;
    type Value = Served;

    fn write(&self, call: &PlatformCall, mut to: &TcpStream, left: Duration) -> io::Result<()> {
        let mut command = Buffer::take();
        let size = call.encode(&mut command, left)?;
        to.write_all(&command[..size])
    }

    fn read(
        &self,
        _: &PlatformCall,
        from: &Arc<Connection>,
        begins: &dyn Fn(Served),
    ) -> Exchange<Served> {
        let exchange = match self.read_answer(&from.stream) {
            Answer::Complete(exchange) => exchange,
            Answer::LongValue { received, length } => {
                return self.stream_value(from, received, length, begins)
            }
        };
        // A load report in place of a value serves no request.
        if exchange.outcome == Outcome::Ok && exchange.value.is_none() {
            return Exchange::failed(Outcome::Error);
        }
        exchange
    }

    fn check_health(&self, mut stream: &TcpStream) -> Exchange<Served> {
        if stream
            .write_all(b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")
            .is_err()
        {
            return Exchange::failed(Outcome::ConnectFailed);
        }
        match self.read_answer(stream) {
            Answer::Complete(exchange) => exchange,
            Answer::LongValue { .. } => Exchange::failed(Outcome::Error),
        }
    }
}

/// An answer of an upstream server.
enum Answer {
    /// The answer was received whole, or failed.
    Complete(Exchange<Served>),
    /// A value longer than a buffer begins.
    LongValue {
        /// The bytes of the value that were received.
        received: Vec<u8>,
        length: usize,
    },
}

impl PlatformUpstreamProtocol {
    fn read_answer(&self, stream: &TcpStream) -> Answer {
        let broken = |outcome| Answer::Complete(Exchange::failed(outcome));
        let mut buffer = Buffer::none();
        let mut end = 0;
        loop {
            match buffer.read(end, stream) {
                Ok(0) => return broken(Outcome::Reset),
                Ok(read) => end += read,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return broken(Outcome::Timeout)
                }
                Err(_) => return broken(Outcome::Reset),
            }
            let received = &buffer[..end];
            if let Some((start, length)) = resp::long_value(received) {
                return Answer::LongValue {
                    received: received[start..].to_vec(),
                    length,
                };
            }
            if is_other_array(received) {
                return broken(Outcome::Error);
            }
            match resp::reply(received, 0) {
                Ok(Some((reply, size))) => {
                    let is_alone = size == end;
                    return Answer::Complete(self.decode_reply(buffer, reply, is_alone));
                }
                Ok(None) if end < SIZE => {}
                _ => return broken(Outcome::Error),
            }
        }
    }

    /// Has a long value copied to the client, and waits for the end of that.
    fn stream_value(
        &self,
        from: &Arc<Connection>,
        received: Vec<u8>,
        length: usize,
        begins: &dyn Fn(Served),
    ) -> Exchange<Served> {
        if from.stream.set_read_timeout(Some(STALL_TIMEOUT)).is_err() {
            return Exchange::failed(Outcome::Reset);
        }
        let (ended, end) = bounded(1);
        begins(Served::Streamed(StreamedValue {
            connection: from.clone(),
            received,
            length,
            ended,
        }));
        match end.recv() {
            Ok(StreamEnd::Complete(trailing)) => self.finish_stream(&from.stream, trailing),
            Ok(StreamEnd::UpstreamFailed) => Exchange::failed(Outcome::Reset),
            // The client disconnected, or nobody wanted the value.
            Ok(StreamEnd::ClientFailed) | Err(_) => Exchange::failed(Outcome::Cancelled),
        }
    }

    /// The exchange of a value that was copied whole. The connection is used again if usage and load report follow.
    fn finish_stream(&self, stream: &TcpStream, trailing: Vec<u8>) -> Exchange<Served> {
        let report = match stream.set_read_timeout(Some(TRAILING_TIMEOUT)) {
            Ok(()) => self.read_trailing_report(stream, trailing),
            Err(_) => None,
        };
        let keep = report.is_some() && stream.set_read_timeout(None).is_ok();
        Exchange {
            outcome: Outcome::Ok,
            load: report.unwrap_or_default(),
            value: None,
            reusable: keep,
        }
    }

    /// Reads usage and load report after a value. Returns the report; none if the connection can't be used again.
    fn read_trailing_report(
        &self,
        mut stream: &TcpStream,
        mut received: Vec<u8>,
    ) -> Option<Vec<f64>> {
        let began = Instant::now();
        // Each read has a timeout, and so have all together: an upstream server may send a byte now and then without end.
        while began.elapsed() < TRAILING_TIMEOUT {
            if let Some((report, end)) = trailing_report(&received).ok()? {
                let load = match report {
                    Reply::Bulk(Some(text)) => self.parse_load(&received[text]),
                    _ => Vec::new(),
                };
                return (end == received.len()).then_some(load);
            }
            let mut piece = [0; TRAILING_PIECE_BYTES];
            let read = stream.read(&mut piece).ok()?;
            if read == 0 || received.len() >= MAX_TRAILING_BYTES {
                return None;
            }
            received.extend_from_slice(&piece[..read]);
        }
        None
    }

    /// Decodes a whole reply. `is_alone`: no bytes were received after it, so the connection can be used again.
    ///
    /// Guards against corrupt answers: after one that no upstream server means, its connection stays open and answers
    /// nothing more.
    fn decode_reply(&self, buffer: Buffer, reply: Reply, is_alone: bool) -> Exchange<Served> {
        let exchange = |outcome, load, value| Exchange {
            outcome,
            load,
            value,
            reusable: is_alone,
        };
        match reply {
            Reply::Array(Some(parts)) => {
                let load = match parts.get(LOAD_REPORT) {
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

    /// The load report in an error reply, which is its last word; empty if there is none.
    fn parse_error_load(&self, text: &[u8]) -> Vec<f64> {
        match text.rsplit(|byte| *byte == b' ').next() {
            Some(report) if report.contains(&b'=') => self.parse_load(report),
            _ => Vec::new(),
        }
    }

    /// A load report in the order of the settings; empty unless it has every figure.
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

/// Whether the bytes begin an array that is no value with usage and load report; its end may never be received.
fn is_other_array(received: &[u8]) -> bool {
    let compared = received.len().min(SERVED.len());
    received[0] == b'*' && received[..compared] != SERVED[..compared]
}

/// The load report after the usage, and where it ends; none while these are incomplete.
fn trailing_report(received: &[u8]) -> Result<Option<(Reply, usize)>, resp::RespError> {
    match resp::reply(received, 0)? {
        Some((_, usage_end)) => resp::reply(received, usage_end),
        None => Ok(None),
    }
}
