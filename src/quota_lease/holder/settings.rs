//! What a limiter is told, and what it tells its host.

use super::super::message::{MilliUnits, Report};
use super::Receipt;
use crate::decision::Micros;

/// What a limiter is told at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderSettings {
    /// The limiter's number.
    pub limiter: u32,
    /// Drawn at the start of its process; a later process has a higher one.
    pub incarnation: u64,
    /// Allocators, numbered from 0.
    pub allocators: u32,
    /// Lifetime of a lease: what is expected to be used is reckoned for it, and no lease is used for longer.
    pub lease: Micros,
    /// Reports for which no request waits go out once in this time.
    pub interval: Micros,
    /// Reports for which requests wait go out no closer than this.
    pub spacing: Micros,
    /// A report is sent again after this time without an answer.
    pub repeat_after: Micros,
    /// An allocator counts as lost after this time without an answer.
    pub lost_after: Micros,
    /// A lost allocator is asked again after this time.
    pub retry_after: Micros,
    /// Thousandths of the quota that all limiters of an account's spread share while its owner does not answer.
    pub fallback_thousandths: u32,
    /// A limiter's fallback part holds at least this many units, unless there is none. With 0 an account whose part of the
    /// burst is less than a request is not served without its owner.
    pub fallback_least: MilliUnits,
    /// A request that finds no lease does not wait for the owner: it takes units out of the fallback part, which are
    /// reported with the next report. The bound on what goes beyond is that of the fallback, at all times.
    pub trust: bool,
    /// Accounts kept at most.
    pub max_accounts: usize,
    /// Requests that wait at most; further ones are denied.
    pub max_waiting: usize,
}

impl Default for HolderSettings {
    fn default() -> Self {
        Self {
            limiter: 0,
            incarnation: 1,
            allocators: 7,
            lease: 10_000_000,
            interval: 1_000_000,
            spacing: 20_000,
            repeat_after: 400_000,
            lost_after: 1_000_000,
            retry_after: 2_000_000,
            fallback_thousandths: 500,
            fallback_least: 0,
            trust: false,
            max_accounts: 20_000,
            max_waiting: 1_000,
        }
    }
}

/// Names a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What becomes of a request's units at once.
#[derive(Debug, PartialEq, Eq)]
pub enum Take {
    /// They are taken.
    Taken(Receipt),
    /// The allocator is asked; an [`Answer`] with this ticket follows.
    Waiting(Ticket),
    /// There are none.
    Denied {
        /// None before this time has passed; [`Micros::MAX`] if never.
        retry_after: Micros,
    },
}

/// What became of a request that waited.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its units are taken.
    Taken(Receipt),
    /// There are none.
    Denied {
        /// None before this time has passed; [`Micros::MAX`] if never.
        retry_after: Micros,
    },
}

/// Answers a request that waited.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    /// As [`Take::Waiting`] gave it.
    pub ticket: Ticket,
    /// Taken or denied.
    pub outcome: Outcome,
}

/// What is to be done now.
#[derive(Debug, Default, PartialEq)]
pub struct Poll {
    /// Reports to be sent, each to the allocator with this number.
    pub reports: Vec<(u32, Report)>,
    /// Requests that have waited for long enough.
    pub answers: Vec<Answer>,
}

/// Metrics since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HolderFigures {
    /// Reports that were sent for the first time.
    pub reports: u64,
    /// Entries in them.
    pub entries: u64,
    /// Units that were granted.
    pub granted: MilliUnits,
    /// Units that were returned.
    pub returned: MilliUnits,
    /// Units that requests took out of leases.
    pub taken: MilliUnits,
    /// Units that requests took out of fallback parts.
    pub beyond: MilliUnits,
    /// Requests that waited for an allocator.
    pub waited: u64,
    /// Requests that were denied.
    pub denied: u64,
}
