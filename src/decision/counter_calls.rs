//! Calls of the shared counter, and how their replies change an account's quota.

use super::account::{counter_key, CounterCall, COUNTER_TTL};
use super::counter_sync::SyncReason;
use super::{AccountId, Action, Engine, Micros, Outcome};

impl Engine {
    /// Calls the counter for the accounts that need it, up to the limit on calls in flight.
    pub(super) fn call_counter(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.counter.is_enabled() || !self.counter.is_callable(now) {
            return;
        }
        // After an outage thousands of accounts are due, so that only as many as can be called are
        // examined.
        while self.counter.has_capacity() {
            let Some(account) = self.counter.next_due() else {
                return;
            };
            actions.extend(self.next_call(now, account));
        }
    }

    /// Returns the call that an account needs, if any.
    fn next_call(&mut self, now: Micros, id: AccountId) -> Option<Action> {
        let account = self.accounts.get_mut(&id)?;
        let plan = &self.settings.plans[account.plan];
        // When the call in flight ends, the account is scheduled again.
        if account.call.is_some() {
            return None;
        }
        let is_known = account.total_at.is_some() && account.unconfirmed <= 0.0;
        account.needs_total &= !is_known || !account.waiting.is_empty();
        let window = account.enter_window(now, plan);
        let claims_slots = plan.limits_concurrency_only();
        if claims_slots {
            account.release_spare_slots();
        }
        if plan.burst <= 0.0 || account.limiter_count < 2 || !account.must_sync(now, plan) {
            return None;
        }
        let is_sparse = account.is_sparse(plan);
        // The total of a call that only reports admits or rejects about one request, so that the
        // call is worth as much as a mean request.
        let is_needed = !is_sparse || account.needs_total || claims_slots;
        if !is_needed && 2.0 * self.random.f64() * self.counter.mean_weight <= self.counter.price {
            return None;
        }
        let reported = std::mem::take(&mut account.unreported);
        let claims_for_waiting = std::mem::take(&mut account.needs_total) && is_sparse;
        let to_claim = std::mem::take(&mut account.to_claim);
        let waiting = account
            .waiting
            .iter()
            .filter_map(|id| self.requests.get(id));
        let charges: f64 = waiting.map(|open| open.charge).sum();
        let claim = if claims_for_waiting {
            charges - account.granted
        } else {
            to_claim
        };
        let claimed = if claims_slots { claim.min(1.0) } else { claim };
        // Units sent without a claim are not reported themselves, so calls with a claim add an
        // estimate.
        let unclaimed = self.counter.unclaimed_per_claimed_unit(account.plan);
        let unclaimed_estimate = f64::from(u8::from(claims_for_waiting)) * claimed * unclaimed;
        account.call = Some(CounterCall {
            window,
            reported,
            claimed,
            sent_at: now,
        });
        let key = counter_key(&id, window);
        self.counter.begin_call(key, id);
        Some(Action::AddToCounter {
            key,
            amount: reported + claimed + unclaimed_estimate,
            ttl: COUNTER_TTL,
        })
    }

    pub(super) fn on_counter_reply(&mut self, now: Micros, key: u64, total: f64, outcome: Outcome) {
        let Some(id) = self.counter.end_call(key) else {
            return;
        };
        let succeeded = outcome == Outcome::Ok && total.is_finite();
        self.counter.update_backoff(now, succeeded);
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        let Some(call) = account.call.take() else {
            return;
        };
        self.counter
            .record_latency(succeeded, now.saturating_sub(call.sent_at));
        account.synced_at = now;
        account.skip_call = call.claimed > 0.0 && !succeeded;
        if succeeded {
            self.apply_total(now, &id, call, total);
        } else {
            self.apply_failure(&id, call, outcome);
        }
        let Some(account) = self.accounts.get(&id) else {
            return;
        };
        let claims_slots = self.settings.plans[account.plan].limits_concurrency_only();
        // Claims that were not granted have to be given back at once. Otherwise they would keep the
        // bucket of an account above its quota empty for all limiters.
        if account.needs_total || account.unreported != 0.0 || claims_slots {
            let needs_total = account.needs_total;
            let reason = if needs_total {
                SyncReason::RequestWaits
            } else {
                SyncReason::UnitsToReport
            };
            self.counter.schedule(reason, now, id);
        }
    }

    fn apply_total(&mut self, now: Micros, id: &AccountId, call: CounterCall, total: f64) {
        let Some(account) = self.accounts.get_mut(id) else {
            return;
        };
        let plan = &self.settings.plans[account.plan];
        if account.is_sparse(plan) {
            let granted = account.apply_claimed_total(now, call, total, plan);
            if call.claimed > 0.0 {
                let history = account.record_claim(granted >= call.claimed);
                self.counter
                    .record_claim(account.plan, history, granted / call.claimed);
            }
        } else {
            account.refill(now, plan, true);
            let claimed = call.claimed + std::mem::take(&mut account.unconfirmed);
            account.apply_total(now, CounterCall { claimed, ..call }, total, plan);
            account.grant_claim(claimed);
        }
    }

    /// Handles a failed call. The counter may have added the units of a call that timed out, so
    /// that they are not reported again: the account would be charged twice.
    fn apply_failure(&mut self, id: &AccountId, call: CounterCall, outcome: Outcome) {
        let Some(account) = self.accounts.get_mut(id) else {
            return;
        };
        let plan = &self.settings.plans[account.plan];
        match outcome {
            Outcome::Timeout if account.is_sparse(plan) => {
                account.reported += call.reported + call.claimed;
            }
            // The next total decides whether the bucket holds the claim, which may have been added.
            Outcome::Timeout => {
                account.reported += call.reported;
                account.unconfirmed += call.claimed;
                account.skip_call = false;
                account.needs_total |= call.claimed > 0.0;
            }
            _ => account.unreported += call.reported,
        }
    }
}
