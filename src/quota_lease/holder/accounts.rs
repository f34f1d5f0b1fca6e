//! Accounts, their timers, and how many are kept.

use super::super::held::Due;
use super::super::message::AccountKey;
use super::Holder;
use crate::decision::Micros;

/// Accounts tried for a place when there is none left.
const EVICTION_TRIES: usize = 32;

impl Holder {
    pub(super) fn set_timer(&mut self, now: Micros, key: AccountKey) {
        // One that is due already is not put off.
        let Some(account) = self
            .accounts
            .get_mut(&key)
            .filter(|account| account.timer > now)
        else {
            return;
        };
        let next = account.next_timer(now, &self.settings);
        if next != account.timer {
            self.timers.remove(&(account.timer, key));
            account.timer = next;
            self.timers.insert((next, key));
        }
    }

    pub(super) fn run_timers(&mut self, now: Micros) {
        while let Some((at, key)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, key));
            self.attend(now, key);
        }
    }

    /// An account's lease is about to expire, or has expired, or the account may be forgotten.
    pub(super) fn attend(&mut self, now: Micros, key: AccountKey) {
        let settings = self.settings;
        let waits = self.waiters.contains_key(&key);
        let Some(account) = self.accounts.get_mut(&key) else {
            return;
        };
        account.timer = Micros::MAX;
        account.clean_up(now, &settings);
        if !waits && account.is_idle(now, &settings) {
            self.accounts.remove(&key);
            return;
        }
        if account.has_expired(now) || account.wants_renewal(now, &settings) {
            self.mark_due(key, Due::Later);
        }
        self.set_timer(now, key);
    }

    /// Makes a place for one more account. One whose fallback part is not full may have to go: what is opened after that opens
    /// empty.
    pub(super) fn make_place(&mut self, now: Micros) -> bool {
        if self.accounts.len() < self.settings.max_accounts {
            return true;
        }
        let tried = self
            .timers
            .iter()
            .rev()
            .take(EVICTION_TRIES)
            .map(|(_, key)| *key);
        let unused = |key: &AccountKey| {
            !self.waiters.contains_key(key)
                && self
                    .accounts
                    .get(key)
                    .is_some_and(|account| account.is_unused(now))
        };
        let Some(key) = tried.into_iter().find(unused) else {
            return false;
        };
        if let Some(account) = self.accounts.remove(&key) {
            self.timers.remove(&(account.timer, key));
        }
        self.parts_since = now;
        true
    }
}
