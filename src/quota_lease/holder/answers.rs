//! Grants: which report a grant answers, and what its entries mean for the accounts.

use super::exchange::ReportInFlight;
use super::leased_account::ReportDue;
use super::receipt::LeaseOrigin;
use super::types::{Answer, Outcome};
use super::{Holder, Waiter, MICROS_PER_MILLI};
use crate::decision::Micros;
use crate::quota_lease::message::{AccountKey, Grant, GrantEntry, MessageError, ReportEntry};

/// A request that waits follows its account to another owner this many times. Then it gets units of the
/// fallback share, or none.
const MAX_REROUTES: u8 = 2;

impl Holder {
    /// Removes and returns the report in flight that a grant answers.
    ///
    /// # Errors
    ///
    /// If the grant is invalid or does not answer that report.
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
            return Err(MessageError::Entries("not as many as were asked for"));
        }
        exchange.incarnation = grant.incarnation;
        exchange.in_flight.take().ok_or(outdated)
    }

    /// Adds granted units to an account and answers the requests that the report was sent for.
    pub(super) fn on_units(
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
            self.figures.granted += granted.units;
        }
        let hold_off = Micros::from(granted.hold_off_ms) * MICROS_PER_MILLI;
        if hold_off > 0 {
            account.held_off_until = now.saturating_add(hold_off);
        }
        self.serve_waiters(now, key, answers);
        // Requests that arrived after the report was sent wait for the next one, unless the account is
        // held off.
        let is_answered =
            |waiter: &Waiter| hold_off > 0 || waiter.requested_from == Some(origin.allocator);
        for waiter in self.take_waiters(key, is_answered) {
            let retry_after = hold_off.max(self.settings.spacing);
            self.resolve(&waiter, Outcome::Denied { retry_after }, answers);
        }
        self.set_timer(now, key);
    }

    /// The allocator does not own the account, and has not counted the use of the fallback share that
    /// the report contained.
    pub(super) fn on_not_owner(
        &mut self,
        now: Micros,
        allocator: u32,
        requested: &ReportEntry,
        answers: &mut Vec<Answer>,
    ) {
        let key = requested.account;
        if requested.beyond > 0 {
            if let Some(account) = self.accounts.get_mut(&key) {
                account.unreported_fallback =
                    account.unreported_fallback.saturating_add(requested.beyond);
                self.unreported.insert(key);
            }
        }
        let moved = self
            .available_owner(key)
            .is_some_and(|owner| owner != allocator);
        self.request_again(now, allocator, key, moved, answers);
    }

    /// The report was addressed to an earlier process of the allocator, which may have processed it. So
    /// the use of the fallback share and the returned units in it are not reported again.
    pub(super) fn on_restart(
        &mut self,
        now: Micros,
        allocator: u32,
        requested: &ReportEntry,
        answers: &mut Vec<Answer>,
    ) {
        let has_owner = self.available_owner(requested.account).is_some();
        self.request_again(now, allocator, requested.account, has_owner, answers);
    }

    /// Leaves the requests of an unsuccessful report waiting for the next one if that `can_succeed`;
    /// otherwise they get units of the fallback share, or none.
    fn request_again(
        &mut self,
        now: Micros,
        allocator: u32,
        key: AccountKey,
        can_succeed: bool,
        answers: &mut Vec<Answer>,
    ) {
        let gives_up = |waiter: &Waiter| {
            let waits_on = can_succeed && waiter.reroutes < MAX_REROUTES;
            waiter.requested_from == Some(allocator) && !waits_on
        };
        self.fall_back(now, key, gives_up, answers);
        for waiter in self.waiters.get_mut(&key).into_iter().flatten() {
            if waiter.requested_from == Some(allocator) {
                waiter.requested_from = None;
                waiter.reroutes += 1;
            }
        }
        if self.waiters.contains_key(&key) {
            self.mark_due(key, ReportDue::Immediately);
        }
        self.set_timer(now, key);
    }
}
