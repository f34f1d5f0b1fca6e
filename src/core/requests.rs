//! Requests from their admission to their one answer.

use super::deadlines::Due;
use super::messages::{Answer, AttemptId, IncomingRequest, Transport};
use super::Core;
use crate::decision::{AccountId, Event, Micros, Request, RequestId};
use slog::{info, warn};
use std::collections::HashSet;
use std::sync::Arc;

/// What the module gives up so shortly before its deadline has run out of time, not out of nodes.
pub(super) const LAST_MOMENTS: Micros = 50_000;

pub(super) struct Open<E: Transport> {
    pub(super) id: RequestId,
    pub(super) name: Option<RequestId>,
    pub(super) account: AccountId,
    /// None once its answer has begun to stream.
    pub(super) client: Option<E::Client>,
    /// The attempt whose value is on its way to the agent, and since when: nothing is sent any more, and no time-out cuts
    /// it off.
    pub(super) streams: Option<(AttemptId, Micros)>,
    pub(super) call: Arc<E::Call>,
    pub(super) deadline: Micros,
    pub(super) attempts: usize,
    pub(super) late: bool,
    pub(super) may_have_run: bool,
    pub(super) safe: bool,
}

impl<E: Transport> Core<E> {
    pub(super) fn admit(&mut self, now: Micros, incoming: IncomingRequest<E::Client, E::Call>) {
        let arrived = self.clock.at(incoming.arrived).min(now);
        let deadline = arrived + incoming.timeout.as_micros() as Micros;
        // Bounds the memory that requests hold. Nothing has run yet, so the refusal is harmless.
        if self.open.len() >= self.max_open {
            if let Some(more) = self.full.permit() {
                warn!(self.log, "too many open requests"; "open" => self.open.len(), "suppressed" => more);
            }
            let answer = Answer::Rejected {
                retry_after: self.advice,
                timed_out: false,
            };
            return self.edges.answer(incoming.client, answer);
        }
        // Guards against the id of another agent's open request: ticket nodes would take the one for the other.
        if incoming
            .id
            .as_ref()
            .is_some_and(|name| !self.names.insert(name.clone()))
        {
            if let Some(more) = self.twice.permit() {
                info!(self.log, "duplicate id of an open request"; "suppressed" => more);
            }
            return self
                .edges
                .answer(incoming.client, Answer::Failed { timed_out: false });
        }
        let id = RequestId::from(format!("{:x}", incoming.number).as_str());
        let request = Request {
            id: id.clone(),
            class: incoming.class,
            plan: incoming.plan,
            account: incoming.account.clone(),
            timeout: deadline.saturating_sub(now),
            units: incoming.units,
            limiter_count: incoming.limiter_count,
            first_limiter: incoming.first_limiter,
        };
        let open = Open {
            id,
            name: incoming.id,
            account: incoming.account,
            client: Some(incoming.client),
            streams: None,
            call: Arc::new(incoming.call),
            deadline,
            attempts: 0,
            late: false,
            may_have_run: false,
            safe: self.safe.get(incoming.class).copied().unwrap_or(false),
        };
        self.open.insert(incoming.number, open);
        self.timers.set(deadline, Due::Request(incoming.number));
        self.tell(now, Event::Request(request));
    }

    /// The order in which requests end together: what waits would be sent on in the place that another leaves.
    pub(super) fn waiting_first(&self, mut numbers: Vec<u64>) -> Vec<u64> {
        let out: HashSet<u64> = self.out.keys().map(|attempt| attempt.request).collect();
        numbers.sort_by_key(|number| out.contains(number));
        numbers
    }

    /// Guards against a module that says nothing: the agent gets its answer at its deadline all the same.
    pub(super) fn overdue(&mut self, now: Micros, number: u64) {
        let Some(open) = self.close(now, number) else {
            return;
        };
        warn!(self.log, "no answer by the deadline"; "request" => &*open.id.0, "attempts" => open.attempts);
        self.answer(open.client, Answer::Failed { timed_out: true });
        self.tell(now, Event::ClientDisconnected { id: open.id });
    }

    /// Takes a request out of the open ones: its answer is due now, and what is not written for it yet never will be.
    pub(super) fn close(&mut self, now: Micros, number: u64) -> Option<Open<E>> {
        let open = self.open.remove(&number)?;
        if let Some(leases) = &mut self.leases {
            leases.close(now, &open.id, open.attempts > 0);
        }
        for attempt in 0..open.attempts {
            let attempt = AttemptId {
                request: number,
                attempt,
            };
            if self.out.contains_key(&attempt) && self.edges.withdraw(attempt) {
                self.take_out(attempt);
            }
        }
        if let Some(name) = &open.name {
            self.names.remove(name);
        }
        Some(open)
    }

    /// Nothing if the answer has begun: where it ends, the agent sees.
    pub(super) fn answer(&mut self, client: Option<E::Client>, answer: Answer<E::Value>) {
        if let Some(client) = client {
            self.edges.answer(client, answer);
        }
    }
}

pub(super) fn number(id: &RequestId) -> u64 {
    u64::from_str_radix(&id.0, 16).unwrap_or(u64::MAX)
}
