//! Changes of the allocators' availability, and of the ownership of accounts.

use super::exchange::Exchange;
use super::leased_account::ReportDue;
use super::types::Answer;
use super::{Holder, Waiter};
use crate::decision::Micros;
use crate::quota_lease::message::{AccountKey, Grant};
use crate::quota_lease::placement;

impl Holder {
    /// Returns the allocator that owns an account, if it is available.
    pub(super) fn available_owner(&self, key: AccountKey) -> Option<u32> {
        placement::owner(key, self.settings.allocators, self.reassigned)
            .filter(|owner| self.is_available(*owner))
    }

    /// Updates the state of the allocators from a grant: the availability of the one that answered,
    /// and which are reassigned. `addressed_to` is the incarnation to which the answered report was
    /// addressed.
    pub(super) fn update_allocator(
        &mut self,
        now: Micros,
        grant: &Grant,
        addressed_to: u64,
        answers: &mut Vec<Answer>,
    ) {
        let allocator = grant.allocator;
        if !grant.serving {
            self.set_unavailable(now, allocator, answers);
            return;
        }
        let has_recovered = !self.is_available(allocator) || addressed_to != grant.incarnation;
        self.exchanges[allocator as usize].set_available();
        let ownership_changed = self.reassigned != grant.reassigned;
        self.reassigned = grant.reassigned;
        if ownership_changed {
            self.reroute(now, answers);
        }
        if ownership_changed || has_recovered {
            for key in self.unreported.clone() {
                self.mark_due(key, ReportDue::NextInterval);
            }
        }
    }

    /// Marks an allocator as unavailable and abandons the report in flight to it. The requests that
    /// waited for this report are served from the fallback share or denied, and so are requests of
    /// accounts without an available owner whose units have not been requested yet.
    pub(super) fn set_unavailable(
        &mut self,
        now: Micros,
        allocator: u32,
        answers: &mut Vec<Answer>,
    ) {
        let probe_at = now.saturating_add(self.settings.probe_after);
        self.exchanges[allocator as usize].set_unavailable(probe_at);
        for key in self.waiting_accounts() {
            let no_owner = self.available_owner(key).is_none();
            let is_affected = |waiter: &Waiter| match waiter.requested_from {
                Some(requested_from) => requested_from == allocator,
                None => no_owner,
            };
            self.answer_from_fallback(now, key, is_affected, answers);
        }
    }

    /// After a change of ownership, moves the accounts that are due for a report to the exchanges
    /// with their new owners. Requests of accounts without an available owner are served from the
    /// fallback share or denied, unless a report that requests their units is in flight.
    fn reroute(&mut self, now: Micros, answers: &mut Vec<Answer>) {
        let due: Vec<_> = self
            .exchanges
            .iter_mut()
            .flat_map(Exchange::take_due)
            .collect();
        for key in due {
            if let Some(account) = self.accounts.get_mut(&key) {
                let report_due = std::mem::take(&mut account.report_due);
                self.mark_due(key, report_due);
            }
        }
        for key in self.waiting_accounts() {
            if self.available_owner(key).is_none() {
                self.answer_from_fallback(
                    now,
                    key,
                    |waiter| waiter.requested_from.is_none(),
                    answers,
                );
            }
        }
    }

    /// Returns the accounts with waiting requests.
    fn waiting_accounts(&self) -> Vec<AccountKey> {
        self.waiters.keys().copied().collect()
    }

    /// Marks an account as due for the next report to its owner, unless it is due at least as early
    /// already.
    pub(super) fn mark_due(&mut self, key: AccountKey, due: ReportDue) {
        let owner = placement::owner(key, self.settings.allocators, self.reassigned);
        let Some(owner) = owner else { return };
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        if account.report_due < due {
            account.report_due = due;
            self.exchanges[owner as usize].add_due(key, due);
        }
    }
}
