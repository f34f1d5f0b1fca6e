//! Values that are longer than a buffer: copied to the client while they are received.

use crate::upstream::Connection;
use crossbeam_channel::Sender;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use thiserror::Error;

/// The most bytes copied at a time.
const PIECE_BYTES: usize = 16 * 1024;

/// A value that the thread which writes to the client copies while it is received. A slow client thus slows down the one
/// connection that the value is received on, and only one piece of it is held in memory.
pub struct StreamedValue {
    pub(super) connection: Arc<Connection>,
    /// The bytes of the value that have been received already, and perhaps bytes after it.
    pub(super) received: Vec<u8>,
    /// The length of the value, in bytes.
    pub(super) length: usize,
    /// Notifies the attempt's thread.
    pub(super) ended: Sender<StreamEnd>,
}

/// How the copy of a value ended.
pub(super) enum StreamEnd {
    /// The client has the whole value; these bytes were received after it.
    Complete(Vec<u8>),
    /// The upstream server closed the connection, stalled, or sent a value of another length.
    UpstreamFailed,
    /// The client's connection failed.
    ClientFailed,
}

/// Why a value was not copied whole.
#[derive(Debug, Error)]
enum StreamError {
    #[error("the value broke off")]
    Upstream,
    #[error("the client can't be written to: {0}")]
    Client(io::Error),
}

impl StreamedValue {
    /// Copies the value to the client.
    ///
    /// # Errors
    ///
    /// If the client's connection failed, or the value is incomplete: the caller closes the client's connection, by which
    /// the client recognizes that.
    pub(super) fn copy_to_client(self, to: &TcpStream) -> io::Result<()> {
        let (end, result) = match self.copy(to) {
            Ok(trailing) => (StreamEnd::Complete(trailing), Ok(())),
            Err(StreamError::Upstream) => (
                StreamEnd::UpstreamFailed,
                Err(ErrorKind::UnexpectedEof.into()),
            ),
            Err(StreamError::Client(error)) => (StreamEnd::ClientFailed, Err(error)),
        };
        _ = self.ended.try_send(end);
        result
    }

    /// Copies the value and returns the bytes received after it.
    fn copy(&self, mut to: &TcpStream) -> Result<Vec<u8>, StreamError> {
        let mut remaining = self.length;
        let mut received = self.received.clone();
        write!(to, "${remaining}\r\n").map_err(StreamError::Client)?;
        loop {
            let size = remaining.min(received.len());
            to.write_all(&received[..size])
                .map_err(StreamError::Client)?;
            received.drain(..size);
            remaining -= size;
            // The line end shows whether the announced length was right.
            if remaining == 0 && received.len() >= 2 {
                let trailing = received.strip_prefix(b"\r\n");
                let trailing = trailing.ok_or(StreamError::Upstream)?;
                to.write_all(b"\r\n").map_err(StreamError::Client)?;
                return Ok(trailing.to_vec());
            }
            self.receive(&mut received)?;
        }
    }

    /// Appends further bytes from the upstream server.
    fn receive(&self, received: &mut Vec<u8>) -> Result<(), StreamError> {
        let mut piece = [0; PIECE_BYTES];
        loop {
            match (&self.connection.stream).read(&mut piece) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Ok(0) | Err(_) => return Err(StreamError::Upstream),
                Ok(read) => {
                    received.extend_from_slice(&piece[..read]);
                    return Ok(());
                }
            }
        }
    }
}
