//! Leased units of the requests that the core holds: what the holder of leases is asked for, and what goes back to it.

use super::messages::Transport;
use super::requests::number;
use super::Core;
use crate::decision::{AccountId, Event, Micros, Plan, RequestId};
use crate::quota_lease::holder::{
    Answer, Dropped, Holder, HolderFigures, Outcome, Receipt, Take, Ticket,
};
use crate::quota_lease::link::LinkEvent;
use crate::quota_lease::message::{AccountKey, MilliUnits, PlanLimits, Report};
use slog::info;
use std::collections::HashMap;

/// Thousandths in a unit.
const MILLI: f64 = 1_000.0;
/// Time between two lines of figures in the log.
const FIGURES_INTERVAL: Micros = 60_000_000;
/// What the representation of decimal fractions may add to a number of units.
const ROUNDING: f64 = 1e-6;

/// Says of a request whether its units are leased.
pub(crate) struct Leased {
    pub(crate) id: RequestId,
    pub(crate) granted: bool,
}

/// The units of one request.
enum Units {
    Waiting(Ticket),
    Taken(Receipt),
}

/// The holder of leases, and what it said of the requests that are open.
pub(crate) struct Leases {
    holder: Holder,
    plans: Vec<PlanLimits>,
    requests: HashMap<RequestId, Units>,
    waiting: HashMap<Ticket, RequestId>,
    next_figures: Micros,
}

impl Leases {
    pub(crate) fn new(now: Micros, holder: Holder, plans: &[Plan]) -> Self {
        let limits = |plan: &Plan| PlanLimits {
            rate: milli(plan.rate),
            burst: milli(plan.burst),
        };
        let plans = plans.iter().map(limits).collect();
        let next_figures = now + FIGURES_INTERVAL;
        Self {
            holder,
            plans,
            requests: HashMap::new(),
            waiting: HashMap::new(),
            next_figures,
        }
    }

    /// Takes the units of a request. None if an allocator is asked for them: the answer follows.
    pub(crate) fn take(
        &mut self,
        now: Micros,
        id: RequestId,
        customer: &AccountId,
        (plan, spread): (usize, u32),
        units: f64,
    ) -> Option<Leased> {
        let Some(limits) = self.plans.get(plan).copied() else {
            return Some(Leased { id, granted: false });
        };
        let key = AccountKey::of(&customer.0);
        match self.holder.take(now, key, limits, spread, milli(units)) {
            Take::Taken(receipt) => {
                self.requests.insert(id.clone(), Units::Taken(receipt));
                Some(Leased { id, granted: true })
            }
            Take::Waiting(ticket) => {
                self.waiting.insert(ticket, id.clone());
                self.requests.insert(id, Units::Waiting(ticket));
                None
            }
            Take::Denied { .. } => Some(Leased { id, granted: false }),
        }
    }

    /// A request has ended. If it was never sent its units go back, as soon as they come if it still waits for them.
    pub(crate) fn close(&mut self, now: Micros, id: &RequestId, sent: bool) {
        match self.requests.remove(id) {
            Some(Units::Taken(receipt)) if !sent => self.holder.put_back(now, receipt),
            Some(Units::Waiting(ticket)) => _ = self.waiting.remove(&ticket),
            Some(Units::Taken(_)) | None => {}
        }
    }

    /// Takes what a connection to an allocator tells.
    pub(crate) fn hear(&mut self, now: Micros, event: LinkEvent) -> Vec<Leased> {
        let answers = match event {
            LinkEvent::Answer(grant) => self.holder.on_grant(now, &grant).unwrap_or_default(),
            LinkEvent::Unreadable { reason, .. } => {
                self.holder.count_dropped(&reason);
                Vec::new()
            }
            LinkEvent::Lost { allocator } => self.holder.on_lost(now, allocator),
        };
        self.answered(now, answers)
    }

    /// Reports that are to be sent now, each with the number of its allocator, and answers that need not be waited for.
    pub(crate) fn poll(&mut self, now: Micros) -> (Vec<(u32, Report)>, Vec<Leased>) {
        let poll = self.holder.poll(now);
        (poll.reports, self.answered(now, poll.answers))
    }

    /// When there is something to report at the earliest; none if nothing is expected.
    pub(crate) fn next_wake(&self) -> Option<Micros> {
        Some(self.holder.next_wake()).filter(|at| *at < Micros::MAX)
    }

    /// Is it time for [`Self::poll`]?
    pub(crate) fn is_due(&self, now: Micros) -> bool {
        self.holder.next_wake() <= now
    }

    /// Metrics since the start, and answers not taken, when it is time to log them.
    pub(crate) fn figures_due(&mut self, now: Micros) -> Option<(HolderFigures, Dropped)> {
        if now < self.next_figures {
            return None;
        }
        self.next_figures = now + FIGURES_INTERVAL;
        Some((self.holder.figures(), self.holder.dropped()))
    }

    fn answered(&mut self, now: Micros, answers: Vec<Answer>) -> Vec<Leased> {
        answers
            .into_iter()
            .filter_map(|answer| self.answer(now, answer))
            .collect()
    }

    fn answer(&mut self, now: Micros, answer: Answer) -> Option<Leased> {
        match (self.waiting.remove(&answer.ticket), answer.outcome) {
            (Some(id), Outcome::Taken(receipt)) => {
                self.requests.insert(id.clone(), Units::Taken(receipt));
                Some(Leased { id, granted: true })
            }
            (Some(id), Outcome::Denied { .. }) => {
                self.requests.remove(&id);
                Some(Leased { id, granted: false })
            }
            // Its request has ended meanwhile.
            (None, Outcome::Taken(receipt)) => {
                self.holder.put_back(now, receipt);
                None
            }
            (None, Outcome::Denied { .. }) => None,
        }
    }
}

impl<E: Transport> Core<E> {
    /// Asks for the units of an open request; where they are at hand the module is told at once.
    pub(super) fn lease(
        &mut self,
        now: Micros,
        id: RequestId,
        customer: &AccountId,
        (plan, spread): (usize, u32),
        units: f64,
    ) {
        let open = self.open.contains_key(&number(&id));
        let Some(leases) = self.leases.as_mut().filter(|_| open) else {
            return;
        };
        if let Some(Leased { id, granted }) = leases.take(now, id, customer, (plan, spread), units)
        {
            self.events.push_back(Event::LeaseReply { id, granted });
        }
    }

    /// Takes what a connection to an allocator tells.
    pub(super) fn hear_allocator(&mut self, now: Micros, event: LinkEvent) {
        let answers = self
            .leases
            .as_mut()
            .map(|leases| leases.hear(now, event))
            .unwrap_or_default();
        self.leased(now, answers);
    }

    /// Sends what the holder of leases reports now, and takes the answers that it does not wait for any longer.
    pub(super) fn send_reports(&mut self, now: Micros) {
        let Some(leases) = &mut self.leases else {
            return;
        };
        if let Some((figures, dropped)) = leases.figures_due(now) {
            info!(self.log, "leases"; "figures" => ?figures, "dropped" => ?dropped);
        }
        if !leases.is_due(now) {
            return;
        }
        let (reports, answers) = leases.poll(now);
        reports
            .into_iter()
            .for_each(|(allocator, report)| self.edges.send_lease_report(allocator, report));
        self.leased(now, answers);
    }

    fn leased(&mut self, now: Micros, answers: Vec<Leased>) {
        for Leased { id, granted } in answers {
            self.tell(now, Event::LeaseReply { id, granted });
        }
    }
}

/// Units in whole thousandths, rounded up.
fn milli(units: f64) -> MilliUnits {
    (units * MILLI - ROUNDING).ceil().max(0.0) as MilliUnits
}
