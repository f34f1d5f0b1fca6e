//! Streaming of values that are too long for a buffer: they are copied to the client while they are
//! received.

use crate::retrying_stream::RetryingStream;
use crate::upstream::Connection;
use crossbeam_channel::Sender;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use thiserror::Error;

/// Maximum number of bytes received at a time.
const RECEIVE_BYTES: usize = 8 * 1024;

/// A value that is copied to the client while it is received, by the thread that writes to the
/// client. A slow client thus slows down only the connection on which the value is received, and
/// only a small part of the value is held in memory.
pub struct StreamedValue {
    /// Connection to the upstream server that sends the value.
    pub(super) connection: Arc<Connection>,
    /// The bytes received so far: the beginning of the value, or all of it and bytes that follow it.
    pub(super) received: Vec<u8>,
    /// Length of the value, in bytes.
    pub(super) length: usize,
    /// Reports the end of the copy to the thread of the attempt.
    pub(super) end_sender: Sender<StreamEnd>,
}

/// How the copy of a value ended.
pub(super) enum StreamEnd {
    /// The whole value was written to the client. Contains the bytes that were received after the
    /// value.
    Complete(Vec<u8>),
    /// The upstream server closed the connection, stalled, or sent a value that does not have its
    /// announced length.
    UpstreamFailed,
    /// The client's connection failed.
    ClientFailed,
}

/// Reasons why a value was not copied completely.
#[derive(Debug, Error)]
enum StreamError {
    #[error("the upstream server did not send the announced length of the value")]
    Upstream,
    #[error("cannot write to the client: {0}")]
    Client(io::Error),
}

impl StreamedValue {
    /// Copies the value to the client.
    ///
    /// # Errors
    ///
    /// Returns an error if the client's connection failed or the value is incomplete. The caller
    /// then closes the client's connection, from which the client recognizes that the value is
    /// incomplete.
    pub(super) fn copy_to_client(self, to: &TcpStream) -> io::Result<()> {
        let (end, result) = match self.copy(to) {
            Ok(trailing) => (StreamEnd::Complete(trailing), Ok(())),
            Err(StreamError::Upstream) => (
                StreamEnd::UpstreamFailed,
                Err(ErrorKind::UnexpectedEof.into()),
            ),
            Err(StreamError::Client(error)) => (StreamEnd::ClientFailed, Err(error)),
        };
        _ = self.end_sender.try_send(end);
        result
    }

    /// Copies the value. Returns the bytes that were received after it.
    fn copy(&self, to: &TcpStream) -> Result<Vec<u8>, StreamError> {
        let mut to = RetryingStream(to);
        let mut remaining = self.length;
        let mut received = self.received.clone();
        write!(to, "${remaining}\r\n").map_err(StreamError::Client)?;
        loop {
            let size = remaining.min(received.len());
            to.write_all(&received[..size])
                .map_err(StreamError::Client)?;
            received.drain(..size);
            remaining -= size;
            // A value of the announced length is followed by a line end.
            if remaining == 0 && received.len() >= 2 {
                let trailing = received.strip_prefix(b"\r\n");
                let trailing = trailing.ok_or(StreamError::Upstream)?;
                to.write_all(b"\r\n").map_err(StreamError::Client)?;
                return Ok(trailing.to_vec());
            }
            self.receive(&mut received)?;
        }
    }

    /// Receives further bytes from the upstream server and appends them to `received`.
    fn receive(&self, received: &mut Vec<u8>) -> Result<(), StreamError> {
        let mut chunk = [0; RECEIVE_BYTES];
        loop {
            match RetryingStream(&self.connection.stream).read(&mut chunk) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Ok(0) | Err(_) => return Err(StreamError::Upstream),
                Ok(read) => {
                    received.extend_from_slice(&chunk[..read]);
                    return Ok(());
                }
            }
        }
    }
}
