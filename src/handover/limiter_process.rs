//! The interface of a limiter process to a hand-over.

use super::link::Link;
use super::message::{HandoverMessage, LearnedState};
use crate::memory::OtherProcess;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;

/// A limiter process, which can be the successor in one hand-over and the predecessor in another.
pub trait LimiterProcess: Send + Sync + 'static {
    /// Returns the client listener, which the predecessor shares with the successor.
    fn listener(&self) -> &TcpListener;
    /// Takes the learned state out of the core. From then on the core reports the end of each
    /// attempt to the other process. Returns none if the core does not answer in time.
    fn export_state(&self) -> Option<LearnedState>;
    /// Puts the state that was taken out last back into the core, after a successor that did not
    /// begin to serve.
    fn reclaim_state(&self);
    /// Adopts the state of a predecessor. Blocks until the core has adopted it or does not answer
    /// in time.
    fn adopt_state(&self, state: LearnedState);
    /// Sets whether this process accepts connections.
    fn set_accepting(&self, accepting: bool);
    /// Begins to serve. The endpoint list is known by then, as is the state of the predecessor if
    /// there is one.
    fn begin_serving(&self);
    /// Hands connections over to the process at the other end of `link`, or stops handing them over
    /// if `link` is none.
    fn hand_over_connections(&self, link: Option<Arc<Link>>);
    /// Serves a connection that was handed over. `read` contains the bytes that were read from it
    /// and not processed; further bytes may have been waiting on it for `waited`.
    fn adopt_connection(&self, connection: OwnedFd, read: Vec<u8>, waited: Duration);
    /// Processes a ban, the end of an attempt or a final report from the other process.
    fn process_message(&self, message: HandoverMessage);
    /// Sets the process with which the limits of connections and memory are shared, if there is one.
    fn set_sharing(&self, other: Option<OtherProcess>);
    /// Ends all attempts of the predecessor, which no longer exists.
    fn predecessor_ended(&self);
    /// Whether this process has no client connection and no open request.
    fn is_drained(&self) -> bool;
    /// Ends this process.
    fn exit(&self);
}
