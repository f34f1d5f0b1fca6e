//! Charges the units of open requests to quota leases.

use super::messages::Transport;
use super::open_requests::request_number;
use super::Core;
use crate::decision::{AccountId, Event, Micros, Plan, RequestId};
use crate::quota_lease::holder::{
    Answer, Holder, HolderFigures, Outcome, Receipt, TakeResult, WaiterId,
};
use crate::quota_lease::link::AllocatorEvent;
use crate::quota_lease::message::{AccountKey, DroppedMessages, MilliUnits, PlanLimits, Report};
use slog::info;
use std::collections::HashMap;

/// Number of milli-units per unit.
const MILLI_PER_UNIT: f64 = 1_000.0;
/// Interval at which lease metrics are logged, in microseconds.
const LOG_INTERVAL: Micros = 60_000_000;
/// Milli-units that the binary representation of a decimal fraction may add; not to be rounded up.
const ROUNDING_ERROR: f64 = 1e-6;

/// Result of the attempt to take the units of a request from a lease.
pub(crate) struct LeaseResult {
    /// The request.
    pub(crate) id: RequestId,
    /// Whether the units were taken.
    pub(crate) granted: bool,
}

/// State of the units of an open request.
enum Units {
    /// The units were requested from an allocator, which has not answered.
    Waiting(WaiterId),
    /// The units were taken from a lease.
    Taken(Receipt),
}

/// The engine's demand for the units of a request.
pub(super) struct LeaseDemand {
    /// Account that the request is charged to.
    pub(super) account: AccountId,
    /// Index of the account's plan.
    pub(super) plan: usize,
    /// Number of limiters that receive the account's requests.
    pub(super) limiter_count: u32,
    /// Number of units.
    pub(super) units: f64,
}

/// The holder of quota leases, and the units of the requests that are open.
pub(crate) struct Leases {
    holder: Holder,
    plans: Vec<PlanLimits>,
    /// The open requests whose units are taken from a lease or requested from an allocator.
    requests: HashMap<RequestId, Units>,
    /// The open requests that wait for an allocator.
    waiting: HashMap<WaiterId, RequestId>,
    next_log: Micros,
}

impl Leases {
    /// Creates the state for the leases of this holder; `plans` are the plans of the engine's
    /// settings.
    pub(crate) fn new(now: Micros, holder: Holder, plans: &[Plan]) -> Self {
        let limits = |plan: &Plan| PlanLimits {
            rate: milli_units(plan.rate),
            burst: milli_units(plan.burst),
        };
        Self {
            holder,
            plans: plans.iter().map(limits).collect(),
            requests: HashMap::new(),
            waiting: HashMap::new(),
            next_log: now + LOG_INTERVAL,
        }
    }

    /// Takes the units of a request from a lease. Returns `None` if they were requested from an
    /// allocator; the result is then returned later by [`Self::handle_event`] or [`Self::poll`].
    pub(crate) fn take(
        &mut self,
        now: Micros,
        id: RequestId,
        demand: &LeaseDemand,
    ) -> Option<LeaseResult> {
        let Some(limits) = self.plans.get(demand.plan).copied() else {
            return Some(LeaseResult { id, granted: false });
        };
        let key = AccountKey::of(&demand.account.0);
        let units = milli_units(demand.units);
        let taken = self
            .holder
            .take(now, key, limits, demand.limiter_count, units);
        match taken {
            TakeResult::Taken(receipt) => {
                self.requests.insert(id.clone(), Units::Taken(receipt));
                Some(LeaseResult { id, granted: true })
            }
            TakeResult::Waiting(waiter_id) => {
                self.waiting.insert(waiter_id, id.clone());
                self.requests.insert(id, Units::Waiting(waiter_id));
                None
            }
            TakeResult::Denied { .. } => Some(LeaseResult { id, granted: false }),
        }
    }

    /// Ends a request. If it was never forwarded, its units are returned to the lease, even if they
    /// are granted only later.
    pub(crate) fn close(&mut self, now: Micros, id: &RequestId, was_forwarded: bool) {
        match self.requests.remove(id) {
            Some(Units::Taken(receipt)) if !was_forwarded => self.holder.put_back(now, receipt),
            Some(Units::Waiting(waiter_id)) => _ = self.waiting.remove(&waiter_id),
            Some(Units::Taken(_)) | None => {}
        }
    }

    /// Handles an event of a connection to an allocator; returns the results of requests that
    /// waited for it.
    pub(crate) fn handle_event(&mut self, now: Micros, event: AllocatorEvent) -> Vec<LeaseResult> {
        let answers = match event {
            AllocatorEvent::Answer(grant) => self.holder.on_grant(now, &grant).unwrap_or_default(),
            AllocatorEvent::InvalidAnswer { reason, .. } => {
                self.holder.count_dropped(&reason);
                Vec::new()
            }
            AllocatorEvent::Lost { allocator } => self.holder.on_connection_lost(now, allocator),
        };
        self.results(now, answers)
    }

    /// Returns the reports to send now, each with the number of its allocator, and the results of
    /// requests that no longer wait for an allocator.
    pub(crate) fn poll(&mut self, now: Micros) -> (Vec<(u32, Report)>, Vec<LeaseResult>) {
        let poll = self.holder.poll(now);
        (poll.reports, self.results(now, poll.answers))
    }

    /// Returns the earliest time at which [`Self::poll`] is due; `None` if there is nothing to
    /// report.
    pub(crate) fn next_wake(&self) -> Option<Micros> {
        Some(self.holder.next_wake()).filter(|at| *at < Micros::MAX)
    }

    /// Whether [`Self::poll`] is due.
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.holder.next_wake() <= now
    }

    /// Returns the metrics since the start and the counts of dropped grants if they are due to be
    /// logged.
    pub(crate) fn metrics_due(&mut self, now: Micros) -> Option<(HolderFigures, DroppedMessages)> {
        if now < self.next_log {
            return None;
        }
        self.next_log = now + LOG_INTERVAL;
        Some((self.holder.metrics(), self.holder.dropped()))
    }

    fn results(&mut self, now: Micros, answers: Vec<Answer>) -> Vec<LeaseResult> {
        answers
            .into_iter()
            .filter_map(|answer| self.result(now, answer))
            .collect()
    }

    fn result(&mut self, now: Micros, answer: Answer) -> Option<LeaseResult> {
        match (self.waiting.remove(&answer.waiter_id), answer.outcome) {
            (Some(id), Outcome::Taken(receipt)) => {
                self.requests.insert(id.clone(), Units::Taken(receipt));
                Some(LeaseResult { id, granted: true })
            }
            (Some(id), Outcome::Denied { .. }) => {
                self.requests.remove(&id);
                Some(LeaseResult { id, granted: false })
            }
            // The request has ended in the meantime.
            (None, Outcome::Taken(receipt)) => {
                self.holder.put_back(now, receipt);
                None
            }
            (None, Outcome::Denied { .. }) => None,
        }
    }
}

impl<T: Transport> Core<T> {
    /// Takes the units of an open request from a lease. If the result is known immediately, it is
    /// queued as a pending event for the engine.
    pub(super) fn request_lease(&mut self, now: Micros, id: RequestId, demand: &LeaseDemand) {
        if !self.requests.contains(request_number(&id)) {
            return;
        }
        let Some(leases) = &mut self.leases else {
            return;
        };
        if let Some(LeaseResult { id, granted }) = leases.take(now, id, demand) {
            self.pending_events
                .push_back(Event::LeaseReply { id, granted });
        }
    }

    /// Handles an event of a connection to an allocator.
    pub(super) fn handle_allocator_event(&mut self, now: Micros, event: AllocatorEvent) {
        let Some(leases) = &mut self.leases else {
            return;
        };
        let results = leases.handle_event(now, event);
        self.notify_lease_results(now, results);
    }

    /// Sends the lease reports that are due, and notifies the engine of the results of requests
    /// that no longer wait for an allocator.
    pub(super) fn send_lease_reports(&mut self, now: Micros) {
        let Some(leases) = &mut self.leases else {
            return;
        };
        if let Some((figures, dropped)) = leases.metrics_due(now) {
            info!(self.log, "leases"; "figures" => ?figures, "dropped" => ?dropped);
        }
        if !leases.is_due(now) {
            return;
        }
        let (reports, results) = leases.poll(now);
        for (allocator, report) in reports {
            self.transport.send_lease_report(allocator, report);
        }
        self.notify_lease_results(now, results);
    }

    fn notify_lease_results(&mut self, now: Micros, results: Vec<LeaseResult>) {
        for LeaseResult { id, granted } in results {
            self.notify_engine(now, Event::LeaseReply { id, granted });
        }
    }
}

/// Converts units to whole milli-units, rounded up; 0 for a negative number.
fn milli_units(units: f64) -> MilliUnits {
    (units * MILLI_PER_UNIT - ROUNDING_ERROR).ceil().max(0.0) as MilliUnits
}
