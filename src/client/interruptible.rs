//! Blocking reads from a client that another thread can interrupt without losing a byte, and that go
//! on past an end of the stream which the limiter has set itself.

use super::socket_state::is_readable;
use crate::retrying_stream::RetryingStream;
use crate::threads::lock;
use rustix::event::{poll, PollFd, PollFlags};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::sync::Mutex;

/// Interrupts all readers of client connections at once.
pub struct ReadInterrupt {
    /// Readable while the interrupt is set.
    signal: UnixStream,
    /// The other end of `signal`.
    signal_writer: Mutex<UnixStream>,
}

impl ReadInterrupt {
    /// Returns an interrupt that is not set.
    ///
    /// # Errors
    ///
    /// If no socket pair can be created.
    pub fn new() -> io::Result<Self> {
        let (signal, signal_writer) = UnixStream::pair()?;
        signal.set_nonblocking(true)?;
        Ok(Self {
            signal,
            signal_writer: Mutex::new(signal_writer),
        })
    }

    /// Sets or clears the interrupt. While it is set, reads that are waiting or begin to wait fail.
    pub fn set(&self, interrupts: bool) {
        let mut signal_writer = lock(&self.signal_writer);
        while (&self.signal).read(&mut [0; 8]).is_ok_and(|read| read > 0) {}
        if interrupts {
            _ = signal_writer.write_all(&[1]);
        }
    }

    /// Waits until the stream is readable. Returns false if the interrupt is set, even if the
    /// stream is readable too.
    fn wait_readable(&self, stream: &TcpStream) -> bool {
        let mut polled = [
            PollFd::new(&self.signal, PollFlags::IN),
            PollFd::new(stream, PollFlags::IN),
        ];
        while poll(&mut polled, None) == Err(rustix::io::Errno::INTR) {}
        polled[0].revents().is_empty()
    }
}

/// Decides what the end of a client's stream means.
pub trait StreamEnd {
    /// Whether more may be read although the stream has ended: only the limiter has ended it. Waits a
    /// moment in that case.
    fn reads_on(&self) -> bool;
}

/// Reads from a client, starting with bytes that were read earlier.
pub struct InterruptibleReader<'a> {
    stream: &'a TcpStream,
    interrupt: Option<&'a ReadInterrupt>,
    end: &'a dyn StreamEnd,
    /// Whether the stream has ended and is read on nevertheless.
    is_past_end: bool,
    /// Bytes that were read from the stream earlier and not returned yet.
    unread: Vec<u8>,
    /// Whether the interrupt is ignored.
    uninterruptible: bool,
    /// Whether a read failed because of the interrupt.
    interrupted: bool,
}

impl<'a> InterruptibleReader<'a> {
    /// Returns a reader of the bytes in `unread` and then of the stream; `interrupt` ends its waits
    /// for the stream, and `end` decides what its end means.
    pub fn new(
        stream: &'a TcpStream,
        interrupt: Option<&'a ReadInterrupt>,
        end: &'a dyn StreamEnd,
        unread: Vec<u8>,
    ) -> Self {
        Self {
            stream,
            interrupt,
            end,
            is_past_end: false,
            unread,
            uninterruptible: false,
            interrupted: false,
        }
    }

    /// Sets whether the interrupt is ignored.
    pub fn set_uninterruptible(&mut self, uninterruptible: bool) {
        self.uninterruptible = uninterruptible;
    }

    /// Whether a read failed because of the interrupt. The connection is still usable then.
    pub fn interrupted(&self) -> bool {
        self.interrupted
    }

    /// Whether bytes can be read without waiting.
    pub fn has_received(&self) -> bool {
        !self.unread.is_empty() || is_readable(self.stream)
    }

    /// Returns the bytes that were read from the stream earlier and not returned by this reader.
    pub fn into_unread(self) -> Vec<u8> {
        self.unread
    }
}

impl Read for InterruptibleReader<'_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        if !self.unread.is_empty() {
            let size = to.len().min(self.unread.len());
            to[..size].copy_from_slice(&self.unread[..size]);
            self.unread.drain(..size);
            return Ok(size);
        }
        if let Some(interrupt) = self.interrupt {
            // A connection whose stream the limiter has ended can't be handed over.
            let is_interruptible = !self.uninterruptible && !self.is_past_end;
            if is_interruptible && !interrupt.wait_readable(self.stream) {
                self.interrupted = true;
                return Err(ErrorKind::WouldBlock.into());
            }
        }
        loop {
            match RetryingStream(self.stream).read(to) {
                Ok(0) if self.end.reads_on() => self.is_past_end = true,
                result => return result,
            }
        }
    }
}
