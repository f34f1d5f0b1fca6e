//! Start-time fair queueing of the requests that wait to be sent.
//!
//! Equation numbers are those of the paper "Proportional-Share Scheduling for Distributed Storage
//! Systems"; `docs/design.md` lists where the implementation differs from it.

use super::identifiers::RequestId;
use std::collections::BTreeSet;

/// Position of a request in the queue: its start tag, then the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartTag {
    /// Bit pattern of the tag. Bit patterns have the order of the tags, as no tag is negative.
    bits: u64,
    /// Sequence number of the request.
    arrival: u64,
}

impl StartTag {
    fn value(self) -> f64 {
        f64::from_bits(self.bits)
    }
}

/// The waiting requests of all accounts.
#[derive(Default)]
pub struct FairQueue {
    waiting: BTreeSet<(StartTag, RequestId)>,
    /// Virtual time: start tag of the last request sent.
    pub(crate) virtual_time: f64,
    /// Sum of the weights of the active accounts.
    active_weight: f64,
    /// Number of requests tagged so far.
    arrivals: u64,
}

impl FairQueue {
    /// Adds the weight of an account that has become active.
    pub fn add_weight(&mut self, weight: f64) {
        self.active_weight += weight;
    }

    /// Sets the sum of the weights of the active accounts.
    pub fn set_weight(&mut self, weight: f64) {
        self.active_weight = weight;
    }

    /// Returns the share φ of an account of this weight among the active accounts.
    pub fn share(&self, weight: f64) -> f64 {
        weight / self.active_weight.max(weight)
    }

    /// Tags a request and updates the finish tag F of its account by equations (5), (6) and (12):
    /// S = max{v, F + delay/φ} and F = S + cost/φ. S is the start tag and v the virtual time.
    pub fn tag(&mut self, finish_tag: &mut f64, delay: f64, cost: f64, share: f64) -> StartTag {
        let start = self.virtual_time.max(*finish_tag + delay / share);
        *finish_tag = start + cost / share;
        self.arrivals += 1;
        StartTag {
            bits: start.max(0.0).to_bits(),
            arrival: self.arrivals,
        }
    }

    /// Adds a request to the queue.
    pub fn insert(&mut self, tag: StartTag, id: RequestId) {
        self.waiting.insert((tag, id));
    }

    /// Removes a request from the queue, if it is there.
    pub fn remove(&mut self, tag: StartTag, id: &RequestId) {
        self.waiting.remove(&(tag, id.clone()));
    }

    /// Returns the waiting requests in the order in which they are to be sent.
    pub fn iter(&self) -> impl Iterator<Item = &(StartTag, RequestId)> {
        self.waiting.iter()
    }

    /// Advances the virtual time to the start tag of a request that is about to be sent.
    pub fn advance(&mut self, tag: StartTag) {
        self.virtual_time = self.virtual_time.max(tag.value());
    }
}
