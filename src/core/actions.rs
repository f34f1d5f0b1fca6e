//! Events for the decision module, and the actions that come back from it.

use super::deadlines::Due;
use super::messages::{Answer, AttemptId, Transport};
use super::requests::{number, LAST_MOMENTS};
use super::Core;
use crate::decision::{Action, AttemptResult, Event, Micros, Outcome};
use std::time::Duration;

impl<E: Transport> Core<E> {
    /// Hands an event to the module and carries out its actions, and what follows from these in turn.
    pub(super) fn tell(&mut self, now: Micros, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.on_event(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
            self.actions = actions;
        }
    }

    pub(super) fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
                write_before: by,
            } => self.send(now, id, server, timeout, by),
            Action::Cancel { id, attempt } => {
                let attempt = AttemptId {
                    request: number(&id),
                    attempt,
                };
                if let Some(out) = self.take_out(attempt) {
                    let written = self.edges.cancel(attempt);
                    self.events.push_back(Event::AttemptEnded(AttemptResult {
                        id,
                        attempt: attempt.attempt,
                        server: out.node,
                        outcome: if written {
                            Outcome::Cancelled
                        } else {
                            Outcome::Superseded
                        },
                        latency: now.saturating_sub(out.sent),
                        is_final: !self.open.contains_key(&attempt.request),
                        load: Vec::new(),
                        settled_units: None,
                    }));
                    if let Some(open) = self.open.get_mut(&attempt.request) {
                        open.may_have_run |= written;
                    }
                }
            }
            Action::Reject {
                id,
                retry_after: after,
            } => {
                let Some(open) = self.close(now, number(&id)) else {
                    return;
                };
                let late = open.late || now + LAST_MOMENTS >= open.deadline;
                // The rule on refusals binds whoever words them: what may have run is failed, not refused.
                let answer = if open.safe || !open.may_have_run {
                    Answer::Rejected {
                        retry_after: Duration::from_micros(after),
                        timed_out: late,
                    }
                } else {
                    Answer::Failed { timed_out: late }
                };
                self.answer(open.client, answer);
            }
            Action::Fail { id } => {
                let Some(open) = self.close(now, number(&id)) else {
                    return;
                };
                let late = open.late || now + LAST_MOMENTS >= open.deadline;
                self.answer(open.client, Answer::Failed { timed_out: late });
            }
            Action::SetTimer {
                delay: after,
                token,
            } => self.timers.set(now + after, Due::Module(token)),
            Action::CheckHealth { server } => self.edges.check_health(&server),
            // A call that ends after this process has tells nobody.
            Action::AddToCounter { key: name, .. } if self.finishing => {
                let (total, outcome) = (0.0, Outcome::ConnectFailed);
                self.events.push_back(Event::CounterReply {
                    key: name,
                    total,
                    outcome,
                });
            }
            Action::AddToCounter {
                key: name,
                amount: by,
                ttl,
            } => {
                self.count_calls += 1;
                self.counts.insert(self.count_calls, name);
                self.timers
                    .set(now + self.counter_timeout, Due::Count(self.count_calls));
                self.edges
                    .add_to_counter(self.count_calls, name, by, Duration::from_micros(ttl));
            }
            Action::RequestLease {
                id,
                account: customer,
                plan,
                limiter_count: spread,
                units,
            } => {
                self.lease(now, id, &customer, (plan, spread), units);
            }
            // Limiters share nothing but the quota counter, and the node list is watched from the start.
            Action::SendToPeer { .. } | Action::WatchEndpoints => {}
        }
    }
}
