//! Inputs of the allocator thread.

use crate::quota_lease::allocator::Ownership;
use crate::quota_lease::message::{Grant, MessageError, Report};
use crossbeam_channel::Sender;

/// An input of the allocator thread. The queue of inputs is bounded by the number of connections,
/// as each connection has at most one report in it.
pub(super) enum Input {
    /// A limiter sent a report.
    Report {
        /// The report.
        report: Box<Report>,
        /// Channel for the grant, or for the reason why the report is dropped.
        answer: Sender<Result<Grant, MessageError>>,
    },
    /// A limiter sent a message that is not a valid report.
    Undecodable(MessageError),
    /// The leases of the fleet of allocators have changed.
    Ownership(Ownership),
    /// The thread is to stop, and to confirm that on this channel.
    Stop(Sender<()>),
}
