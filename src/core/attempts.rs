//! Attempts at upstream servers, from start to end.

use super::deadlines::Deadline;
use super::messages::{Answer, AttemptDeadlines, AttemptId, Transport};
use super::open_requests::{request_id, request_number, ResponseStream};
use super::Core;
use crate::decision::{AccountId, AttemptResult, Event, Micros, Outcome, RequestId, ServerId};
use crate::handover::message::{HandoverMessage, RecentId};
use slog::warn;
use std::collections::{HashMap, HashSet};

/// The attempts that were started and have not ended.
#[derive(Default)]
pub(super) struct RunningAttempts {
    by_id: HashMap<AttemptId, RunningAttempt>,
}

/// An attempt that has not ended.
pub(super) struct RunningAttempt {
    server: ServerId,
    account: AccountId,
    /// When the attempt was started.
    started: Micros,
}

/// Outcome of an attempt, with the load report and the value that were received.
pub(super) struct AttemptResponse<V> {
    pub(super) outcome: Outcome,
    /// Load report of the server; empty if none was received.
    pub(super) load: Vec<f64>,
    /// The value, if the outcome is [`Outcome::Ok`].
    pub(super) value: Option<V>,
}

impl RunningAttempts {
    /// Whether an attempt has not ended.
    pub(super) fn contains(&self, attempt: AttemptId) -> bool {
        self.by_id.contains_key(&attempt)
    }

    /// Returns the numbers of the requests that have a running attempt.
    pub(super) fn request_numbers(&self) -> HashSet<u64> {
        self.by_id.keys().map(|attempt| attempt.request).collect()
    }

    /// Returns the other running attempts of the same request.
    fn others(&self, attempt: AttemptId) -> Vec<AttemptId> {
        self.by_id
            .keys()
            .filter(|other| other.request == attempt.request && **other != attempt)
            .copied()
            .collect()
    }
}

impl RunningAttempt {
    /// Returns the result of this attempt for the engine, assuming that the attempt ends now
    /// without a load report and that its request stays open.
    pub(super) fn result(
        self,
        now: Micros,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
    ) -> AttemptResult {
        AttemptResult {
            id,
            attempt,
            server: self.server,
            outcome,
            latency: now.saturating_sub(self.started),
            is_final: false,
            load: Vec::new(),
            settled_units: None,
        }
    }
}

impl<T: Transport> Core<T> {
    /// Removes an attempt from the running ones; returns `None` if it has ended before. A successor
    /// is notified, as it counts the attempts that were running when it took over.
    pub(super) fn remove_attempt(&mut self, attempt: AttemptId) -> Option<RunningAttempt> {
        let running = self.attempts.by_id.remove(&attempt)?;
        if self.upgrade.state_is_handed_over() {
            let account = running.account.0.to_string();
            self.transport
                .notify_peer_process(HandoverMessage::Ended(account));
        }
        Some(running)
    }

    /// Starts to forward a response, of which the first bytes were received. The first response
    /// wins: all other attempts of the request are cancelled.
    pub(super) fn handle_response_started(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        value: T::Value,
    ) {
        if !self.attempts.contains(attempt) {
            return;
        }
        let Some(request) = self.requests.get_mut(attempt.request) else {
            return;
        };
        let Some(client) = request.client.take() else {
            return;
        };
        request.may_have_run = true;
        request.stream = Some(ResponseStream {
            attempt,
            started: now,
        });
        let id = request.id.clone();
        self.transport.answer(client, Answer::Served(value));
        self.notify_engine(now, Event::ResponseStarted { id: id.clone() });
        for other in self.attempts.others(attempt) {
            self.cancel_attempt(now, id.clone(), other.attempt);
        }
        // Notifies the engine of the cancelled attempts.
        while let Some(event) = self.pending_events.pop_front() {
            self.notify_engine(now, event);
        }
    }

    /// Ends an attempt whose response is complete or broken off, unless the attempt has ended
    /// before.
    pub(super) fn handle_attempt_ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        response: AttemptResponse<T::Value>,
    ) {
        if let Some(running) = self.remove_attempt(attempt) {
            self.complete_attempt(now, attempt, running, response);
        }
    }

    /// Handles the end of an attempt that was running. The first successful response is sent to the
    /// client immediately; the engine is notified of the end of every attempt.
    pub(super) fn complete_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        running: RunningAttempt,
        response: AttemptResponse<T::Value>,
    ) {
        let number = attempt.request;
        if let Some(request) = self.requests.get_mut(number) {
            request.may_have_run |= !response.outcome.never_ran();
        }
        // The latency of a streamed response is measured up to its first bytes, as the rest is
        // received only as fast as the client reads. Whether the response is complete or broken
        // off, all that was received has been forwarded, so the request is closed without another
        // answer.
        let stream = self
            .response_stream(number)
            .filter(|stream| stream.attempt == attempt);
        if stream.is_some() {
            self.close(now, number);
        }
        if let (Outcome::Ok, Some(value)) = (response.outcome, response.value) {
            if let Some(request) = self.close(now, number) {
                self.answer(request.client, Answer::Served(value));
            }
        }
        let is_final = !self.requests.contains(number);
        let responded_at = stream.map_or(now, |stream| stream.started);
        let id = request_id(number);
        let result = running.result(responded_at, id, attempt.attempt, response.outcome);
        let result = AttemptResult {
            is_final,
            load: response.load,
            ..result
        };
        self.notify_engine(now, Event::AttemptEnded(result));
    }

    /// Notes the id of a request that is about to be sent for the first time, before anything is
    /// written: the other process of an upgrade has to know it in time.
    fn note_first_attempt(&mut self, now: Micros, number: u64) {
        let Some(request) = self.requests.get(number).filter(|open| open.attempts == 0) else {
            return;
        };
        let (Some(id), Some(window)) = (request.client_id.clone(), request.repeat_window) else {
            return;
        };
        let ends_at = now + window;
        if self.upgrade.state_is_handed_over() {
            let message = HandoverMessage::MayRun(RecentId::new(&id, ends_at));
            self.transport.notify_peer_process(message);
        }
        self.recent_ids.add(now, id, ends_at);
    }

    /// Starts an attempt of an open request. A `timeout` of 0 allows the attempt to last until the
    /// deadline of the request. Nothing of the attempt is written from `write_before` on.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        server: ServerId,
        timeout: Micros,
        write_before: Micros,
    ) {
        let number = request_number(&id);
        self.note_first_attempt(now, number);
        let Some(request) = self.requests.get_mut(number) else {
            warn!(self.log, "attempt for a closed request"; "request" => &*id.0);
            return;
        };
        let attempt = AttemptId {
            request: number,
            attempt: request.attempts,
        };
        request.attempts += 1;
        let time_left = request.deadline.saturating_sub(now);
        let running = RunningAttempt {
            server: server.clone(),
            account: request.account.clone(),
            started: now,
        };
        let may_start = time_left > 0 && request.attempts <= self.rules.max_attempts;
        let Some(client) = request.client.as_ref().filter(|_| may_start) else {
            let result = running.result(now, id, attempt.attempt, Outcome::Superseded);
            self.pending_events.push_back(Event::AttemptEnded(result));
            return;
        };
        let ends_at = now + attempt_time(timeout, time_left);
        let deadlines = AttemptDeadlines {
            answer: self.clock.instant_of(ends_at),
            write: self.clock.instant_of(write_before.min(ends_at)),
        };
        self.transport
            .start_attempt(attempt, &server, &request.call, deadlines, client);
        self.attempts.by_id.insert(attempt, running);
        self.timers.set(ends_at, Deadline::Attempt(attempt));
    }
}

/// Returns the time available to an attempt, in microseconds. A `timeout` of 0 sets no limit of its
/// own.
fn attempt_time(timeout: Micros, time_left: Micros) -> Micros {
    if timeout == 0 {
        time_left
    } else {
        timeout.min(time_left)
    }
}
