//! Results of the calls of a holder, and its metrics.

use super::receipt::Receipt;
use crate::decision::Micros;
use crate::quota_lease::message::{MilliUnits, Report};

/// Identifies a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Result of a request for units.
#[derive(Debug, PartialEq, Eq)]
pub enum TakeResult {
    /// The units are taken.
    Taken(Receipt),
    /// The owner is asked for units; an [`Answer`] with this ticket follows.
    Waiting(Ticket),
    /// No units are available.
    Denied {
        /// Time in µs before which none will be available; [`Micros::MAX`] if they never will.
        retry_after: Micros,
    },
}

/// Result of a request that waited.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The units are taken.
    Taken(Receipt),
    /// No units are available.
    Denied {
        /// Time in µs before which none will be available; [`Micros::MAX`] if they never will.
        retry_after: Micros,
    },
}

/// Answer to a request that waited.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    /// The ticket of [`TakeResult::Waiting`].
    pub ticket: Ticket,
    /// The result.
    pub outcome: Outcome,
}

/// What the caller has to do.
#[derive(Debug, Default, PartialEq)]
pub struct Poll {
    /// Reports to send, each with the number of its allocator.
    pub reports: Vec<(u32, Report)>,
    /// Answers to requests that need not wait any longer.
    pub answers: Vec<Answer>,
}

/// Metrics since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HolderFigures {
    /// Reports sent, without retries.
    pub reports: u64,
    /// Entries in them.
    pub entries: u64,
    /// Units that were granted.
    pub granted: MilliUnits,
    /// Units that were returned.
    pub returned: MilliUnits,
    /// Units that requests took from leases.
    pub taken: MilliUnits,
    /// Units that requests took from fallback shares.
    pub fallback: MilliUnits,
    /// Requests that waited for an allocator.
    pub waited: u64,
    /// Requests that were denied.
    pub denied: u64,
}
