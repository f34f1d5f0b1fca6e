//! Blocking reads from a client that another thread can interrupt, with nothing of what the client sent lost.

use rustix::event::{poll, PollFd, PollFlags};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::sync::Mutex;

/// Ends the waiting of all who read from agents.
pub struct ReadInterrupt {
    /// There is a byte on it while they are to stop.
    sign: UnixStream,
    set: Mutex<UnixStream>,
}

impl ReadInterrupt {
    /// One that is not set.
    pub fn new() -> io::Result<Self> {
        let (sign, set) = UnixStream::pair()?;
        sign.set_nonblocking(true)?;
        Ok(Self {
            sign,
            set: Mutex::new(set),
        })
    }

    /// Wakes those that wait now or later, or no longer.
    pub fn set(&self, woken: bool) {
        let mut set = crate::threads::lock(&self.set);
        while (&self.sign).read(&mut [0; 8]).is_ok_and(|read| read > 0) {}
        if woken {
            _ = set.write_all(&[1]);
        }
    }

    /// Waits until there is something to be read; false if woken, which comes first.
    fn wait(&self, stream: &TcpStream) -> bool {
        let mut both = [
            PollFd::new(&self.sign, PollFlags::IN),
            PollFd::new(stream, PollFlags::IN),
        ];
        while poll(&mut both, None) == Err(rustix::io::Errno::INTR) {}
        both[0].revents().is_empty()
    }
}

/// Reads what a client sends, after what was read of it already.
pub struct InterruptibleReader<'a> {
    stream: &'a TcpStream,
    wake: Option<&'a ReadInterrupt>,
    first: Vec<u8>,
    uninterruptible: bool,
    interrupted: bool,
}

impl<'a> InterruptibleReader<'a> {
    /// A reader that `wake` interrupts.
    pub fn new(stream: &'a TcpStream, wake: Option<&'a ReadInterrupt>, first: Vec<u8>) -> Self {
        Self {
            stream,
            wake,
            first,
            uninterruptible: false,
            interrupted: false,
        }
    }

    /// While set, nothing interrupts it.
    pub fn set_uninterruptible(&mut self, uninterruptible: bool) {
        self.uninterruptible = uninterruptible;
    }

    /// It was interrupted while the client was still connected.
    pub fn interrupted(&self) -> bool {
        self.interrupted
    }

    /// What was read before and not asked for.
    pub fn into_unread(self) -> Vec<u8> {
        self.first
    }
}

impl Read for InterruptibleReader<'_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        if !self.first.is_empty() {
            let size = to.len().min(self.first.len());
            to[..size].copy_from_slice(&self.first[..size]);
            self.first.drain(..size);
            return Ok(size);
        }
        if self
            .wake
            .is_some_and(|wake| !self.uninterruptible && !wake.wait(self.stream))
        {
            self.interrupted = true;
            return Err(ErrorKind::WouldBlock.into());
        }
        self.stream.read(to)
    }
}
