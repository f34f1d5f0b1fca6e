//! Client protocol of the platform: RESP commands, which are forwarded as received except for their
//! deadlines.

use crate::client::interruptible::InterruptibleReader;
use crate::client::{ClientProtocol, CloseReason, Session};
use crate::core::Answer;
use crate::decision::Idempotency;
use crate::platform::command_reader::CommandReader;
use crate::platform::upstream_protocol::{PlatformUpstreamProtocol, Served};
use crate::retrying_stream::RetryingStream;
use crate::simulator::Names;
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Protocol that clients of the platform speak.
pub struct PlatformClientProtocol {
    /// Names of classes and plans.
    pub names: Names,
    /// Maximum deadline of a request and its idempotency, by index of the class.
    pub classes: Vec<(Duration, Idempotency)>,
    /// Maximum number of units of one request.
    pub max_units: f64,
    /// Number of limiters in the fleet.
    pub limiter_count: u32,
}

impl ClientProtocol for PlatformClientProtocol {
    type Upstream = PlatformUpstreamProtocol;
    type ReplyContext = ();

    fn read(&self, from: &mut InterruptibleReader, session: &Session<Self>) -> Vec<u8> {
        let mut reader = CommandReader::new(self, session);
        loop {
            match reader.receive(from) {
                Ok(0) => return Vec::new(),
                Ok(_) => {}
                Err(_) => return reader.unprocessed().to_vec(),
            }
            if reader.process_commands().is_break() {
                return Vec::new();
            }
            reader.discard_processed();
        }
    }

    fn closing_reply(&self, reason: CloseReason) -> ((), Vec<u8>) {
        let reply = format!("-ERR {}\r\n", reason.description());
        ((), reply.into_bytes())
    }

    fn held_bytes(value: &Served) -> usize {
        match value {
            Served::Whole { buffer, .. } => buffer.len(),
            Served::Streamed(_) => 0,
        }
    }

    fn write(&self, client: &TcpStream, (): (), answer: Answer<Served>) -> io::Result<bool> {
        let mut to = RetryingStream(client);
        match answer {
            Answer::Served(Served::Streamed(value)) => value.copy_to_client(client)?,
            Answer::Served(Served::Whole { buffer, value }) => {
                // The upstream server's reply contains the length line, the value and its line end
                // consecutively, so they are copied as one slice. The codec rejects lengths with
                // leading zeros or a sign, so the length line has exactly as many digits as the
                // value's length.
                let digits = value.len().to_string().len();
                let length_line = digits + "$\r\n".len();
                to.write_all(&buffer[value.start - length_line..value.end + "\r\n".len()])?;
            }
            Answer::Rejected { retry_after, .. } if retry_after.is_zero() => {
                to.write_all(b"-BUSY\r\n")?;
            }
            Answer::Rejected { retry_after, .. } => {
                let retry_after_ms = retry_after.as_micros().div_ceil(1_000);
                to.write_all(format!("-BUSY {retry_after_ms}\r\n").as_bytes())?;
            }
            Answer::Failed { timed_out: true } => to.write_all(b"-ERR timed out\r\n")?,
            Answer::Failed { timed_out: false } => to.write_all(b"-ERR failed\r\n")?,
        }
        Ok(true)
    }
}
