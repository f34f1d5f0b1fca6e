//! Load balancing: the choice of a server for an attempt.

use super::server::Server;
use super::{Engine, Micros, RequestId, ServerId};

/// Factor of the price of an attempt that crosses zones on the cost of a server.
const CROSS_ZONE_FACTOR: f64 = 10.0;
/// Largest random part of a cost, which spreads the choices of many limiters.
const RANDOM_FRACTION: f64 = 0.1;
/// Factor on the cost of a server in slow start. Left to chance, warm servers, to which any attempt
/// may go, would get nearly all of the load.
const SLOW_START_FACTOR: f64 = 0.3;
/// The least weight of a server.
const LEAST_WEIGHT: f64 = 1e-3;

impl Engine {
    /// The server with the least expected cost among those that may be sent an attempt.
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
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, server_id.clone()));
            }
        }
        best.map(|(_, server_id)| server_id)
    }

    /// Expected latency at a server, weighted with how often it fails, its zone and its size.
    fn cost(
        &self,
        now: Micros,
        server: &Server,
        class: usize,
        mean_latency: f64,
        random: f64,
    ) -> f64 {
        let lifetime = self.servers.judgement_lifetime;
        let crosses_zones = f64::from(u8::from(server.zone != self.settings.zone));
        let cross_zone = 1.0 + crosses_zones * CROSS_ZONE_FACTOR * self.settings.prices.cross_zone;
        let weight = if self.settings.server_weights {
            server.weight.max(LEAST_WEIGHT)
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
