//! Frames on a TCP connection: the length of a message as 32 bits, big endian, and then the message.

use super::message::MAX_BYTES;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Bytes of the length before each message.
const HEADER: usize = size_of::<u32>();
/// The shortest timeout that a socket can be given.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(1);

/// Why a frame could not be read or written. After any of these the connection can't be used again.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The other side closed the connection between two frames.
    #[error("connection closed")]
    Closed,
    /// The connection ended inside a frame.
    #[error("connection closed inside a frame")]
    Cut,
    /// No byte of a frame came in time.
    #[error("no frame in time")]
    Idle,
    /// A frame was not read or written whole in time.
    #[error("frame not complete in time")]
    Slow,
    /// A frame without a message.
    #[error("empty frame")]
    Empty,
    /// A message longer than [`MAX_BYTES`].
    #[error("frame of {0} bytes, {MAX_BYTES} at most")]
    TooLong(usize),
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(io::Error),
}

/// How long reading and writing may take.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time until the first byte of a frame.
    pub idle: Duration,
    /// Time for one whole frame, once it has begun.
    pub frame: Duration,
}

/// Reads the next message of a connection.
pub fn read(stream: &TcpStream, timeouts: Timeouts) -> Result<Vec<u8>, FrameError> {
    let mut header = [0; HEADER];
    let (first, rest) = header.split_at_mut(1);
    read_first(stream, first, Instant::now() + timeouts.idle)?;
    let mut timed = Timed {
        stream,
        until: Instant::now() + timeouts.frame,
    };
    timed.read_exact(rest).map_err(inside_a_frame)?;
    let length = u32::from_be_bytes(header) as usize;
    if length == 0 {
        return Err(FrameError::Empty);
    }
    if length > MAX_BYTES {
        return Err(FrameError::TooLong(length));
    }
    // Memory grows with the bytes that come, not with the length that is claimed.
    let mut message = Vec::new();
    timed
        .take(length as u64)
        .read_to_end(&mut message)
        .map_err(inside_a_frame)?;
    if message.len() < length {
        return Err(FrameError::Cut);
    }
    Ok(message)
}

/// Writes one message.
pub fn write(stream: &TcpStream, message: &[u8], timeout: Duration) -> Result<(), FrameError> {
    if message.is_empty() {
        return Err(FrameError::Empty);
    }
    if message.len() > MAX_BYTES {
        return Err(FrameError::TooLong(message.len()));
    }
    let mut frame = Vec::with_capacity(HEADER + message.len());
    frame.extend_from_slice(&(message.len() as u32).to_be_bytes());
    frame.extend_from_slice(message);
    let mut timed = Timed {
        stream,
        until: Instant::now() + timeout,
    };
    timed.write_all(&frame).map_err(inside_a_frame)
}

fn read_first(stream: &TcpStream, first: &mut [u8], until: Instant) -> Result<(), FrameError> {
    match (Timed { stream, until }).read_exact(first) {
        Ok(()) => Ok(()),
        Err(fault) if fault.kind() == ErrorKind::UnexpectedEof => Err(FrameError::Closed),
        Err(fault) if is_timeout(&fault) => Err(FrameError::Idle),
        Err(fault) => Err(FrameError::Io(fault)),
    }
}

fn inside_a_frame(fault: io::Error) -> FrameError {
    match fault.kind() {
        ErrorKind::UnexpectedEof | ErrorKind::WriteZero => FrameError::Cut,
        _ if is_timeout(&fault) => FrameError::Slow,
        _ => FrameError::Io(fault),
    }
}

fn is_timeout(fault: &io::Error) -> bool {
    matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// A stream whose reads and writes all end at one moment, however slowly bytes trickle.
struct Timed<'a> {
    stream: &'a TcpStream,
    until: Instant,
}

impl Timed<'_> {
    fn left(&self) -> io::Result<Duration> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        Ok(left.max(SHORTEST_TIMEOUT))
    }
}

impl Read for Timed<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(self.left()?))?;
        self.stream.read(buffer)
    }
}

impl Write for Timed<'_> {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.stream.set_write_timeout(Some(self.left()?))?;
        self.stream.write(buffer)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
