//! Reads of a response with a deadline for all of it.

use crate::discovery::poll_wait::WATCH_TIMEOUT;
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Reads a response up to a deadline or, once [`Self::allow_while_active`] was called, for as long as no single read
/// takes longer than [`WATCH_TIMEOUT`].
///
/// Guards against a server that sends a response a byte at a time without end.
pub(super) struct TimedReader<'a> {
    stream: &'a TcpStream,
    deadline: Option<Instant>,
}

impl<'a> TimedReader<'a> {
    /// A reader whose reads all end within `timeout` from now.
    pub(super) fn new(stream: &'a TcpStream, timeout: Duration) -> Self {
        Self {
            stream,
            deadline: Some(Instant::now() + timeout),
        }
    }

    /// Drops the deadline: from now on each read has [`WATCH_TIMEOUT`].
    pub(super) fn allow_while_active(&mut self) -> io::Result<()> {
        self.deadline = None;
        self.stream.set_read_timeout(Some(WATCH_TIMEOUT))
    }
}

impl Read for TimedReader<'_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        if let Some(deadline) = self.deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(remaining))?;
        }
        self.stream.read(to)
    }
}
