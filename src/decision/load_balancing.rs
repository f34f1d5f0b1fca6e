//! Load balancing: the choice of a server for an attempt.

use super::server::Server;
use super::{Engine, Micros, RequestId, ServerId};

/// Multiple of the price of a cross-zone attempt by which the cost of a server in another zone
/// rises.
const CROSS_ZONE_PRICE_FACTOR: f64 = 10.0;
/// Largest random increase of a cost, as a fraction. It spreads the choices of many limiters.
const RANDOM_FRACTION: f64 = 0.1;
/// Factor on the cost of a server in slow start. Without it warm servers would get nearly all of
/// the load, as any attempt may go to them.
const SLOW_START_FACTOR: f64 = 0.3;
/// Lower bound on the weight of a server.
const MIN_WEIGHT: f64 = 1e-3;

impl Engine {
    /// Returns the server with the lowest expected cost among those that an attempt may be sent to.
    pub(super) fn choose_server(&mut self, now: Micros, id: &RequestId) -> Option<ServerId> {
        let class = self.requests.get(id)?.request.class;
        let mean_latency = self.mean_latency();
        let mut best: Option<(f64, ServerId)> = None;
        for (server_id, server) in &self.servers.servers {
            if self.may_send(now, id, server_id).is_none() {
                continue;
            }
            let random = 1.0 + RANDOM_FRACTION * self.random.f64();
            let cost = self.cost(now, server, class, mean_latency, random);
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, server_id.clone()));
            }
        }
        best.map(|(_, server_id)| server_id)
    }

    /// Returns the expected latency at a server, weighted by its failures, zone, slow start and
    /// size.
    fn cost(
        &self,
        now: Micros,
        server: &Server,
        class: usize,
        mean_latency: f64,
        random: f64,
    ) -> f64 {
        let lifetime = self.servers.health_lifetime;
        let crosses_zones = f64::from(u8::from(server.zone != self.settings.zone));
        let cross_zone =
            1.0 + crosses_zones * CROSS_ZONE_PRICE_FACTOR * self.settings.prices.cross_zone;
        let weight = if self.settings.server_weights {
            server.weight.max(MIN_WEIGHT)
        } else {
            1.0
        };
        let usual_rate = self.latencies[class].failure_rate;
        let penalty = server.health.penalty(now, class, usual_rate, lifetime);
        let is_warm = server.capacity(now, &self.settings.safety).is_none();
        let slow_start = if is_warm { 1.0 } else { SLOW_START_FACTOR };
        let latency = server.expected_latency(now, mean_latency, lifetime);
        latency * penalty * cross_zone * random * slow_start / weight
    }
}
