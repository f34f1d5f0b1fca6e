//! Blocking reads from a client that another thread can interrupt without losing a byte.

use crate::threads::lock;
use rustix::event::{poll, PollFd, PollFlags};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::sync::Mutex;

/// Interrupts all readers of client connections at once.
pub struct ReadInterrupt {
    /// Readable while readers are to be interrupted.
    signal: UnixStream,
    signal_writer: Mutex<UnixStream>,
}

impl ReadInterrupt {
    /// An interrupt that is not set.
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

    /// Sets or clears the interrupt. While set, it ends reads that wait now or begin to wait.
    pub fn set(&self, interrupts: bool) {
        let mut signal_writer = lock(&self.signal_writer);
        while (&self.signal).read(&mut [0; 8]).is_ok_and(|read| read > 0) {}
        if interrupts {
            _ = signal_writer.write_all(&[1]);
        }
    }

    /// Waits until the stream is readable. Returns false if interrupted, which takes precedence.
    fn wait_readable(&self, stream: &TcpStream) -> bool {
        let mut polled = [
            PollFd::new(&self.signal, PollFlags::IN),
            PollFd::new(stream, PollFlags::IN),
        ];
        while poll(&mut polled, None) == Err(rustix::io::Errno::INTR) {}
        polled[0].revents().is_empty()
    }
}

/// Reads from a client, beginning with bytes that were read before.
pub struct InterruptibleReader<'a> {
    stream: &'a TcpStream,
    interrupt: Option<&'a ReadInterrupt>,
    /// Bytes that were read before.
    unread: Vec<u8>,
    uninterruptible: bool,
    interrupted: bool,
}

impl<'a> InterruptibleReader<'a> {
    /// A reader of a stream, after the bytes in `unread`; `interrupt` ends its waits.
    pub fn new(
        stream: &'a TcpStream,
        interrupt: Option<&'a ReadInterrupt>,
        unread: Vec<u8>,
    ) -> Self {
        Self {
            stream,
            interrupt,
            unread,
            uninterruptible: false,
            interrupted: false,
        }
    }

    /// Sets whether the interrupt is ignored.
    pub fn set_uninterruptible(&mut self, uninterruptible: bool) {
        self.uninterruptible = uninterruptible;
    }

    /// Whether a read was interrupted; the connection is intact.
    pub fn interrupted(&self) -> bool {
        self.interrupted
    }

    /// The bytes that were read before and not returned.
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
            if !self.uninterruptible && !interrupt.wait_readable(self.stream) {
                self.interrupted = true;
                return Err(ErrorKind::WouldBlock.into());
            }
        }
        self.stream.read(to)
    }
}
