//! Completion of attempts and requests: updates of the learned state, retries and final answers.

use super::counter_sync::SyncReason;
use super::request::Attempt;
use super::{
    AccountId, Action, AttemptResult, Engine, Idempotency, Micros, Outcome, RequestId, ServerId,
};

impl Engine {
    pub(super) fn end_attempt(
        &mut self,
        now: Micros,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        self.settle_units(&result);
        let AttemptResult {
            id,
            attempt: number,
            server,
            outcome,
            latency,
            is_final,
            ..
        } = result;
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = open
            .attempts
            .get_mut(number)
            .filter(|attempt| attempt.is_in_flight())
        else {
            return;
        };
        attempt.outcome = Some(outcome);
        let already_counted = attempt.counted_overdue && outcome == Outcome::Timeout;
        let class = open.request.class;
        let account = open.request.account.clone();
        self.release(&id, number, &server, &account);
        if self.concurrency.limit < 1.0 {
            let latency = (latency as f64).max(self.mean_latency());
            self.concurrency.pause(now, latency, self.random.f64());
        }
        if !already_counted {
            self.record_outcome(now, &server, class, outcome, latency);
        }
        if is_final {
            self.close(&id, actions);
        } else if self
            .requests
            .get(&id)
            .is_some_and(|open| !open.is_in_flight())
        {
            self.retry_or_finish(now, &id, outcome, actions);
        }
    }

    /// Charges the difference between the estimated units of a request and the units that it used,
    /// if they are settled after the attempt.
    fn settle_units(&mut self, result: &AttemptResult) {
        let Some(units) = result.settled_units else {
            return;
        };
        let Some(open) = self.requests.get(&result.id) else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(&open.request.account) {
            account.tokens -= units - open.request.units;
            account.unreported += units - open.request.units;
        }
    }

    /// Retries a request whose attempt ended without an answer, or gives the final answer. A retry
    /// is charged to the retry budget unless the attempt never ran.
    fn retry_or_finish(
        &mut self,
        now: Micros,
        id: &RequestId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.get(id) else {
            return;
        };
        let expected = self.latencies[open.request.class].mean / 2.0;
        let is_in_time = now as f64 + expected < open.objective_at as f64;
        let cost = if outcome.never_ran() { 0.0 } else { 1.0 };
        let may_retry = is_in_time && self.retry_budget.can_afford(cost);
        let server = if may_retry {
            self.choose_server(now, id)
        } else {
            None
        };
        if server.is_some_and(|server| self.send(now, id, server, actions)) {
            self.retry_budget.spend(cost);
        } else {
            self.reject(id, actions);
        }
    }

    /// Removes an attempt from those in flight at its server and account, and frees its concurrency
    /// slot.
    fn release(
        &mut self,
        id: &RequestId,
        number: usize,
        server_id: &ServerId,
        account_id: &AccountId,
    ) {
        let server = self.servers.servers.get_mut(server_id);
        if server.is_some_and(|server| server.in_flight.remove(&(id.clone(), number)).is_some()) {
            self.concurrency.in_flight = self.concurrency.in_flight.saturating_sub(1);
        }
        let Some(account) = self.accounts.get_mut(account_id) else {
            return;
        };
        account.in_flight = account.in_flight.saturating_sub(1);
        if self.settings.plans[account.plan].limits_concurrency_only() {
            account.release_slot();
            let synced_at = account.synced_at;
            self.counter
                .schedule(SyncReason::UnitsToReport, synced_at, account_id.clone());
        }
    }

    /// Updates the latency and failures of a server and class and the concurrency limit from the
    /// outcome of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        now: Micros,
        server_id: &ServerId,
        class: usize,
        outcome: Outcome,
        latency: Micros,
    ) {
        let lifetime = self.servers.health_lifetime;
        let class_latency = &mut self.latencies[class];
        let Some(server) = self.servers.servers.get_mut(server_id) else {
            return;
        };
        server
            .health
            .record(now, class, class_latency, outcome, latency as f64, lifetime);
        if outcome == Outcome::Superseded {
            return;
        }
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            let objective = self.settings.classes[class].latency_objective;
            self.concurrency
                .record_latency(now, latency as f64, objective);
        }
        let min_limit = self.min_concurrency(now);
        if outcome == Outcome::Rejected || self.concurrency.is_overloaded() {
            let mean_latency = self.mean_latency();
            self.concurrency.cut(now, mean_latency, min_limit);
        } else if outcome == Outcome::Ok {
            self.concurrency.grow(min_limit);
        }
    }

    /// Ends a request with a final answer: rejected if a retry is safe, or else failed.
    pub(super) fn reject(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(is_harmless) = self.close(id, actions) else {
            return;
        };
        let id = id.clone();
        actions.push(if is_harmless {
            Action::Reject {
                id,
                retry_after: self.retry_after(),
            }
        } else {
            Action::Fail { id }
        });
    }

    /// Ends a request without an answer. Returns whether it may be answered as rejected, as a retry
    /// is safe, or `None` if the request has already ended.
    pub(super) fn close(&mut self, id: &RequestId, actions: &mut Vec<Action>) -> Option<bool> {
        let open = self.requests.remove(id)?;
        self.queue.remove(open.tag, id);
        if let Some(account) = self.accounts.get_mut(&open.request.account) {
            account.waiting.retain(|waiting| waiting != id);
        }
        let in_flight = |(_, attempt): &(usize, &Attempt)| attempt.is_in_flight();
        for (number, attempt) in open.attempts.iter().enumerate().filter(in_flight) {
            if self.settings.limits.cancel {
                actions.push(Action::Cancel {
                    id: id.clone(),
                    attempt: number,
                });
            }
            // The result of this attempt will arrive after the request is gone, so it is released
            // here.
            self.release(id, number, &attempt.server, &open.request.account);
        }
        let class = &self.settings.classes[open.request.class];
        Some(class.idempotency == Idempotency::Idempotent || !open.may_have_run())
    }
}
