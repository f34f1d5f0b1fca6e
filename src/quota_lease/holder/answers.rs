//! Processing of grants: finds the report that a grant answers, and applies its entries to the
//! accounts.

use super::exchange::ReportInFlight;
use super::leased_account::ReportDue;
use super::receipt::LeaseOrigin;
use super::types::{Answer, Outcome};
use super::{Holder, Waiter, MICROS_PER_MILLI};
use crate::decision::Micros;
use crate::quota_lease::message::{AccountKey, Grant, GrantEntry, MessageError, ReportEntry};

/// Maximum number of times that the units of a waiting request are requested again after a report was
/// unsuccessful. After that, the request is served from the fallback share or denied.
const MAX_REPEATED_REQUESTS: u8 = 2;

impl Holder {
    /// Removes and returns the report in flight that a grant answers.
    ///
    /// # Errors
    ///
    /// If the grant is invalid or does not answer the report in flight.
    pub(super) fn answered_report(
        &mut self,
        grant: &Grant,
    ) -> Result<ReportInFlight, MessageError> {
        grant.check()?;
        let exchange = self
            .exchanges
            .get_mut(grant.allocator as usize)
            .ok_or(MessageError::UnknownSender(grant.allocator))?;
        let outdated = MessageError::Outdated(grant.sequence);
        if grant.limiter_incarnation != self.settings.incarnation
            || !exchange.is_in_flight(grant.sequence)
            || grant.incarnation < exchange.incarnation
        {
            return Err(outdated);
        }
        let in_flight = exchange.in_flight.as_ref();
        let entries = in_flight.map(|in_flight| in_flight.report.accounts.len());
        if entries != Some(grant.entries as usize) {
            return Err(MessageError::Entries(
                "number of entries differs from the report",
            ));
        }
        exchange.incarnation = grant.incarnation;
        exchange.in_flight.take().ok_or(outdated)
    }

    /// Handles an entry that is not
    /// [`Verdict::NotOwner`](crate::quota_lease::message::Verdict::NotOwner): adds the granted
    /// units to the account, and answers the requests for which they were requested.
    pub(super) fn on_granted(
        &mut self,
        now: Micros,
        origin: LeaseOrigin,
        requested: &ReportEntry,
        granted: GrantEntry,
        answers: &mut Vec<Answer>,
    ) {
        let key = requested.account;
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        if granted.units > 0 {
            account.add_lease(origin, granted.units);
            self.metrics.granted += granted.units;
        }
        let hold_off = Micros::from(granted.hold_off_ms) * MICROS_PER_MILLI;
        if hold_off > 0 {
            account.held_off_until = now.saturating_add(hold_off);
        }
        self.serve_waiters(now, key, answers);
        // Requests that arrived after the report was sent wait for the next report, unless the
        // account is held off.
        let is_answered =
            |waiter: &Waiter| hold_off > 0 || waiter.requested_from == Some(origin.allocator);
        for waiter in self.take_waiters(key, is_answered) {
            let retry_after = hold_off.max(self.settings.min_report_spacing);
            self.resolve(&waiter, Outcome::Denied { retry_after }, answers);
        }
        self.set_timer(now, key);
    }

    /// Handles an entry for an account that the allocator does not own. The allocator has not
    /// counted the use of the fallback share in the entry, so it is reported again.
    pub(super) fn on_not_owner(
        &mut self,
        now: Micros,
        allocator: u32,
        requested: &ReportEntry,
        answers: &mut Vec<Answer>,
    ) {
        let key = requested.account;
        if requested.fallback_used > 0 {
            if let Some(account) = self.accounts.get_mut(&key) {
                account.unreported_fallback = account
                    .unreported_fallback
                    .saturating_add(requested.fallback_used);
                self.unreported.insert(key);
            }
        }
        let has_other_owner = self
            .available_owner(key)
            .is_some_and(|owner| owner != allocator);
        self.on_unsuccessful_report(now, allocator, key, has_other_owner, answers);
    }

    /// Handles an entry of a report that was addressed to an earlier incarnation of the allocator.
    /// That incarnation may have processed the report, so the use of the fallback share and the
    /// returned units in it are not reported again.
    pub(super) fn on_restart(
        &mut self,
        now: Micros,
        allocator: u32,
        requested: &ReportEntry,
        answers: &mut Vec<Answer>,
    ) {
        let has_owner = self.available_owner(requested.account).is_some();
        self.on_unsuccessful_report(now, allocator, requested.account, has_owner, answers);
    }

    /// Handles the requests for which a report was unsuccessful. If the next report `can_succeed`,
    /// they wait for it, up to [`MAX_REPEATED_REQUESTS`] times; otherwise they are served from the
    /// fallback share or denied.
    fn on_unsuccessful_report(
        &mut self,
        now: Micros,
        allocator: u32,
        key: AccountKey,
        can_succeed: bool,
        answers: &mut Vec<Answer>,
    ) {
        let stops_waiting = |waiter: &Waiter| {
            let keeps_waiting = can_succeed && waiter.repeated_requests < MAX_REPEATED_REQUESTS;
            waiter.requested_from == Some(allocator) && !keeps_waiting
        };
        self.answer_from_fallback(now, key, stops_waiting, answers);
        for waiter in self.waiters.get_mut(&key).into_iter().flatten() {
            if waiter.requested_from == Some(allocator) {
                waiter.requested_from = None;
                waiter.repeated_requests += 1;
            }
        }
        if self.waiters.contains_key(&key) {
            self.mark_due(key, ReportDue::Immediately);
        }
        self.set_timer(now, key);
    }
}
