//! Requests that take units, wait for them, or use the fallback share.

use super::fallback::FallbackExhausted;
use super::leased_account::ReportDue;
use super::receipt::Receipt;
use super::types::{Answer, Outcome, TakeResult, Ticket};
use super::{Holder, Waiter};
use crate::decision::Micros;
use crate::quota_lease::message::{AccountKey, MilliUnits};
use std::collections::VecDeque;

impl Holder {
    /// Counts a denied request.
    pub(super) fn denied(&mut self, retry_after: Micros) -> TakeResult {
        self.figures.denied += 1;
        TakeResult::Denied { retry_after }
    }

    /// Takes the units of a request, or lets it wait for the account's owner.
    pub(super) fn take_or_wait(
        &mut self,
        now: Micros,
        key: AccountKey,
        units: MilliUnits,
    ) -> TakeResult {
        let Some(account) = self.accounts.get(&key) else {
            return self.denied(self.settings.report_interval);
        };
        let hold_off = account.held_off_until.saturating_sub(now);
        // Requests that wait already come first.
        if !self.waiters.contains_key(&key) {
            if let Some(receipt) = self.take_leased(now, key, units) {
                return TakeResult::Taken(receipt);
            }
        }
        if hold_off > 0 {
            return self.denied(hold_off);
        }
        if self.available_owner(key).is_none() {
            return match self.take_fallback(now, key, units) {
                Outcome::Taken(receipt) => TakeResult::Taken(receipt),
                Outcome::Denied { retry_after } => self.denied(retry_after),
            };
        }
        if self.settings.use_fallback_first {
            if let Outcome::Taken(receipt) = self.take_fallback(now, key, units) {
                self.mark_due(key, ReportDue::NextInterval);
                return TakeResult::Taken(receipt);
            }
        }
        self.wait(key, units)
    }

    fn wait(&mut self, key: AccountKey, units: MilliUnits) -> TakeResult {
        if self.waiting >= self.settings.max_waiting {
            return self.denied(self.settings.report_interval);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting += 1;
        self.figures.waited += 1;
        let waiter = Waiter {
            ticket,
            units,
            requested_from: None,
            reroutes: 0,
        };
        self.waiters.entry(key).or_default().push_back(waiter);
        self.mark_due(key, ReportDue::Immediately);
        TakeResult::Waiting(ticket)
    }

    /// Takes the units of a request from leases; `None` if they do not hold as many.
    fn take_leased(&mut self, now: Micros, key: AccountKey, units: MilliUnits) -> Option<Receipt> {
        let account = self.accounts.get_mut(&key)?;
        let parts = account.take_leased(now, units, &self.settings)?;
        self.figures.taken += units;
        Some(Receipt {
            account: key,
            parts,
        })
    }

    /// Takes the units of a request from the fallback share.
    fn take_fallback(&mut self, now: Micros, key: AccountKey, units: MilliUnits) -> Outcome {
        let settings = self.settings;
        let Some(account) = self.accounts.get_mut(&key) else {
            return Outcome::Denied {
                retry_after: settings.report_interval,
            };
        };
        match account.take_fallback(now, units, &settings) {
            Ok(part) => {
                self.figures.fallback += units;
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

    /// Answers a request that waited.
    pub(super) fn resolve(&mut self, waiter: &Waiter, outcome: Outcome, answers: &mut Vec<Answer>) {
        if matches!(outcome, Outcome::Denied { .. }) {
            self.figures.denied += 1;
        }
        self.waiting -= 1;
        answers.push(Answer {
            ticket: waiter.ticket,
            outcome,
        });
    }

    /// Answers an account's waiting requests, in their order, as long as leases hold enough units.
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
            self.take_waiters(key, |other| other.ticket == waiter.ticket);
            self.resolve(&waiter, Outcome::Taken(receipt), answers);
        }
    }

    fn first_waiter(&self, key: AccountKey) -> Option<Waiter> {
        self.waiters.get(&key)?.front().cloned()
    }

    /// Removes and returns the `chosen` waiting requests of an account.
    pub(super) fn take_waiters(
        &mut self,
        key: AccountKey,
        chosen: impl Fn(&Waiter) -> bool,
    ) -> VecDeque<Waiter> {
        let Some(queue) = self.waiters.remove(&key) else {
            return VecDeque::new();
        };
        let (taken, left): (VecDeque<_>, VecDeque<_>) = queue.into_iter().partition(chosen);
        if !left.is_empty() {
            self.waiters.insert(key, left);
        }
        taken
    }

    /// Answers the `chosen` waiting requests of an account from the fallback share.
    pub(super) fn fall_back(
        &mut self,
        now: Micros,
        key: AccountKey,
        chosen: impl Fn(&Waiter) -> bool,
        answers: &mut Vec<Answer>,
    ) {
        for waiter in self.take_waiters(key, chosen) {
            let outcome = self.take_fallback(now, key, waiter.units);
            self.resolve(&waiter, outcome, answers);
        }
    }
}
