//! The connection between the two processes of an upgrade. It carries messages in frames, and file
//! descriptors along with them.

use super::message::{Frame, HandoverMessage, MAX_FRAME_BYTES};
use crate::memory::OtherProcess;
use crate::threads::lock;
use prost::Message;
use rustix::net::sockopt::socket_peercred;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use thiserror::Error;

/// Timeout of a write, after which a peer that does not read counts as lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the length prefix of a frame, in bytes. The prefix is a big-endian integer.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Maximum number of bytes received by one system call.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// The reason why [`Link::receive`] returned no message.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum ReceiveError {
    /// No complete message was received before the timeout.
    #[error("no message was received before the timeout")]
    TimedOut,
    /// The connection is closed or broken.
    #[error("the connection is closed")]
    Closed,
    /// A frame is longer than [`MAX_FRAME_BYTES`].
    #[error("a frame is longer than {} bytes", MAX_FRAME_BYTES)]
    FrameTooLong,
    /// A frame does not contain a valid message.
    #[error("a frame does not contain a valid message")]
    UnreadableFrame,
    /// A message was received without the file descriptor that it requires.
    #[error("a message was received without its file descriptor")]
    MissingDescriptor,
}

impl ReceiveError {
    /// Whether the error is a violation of the protocol by the peer.
    pub fn is_malformed(self) -> bool {
        match self {
            Self::FrameTooLong | Self::UnreadableFrame | Self::MissingDescriptor => true,
            Self::TimedOut | Self::Closed => false,
        }
    }
}

/// One end of the connection between the two processes. Any thread may send; a single thread
/// receives.
pub struct Link {
    stream: UnixStream,
    /// Held while a frame is written, so that frames of different threads are not interleaved.
    send_lock: Mutex<()>,
    received: Mutex<ReceiveBuffer>,
    /// The optional features that the peer understands, as bits.
    peer_features: AtomicU32,
}

/// Received bytes and file descriptors that have not been decoded into a message yet.
#[derive(Default)]
struct ReceiveBuffer {
    bytes: Vec<u8>,
    descriptors: VecDeque<OwnedFd>,
    /// The features that the peer has announced.
    features: u32,
}

impl ReceiveBuffer {
    /// Removes and returns the next message, with its file descriptor if it has one. Returns none
    /// if the message has not been received completely.
    fn take_message(&mut self) -> Result<Option<(HandoverMessage, Option<OwnedFd>)>, ReceiveError> {
        let Some(length) = self.bytes.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(ReceiveError::FrameTooLong);
        }
        let end = LENGTH_PREFIX_BYTES + length;
        if self.bytes.len() < end {
            return Ok(None);
        }
        let frame = Frame::decode(&self.bytes[LENGTH_PREFIX_BYTES..end]);
        self.bytes.drain(..end);
        let frame = frame.map_err(|_| ReceiveError::UnreadableFrame)?;
        self.features |= frame.features;
        let message = frame.body.ok_or(ReceiveError::UnreadableFrame)?;
        if !message.carries_descriptor() {
            return Ok(Some((message, None)));
        }
        match self.descriptors.pop_front() {
            Some(descriptor) => Ok(Some((message, Some(descriptor)))),
            None => Err(ReceiveError::MissingDescriptor),
        }
    }
}

impl Link {
    /// Creates a link over a connected stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer is a process of another user, or the stream can't be
    /// configured.
    pub fn new(stream: UnixStream) -> io::Result<Self> {
        let peer = rustix::net::sockopt::socket_peercred(&stream)?;
        if peer.uid != rustix::process::geteuid() {
            return Err(io::Error::new(
                ErrorKind::PermissionDenied,
                "the peer is a process of another user",
            ));
        }
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        Ok(Self {
            stream,
            send_lock: Mutex::default(),
            received: Mutex::default(),
            peer_features: AtomicU32::new(0),
        })
    }

    /// Returns the process at the other end.
    pub fn peer_process(&self) -> OtherProcess {
        let credentials = socket_peercred(&self.stream).ok();
        OtherProcess {
            id: credentials.map(|peer| peer.pid.as_raw_nonzero().get().unsigned_abs()),
        }
    }

    /// Whether the peer has announced this feature.
    pub fn peer_has_feature(&self, feature: u32) -> bool {
        self.peer_features.load(Ordering::Relaxed) & feature != 0
    }

    /// Sends a message, with a file descriptor if it carries one. A message that the peer would not
    /// understand is left out.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is longer than [`MAX_FRAME_BYTES`], the peer does not read,
    /// or the connection is closed.
    pub fn send(&self, message: HandoverMessage, descriptor: Option<BorrowedFd>) -> io::Result<()> {
        let features = self.peer_features.load(Ordering::Relaxed);
        if message.required_features() & !features != 0 {
            return Ok(());
        }
        let bytes = encode(message)?;
        let _guard = lock(&self.send_lock);
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        let descriptors: Vec<BorrowedFd> = descriptor.into_iter().collect();
        if !descriptors.is_empty() {
            ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
        }
        // The descriptor is sent with the first byte of its frame.
        let sent = loop {
            let slices = [IoSlice::new(&bytes)];
            match sendmsg(&self.stream, &slices, &mut ancillary, SendFlags::NOSIGNAL) {
                Err(rustix::io::Errno::INTR) => {}
                result => break result?,
            }
        };
        (&self.stream).write_all(&bytes[sent..])
    }

    /// Closes the connection in both directions. Messages that the peer sent before can still be
    /// received.
    pub fn shutdown(&self) {
        _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Receives the next message, with its file descriptor if it carries one. `timeout` limits each
    /// wait for more bytes, not the whole call; without a timeout the waits are unlimited.
    ///
    /// # Errors
    ///
    /// Returns an error if the timeout expired, the connection is closed, or the peer has violated
    /// the protocol.
    pub fn receive(
        &self,
        timeout: Option<Duration>,
    ) -> Result<(HandoverMessage, Option<OwnedFd>), ReceiveError> {
        let mut received = lock(&self.received);
        if timeout == Some(Duration::ZERO) || self.stream.set_read_timeout(timeout).is_err() {
            return Err(ReceiveError::TimedOut);
        }
        loop {
            if let Some(message) = received.take_message()? {
                self.peer_features
                    .store(received.features, Ordering::Relaxed);
                return Ok(message);
            }
            self.read_more(&mut received)?;
        }
    }

    fn read_more(&self, received: &mut ReceiveBuffer) -> Result<(), ReceiveError> {
        let mut bytes = [0; RECEIVE_BUFFER_BYTES];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let slices = &mut [IoSliceMut::new(&mut bytes)];
        let count = match recvmsg(
            &self.stream,
            slices,
            &mut ancillary,
            RecvFlags::CMSG_CLOEXEC,
        ) {
            Ok(result) => result.bytes,
            Err(rustix::io::Errno::INTR) => return Ok(()),
            Err(rustix::io::Errno::AGAIN) => return Err(ReceiveError::TimedOut),
            Err(_) => return Err(ReceiveError::Closed),
        };
        for message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                received.descriptors.extend(descriptors);
            }
        }
        if count == 0 {
            return Err(ReceiveError::Closed);
        }
        received.bytes.extend_from_slice(&bytes[..count]);
        Ok(())
    }
}

/// Encodes a message as a frame with its length prefix.
fn encode(message: HandoverMessage) -> io::Result<Vec<u8>> {
    let frame = Frame::of(message);
    let length = frame.encoded_len();
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(
            ErrorKind::InvalidInput,
            format!("message of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"),
        ));
    }
    let mut bytes = Vec::with_capacity(LENGTH_PREFIX_BYTES + length);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    frame.encode(&mut bytes).map_err(io::Error::other)?;
    Ok(bytes)
}
