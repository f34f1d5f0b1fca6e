//! What a front is told of the protocol of its connections, and what it is given to write.

use super::super::tap::Tap;
use super::super::ticket_nodes::{Presence, Speech};
use super::session::Desk;
use crate::limiter::Answer;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;

/// What the connections of a front speak.
pub trait Manner: Send + Sync + Sized + 'static {
    /// What is spoken to the ticket nodes behind it.
    type Speech: Speech;
    /// What the writer has to know of a command.
    type Shape: Send + 'static;
    /// Reads commands until the agent goes away, nothing more is to be taken from it or the connection is to be handed
    /// over; what has been read by then and is no whole command.
    fn read(&self, from: &mut Tap, desk: &Desk<Self>) -> Vec<u8>;
    /// The last words to an agent whose connection is ended.
    fn dismissal(&self, why: Dismissal) -> (Self::Shape, Vec<u8>);
    /// Writes an answer; false if the connection is to end after it.
    fn write(
        &self,
        to: &TcpStream,
        shape: Self::Shape,
        answer: Answer<<Self::Speech as Speech>::Value>,
    ) -> io::Result<bool>;
}

/// Why a connection is ended while the agent may still read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Dismissal {
    /// No whole command came in time.
    TooSlow,
    /// More commands came at once than may wait for their answers.
    TooMany,
}

impl Dismissal {
    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            Self::TooSlow => "no whole command in time",
            Self::TooMany => "too many commands at once",
        }
    }
}

/// Where the answer of a request goes; without one, the agent is told that the request failed.
pub struct Slot<V> {
    fill: Option<Box<dyn FnOnce(Reply<V>) + Send>>,
    client: Arc<dyn Presence>,
}

impl<V> Slot<V> {
    pub(super) fn new(client: Arc<dyn Presence>, fill: impl FnOnce(Reply<V>) + Send + 'static) -> Self {
        Self { fill: Some(Box::new(fill)), client }
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

impl<V> Drop for Slot<V> {
    fn drop(&mut self) {
        if let Some(fill) = self.fill.take() {
            fill(Reply::Answer(Answer::Failed { late: false }));
        }
    }
}

/// What is written to an agent.
pub enum Reply<V> {
    /// The answer of a request.
    Answer(Answer<V>),
    /// The front's own words; `last` if the connection ends with them.
    Words {
        /// As they are written.
        text: Vec<u8>,
        /// Nothing follows.
        last: bool,
    },
}

impl<V> Reply<V> {
    /// The front's own words, with more to follow.
    pub fn words(text: &str) -> Self {
        Self::Words { text: text.into(), last: false }
    }
}

pub(super) type ValueOf<M> = <<M as Manner>::Speech as Speech>::Value;
