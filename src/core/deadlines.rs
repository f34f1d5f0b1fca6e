//! Handling of expired timers.

use super::attempts::AttemptResponse;
use super::messages::{AttemptId, Transport};
use super::{Core, Phase};
use crate::decision::{Event, Micros, Outcome};
use slog::warn;

/// The purpose of a timer.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// A timer of the engine, with its token.
    EngineTimer(u64),
    /// The timeout of an attempt.
    Attempt(AttemptId),
    /// The deadline of the request with this number.
    Request(u64),
    /// The timeout of the counter call with this number.
    CounterCall(u64),
    /// The shutdown deadline, at which open requests without a response are failed.
    Shutdown,
}

impl<T: Transport> Core<T> {
    /// Handles a timer that has expired.
    pub(super) fn handle_deadline(&mut self, now: Micros, deadline: Deadline) {
        match deadline {
            Deadline::EngineTimer(token) => {
                self.notify_engine(now, Event::TimerExpired { token });
            }
            Deadline::Attempt(attempt) => {
                if self.response_stream(attempt.request).is_none() {
                    self.expire_attempt(now, attempt);
                }
            }
            Deadline::Request(number) => {
                if self.response_stream(number).is_none() {
                    self.expire_request(now, number);
                }
            }
            Deadline::CounterCall(call) => {
                self.handle_counter_reply(now, call, Outcome::Timeout, 0.0)
            }
            Deadline::Shutdown => self.expire_shutdown(now),
        }
    }

    fn expire_attempt(&mut self, now: Micros, attempt: AttemptId) {
        let Some(running) = self.remove_attempt(attempt) else {
            return;
        };
        let was_written = self.transport.cancel(attempt);
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.attempt_timed_out = true;
        }
        // If nothing of the attempt was written, its connection was not established in time.
        let outcome = if was_written {
            Outcome::Timeout
        } else {
            Outcome::ConnectFailed
        };
        let response = AttemptResponse {
            outcome,
            load: Vec::new(),
            value: None,
        };
        self.complete_attempt(now, attempt, running, response);
    }

    /// Fails the open requests that have no response yet. Responses that are being streamed go on:
    /// they have no time limit, and what the process's end may cut off need not be cut off before.
    fn expire_shutdown(&mut self, now: Micros) {
        self.phase = Phase::Stopped;
        let open = self.requests.numbers();
        let (streamed, unanswered): (Vec<_>, Vec<_>) = open
            .into_iter()
            .partition(|number| self.response_stream(*number).is_some());
        if !streamed.is_empty() || !unanswered.is_empty() {
            warn!(self.log, "shutdown deadline reached";
                "open" => unanswered.len(), "streamed" => streamed.len());
        }
        for number in self.unforwarded_first(unanswered) {
            self.expire_request(now, number);
        }
    }
}
