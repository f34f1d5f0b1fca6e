//! Handling of the inputs in the core's queue.

use super::attempts::AttemptResponse;
use super::deadlines::Deadline;
use super::messages::{Input, Transport};
use super::{Core, Phase};
use crate::decision::{Event, Micros, Outcome};
use slog::info;
use std::time::Instant;

impl<T: Transport> Core<T> {
    /// Handles one input.
    pub(super) fn handle_input(&mut self, now: Micros, input: Input<T>) {
        match input {
            Input::EndpointUpdate(scope, endpoints) => {
                self.update_endpoints(now, scope, endpoints);
            }
            Input::Request(request) => self.admit(now, request),
            Input::ClientDisconnected(numbers) => self.abandon_requests(now, numbers),
            Input::ResponseStarted { attempt, value } => {
                self.handle_response_started(now, attempt, value);
            }
            Input::AttemptEnded {
                attempt,
                outcome,
                load,
                value,
            } => {
                let response = AttemptResponse {
                    outcome,
                    load,
                    value,
                };
                self.handle_attempt_ended(now, attempt, response);
            }
            Input::HealthChecked {
                server,
                outcome,
                latency,
                load,
            } => {
                let latency = latency.as_micros() as Micros;
                let event = Event::HealthChecked {
                    server,
                    outcome,
                    latency,
                    load,
                };
                self.notify_engine(now, event);
            }
            Input::CounterReply {
                call,
                outcome,
                total,
            } => self.handle_counter_reply(now, call, outcome, total),
            Input::Allocator(event) => self.handle_allocator_event(now, event),
            Input::QuotaShares(shares) => self.notify_engine(now, Event::QuotaShares(shares)),
            // The input only wakes the loop, which has handled the command already.
            Input::CommandQueued => {}
            Input::Shutdown(deadline) => self.shut_down(deadline),
        }
    }

    /// Handles the end of a counter call, unless the call has ended before.
    pub(super) fn handle_counter_reply(
        &mut self,
        now: Micros,
        call: u64,
        outcome: Outcome,
        total: f64,
    ) {
        let Some(key) = self.counter_calls.finish(call) else {
            return;
        };
        let event = Event::CounterReply {
            key,
            total,
            outcome,
        };
        self.notify_engine(now, event);
    }

    fn shut_down(&mut self, deadline: Instant) {
        info!(self.log, "shutting down"; "open" => self.requests.len());
        self.phase = self.phase.max(Phase::Draining);
        self.timers
            .set(self.clock.unix_time_of(deadline), Deadline::Shutdown);
    }
}
