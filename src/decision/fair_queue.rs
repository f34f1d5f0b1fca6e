//! Start-time fair queueing of the requests that wait to be sent.
//!
//! Equations are those of "Proportional-Share Scheduling for Distributed Storage Systems"; departures
//! from it are listed in `docs/design.md`.

use super::identifiers::RequestId;
use std::collections::BTreeSet;

/// The place of a request in the queue: its start tag, and the order of arrival among equal ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartTag {
    /// Bits of the tag, which are ordered like the tag as it is not negative.
    bits: u64,
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
    arrivals: u64,
}

impl FairQueue {
    /// An account has become active.
    pub fn add_weight(&mut self, weight: f64) {
        self.active_weight += weight;
    }

    /// Sets the sum of the weights of the active accounts.
    pub fn set_weight(&mut self, weight: f64) {
        self.active_weight = weight;
    }

    /// Share φ of an account of this weight among the active ones.
    pub fn share(&self, weight: f64) -> f64 {
        weight / self.active_weight.max(weight)
    }

    /// Tags a request: equations (5), (6) and (12), S = max{v, F + delay/φ} and F = S + cost/φ.
    pub fn tag(&mut self, finish_tag: &mut f64, delay: f64, cost: f64, share: f64) -> StartTag {
        let start = self.virtual_time.max(*finish_tag + delay / share);
        *finish_tag = start + cost / share;
        self.arrivals += 1;
        StartTag {
            bits: start.max(0.0).to_bits(),
            arrival: self.arrivals,
        }
    }

    /// Adds a request.
    pub fn insert(&mut self, tag: StartTag, id: RequestId) {
        self.waiting.insert((tag, id));
    }

    /// Removes a request.
    pub fn remove(&mut self, tag: StartTag, id: &RequestId) {
        self.waiting.remove(&(tag, id.clone()));
    }

    /// The waiting requests in their order.
    pub fn iter(&self) -> impl Iterator<Item = &(StartTag, RequestId)> {
        self.waiting.iter()
    }

    /// A request is about to be sent.
    pub fn advance(&mut self, tag: StartTag) {
        self.virtual_time = self.virtual_time.max(tag.value());
    }
}
