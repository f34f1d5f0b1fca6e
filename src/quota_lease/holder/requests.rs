//! Requests that take units, wait for them, or fall back.

use std::collections::VecDeque;

use super::super::held::{Due, Receipt};
use super::super::message::{AccountKey, MilliUnits};
use super::{Answer, Holder, Outcome, Take, Ticket, Waiter};
use crate::decision::Micros;

impl Holder {
    pub(super) fn denied(&mut self, retry_after: Micros) -> Take {
        self.figures.denied += 1;
        Take::Denied { retry_after }
    }

    pub(super) fn take_or_wait(&mut self, now: Micros, key: AccountKey, units: MilliUnits) -> Take {
        let settings = self.settings;
        let queue = self.waiters.contains_key(&key);
        let Some(account) = self.accounts.get_mut(&key) else {
            return self.denied(settings.interval);
        };
        let held_off = account.held_off_until.saturating_sub(now);
        if !queue {
            if let Some(parts) = account.take_leased(now, units, &settings) {
                self.figures.taken += units;
                return Take::Taken(Receipt {
                    account: key,
                    parts,
                });
            }
        }
        if held_off > 0 {
            return self.denied(held_off);
        }
        let available = self.available_owner(key).is_some();
        if available && settings.trust {
            if let Outcome::Taken(receipt) = self.take_beyond(now, key, units) {
                self.mark_due(key, Due::Later);
                return Take::Taken(receipt);
            }
        }
        if !available {
            return match self.take_beyond(now, key, units) {
                Outcome::Taken(receipt) => Take::Taken(receipt),
                Outcome::Denied { retry_after } => self.denied(retry_after),
            };
        }
        self.wait(key, units)
    }

    pub(super) fn wait(&mut self, key: AccountKey, units: MilliUnits) -> Take {
        if self.waiting >= self.settings.max_waiting {
            return self.denied(self.settings.interval);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting += 1;
        self.figures.waited += 1;
        let waiter = Waiter {
            ticket,
            units,
            asked: None,
            reroutes: 0,
        };
        self.waiters.entry(key).or_default().push_back(waiter);
        self.mark_due(key, Due::Now);
        Take::Waiting(ticket)
    }

    pub(super) fn take_beyond(
        &mut self,
        now: Micros,
        key: AccountKey,
        units: MilliUnits,
    ) -> Outcome {
        let settings = self.settings;
        let Some(account) = self.accounts.get_mut(&key) else {
            return Outcome::Denied {
                retry_after: settings.interval,
            };
        };
        match account.take_beyond(now, units, &settings) {
            Ok(part) => {
                self.figures.beyond += units;
                self.unreported.insert(key);
                Outcome::Taken(Receipt {
                    account: key,
                    parts: vec![part],
                })
            }
            Err(wait) => Outcome::Denied {
                retry_after: wait.unwrap_or(settings.retry_after),
            },
        }
    }

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

    /// Answers an account's waiting requests, in their order, as long as leases hold enough.
    pub(super) fn serve_waiters(
        &mut self,
        now: Micros,
        key: AccountKey,
        answers: &mut Vec<Answer>,
    ) {
        let settings = self.settings;
        while let Some(waiter) = self
            .waiters
            .get(&key)
            .and_then(|queue| queue.front())
            .cloned()
        {
            let account = self.accounts.get_mut(&key);
            let Some(parts) =
                account.and_then(|account| account.take_leased(now, waiter.units, &settings))
            else {
                return;
            };
            self.figures.taken += waiter.units;
            self.take_waiters(key, |other| other.ticket == waiter.ticket);
            let receipt = Receipt {
                account: key,
                parts,
            };
            self.resolve(&waiter, Outcome::Taken(receipt), answers);
        }
    }

    /// Takes the waiters that `chosen` names out of an account's queue.
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

    /// Answers the waiters that `chosen` names from the fallback part.
    pub(super) fn fall_back(
        &mut self,
        now: Micros,
        key: AccountKey,
        chosen: impl Fn(&Waiter) -> bool,
        answers: &mut Vec<Answer>,
    ) {
        for waiter in self.take_waiters(key, chosen) {
            let outcome = self.take_beyond(now, key, waiter.units);
            self.resolve(&waiter, outcome, answers);
        }
    }
}
