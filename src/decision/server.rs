//! The upstream servers that a limiter knows, and what it knows of them.

use super::event::{Endpoint, Readiness};
use super::identifiers::{Micros, RequestId, ServerId};
use super::outlier::{ServerHealth, JUDGEMENT_LIFETIME};
use super::settings::{Safety, SECOND};
use super::slow_start::{self, SlowStart};
use std::collections::BTreeMap;

/// Weight of the last second in the average rate of sends.
const SEND_RATE_GAIN: f64 = 0.3;
/// The least rate in sends a second by which judgements of servers expire.
const LEAST_SEND_RATE: f64 = 0.1;
/// Sends to each server within which a judgement of it lasts at the least.
const SENDS_PER_JUDGEMENT: f64 = 2.0;

/// Mean latencies after which an attempt in flight makes its server look slow.
const OLD_ATTEMPT_LATENCIES: f64 = 3.0;
/// The least relative latency that a server is credited with.
const LEAST_RELATIVE_LATENCY: f64 = 0.7;

/// What is known of a server.
#[derive(Default)]
pub(crate) struct Server {
    pub(super) zone: String,
    pub(super) cell: u64,
    pub(super) readiness: Option<Readiness>,
    /// When it ceased to be ready, if it has.
    left_at: Micros,
    pub(super) weight: f64,
    pub(crate) started_at: Micros,
    /// Own attempts in flight, and when they were sent.
    pub(super) in_flight: BTreeMap<(RequestId, usize), Micros>,
    pub(crate) health: ServerHealth,
    pub(crate) slow_start: SlowStart,
}

impl Server {
    pub(super) fn is_ready(&self) -> bool {
        self.readiness == Some(Readiness::Ready)
    }

    fn is_draining(&self) -> bool {
        self.readiness == Some(Readiness::Draining)
    }

    /// Nothing new is sent to it from now on, unless an update of the endpoint list says otherwise.
    fn leave(&mut self, now: Micros) {
        if self.is_ready() {
            self.left_at = now;
        }
        self.readiness = None;
    }

    /// Fraction of its capacity that it has at the least; none once it has warmed up.
    pub(super) fn capacity(&self, now: Micros, safety: &Safety) -> Option<f64> {
        slow_start::capacity(self.started_at, now, safety)
    }

    /// Expected latency relative to other servers: own attempts in flight times latency, which is at
    /// least what the oldest attempt in flight shows.
    ///
    /// Load reports are left out: they come too late, and would draw all limiters to the same servers.
    pub(super) fn expected_latency(&self, now: Micros, mean_latency: f64, lifetime: f64) -> f64 {
        let oldest = self.in_flight.values().min();
        let age = oldest.map_or(0.0, |sent_at| now.saturating_sub(*sent_at) as f64);
        let shown_by_oldest = age / (OLD_ATTEMPT_LATENCIES * mean_latency.max(1.0));
        let latency = self.health.latency_at(now, lifetime).max(shown_by_oldest);
        (1.0 + self.in_flight.len() as f64) * latency.max(LEAST_RELATIVE_LATENCY)
    }
}

/// All servers, and how much is sent to them.
pub(crate) struct ServerTable {
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Attempts sent since the last second.
    sends: f64,
    /// Attempts sent a second.
    pub(crate) send_rate: f64,
    /// Attempts sent a second to one warm server.
    pub(super) warm_load: f64,
    /// Time in microseconds over which judgements of servers expire.
    pub(super) judgement_lifetime: f64,
}

impl Default for ServerTable {
    fn default() -> Self {
        Self {
            servers: BTreeMap::new(),
            sends: 0.0,
            send_rate: 0.0,
            warm_load: 0.0,
            judgement_lifetime: JUDGEMENT_LIFETIME,
        }
    }
}

impl ServerTable {
    pub(super) fn count_send(&mut self) {
        self.sends += 1.0;
    }

    /// Servers that are ready, one at least.
    pub(super) fn ready_count(&self) -> f64 {
        self.servers
            .values()
            .filter(|server| server.is_ready())
            .count()
            .max(1) as f64
    }

    /// Whether there are servers and none of them is coming back: an empty list may only be late.
    pub(super) fn all_draining(&self) -> bool {
        self.servers.values().any(Server::is_draining)
            && self.servers.values().all(|server| !server.is_ready())
    }

    /// Sends allowed to a server now by its slow start.
    pub(super) fn slow_start_tokens(&self, now: Micros, server: &Server, safety: &Safety) -> f64 {
        server
            .slow_start
            .tokens_at(now, server.capacity(now, safety), self.warm_load, safety)
    }

    /// Takes one update of a server. `first_tokens` gives the slow start tokens of a new process.
    pub(super) fn update(
        &mut self,
        now: Micros,
        endpoint: Endpoint,
        first_tokens: impl FnOnce() -> f64,
    ) {
        let is_new = !self.servers.contains_key(&endpoint.id);
        let server = self.servers.entry(endpoint.id).or_default();
        if is_new || server.started_at != endpoint.started_at {
            server.health.reset();
            server.slow_start = SlowStart::new(now, first_tokens());
        }
        server.leave(now);
        server.readiness = Some(endpoint.readiness);
        server.started_at = endpoint.started_at;
        server.weight = endpoint.weight;
        server.zone = endpoint.zone;
        server.cell = endpoint.cell;
    }

    /// A list that names all servers follows: the others are no longer there.
    pub(super) fn leave_all(&mut self, now: Micros) {
        for server in self.servers.values_mut() {
            server.leave(now);
        }
    }

    /// Updates averages, and drops servers that left long ago: an idempotency key may be with them
    /// for `idempotency_window`.
    pub(super) fn on_second(
        &mut self,
        now: Micros,
        seconds: f64,
        safety: &Safety,
        idempotency_window: Micros,
    ) {
        let rate = std::mem::take(&mut self.sends) / seconds.max(1e-3);
        if self.send_rate == 0.0 {
            self.send_rate += rate;
        } else {
            self.send_rate += SEND_RATE_GAIN * (rate - self.send_rate);
        }
        let turn =
            SENDS_PER_JUDGEMENT * SECOND * self.ready_count() / self.send_rate.max(LEAST_SEND_RATE);
        self.judgement_lifetime = JUDGEMENT_LIFETIME.max(turn);
        let is_warm =
            |server: &&Server| server.is_ready() && server.capacity(now, safety).is_none();
        let warm = self.servers.values().filter(is_warm).count();
        let kept = idempotency_window + JUDGEMENT_LIFETIME as Micros;
        self.servers.retain(|_, server| {
            server.is_ready() || !server.in_flight.is_empty() || now < server.left_at + kept
        });
        // Where few are warm, half of the servers share the load.
        self.warm_load = self.send_rate.max(1.0) / (warm as f64).max(self.ready_count() / 2.0);
    }
}
