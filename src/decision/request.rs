//! Requests that have no final answer yet, and their attempts.

use super::event::{Outcome, Request};
use super::fair_queue::StartTag;
use super::identifiers::{Micros, ServerId};

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(super) server: ServerId,
    pub(super) sent_at: Micros,
    /// Whether the attempt was counted as timed out at the request's latency objective.
    pub(super) counted_overdue: bool,
    /// How the attempt ended; `None` while it is in flight.
    pub(super) outcome: Option<Outcome>,
}

impl Attempt {
    pub(super) fn new(server: ServerId, sent_at: Micros) -> Self {
        Self {
            server,
            sent_at,
            counted_overdue: false,
            outcome: None,
        }
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|outcome| !outcome.never_ran())
    }
}

/// A request that has no final answer yet.
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    /// Priority weight of the request.
    pub(super) weight: f64,
    /// Amount that the request takes from the token bucket: its units, or one concurrency slot.
    pub(super) charge: f64,
    /// Time by which an answer meets the latency objective.
    pub(super) objective_at: Micros,
    pub(super) deadline: Micros,
    pub(super) tag: StartTag,
    pub(super) attempts: Vec<Attempt>,
    /// Whether the response has begun to stream.
    pub(super) streaming: bool,
    /// Whether the units of the request are leased.
    pub(super) leased: bool,
}

impl OpenRequest {
    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}
