//! Passes events to the decision engine and carries out the actions that it returns.

use super::deadlines::Deadline;
use super::leases::LeaseDemand;
use super::messages::{Answer, AttemptId, Transport};
use super::open_requests::request_number;
use super::Core;
use crate::decision::{Action, AttemptResult, Event, Micros, Outcome, RequestId};
use std::time::Duration;

impl<T: Transport> Core<T> {
    /// Notifies the engine of an event and carries out the resulting actions, then does the same
    /// for the events that these actions cause, until none is pending.
    pub(super) fn notify_engine(&mut self, now: Micros, event: Event) {
        self.pending_events.push_back(event);
        while let Some(event) = self.pending_events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.engine.on_event(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
                write_before,
            } => self.start_attempt(now, id, server, timeout, write_before),
            Action::Cancel { id, attempt } => self.cancel_attempt(now, id, attempt),
            Action::Reject { id, retry_after } => {
                self.reject(now, &id, Duration::from_micros(retry_after));
            }
            Action::Fail { id } => self.fail(now, &id),
            Action::SetTimer { delay, token } => {
                self.timers.set(now + delay, Deadline::EngineTimer(token));
            }
            Action::CheckHealth { server } => self.transport.check_health(&server),
            Action::AddToCounter { key, amount, ttl } => {
                self.add_to_counter(now, key, amount, Duration::from_micros(ttl));
            }
            Action::RequestLease {
                id,
                account,
                plan,
                limiter_count,
                units,
            } => {
                let demand = LeaseDemand {
                    account,
                    plan,
                    limiter_count,
                    units,
                };
                self.request_lease(now, id, &demand);
            }
            // Limiters only share the counter and send each other no messages of the engine. The
            // endpoint list is watched from the start.
            Action::SendToPeer { .. } | Action::WatchEndpoints => {}
        }
    }

    fn reject(&mut self, now: Micros, id: &RequestId, retry_after: Duration) {
        let Some(request) = self.close(now, request_number(id)) else {
            return;
        };
        let timed_out = request.is_out_of_time(now);
        // A rejection tells the client that a retry is harmless. A request that is not idempotent
        // and may have run is failed instead.
        let answer = if request.is_idempotent || !request.may_have_run {
            Answer::Rejected {
                retry_after,
                timed_out,
            }
        } else {
            Answer::Failed { timed_out }
        };
        self.answer(request.client, answer);
    }

    fn fail(&mut self, now: Micros, id: &RequestId) {
        let Some(request) = self.close(now, request_number(id)) else {
            return;
        };
        let timed_out = request.is_out_of_time(now);
        self.answer(request.client, Answer::Failed { timed_out });
    }

    /// Cancels an attempt and queues the notification of the engine as a pending event.
    pub(super) fn cancel_attempt(&mut self, now: Micros, id: RequestId, attempt: usize) {
        let attempt = AttemptId {
            request: request_number(&id),
            attempt,
        };
        let Some(running) = self.remove_attempt(attempt) else {
            return;
        };
        let was_written = self.transport.cancel(attempt);
        let outcome = if was_written {
            Outcome::Cancelled
        } else {
            Outcome::Superseded
        };
        let result = running.result(now, id, attempt.attempt, outcome);
        let request = self.requests.get_mut(attempt.request);
        self.pending_events
            .push_back(Event::AttemptEnded(AttemptResult {
                is_final: request.is_none(),
                ..result
            }));
        if let Some(request) = request {
            request.may_have_run |= was_written;
        }
    }

    fn add_to_counter(&mut self, now: Micros, key: u64, amount: f64, ttl: Duration) {
        // This process is about to exit and would not receive the reply to a new call.
        if self.upgrade.finishing {
            self.pending_events.push_back(Event::CounterReply {
                key,
                total: 0.0,
                outcome: Outcome::ConnectFailed,
            });
            return;
        }
        let call = self.counter_calls.start(key);
        let timeout = now + self.counter_calls.timeout();
        self.timers.set(timeout, Deadline::CounterCall(call));
        self.transport.add_to_counter(call, key, amount, ttl);
    }
}
