//! Requests from their admission to their final answer.

use super::deadlines::Deadline;
use super::messages::{Answer, AttemptId, IncomingRequest, Transport};
use super::open_requests::{request_id, OpenRequest, ResponseStream};
use super::{Core, Phase};
use crate::decision::{Event, Micros, Request};
use slog::{info, warn};
use std::sync::Arc;

impl<T: Transport> Core<T> {
    /// Opens a request, unless too many requests or one with the same client id are open already.
    pub(super) fn admit(&mut self, now: Micros, incoming: IncomingRequest<T::Client, T::Call>) {
        // Nothing has run yet, so these rejections are harmless. The first one bounds the memory
        // that requests use.
        if self.requests.is_full() {
            return self.reject_when_full(incoming.client);
        }
        if self.phase == Phase::Stopped {
            return self.reject_unforwarded(incoming.client);
        }
        if self.may_have_run_before(now, &incoming) {
            return self.fail_repeated(incoming.client);
        }
        // Upstream servers would mistake the request for the open request of another client.
        if !self.requests.reserve_client_id(incoming.id.as_ref()) {
            return self.fail_duplicate(incoming.client);
        }
        let arrived = self.clock.unix_time_of(incoming.arrived).min(now);
        let deadline = arrived + incoming.timeout.as_micros() as Micros;
        let request = engine_request(&incoming, deadline.saturating_sub(now));
        let open = OpenRequest {
            id: request.id.clone(),
            client_id: incoming.id,
            account: incoming.account,
            client: Some(incoming.client),
            stream: None,
            call: Arc::new(incoming.call),
            deadline,
            attempts: 0,
            attempt_timed_out: false,
            may_have_run: false,
            is_idempotent: self.rules.is_idempotent(incoming.class),
            repeat_window: self.rules.repeat_window(incoming.class),
        };
        self.requests.insert(incoming.number, open);
        self.timers
            .set(deadline, Deadline::Request(incoming.number));
        self.notify_engine(now, Event::Request(request));
    }

    fn reject_when_full(&mut self, client: T::Client) {
        if let Some(suppressed) = self.full_throttle.permit() {
            warn!(self.log, "too many open requests";
                "open" => self.requests.len(), "suppressed" => suppressed);
        }
        self.reject_unforwarded(client);
    }

    fn reject_unforwarded(&mut self, client: T::Client) {
        let answer = Answer::Rejected {
            retry_after: self.rules.retry_after_when_full,
            timed_out: false,
        };
        self.transport.answer(client, answer);
    }

    fn fail_duplicate(&mut self, client: T::Client) {
        if let Some(suppressed) = self.duplicate_id_throttle.permit() {
            info!(self.log, "duplicate id of an open request"; "suppressed" => suppressed);
        }
        self.transport
            .answer(client, Answer::Failed { timed_out: false });
    }

    /// Whether an earlier request with the same id may have run and must not run again.
    fn may_have_run_before(
        &self,
        now: Micros,
        incoming: &IncomingRequest<T::Client, T::Call>,
    ) -> bool {
        let id = incoming.id.as_ref();
        self.rules.repeat_window(incoming.class).is_some()
            && id.is_some_and(|id| self.recent_ids.contains(now, id))
    }

    /// Fails a request with the id of one that may have run. A rejection would tell the client that
    /// it did not.
    fn fail_repeated(&mut self, client: T::Client) {
        if let Some(suppressed) = self.repeated_id_throttle.permit() {
            info!(self.log, "id of a request that may have run"; "suppressed" => suppressed);
        }
        self.transport
            .answer(client, Answer::Failed { timed_out: false });
    }

    /// Closes the requests of a client that has disconnected.
    pub(super) fn abandon_requests(&mut self, now: Micros, numbers: Vec<u64>) {
        for number in self.unforwarded_first(numbers) {
            if let Some(request) = self.close(now, number) {
                self.notify_engine(now, Event::ClientDisconnected { id: request.id });
            }
        }
    }

    /// Sorts requests that are closed together so that those without a running attempt come first.
    /// In any other order, the end of a forwarded request would free capacity, and the engine would
    /// forward a waiting request that is about to be closed.
    pub(super) fn unforwarded_first(&self, mut numbers: Vec<u64>) -> Vec<u64> {
        let forwarded = self.attempts.request_numbers();
        numbers.sort_by_key(|number| forwarded.contains(number));
        numbers
    }

    /// Fails a request at its deadline, regardless of what the engine still waits for.
    pub(super) fn expire_request(&mut self, now: Micros, number: u64) {
        let Some(request) = self.close(now, number) else {
            return;
        };
        warn!(self.log, "no answer by the deadline";
            "request" => &*request.id.0, "attempts" => request.attempts);
        self.answer(request.client, Answer::Failed { timed_out: true });
        self.notify_engine(now, Event::ClientDisconnected { id: request.id });
    }

    /// Removes a request from the open ones because it is answered or abandoned now, and withdraws
    /// its attempts that are not written yet.
    pub(super) fn close(&mut self, now: Micros, number: u64) -> Option<OpenRequest<T>> {
        let request = self.requests.remove(number)?;
        if let Some(leases) = &mut self.leases {
            leases.close(now, &request.id, request.attempts > 0);
        }
        let mut may_run = request.may_have_run;
        for attempt in 0..request.attempts {
            let attempt = AttemptId {
                request: number,
                attempt,
            };
            if !self.attempts.contains(attempt) {
                continue;
            }
            if self.transport.withdraw(attempt) {
                self.remove_attempt(attempt);
            } else {
                may_run = true;
            }
        }
        if let Some(id) = request.client_id.as_ref().filter(|_| !may_run) {
            self.recent_ids.remove(id);
        }
        Some(request)
    }

    /// Returns the response that is being streamed to the client of a request, if any.
    pub(super) fn response_stream(&self, number: u64) -> Option<ResponseStream> {
        self.requests.get(number)?.stream
    }

    /// Sends the answer of a request. `client` is `None` if a response is being streamed to the
    /// client: it gets no further answer and detects a failure by the incomplete response.
    pub(super) fn answer(&mut self, client: Option<T::Client>, answer: Answer<T::Value>) {
        if let Some(client) = client {
            self.transport.answer(client, answer);
        }
    }
}

/// Converts a request into the form of the engine's events.
fn engine_request<Client, Call>(
    incoming: &IncomingRequest<Client, Call>,
    timeout: Micros,
) -> Request {
    Request {
        id: request_id(incoming.number),
        class: incoming.class,
        plan: incoming.plan,
        account: incoming.account.clone(),
        timeout,
        units: incoming.units,
        limiter_count: incoming.limiter_count,
        first_limiter: incoming.first_limiter,
    }
}
