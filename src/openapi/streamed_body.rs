//! Streaming of bodies that are too long for a buffer: the thread that writes to the client reads
//! them from the upstream server.

use crate::protocol::http::Reader;
use crate::retrying_stream::RetryingStream;
use crate::upstream::ConnectionReader;
use crossbeam_channel::{bounded, Receiver, Sender};
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;

/// How the streaming of a body ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum StreamEnd {
    /// The whole body was written to the client.
    Complete {
        /// Whether no bytes were received after the body, so that the connection can be used again.
        is_drained: bool,
    },
    /// The upstream server did not send the whole body.
    UpstreamFailed,
}

/// A body of known length that is forwarded while it is received.
pub struct StreamedBody {
    reader: Reader<ConnectionReader>,
    /// Length of the body, in bytes.
    length: usize,
    /// Reports how the streaming ended. Dropped without a report if the client did not receive the
    /// whole body.
    end_sender: Sender<StreamEnd>,
}

impl StreamedBody {
    /// Creates a body of `length` bytes and the channel that reports how its streaming ended.
    pub(super) fn new(
        reader: Reader<ConnectionReader>,
        length: usize,
    ) -> (Self, Receiver<StreamEnd>) {
        let (end_sender, end_receiver) = bounded(1);
        let body = Self {
            reader,
            length,
            end_sender,
        };
        (body, end_receiver)
    }

    /// Returns the length in bytes, as the upstream server announced it.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Writes the body to the client as it is received.
    ///
    /// # Errors
    ///
    /// Returns an error if the client's connection failed or the upstream server did not send the
    /// whole body. The client has then received fewer bytes than were announced.
    pub fn forward(mut self, client: &TcpStream) -> io::Result<()> {
        let mut client = RetryingStream(client);
        let mut remaining = self.length;
        while remaining > 0 {
            match self.reader.body_fragment(remaining) {
                Ok(fragment) => {
                    remaining -= fragment.len();
                    client.write_all(fragment)?;
                }
                Err(_) => {
                    _ = self.end_sender.try_send(StreamEnd::UpstreamFailed);
                    return Err(ErrorKind::UnexpectedEof.into());
                }
            }
        }
        let is_drained = self.reader.is_drained();
        _ = self.end_sender.try_send(StreamEnd::Complete { is_drained });
        Ok(())
    }
}
