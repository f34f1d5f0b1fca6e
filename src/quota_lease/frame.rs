//! Frames on a TCP connection: the length of a message as 32 bits, big endian, followed by the message.

use super::message::MAX_BYTES;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Bytes of the length before each message.
const HEADER_BYTES: usize = size_of::<u32>();
/// The shortest timeout that a socket can be given.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Why a frame could not be read or written. After any of these the connection can't be used again.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The other side closed the connection between two frames.
    #[error("connection closed")]
    Closed,
    /// The connection ended inside a frame.
    #[error("connection closed inside a frame")]
    Truncated,
    /// No byte of a frame arrived in time.
    #[error("no frame in time")]
    IdleTimeout,
    /// A frame was not completely read or written in time.
    #[error("frame not complete in time")]
    FrameTimeout,
    /// A frame without a message.
    #[error("empty frame")]
    Empty,
    /// A message longer than [`MAX_BYTES`].
    #[error("frame of {0} bytes, {MAX_BYTES} at most")]
    TooLong(usize),
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[source] io::Error),
}

/// Timeouts of reading and writing.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time until the first byte of a frame.
    pub idle: Duration,
    /// Time for the rest of a frame after its first byte.
    pub frame: Duration,
}

/// Reads the next message of a connection.
///
/// # Errors
///
/// If the connection ends or fails, a timeout expires, or the length is out of range.
pub fn read(stream: &TcpStream, timeouts: Timeouts) -> Result<Vec<u8>, FrameError> {
    let mut header = [0; HEADER_BYTES];
    let (first, rest) = header.split_at_mut(1);
    read_first_byte(stream, first, Instant::now() + timeouts.idle)?;
    let mut reader = DeadlineStream {
        stream,
        deadline: Instant::now() + timeouts.frame,
    };
    reader.read_exact(rest).map_err(error_inside_frame)?;
    let length = u32::from_be_bytes(header) as usize;
    if length == 0 {
        return Err(FrameError::Empty);
    }
    if length > MAX_BYTES {
        return Err(FrameError::TooLong(length));
    }
    // Memory is allocated for the bytes that arrive, not for the announced length.
    let mut message = Vec::new();
    reader
        .take(length as u64)
        .read_to_end(&mut message)
        .map_err(error_inside_frame)?;
    if message.len() < length {
        return Err(FrameError::Truncated);
    }
    Ok(message)
}

/// Writes one message.
///
/// # Errors
///
/// If the connection fails, the timeout expires, or the length is out of range.
pub fn write(stream: &TcpStream, message: &[u8], timeout: Duration) -> Result<(), FrameError> {
    if message.is_empty() {
        return Err(FrameError::Empty);
    }
    if message.len() > MAX_BYTES {
        return Err(FrameError::TooLong(message.len()));
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + message.len());
    frame.extend_from_slice(&(message.len() as u32).to_be_bytes());
    frame.extend_from_slice(message);
    let mut writer = DeadlineStream {
        stream,
        deadline: Instant::now() + timeout,
    };
    writer.write_all(&frame).map_err(error_inside_frame)
}

fn read_first_byte(
    stream: &TcpStream,
    first: &mut [u8],
    deadline: Instant,
) -> Result<(), FrameError> {
    match (DeadlineStream { stream, deadline }).read_exact(first) {
        Ok(()) => Ok(()),
        Err(error) if error.kind() == ErrorKind::UnexpectedEof => Err(FrameError::Closed),
        Err(error) if is_timeout(&error) => Err(FrameError::IdleTimeout),
        Err(error) => Err(FrameError::Io(error)),
    }
}

fn error_inside_frame(error: io::Error) -> FrameError {
    match error.kind() {
        ErrorKind::UnexpectedEof | ErrorKind::WriteZero => FrameError::Truncated,
        _ if is_timeout(&error) => FrameError::FrameTimeout,
        _ => FrameError::Io(error),
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// A stream whose reads and writes share one deadline, however slowly bytes arrive.
struct DeadlineStream<'a> {
    stream: &'a TcpStream,
    deadline: Instant,
}

impl DeadlineStream<'_> {
    fn remaining(&self) -> io::Result<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        Ok(remaining.max(MIN_TIMEOUT))
    }
}

impl Read for DeadlineStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(self.remaining()?))?;
        self.stream.read(buffer)
    }
}

impl Write for DeadlineStream<'_> {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.stream.set_write_timeout(Some(self.remaining()?))?;
        self.stream.write(buffer)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
