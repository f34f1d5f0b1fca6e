//! Bodies that are too long for a buffer: the thread that writes to the client reads them from the upstream server.

use crate::protocol::http::Reader;
use crate::upstream::ConnectionReader;
use crossbeam_channel::{bounded, Receiver, Sender};
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;

/// How the streaming of a body ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum StreamEnd {
    /// The client received all of it.
    Complete {
        /// The upstream server sent nothing after it: the connection can be used again.
        drained: bool,
    },
    /// The upstream server broke it off.
    BrokenOff,
}

/// A body of known length that is read while it is forwarded.
pub struct StreamedBody {
    reader: Reader<ConnectionReader>,
    length: usize,
    /// Receives the end; closed without one if the client did not receive all of the body.
    end: Sender<StreamEnd>,
}

impl StreamedBody {
    /// Creates a body of `length` bytes and the channel that reports how its streaming ended.
    pub(super) fn new(
        reader: Reader<ConnectionReader>,
        length: usize,
    ) -> (Self, Receiver<StreamEnd>) {
        let (end, ended) = bounded(1);
        let body = Self {
            reader,
            length,
            end,
        };
        (body, ended)
    }

    /// Length in bytes, as the upstream server announced it.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Writes the body to the client as it is received.
    ///
    /// # Errors
    ///
    /// The client's connection is broken, or the upstream server broke the body off: then it is shorter than its
    /// announced length.
    pub fn forward(mut self, mut client: &TcpStream) -> io::Result<()> {
        let mut remaining = self.length;
        while remaining > 0 {
            match self.reader.part(remaining) {
                Ok(part) => {
                    remaining -= part.len();
                    client.write_all(part)?;
                }
                Err(_) => {
                    _ = self.end.try_send(StreamEnd::BrokenOff);
                    return Err(ErrorKind::UnexpectedEof.into());
                }
            }
        }
        let drained = self.reader.drained();
        _ = self.end.try_send(StreamEnd::Complete { drained });
        Ok(())
    }
}
