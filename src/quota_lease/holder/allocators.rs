//! Allocators that become available or unavailable, and accounts that move between owners.

use super::exchange::Exchange;
use super::leased_account::ReportDue;
use super::types::Answer;
use super::{Holder, Waiter};
use crate::decision::Micros;
use crate::quota_lease::message::{AccountKey, Grant};
use crate::quota_lease::placement;

impl Holder {
    /// Returns the owner of an account, if it is available.
    pub(super) fn available_owner(&self, key: AccountKey) -> Option<u32> {
        placement::owner(key, self.settings.allocators, self.reassigned)
            .filter(|owner| self.is_available(*owner))
    }

    /// Applies what a grant contains about the allocators themselves. `addressed_to` is the incarnation
    /// that the report was addressed to.
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
        let recovered = !self.is_available(allocator) || addressed_to != grant.incarnation;
        self.exchanges[allocator as usize].set_available();
        let moved = self.reassigned != grant.given_away;
        self.reassigned = grant.given_away;
        if moved {
            self.reroute(now, answers);
        }
        if moved || recovered {
            for key in self.unreported.clone() {
                self.mark_due(key, ReportDue::NextInterval);
            }
        }
    }

    /// Gives up the report in flight to an allocator. Requests that it was sent for, and those without
    /// an available owner, get units of the fallback share, or none.
    pub(super) fn set_unavailable(
        &mut self,
        now: Micros,
        allocator: u32,
        answers: &mut Vec<Answer>,
    ) {
        let retry_at = now.saturating_add(self.settings.retry_after);
        self.exchanges[allocator as usize].set_unavailable(retry_at);
        for key in self.waiting_accounts() {
            let no_owner = self.available_owner(key).is_none();
            let affected = |waiter: &Waiter| match waiter.requested_from {
                Some(requested_from) => requested_from == allocator,
                None => no_owner,
            };
            self.fall_back(now, key, affected, answers);
        }
    }

    /// Moves the accounts that are due to the exchanges of their present owners.
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
                self.fall_back(now, key, |waiter| waiter.requested_from.is_none(), answers);
            }
        }
    }

    fn waiting_accounts(&self) -> Vec<AccountKey> {
        self.waiters.keys().copied().collect()
    }

    /// Adds an account to the next report to its owner.
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
