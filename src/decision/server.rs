//! The upstream servers known to a limiter, and their learned state.

use super::event::{Endpoint, Readiness};
use super::identifiers::{Micros, RequestId, ServerId};
use super::outlier::{ServerHealth, MIN_HEALTH_LIFETIME_MICROS};
use super::settings::{Safety, SECOND};
use super::slow_start::{self, SlowStart};
use std::collections::BTreeMap;

/// Weight of the last second in the average send rate.
const SEND_RATE_GAIN: f64 = 0.3;
/// Lower bound on the send rate, in sends per second, when computing how fast learned state decays.
const MIN_SEND_RATE: f64 = 0.1;
/// Minimum number of sends to each ready server within the time constant of learned state.
const SENDS_PER_HEALTH_LIFETIME: f64 = 2.0;

/// Age of an attempt in flight, in mean latencies, from which its server counts as slower than
/// average.
const SLOW_ATTEMPT_LATENCIES: f64 = 3.0;
/// Lower bound on the relative latency of a server.
const MIN_RELATIVE_LATENCY: f64 = 0.7;

/// State of a server at this limiter.
#[derive(Default)]
pub(crate) struct Server {
    pub(super) zone: String,
    pub(super) cell: u64,
    /// When its zone or cell last changed; 0 if they never did.
    pub(super) joined_group_at: Micros,
    pub(super) readiness: Option<Readiness>,
    /// When the server last ceased to be ready; only relevant while it is not ready.
    left_at: Micros,
    pub(super) weight: f64,
    pub(crate) started_at: Micros,
    /// When each of this limiter's attempts in flight was sent, by request and number of the
    /// attempt.
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

    /// Marks the server as unavailable for new attempts, until an update of the endpoint list lists
    /// it.
    fn mark_left(&mut self, now: Micros) {
        if self.is_ready() {
            self.left_at = now;
        }
        self.readiness = None;
    }

    /// Returns the fraction of its capacity that the server has at least, or `None` once it is
    /// warm.
    pub(super) fn capacity(&self, now: Micros, safety: &Safety) -> Option<f64> {
        slow_start::capacity(self.started_at, now, safety)
    }

    /// Returns the expected latency relative to other servers: the relative latency times one more
    /// than this limiter's attempts in flight. The age of the oldest attempt in flight may raise
    /// the latency.
    ///
    /// Load reports are not used, as they arrive too late and would lead all limiters to the same
    /// servers.
    pub(super) fn expected_latency(&self, now: Micros, mean_latency: f64, lifetime: f64) -> f64 {
        let oldest = self.in_flight.values().min();
        let age = oldest.map_or(0.0, |sent_at| now.saturating_sub(*sent_at) as f64);
        let shown_by_oldest = age / (SLOW_ATTEMPT_LATENCIES * mean_latency.max(1.0));
        let latency = self.health.latency_at(now, lifetime).max(shown_by_oldest);
        (1.0 + self.in_flight.len() as f64) * latency.max(MIN_RELATIVE_LATENCY)
    }
}

/// All servers, and the rate at which attempts are sent to them.
pub(crate) struct ServerTable {
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Number of attempts sent since the last update of the send rate.
    sends: f64,
    /// Average number of attempts sent per second.
    pub(crate) send_rate: f64,
    /// Average number of attempts sent per second to one warm server.
    pub(super) warm_load: f64,
    /// Time constant, in microseconds, with which the learned state of servers decays.
    pub(super) health_lifetime: f64,
}

impl Default for ServerTable {
    fn default() -> Self {
        Self {
            servers: BTreeMap::new(),
            sends: 0.0,
            send_rate: 0.0,
            warm_load: 0.0,
            health_lifetime: MIN_HEALTH_LIFETIME_MICROS,
        }
    }
}

impl ServerTable {
    pub(super) fn count_send(&mut self) {
        self.sends += 1.0;
    }

    /// Returns the number of ready servers, but at least one.
    pub(super) fn ready_count(&self) -> f64 {
        self.servers
            .values()
            .filter(|server| server.is_ready())
            .count()
            .max(1) as f64
    }

    /// Whether at least one server is draining and none is ready. An empty list does not count, as
    /// the list may only be late.
    pub(super) fn all_draining(&self) -> bool {
        self.servers.values().any(Server::is_draining)
            && self.servers.values().all(|server| !server.is_ready())
    }

    /// Returns the sends that the slow start of a server allows now.
    pub(super) fn slow_start_tokens(&self, now: Micros, server: &Server, safety: &Safety) -> f64 {
        server
            .slow_start
            .tokens_at(now, server.capacity(now, safety), self.warm_load, safety)
    }

    /// Applies an entry of the endpoint list. `first_tokens` returns the initial slow start tokens
    /// of a new server process.
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
        let has_moved = server.zone != endpoint.zone || server.cell != endpoint.cell;
        if has_moved && !is_new {
            server.joined_group_at = now;
        }
        server.mark_left(now);
        server.readiness = Some(endpoint.readiness);
        server.started_at = endpoint.started_at;
        server.weight = endpoint.weight;
        server.zone = endpoint.zone;
        server.cell = endpoint.cell;
    }

    /// Marks all servers as unavailable before a whole list is applied, which makes those that it
    /// lists available again.
    pub(super) fn mark_all_left(&mut self, now: Micros) {
        for server in self.servers.values_mut() {
            server.mark_left(now);
        }
    }

    /// Updates averages and removes servers that left long ago. They are kept for
    /// longer than `idempotency_window`, in which they may still hold idempotency keys.
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
        let sends_time = SENDS_PER_HEALTH_LIFETIME * SECOND * self.ready_count()
            / self.send_rate.max(MIN_SEND_RATE);
        self.health_lifetime = MIN_HEALTH_LIFETIME_MICROS.max(sends_time);
        let is_warm =
            |server: &&Server| server.is_ready() && server.capacity(now, safety).is_none();
        let warm = self.servers.values().filter(is_warm).count();
        let retention = idempotency_window + MIN_HEALTH_LIFETIME_MICROS as Micros;
        self.servers.retain(|_, server| {
            server.is_ready() || !server.in_flight.is_empty() || now < server.left_at + retention
        });
        // If fewer than half of the ready servers are warm, the load is divided by that half
        // instead.
        self.warm_load = self.send_rate.max(1.0) / (warm as f64).max(self.ready_count() / 2.0);
    }
}
