//! Allocators that come and go, and what is due for the owner of an account.

use super::super::exchange::Exchange;
use super::super::held::Due;
use super::super::message::AccountKey;
use super::super::placement;
use super::{Answer, Holder, Waiter};
use crate::decision::Micros;

impl Holder {
    /// The owner of an account, if it answers.
    pub(super) fn available_owner(&self, key: AccountKey) -> Option<u32> {
        placement::owner(key, self.settings.allocators, self.given_away)
            .filter(|owner| self.is_available(*owner))
    }

    pub(super) fn lose(&mut self, now: Micros, allocator: u32, answers: &mut Vec<Answer>) {
        let retry_at = now.saturating_add(self.settings.retry_after);
        self.exchanges[allocator as usize].lose(retry_at);
        for key in self.waiters.keys().copied().collect::<Vec<_>>() {
            let orphaned = self.available_owner(key).is_none();
            let chosen = |waiter: &Waiter| {
                waiter.asked == Some(allocator) || orphaned && waiter.asked.is_none()
            };
            self.fall_back(now, key, chosen, answers);
        }
    }

    /// Puts all that is due on the lists of those that own it now.
    pub(super) fn reroute(&mut self, now: Micros, answers: &mut Vec<Answer>) {
        let due: Vec<_> = self
            .exchanges
            .iter_mut()
            .flat_map(Exchange::take_due)
            .collect();
        for key in due {
            let account = self.accounts.get_mut(&key);
            let was = account.map_or(Due::No, |account| std::mem::take(&mut account.due));
            self.mark_due(key, was);
        }
        for key in self.waiters.keys().copied().collect::<Vec<_>>() {
            if self.available_owner(key).is_none() {
                self.fall_back(now, key, |waiter| waiter.asked.is_none(), answers);
            }
        }
    }

    /// Has the next report to the account's owner take it along.
    pub(super) fn mark_due(&mut self, key: AccountKey, due: Due) {
        let owner = placement::owner(key, self.settings.allocators, self.given_away);
        let (Some(owner), Some(account)) = (owner, self.accounts.get_mut(&key)) else {
            return;
        };
        if account.due < due {
            account.due = due;
            self.exchanges[owner as usize].add_due(key, due);
        }
    }
}
