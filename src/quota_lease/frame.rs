//! Frames on a TCP connection: the length of a message as a 32-bit big-endian integer, followed by the
//! message.

use super::message::MAX_BYTES;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Size of the length that precedes each message.
const HEADER_BYTES: usize = size_of::<u32>();
/// Minimum timeout that is set on a socket.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Error of reading or writing a frame. The connection cannot be used after any of these.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The peer closed the connection between two frames.
    #[error("connection closed")]
    Closed,
    /// The connection was closed in the middle of a frame.
    #[error("connection closed in the middle of a frame")]
    Truncated,
    /// No byte of a frame arrived within [`Timeouts::idle`].
    #[error("idle timeout: no frame received")]
    IdleTimeout,
    /// A frame was not completely read or written within its timeout.
    #[error("frame timeout: frame not completely read or written")]
    FrameTimeout,
    /// The message is empty.
    #[error("frame with an empty message")]
    Empty,
    /// The message is longer than [`MAX_BYTES`]; has its length in bytes.
    #[error("frame with a message of {0} bytes, expected at most {MAX_BYTES}")]
    TooLong(usize),
    /// Reading from or writing to the connection failed.
    #[error("connection failed: {0}")]
    Io(#[source] io::Error),
}

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Maximum time until the first byte of a frame arrives.
    pub idle: Duration,
    /// Maximum time from the first byte of a frame to its last byte.
    pub frame: Duration,
}

/// Reads the next message from a connection.
///
/// # Errors
///
/// If the connection is closed or fails, a timeout expires, or the length is out of range.
pub fn read(stream: &TcpStream, timeouts: Timeouts) -> Result<Vec<u8>, FrameError> {
    let mut header = [0; HEADER_BYTES];
    let (first_byte, rest) = header.split_at_mut(1);
    read_first_byte(stream, first_byte, Instant::now() + timeouts.idle)?;
    let mut reader = DeadlineStream {
        stream,
        deadline: Instant::now() + timeouts.frame,
    };
    reader.read_exact(rest).map_err(mid_frame_error)?;
    let length = u32::from_be_bytes(header) as usize;
    if length == 0 {
        return Err(FrameError::Empty);
    }
    if length > MAX_BYTES {
        return Err(FrameError::TooLong(length));
    }
    // Memory is allocated as bytes arrive, so that a peer cannot reserve it by announcing a length.
    let mut message = Vec::new();
    reader
        .take(length as u64)
        .read_to_end(&mut message)
        .map_err(mid_frame_error)?;
    if message.len() < length {
        return Err(FrameError::Truncated);
    }
    Ok(message)
}

/// Writes one message to a connection.
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
    writer.write_all(&frame).map_err(mid_frame_error)
}

fn read_first_byte(
    stream: &TcpStream,
    first_byte: &mut [u8],
    deadline: Instant,
) -> Result<(), FrameError> {
    match (DeadlineStream { stream, deadline }).read_exact(first_byte) {
        Ok(()) => Ok(()),
        Err(error) if error.kind() == ErrorKind::UnexpectedEof => Err(FrameError::Closed),
        Err(error) if is_timeout(&error) => Err(FrameError::IdleTimeout),
        Err(error) => Err(FrameError::Io(error)),
    }
}

fn mid_frame_error(error: io::Error) -> FrameError {
    match error.kind() {
        ErrorKind::UnexpectedEof | ErrorKind::WriteZero => FrameError::Truncated,
        _ if is_timeout(&error) => FrameError::FrameTimeout,
        _ => FrameError::Io(error),
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// A stream on which a sequence of reads or writes has one common deadline. A socket timeout alone
/// would start again with each byte that a slow peer sends or accepts.
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
