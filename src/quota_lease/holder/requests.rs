//! Processing of requests: they take leased units, wait for units, or use the fallback share.

use super::fallback::FallbackExhausted;
use super::leased_account::ReportDue;
use super::receipt::Receipt;
use super::types::{Answer, Outcome, TakeResult, WaiterId};
use super::{Holder, Waiter};
use crate::decision::Micros;
use crate::quota_lease::message::{AccountKey, MilliUnits};
use std::collections::VecDeque;

impl Holder {
    /// Counts a denied request and returns its result.
    pub(super) fn deny(&mut self, retry_after: Micros) -> TakeResult {
        self.metrics.denied += 1;
        TakeResult::Denied { retry_after }
    }

    /// Takes the units of a request from leases or the fallback share, lets the request wait for the
    /// account's owner, or denies it.
    pub(super) fn take_or_wait(
        &mut self,
        now: Micros,
        key: AccountKey,
        units: MilliUnits,
    ) -> TakeResult {
        let Some(account) = self.accounts.get(&key) else {
            return self.deny(self.settings.report_interval);
        };
        let hold_off = account.held_off_until.saturating_sub(now);
        // Requests that are already waiting are served first.
        if !self.waiters.contains_key(&key) {
            if let Some(receipt) = self.take_leased(now, key, units) {
                return TakeResult::Taken(receipt);
            }
        }
        if hold_off > 0 {
            return self.deny(hold_off);
        }
        if self.available_owner(key).is_none() {
            return match self.take_fallback(now, key, units) {
                Outcome::Taken(receipt) => TakeResult::Taken(receipt),
                Outcome::Denied { retry_after } => self.deny(retry_after),
            };
        }
        if self.settings.use_fallback_first {
            if let Outcome::Taken(receipt) = self.take_fallback(now, key, units) {
                self.mark_due(key, ReportDue::NextInterval);
                return TakeResult::Taken(receipt);
            }
        }
        self.enqueue_waiter(key, units)
    }

    /// Lets a request wait for the account's owner, or denies it if too many requests are waiting.
    fn enqueue_waiter(&mut self, key: AccountKey, units: MilliUnits) -> TakeResult {
        if self.waiting >= self.settings.max_waiting {
            return self.deny(self.settings.report_interval);
        }
        let waiter_id = WaiterId(self.next_waiter_id);
        self.next_waiter_id += 1;
        self.waiting += 1;
        self.metrics.waited += 1;
        let waiter = Waiter {
            id: waiter_id,
            units,
            requested_from: None,
            repeated_requests: 0,
        };
        self.waiters.entry(key).or_default().push_back(waiter);
        self.mark_due(key, ReportDue::Immediately);
        TakeResult::Waiting(waiter_id)
    }

    /// Takes the units of a request from leases; returns `None` if they hold too few units.
    fn take_leased(&mut self, now: Micros, key: AccountKey, units: MilliUnits) -> Option<Receipt> {
        let account = self.accounts.get_mut(&key)?;
        let parts = account.take_leased(now, units, &self.settings)?;
        self.metrics.taken += units;
        Some(Receipt {
            account: key,
            parts,
        })
    }

    /// Takes the units of a request from the fallback share, or denies it if the share holds too few.
    fn take_fallback(&mut self, now: Micros, key: AccountKey, units: MilliUnits) -> Outcome {
        let settings = self.settings;
        let Some(account) = self.accounts.get_mut(&key) else {
            return Outcome::Denied {
                retry_after: settings.report_interval,
            };
        };
        match account.take_fallback(now, units, &settings) {
            Ok(part) => {
                self.metrics.fallback += units;
                self.unreported.insert(key);
                Outcome::Taken(Receipt {
                    account: key,
                    parts: vec![part],
                })
            }
            Err(FallbackExhausted { retry_after }) => Outcome::Denied {
                retry_after: retry_after.unwrap_or(settings.probe_after),
            },
        }
    }

    /// Answers a request that has waited. It must have been removed from the waiting requests.
    pub(super) fn resolve(&mut self, waiter: &Waiter, outcome: Outcome, answers: &mut Vec<Answer>) {
        if matches!(outcome, Outcome::Denied { .. }) {
            self.metrics.denied += 1;
        }
        self.waiting -= 1;
        answers.push(Answer {
            waiter_id: waiter.id,
            outcome,
        });
    }

    /// Answers an account's waiting requests from leases, in order of arrival, up to the first for
    /// which the leases hold too few units.
    pub(super) fn serve_waiters(
        &mut self,
        now: Micros,
        key: AccountKey,
        answers: &mut Vec<Answer>,
    ) {
        while let Some(waiter) = self.first_waiter(key) {
            let Some(receipt) = self.take_leased(now, key, waiter.units) else {
                return;
            };
            self.take_waiters(key, |other| other.id == waiter.id);
            self.resolve(&waiter, Outcome::Taken(receipt), answers);
        }
    }

    fn first_waiter(&self, key: AccountKey) -> Option<Waiter> {
        self.waiters.get(&key)?.front().cloned()
    }

    /// Removes and returns the waiting requests of an account for which `predicate` is true.
    pub(super) fn take_waiters(
        &mut self,
        key: AccountKey,
        predicate: impl Fn(&Waiter) -> bool,
    ) -> VecDeque<Waiter> {
        let Some(queue) = self.waiters.remove(&key) else {
            return VecDeque::new();
        };
        let (taken, remaining): (VecDeque<_>, VecDeque<_>) = queue.into_iter().partition(predicate);
        if !remaining.is_empty() {
            self.waiters.insert(key, remaining);
        }
        taken
    }

    /// Answers the waiting requests of an account for which `predicate` is true: they are served
    /// from the fallback share, or denied if it holds too few units.
    pub(super) fn answer_from_fallback(
        &mut self,
        now: Micros,
        key: AccountKey,
        predicate: impl Fn(&Waiter) -> bool,
        answers: &mut Vec<Answer>,
    ) {
        for waiter in self.take_waiters(key, predicate) {
            let outcome = self.take_fallback(now, key, waiter.units);
            self.resolve(&waiter, outcome, answers);
        }
    }
}
