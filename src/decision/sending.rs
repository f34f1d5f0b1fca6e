//! Sending of attempts, and the rules that each attempt has to satisfy.

use super::counter_sync::SyncReason;
use super::request::{Attempt, OpenRequest};
use super::server::Server;
use super::{Action, Engine, Idempotency, KeyScope, Micros, Request, RequestId, ServerId};

/// The idempotency window divided by this is reserved for the transmission of an attempt to its
/// server.
const WINDOW_MARGIN_DIVISOR: Micros = 10;

impl Engine {
    /// Sends an attempt if [`Self::may_send`] allows it. Nothing else emits [`Action::Send`].
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: &RequestId,
        server_id: ServerId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(write_before) = self.may_send(now, id, &server_id) else {
            return false;
        };
        self.count_at_server(now, id, &server_id);
        self.count_at_account(now, id);
        let Some(open) = self.requests.get_mut(id) else {
            return false;
        };
        let class = &self.settings.classes[open.request.class];
        let answer_by = if class.late_weight > 0.0 {
            open.deadline
        } else {
            open.objective_at
        };
        self.queue.remove(open.tag, id);
        open.attempts.push(Attempt::new(server_id.clone(), now));
        self.concurrency.in_flight += 1;
        self.servers.count_send();
        let timeout = answer_by.saturating_sub(now).max(1);
        actions.push(Action::Send {
            id: id.clone(),
            server: server_id,
            timeout,
            write_before,
        });
        true
    }

    fn count_at_server(&mut self, now: Micros, id: &RequestId, server_id: &ServerId) {
        let Some(open) = self.requests.get(id) else {
            return;
        };
        let Some(server) = self.servers.servers.get(server_id) else {
            return;
        };
        let tokens = self
            .servers
            .slow_start_tokens(now, server, &self.settings.safety);
        let Some(server) = self.servers.servers.get_mut(server_id) else {
            return;
        };
        server
            .in_flight
            .insert((id.clone(), open.attempts.len()), now);
        server.slow_start.take(now, tokens);
    }

    /// Charges an attempt to its account. A request beyond the quota takes nothing from the token
    /// bucket, neither here nor at other limiters.
    fn count_at_account(&mut self, now: Micros, id: &RequestId) {
        let Some(open) = self.requests.get(id) else {
            return;
        };
        let Some(account) = self.accounts.get_mut(&open.request.account) else {
            return;
        };
        let plan = &self.settings.plans[open.request.plan];
        let is_first = open.attempts.is_empty();
        account.in_flight += 1;
        if is_first && account.granted >= open.charge {
            account.granted -= open.charge;
        } else if plan.limits_concurrency_only() || (is_first && account.tokens >= open.charge) {
            account.tokens -= open.charge;
            account.unreported += open.charge;
            let synced_at = account.synced_at;
            self.counter.schedule(
                SyncReason::UnitsToReport,
                synced_at,
                open.request.account.clone(),
            );
        }
        if is_first {
            account.waiting.retain(|waiting| waiting != id);
            account.take_ceiling_tokens(now, plan, open.request.units);
            self.retry_budget.earn();
        }
    }

    /// Checks whether an attempt may be sent to a server. Returns the time by which it has to be
    /// written, or `None` if it may not be sent.
    pub(super) fn may_send(
        &self,
        now: Micros,
        id: &RequestId,
        server_id: &ServerId,
    ) -> Option<Micros> {
        let open = self.requests.get(id)?;
        let server = self.servers.servers.get(server_id)?;
        let write_before = self.repeat_before(open, server);
        let may_send = server.is_ready()
            && write_before > now
            && self.has_attempt_left(now, open)
            && !has_attempt_at(open, server_id)
            && self
                .servers
                .slow_start_tokens(now, server, &self.settings.safety)
                >= 1.0
            && (!open.attempts.is_empty() || self.is_under_ceiling(now, &open.request));
        may_send.then_some(write_before)
    }

    fn has_attempt_left(&self, now: Micros, open: &OpenRequest) -> bool {
        let limits = &self.settings.limits;
        !open.streaming
            && open.deadline > now
            && open.attempts.len() < limits.max_attempts.max(1) as usize
            && (limits.hedging || !open.is_in_flight())
    }

    /// Returns the time before which a further attempt may be sent to a server. A request that may
    /// already have run is repeated only as far as its class allows.
    fn repeat_before(&self, open: &OpenRequest, server: &Server) -> Micros {
        let class = &self.settings.classes[open.request.class];
        let repeat_before = |sent_at: Micros, earlier: &ServerId| match class.idempotency {
            Idempotency::Idempotent => Micros::MAX,
            Idempotency::NonIdempotent => 0,
            Idempotency::Keyed(scope) if self.shares_keys(scope, sent_at, earlier, server) => {
                sent_at + class.idempotency_window
                    - class.idempotency_window / WINDOW_MARGIN_DIVISOR
            }
            Idempotency::Keyed(_) => sent_at,
        };
        let may_have_run = open
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_run());
        may_have_run
            .map(|attempt| repeat_before(attempt.sent_at, &attempt.server))
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Whether a server shares the idempotency keys that an earlier one has seen at `sent_at`. None
    /// is known to if that one has joined another group since.
    fn shares_keys(
        &self,
        scope: KeyScope,
        sent_at: Micros,
        earlier: &ServerId,
        server: &Server,
    ) -> bool {
        let Some(earlier) = self.servers.servers.get(earlier) else {
            return false;
        };
        if scope != KeyScope::AllServers && earlier.joined_group_at > sent_at {
            return false;
        }
        match scope {
            KeyScope::AllServers => true,
            KeyScope::Zone => earlier.zone == server.zone,
            KeyScope::Cell => earlier.cell == server.cell && earlier.zone == server.zone,
        }
    }

    /// Whether a request fits under the hard ceiling of its account. Each limiter enforces the
    /// ceiling on its share of the bucket, which needs no coordination with other limiters.
    fn is_under_ceiling(&self, now: Micros, request: &Request) -> bool {
        let plan = &self.settings.plans[request.plan];
        let Some(account) = self.accounts.get(&request.account) else {
            return false;
        };
        plan.ceiling_rate <= 0.0 || account.ceiling_tokens_at(now, plan) >= request.units
    }
}

fn has_attempt_at(open: &OpenRequest, server_id: &ServerId) -> bool {
    open.attempts
        .iter()
        .any(|attempt| attempt.is_in_flight() && attempt.server == *server_id)
}
