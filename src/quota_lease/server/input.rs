//! Inputs of the thread that owns the allocator.

use crate::quota_lease::allocator::Ownership;
use crate::quota_lease::message::{Grant, MessageError, Report};
use crossbeam_channel::Sender;

/// An input of the thread. A connection has at most one report in the queue, so the number of connections
/// bounds it.
pub(super) enum Input {
    /// A report of a limiter.
    Report {
        /// The report.
        report: Box<Report>,
        /// Receives the grant.
        answer: Sender<Result<Grant, MessageError>>,
    },
    /// A message that could not be decoded.
    Undecodable(MessageError),
    /// The leases of the allocators have changed.
    Ownership(Ownership),
    /// Stop, and send a message on this channel.
    Stop(Sender<()>),
}
