//! The protocol of a front: how commands are read, and how replies are written.

use super::session::Session;
use crate::client::interruptible::InterruptibleReader;
use crate::core::Answer;
use crate::upstream::{Presence, UpstreamProtocol};
use std::io;
use std::net::TcpStream;
use std::sync::Arc;

/// A protocol that clients speak on their connections.
pub trait ClientProtocol: Send + Sync + Sized + 'static {
    /// The protocol of the upstream servers behind it.
    type Upstream: UpstreamProtocol;
    /// What [`ClientProtocol::write`] has to know of a command.
    type ReplyContext: Send + 'static;
    /// Reads commands until the agent goes away, nothing more is to be taken from it or the connection is to be handed
    /// over; what has been read by then and is no whole command.
    fn read(&self, from: &mut InterruptibleReader, session: &Session<Self>) -> Vec<u8>;
    /// The last reply on a connection that the limiter closes.
    fn closing_reply(&self, why: CloseReason) -> (Self::ReplyContext, Vec<u8>);
    /// Writes an answer; false if the connection is to end after it.
    fn write(
        &self,
        to: &TcpStream,
        context: Self::ReplyContext,
        answer: Answer<<Self::Upstream as UpstreamProtocol>::Value>,
    ) -> io::Result<bool>;
}

/// Why a connection is ended while the agent may still read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseReason {
    /// No whole command came in time.
    TooSlow,
    /// More commands came at once than may wait for their answers.
    TooMany,
}

impl CloseReason {
    /// The reason in words, for the client and the log.
    pub fn description(self) -> &'static str {
        match self {
            Self::TooSlow => "no whole command in time",
            Self::TooMany => "too many commands at once",
        }
    }
}

/// Where the answer of a request goes; without one, the agent is told that the request failed.
pub struct ReplySlot<V> {
    fill: Option<Box<dyn FnOnce(Reply<V>) + Send>>,
    client: Arc<dyn Presence>,
}

impl<V> ReplySlot<V> {
    pub(super) fn new(
        client: Arc<dyn Presence>,
        fill: impl FnOnce(Reply<V>) + Send + 'static,
    ) -> Self {
        Self {
            fill: Some(Box::new(fill)),
            client,
        }
    }

    /// Who waits for the answer.
    pub fn presence(&self) -> Arc<dyn Presence> {
        self.client.clone()
    }

    /// Gives the answer.
    pub fn fill(mut self, reply: Reply<V>) {
        if let Some(fill) = self.fill.take() {
            fill(reply);
        }
    }
}

impl<V> Drop for ReplySlot<V> {
    fn drop(&mut self) {
        if let Some(fill) = self.fill.take() {
            fill(Reply::Answer(Answer::Failed { timed_out: false }));
        }
    }
}

/// What is written to an agent.
pub enum Reply<V> {
    /// The answer of a request.
    Answer(Answer<V>),
    /// A reply of the front's own; `last` if the connection ends with it.
    Direct {
        /// As they are written.
        text: Vec<u8>,
        /// Nothing follows.
        last: bool,
    },
}

impl<V> Reply<V> {
    /// A reply of the front's own, with more to follow.
    pub fn direct(text: &str) -> Self {
        Self::Direct {
            text: text.into(),
            last: false,
        }
    }
}

pub(super) type ValueOf<P> = <<P as ClientProtocol>::Upstream as UpstreamProtocol>::Value;
