//! Reads a response with a deadline for the whole response.

use crate::discovery::poll_wait::WATCH_TIMEOUT;
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Reads a response until a deadline. After a call of [`Self::allow_while_active`], reads without a
/// deadline, as long as no single read takes longer than [`WATCH_TIMEOUT`].
///
/// The deadline guards against a server that sends its response one byte at a time without end: a
/// timeout of single reads would never expire.
pub(super) struct TimedReader<'a> {
    stream: &'a TcpStream,
    deadline: Option<Instant>,
}

impl<'a> TimedReader<'a> {
    /// Creates a reader whose deadline is `timeout` from now.
    pub(super) fn new(stream: &'a TcpStream, timeout: Duration) -> Self {
        Self {
            stream,
            deadline: Some(Instant::now() + timeout),
        }
    }

    /// Removes the deadline. From now on each single read has a timeout of [`WATCH_TIMEOUT`].
    pub(super) fn allow_while_active(&mut self) -> io::Result<()> {
        self.deadline = None;
        self.stream.set_read_timeout(Some(WATCH_TIMEOUT))
    }
}

impl Read for TimedReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if let Some(deadline) = self.deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(remaining))?;
        }
        self.stream.read(buffer)
    }
}
