//! Bounds the number of accounts whose state is kept.
//!
//! State is removed that a new account would not differ in: nothing of the account is in flight or
//! waits, and its token bucket is full again. While every account is in use, requests of further
//! accounts are rejected.

use super::account::Account;
use super::identifiers::{AccountId, Micros};
use super::Engine;

/// One part in this many of the accounts is removed at a time, so that the search for them is rare.
const EVICTED_PARTS: usize = 8;
/// Time after a search that found too few accounts before the next one, in microseconds.
const SEARCH_INTERVAL: Micros = 100_000;

/// An account that may be removed. Those with nothing to report come first, then those whose last
/// request is the oldest.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictableAccount {
    has_unreported: bool,
    last_request_at: Micros,
    id: AccountId,
}

impl Engine {
    /// Whether a request of this account may be admitted. Removes unused accounts if their number
    /// has reached its bound and this account is new.
    pub(super) fn has_room_for_account(&mut self, now: Micros, id: &AccountId) -> bool {
        let Some(max_accounts) = self.settings.max_accounts else {
            return true;
        };
        if self.accounts.len() < max_accounts || self.accounts.contains_key(id) {
            return true;
        }
        if now >= self.next_eviction_at {
            self.evict_accounts(now, max_accounts / EVICTED_PARTS + 1);
        }
        self.accounts.len() < max_accounts
    }

    /// Removes up to `count` unused accounts.
    fn evict_accounts(&mut self, now: Micros, count: usize) {
        let evictable = self.accounts.iter();
        let evictable = evictable.filter(|(_, account)| self.is_evictable(now, account));
        let mut evictable: Vec<_> = evictable
            .map(|(id, account)| EvictableAccount {
                has_unreported: account.unreported != 0.0,
                last_request_at: account.last_request_at,
                id: id.clone(),
            })
            .collect();
        if evictable.len() < count {
            self.next_eviction_at = now + SEARCH_INTERVAL;
        }
        evictable.sort_unstable();
        for EvictableAccount { id, .. } in evictable.into_iter().take(count) {
            if let Some(account) = self.accounts.remove(&id) {
                self.counter.unschedule(account.synced_at, &id);
            }
        }
    }

    /// Whether the account's state would be the same if its next request were its first.
    fn is_evictable(&self, now: Micros, account: &Account) -> bool {
        let plan = &self.settings.plans[account.plan];
        account.waiting.is_empty()
            && account.in_flight == 0
            && account.call.is_none()
            && account.granted <= 0.0
            && account.is_full_at(now, plan, self.counter.is_usable())
    }
}
