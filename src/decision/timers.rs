//! Periodic work: updates of averages, timeouts and load shedding.

use super::account::COUNTER_TTL;
use super::concurrency::TARGET_LATENCY;
use super::counter_sync::SyncReason;
use super::request::OpenRequest;
use super::settings::SECOND;
use super::{Action, Engine, Micros, Outcome, RequestId};

impl Engine {
    pub(super) fn on_tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            delay: self.settings.tick_interval(),
            token: 0,
        });
        if now.saturating_sub(self.last_second) >= SECOND as Micros {
            self.on_second(now);
        }
        self.count_overdue(now);
        self.expire(now, actions);
        self.shed(now, actions);
    }

    /// Updates averages, removes accounts and servers that are no longer used, and schedules
    /// reports to the counter.
    fn on_second(&mut self, now: Micros) {
        let seconds = now.saturating_sub(self.last_second) as f64 / SECOND;
        self.last_second = now;
        self.counter
            .on_second(seconds, self.settings.prices.counter_call);
        let idempotency_window = self.settings.longest_idempotency_window();
        self.servers
            .on_second(now, seconds, &self.settings.safety, idempotency_window);
        self.accounts.retain(|_, account| {
            now < account.last_request_at + COUNTER_TTL
                || !account.waiting.is_empty()
                || account.in_flight > 0
        });
        let weights = self
            .accounts
            .values()
            .map(|account| self.settings.fair_weight(account.plan));
        self.queue.set_weight(weights.sum());
        for (id, account) in &self.accounts {
            if account.unreported != 0.0 || account.granted > 0.0 {
                self.counter
                    .schedule(SyncReason::UnitsToReport, account.synced_at, id.clone());
            }
        }
    }

    /// Counts attempts that were not answered by their request's latency objective as timed out.
    ///
    /// A late answer may still be useful, but a server that does not answer a class, or an
    /// overload, has to be detected at the objective rather than at the deadline.
    fn count_overdue(&mut self, now: Micros) {
        let mut overdue = Vec::new();
        for open in self
            .requests
            .values_mut()
            .filter(|open| now > open.objective_at && !open.streaming)
        {
            for attempt in &mut open.attempts {
                if attempt.is_in_flight() && !attempt.counted_overdue {
                    attempt.counted_overdue = true;
                    let age = now.saturating_sub(attempt.sent_at);
                    overdue.push((attempt.server.clone(), open.request.class, age));
                }
            }
        }
        for (server, class, age) in overdue {
            self.record_outcome(now, &server, class, Outcome::Timeout, age);
        }
    }

    /// Rejects requests that can no longer be answered in time.
    fn expire(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let expired = self
            .requests
            .iter()
            .filter(|(_, open)| self.is_expired(now, open));
        let expired: Vec<RequestId> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.reject(&id, actions);
        }
    }

    fn is_expired(&self, now: Micros, open: &OpenRequest) -> bool {
        let margin = 2 * self.settings.tick_interval();
        let objective = self.settings.classes[open.request.class].latency_objective as f64;
        let expected = self.latencies[open.request.class].mean.min(objective / 2.0);
        let send_by = open.objective_at as f64 - expected;
        // A request that was never sent is rejected before half of its timeout has passed.
        let half_time = open.deadline as f64 - open.request.timeout as f64 / 2.0 - margin as f64;
        let is_late = open.attempts.is_empty() && now as f64 > send_by.min(half_time);
        !open.streaming && (is_late || now + margin >= open.deadline)
    }

    /// While the concurrency limit is reached, bounds the queue to the requests that it lets
    /// through in an eighth of the latency objective, as requests that wait longer would be
    /// answered too late. The least important requests are rejected.
    fn shed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.concurrency.has_capacity(now) {
            return;
        }
        let objective = self.settings.shortest_objective();
        let mean_latency = self.mean_latency().max(1.0);
        let max_waiting = self.concurrency.limit * objective * TARGET_LATENCY / 2.0 / mean_latency;
        let mut waiting: Vec<_> = self
            .queue
            .iter()
            .filter_map(|(tag, id)| Some((self.requests.get(id)?, tag, id)))
            .filter(|(open, ..)| self.has_units(open))
            .map(|(open, tag, id)| (open.weight, *tag, id.clone()))
            .collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (.., id) in waiting.iter().skip(max_waiting.max(1.0) as usize) {
            self.reject(id, actions);
        }
    }
}
