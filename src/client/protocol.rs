//! The protocol of a front: how commands are read, and how replies are written.

use super::session::Session;
use crate::client::interruptible::InterruptibleReader;
use crate::core::Answer;
use crate::upstream::{ClientPresence, UpstreamProtocol};
use std::io;
use std::net::TcpStream;
use std::sync::Arc;

/// Reads commands from clients and writes replies.
pub trait ClientProtocol: Send + Sync + Sized + 'static {
    /// The protocol of the upstream servers behind it.
    type Upstream: UpstreamProtocol;
    /// What [`ClientProtocol::write`] needs to know of a command.
    type ReplyContext: Send + 'static;

    /// Reads commands until the client disconnects, the session refuses a command or the read is
    /// interrupted for a hand-over. Returns the bytes that were read of an incomplete command.
    fn read(&self, from: &mut InterruptibleReader, session: &Session<Self>) -> Vec<u8>;

    /// Returns the last reply on a connection that the limiter closes for this reason.
    fn closing_reply(&self, reason: CloseReason) -> (Self::ReplyContext, Vec<u8>);

    /// Returns how many bytes a value holds until it is written.
    fn held_bytes(value: &ValueOf<Self>) -> usize;

    /// Writes an answer. Returns false if the connection is to be closed after it.
    ///
    /// # Errors
    ///
    /// If the write to the client fails, or the answer is cut off. The connection is closed then.
    fn write(
        &self,
        to: &TcpStream,
        context: Self::ReplyContext,
        answer: Answer<<Self::Upstream as UpstreamProtocol>::Value>,
    ) -> io::Result<bool>;
}

/// Why the limiter closes a connection whose client may still read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseReason {
    /// A command was not complete in time.
    TooSlow,
    /// More commands were pipelined than allowed.
    TooMany,
}

impl CloseReason {
    /// Returns the reason as text, for the client and the log.
    pub fn description(self) -> &'static str {
        match self {
            Self::TooSlow => "no whole command in time",
            Self::TooMany => "too many commands at once",
        }
    }
}

/// Receives the reply to a request. If it is dropped without one, the reply is that the request
/// failed.
pub struct ReplySlot<V> {
    fill: Option<Box<dyn FnOnce(Answer<V>) + Send>>,
    client: Arc<dyn ClientPresence>,
}

impl<V> ReplySlot<V> {
    pub(super) fn new(
        client: Arc<dyn ClientPresence>,
        fill: impl FnOnce(Answer<V>) + Send + 'static,
    ) -> Self {
        Self {
            fill: Some(Box::new(fill)),
            client,
        }
    }

    /// Returns a handle that checks whether the client is still connected.
    pub fn presence(&self) -> Arc<dyn ClientPresence> {
        self.client.clone()
    }

    /// Sets the reply.
    pub fn fill(mut self, answer: Answer<V>) {
        if let Some(fill) = self.fill.take() {
            fill(answer);
        }
    }
}

impl<V> Drop for ReplySlot<V> {
    fn drop(&mut self) {
        if let Some(fill) = self.fill.take() {
            fill(Answer::Failed { timed_out: false });
        }
    }
}

/// A reply that the front sends without the core.
pub struct DirectReply {
    /// The bytes to write.
    pub text: Box<[u8]>,
    /// Whether the connection is closed after it.
    pub last: bool,
}

impl DirectReply {
    /// Returns a reply that keeps the connection open.
    pub fn new(text: impl Into<Box<[u8]>>) -> Self {
        Self {
            text: text.into(),
            last: false,
        }
    }

    /// Returns the last reply on a connection.
    pub fn last(text: impl Into<Box<[u8]>>) -> Self {
        Self {
            text: text.into(),
            last: true,
        }
    }
}

/// The values that the upstream servers behind a client protocol send.
pub(super) type ValueOf<P> = <<P as ClientProtocol>::Upstream as UpstreamProtocol>::Value;
