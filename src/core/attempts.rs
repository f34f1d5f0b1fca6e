//! Attempts at upstream servers from their start to their end.

use super::deadlines::Due;
use super::messages::{Answer, AttemptDeadlines, AttemptId, Transport};
use super::requests::number;
use super::Core;
use crate::decision::{
    AccountId, Action, AttemptResult, Event, Micros, Outcome, RequestId, ServerId,
};
use crate::handover::message::Body;
use slog::warn;

pub(super) struct Out {
    pub(super) node: ServerId,
    pub(super) account: AccountId,
    pub(super) sent: Micros,
}

impl<E: Transport> Core<E> {
    /// An attempt is no longer out; a successor counts those that were when it took over.
    pub(super) fn take_out(&mut self, attempt: AttemptId) -> Option<Out> {
        let out = self.out.remove(&attempt)?;
        if self.handed_over_state.is_some() {
            self.edges
                .notify_peer_process(Body::Ended(out.account.0.to_string()));
        }
        Some(out)
    }

    pub(super) fn streams(&self, number: u64) -> Option<(AttemptId, Micros)> {
        self.open.get(&number)?.streams
    }

    /// The first bytes that come win. Whatever else is out for the request is given up: its bytes would reach nobody.
    pub(super) fn began(&mut self, now: Micros, attempt: AttemptId, value: E::Value) {
        if !self.out.contains_key(&attempt) {
            return;
        }
        let Some(open) = self.open.get_mut(&attempt.request) else {
            return;
        };
        let Some(client) = open.client.take() else {
            return;
        };
        open.streams = Some((attempt, now));
        let id = open.id.clone();
        self.edges.answer(client, Answer::Served(value));
        self.tell(now, Event::ResponseStarted { id: id.clone() });
        let others = self
            .out
            .keys()
            .filter(|other| other.request == attempt.request && **other != attempt);
        for other in others.copied().collect::<Vec<_>>() {
            self.carry_out(
                now,
                Action::Cancel {
                    id: id.clone(),
                    attempt: other.attempt,
                },
            );
        }
        // What the cancelled ones leave to be told.
        while let Some(event) = self.events.pop_front() {
            self.tell(now, event);
        }
    }

    /// The first good answer goes to the agent at once; the module hears of every end.
    pub(super) fn ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        out: Out,
        outcome: Outcome,
        load: Vec<f64>,
        value: Option<E::Value>,
    ) {
        let number = attempt.request;
        // Good or broken off, the agent has what there was. Its pace is that of its first bytes: the rest goes as fast as
        // the agent reads.
        let streams = self.streams(number).filter(|(which, _)| *which == attempt);
        if streams.is_some() {
            self.close(now, number);
        }
        if let (Outcome::Ok, Some(value)) = (outcome, value) {
            if let Some(open) = self.close(now, number) {
                self.answer(open.client, Answer::Served(value));
            }
        }
        let open = self.open.get_mut(&number);
        let last = open.is_none();
        if let Some(open) = open {
            open.may_have_run |= !outcome.never_ran();
        }
        let ended = AttemptResult {
            id: RequestId::from(format!("{number:x}").as_str()),
            attempt: attempt.attempt,
            server: out.node,
            outcome,
            latency: streams
                .map_or(now, |(_, first)| first)
                .saturating_sub(out.sent),
            is_final: last,
            load,
            settled_units: None,
        };
        self.tell(now, Event::AttemptEnded(ended));
    }

    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        node: ServerId,
        timeout: Micros,
        by: Micros,
    ) {
        let request = number(&id);
        let Some(open) = self.open.get_mut(&request) else {
            warn!(self.log, "attempt for a closed request"; "request" => &*id.0);
            return;
        };
        let attempt = AttemptId {
            request,
            attempt: open.attempts,
        };
        open.attempts += 1;
        let left = open.deadline.saturating_sub(now);
        let client = open
            .client
            .as_ref()
            .filter(|_| left > 0 && open.attempts <= self.max_attempts);
        let Some(client) = client else {
            let attempt = attempt.attempt;
            let (outcome, load) = (Outcome::Superseded, Vec::new());
            let ended = AttemptResult {
                id,
                attempt,
                server: node,
                outcome,
                latency: 0,
                is_final: false,
                load,
                settled_units: None,
            };
            return self.events.push_back(Event::AttemptEnded(ended));
        };
        let ends = now
            + if timeout == 0 {
                left
            } else {
                timeout.min(left)
            };
        let wait = AttemptDeadlines {
            answer: self.clock.moment(ends),
            write: self.clock.moment(by.min(ends)),
        };
        self.edges
            .start_attempt(attempt, &node, &open.call, wait, client);
        self.out.insert(
            attempt,
            Out {
                node,
                account: open.account.clone(),
                sent: now,
            },
        );
        self.timers.set(ends, Due::Attempt(attempt));
    }
}
