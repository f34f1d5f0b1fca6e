//! The accounts in memory: their timers, and the eviction of unused accounts.

use super::leased_account::ReportDue;
use super::Holder;
use crate::decision::Micros;
use crate::quota_lease::message::AccountKey;

/// Maximum number of accounts that are considered for eviction when there are too many.
const EVICTION_CANDIDATES: usize = 32;

impl Holder {
    /// Sets the timer of an account to its next check. A timer that has already expired is left
    /// unchanged.
    pub(super) fn set_timer(&mut self, now: Micros, key: AccountKey) {
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        if account.timer <= now {
            return;
        }
        let next = account.next_timer(now, &self.settings);
        if next != account.timer {
            self.timers.remove(&(account.timer, key));
            account.timer = next;
            self.timers.insert((next, key));
        }
    }

    /// Checks the accounts whose timers have expired.
    pub(super) fn run_timers(&mut self, now: Micros) {
        while let Some((at, key)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.remove(&(at, key));
            self.check_account(now, key);
        }
    }

    /// Removes an account if it is idle. Otherwise adds it to the next report if leases are to be
    /// renewed or returned.
    fn check_account(&mut self, now: Micros, key: AccountKey) {
        let settings = self.settings;
        let has_waiters = self.waiters.contains_key(&key);
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        account.timer = Micros::MAX;
        account.remove_finished_leases(now, &settings);
        if !has_waiters && account.is_idle(now, &settings) {
            self.accounts.remove(&key);
            return;
        }
        if account.has_expired(now) || account.wants_renewal(now, &settings) {
            self.mark_due(key, ReportDue::NextInterval);
        }
        self.set_timer(now, key);
    }

    /// Makes space for one more account, and returns whether there is space. The fallback share of an
    /// evicted account may be less than full, so the share of every account created after an eviction
    /// starts empty at the time of that eviction.
    pub(super) fn make_space(&mut self, now: Micros) -> bool {
        if self.accounts.len() < self.settings.max_accounts {
            return true;
        }
        let evictable = |key: &AccountKey| {
            let unused = self
                .accounts
                .get(key)
                .is_some_and(|account| account.is_unused(now));
            unused && !self.waiters.contains_key(key)
        };
        let evicted = self
            .timers
            .iter()
            .rev()
            .take(EVICTION_CANDIDATES)
            .map(|(_, key)| *key)
            .find(evictable);
        let Some(key) = evicted else { return false };
        if let Some(account) = self.accounts.remove(&key) {
            self.timers.remove(&(account.timer, key));
        }
        self.fallback_empty_since = now;
        true
    }
}
