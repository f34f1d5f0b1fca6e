//! Results of the methods of a holder, and its metrics.

use super::receipt::Receipt;
use crate::decision::Micros;
use crate::quota_lease::message::{MilliUnits, Report};

/// Identifies a request that waits for units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// Result of [`Holder::take`](super::Holder::take).
#[derive(Debug, PartialEq, Eq)]
pub enum TakeResult {
    /// The units were taken.
    Taken(Receipt),
    /// The request waits until the account's owner answers. An [`Answer`] with this id follows.
    Waiting(WaiterId),
    /// The units are not available.
    Denied {
        /// Time in µs for which the units will not be available; [`Micros::MAX`] if they never will be.
        retry_after: Micros,
    },
}

/// Result of a request that has waited for units.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The units were taken.
    Taken(Receipt),
    /// The units are not available.
    Denied {
        /// Time in µs for which the units will not be available; [`Micros::MAX`] if they never will be.
        retry_after: Micros,
    },
}

/// Answer to a request that has waited for units.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    /// The id that the request received with [`TakeResult::Waiting`].
    pub waiter_id: WaiterId,
    /// Result of the request.
    pub outcome: Outcome,
}

/// Reports and answers that the caller of [`Holder::poll`](super::Holder::poll) has to deliver.
#[derive(Debug, Default, PartialEq)]
pub struct Poll {
    /// Reports to send, each with the number of the allocator that it is for.
    pub reports: Vec<(u32, Report)>,
    /// Answers to requests that no longer wait.
    pub answers: Vec<Answer>,
}

/// Metrics since the start of the holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HolderFigures {
    /// Number of reports sent, without retries.
    pub reports: u64,
    /// Number of entries in the reports sent, without retries.
    pub entries: u64,
    /// Units that allocators granted.
    pub granted: MilliUnits,
    /// Units that were returned to allocators.
    pub returned: MilliUnits,
    /// Units that requests took from leases.
    pub taken: MilliUnits,
    /// Units that requests took from fallback shares.
    pub fallback: MilliUnits,
    /// Number of requests that waited for an allocator.
    pub waited: u64,
    /// Number of requests that were denied.
    pub denied: u64,
}
