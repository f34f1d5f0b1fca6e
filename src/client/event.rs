//! Events that the client listener reports to the limiter.

use super::protocol::{ClientProtocol, ReplySlot, ValueOf};
use crate::core::IncomingRequest;
use crate::upstream::UpstreamProtocol;
use std::any::Any;

/// A request of a client, with the slot for its reply.
pub type ClientRequest<P> = IncomingRequest<
    ReplySlot<ValueOf<P>>,
    <<P as ClientProtocol>::Upstream as UpstreamProtocol>::Call,
>;

/// An event of a client connection.
pub enum ClientEvent<P: ClientProtocol> {
    /// A complete request was received.
    Request(ClientRequest<P>),
    /// The requests with these numbers are abandoned, because their client has disconnected or the
    /// limiter closes its connection.
    Disconnected(Vec<u64>),
}

/// An event that was not delivered because the limiter has ended. When it is dropped, its request
/// is answered as failed.
pub struct Undelivered {
    _event: Box<dyn Any>,
}

impl Undelivered {
    /// Wraps an event that was not delivered.
    pub fn new(event: impl Any) -> Self {
        Self {
            _event: Box::new(event),
        }
    }
}

/// Receives the events of client connections, on the thread where each occurs. Must not block.
pub type ClientEventSink<P> = Box<dyn Fn(ClientEvent<P>) -> Result<(), Undelivered> + Send + Sync>;
