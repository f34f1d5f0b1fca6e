//! What a hand-over requires of the process that takes part in it.

use super::link::Link;
use super::message::{HandoverMessage, LearnedState};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::sync::Arc;

/// A limiter process that can be a successor and a predecessor.
pub trait LimiterProcess: Send + Sync + 'static {
    /// The listener that both processes accept connections from.
    fn listener(&self) -> &TcpListener;
    /// Takes the learned state out of the core, which from now on reports the attempts that end. None if the core does
    /// not answer.
    fn give_state(&self) -> Option<LearnedState>;
    /// Owns the state again that was taken out last: the successor did not serve.
    fn reclaim_state(&self);
    /// Adopts the state of a predecessor; returns once this is done.
    fn adopt_state(&self, state: LearnedState);
    /// Accepts connections, or stops accepting them.
    fn set_accepting(&self, goes_on: bool);
    /// Begins to serve: an endpoint list and the state of a predecessor, if there is one, are known.
    fn begin_serving(&self);
    /// Hands connections over to the other process, or with none ceases to do so.
    fn hand_over_connections(&self, to: Option<Arc<Link>>);
    /// Serves a connection that was handed over, with the bytes that were read from it and not processed.
    fn adopt_connection(&self, connection: OwnedFd, read: Vec<u8>);
    /// Processes a ban, the end of an attempt or a final report from the other process.
    fn process_message(&self, news: HandoverMessage);
    /// Shares the limits with another process, or ceases to do so.
    fn set_sharing(&self, shared: bool);
    /// Whether no connection and no open request is left.
    fn is_drained(&self) -> bool;
    /// Exits.
    fn exit(&self);
}
