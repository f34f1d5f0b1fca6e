//! The known upstream servers, their idle connections and the running attempts.

use super::connection::{Connection, IdleConnection};
use super::running_attempt::RunningAttempt;
use crate::config::EndpointUpdate;
use crate::core::AttemptId;
use crate::decision::{Micros, Readiness, ServerId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Minimum time between two sweeps of the idle connections of all servers.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 32;

/// The upstream servers, their idle connections and the running attempts; shared behind a mutex.
pub(super) struct ServerTable {
    servers: HashMap<ServerId, Server>,
    /// Attempts that have neither ended nor been cancelled.
    pub(super) running: HashMap<AttemptId, Arc<RunningAttempt>>,
    /// Connections that have been idle for longer are closed.
    max_idle_time: Duration,
    last_sweep: Instant,
}

/// One process of an upstream server. A server that has moved or started anew is another one, which
/// knows nothing of the connections to the one before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ServerProcess {
    pub(super) address: SocketAddr,
    /// Start time as service discovery lists it, in microseconds.
    started_at: Micros,
}

struct Server {
    process: ServerProcess,
    /// Idle connections, in the order in which they became idle.
    idle: Vec<IdleConnection>,
}

impl Server {
    fn new(process: ServerProcess) -> Self {
        Self {
            process,
            idle: Vec::new(),
        }
    }

    fn close_expired(&mut self, max_idle_time: Duration) {
        self.idle
            .retain(|idle| idle.since().elapsed() < max_idle_time);
    }
}

impl ServerTable {
    /// Returns a table without servers.
    pub(super) fn new(max_idle_time: Duration) -> Self {
        Self {
            servers: HashMap::new(),
            running: HashMap::new(),
            max_idle_time,
            last_sweep: Instant::now(),
        }
    }

    /// Applies an update of the endpoint list. A server that was removed or is absent from a full
    /// list loses its idle connections.
    pub(super) fn update(&mut self, update: &EndpointUpdate) {
        if update.is_snapshot {
            self.servers.retain(|id, _| {
                update
                    .endpoints
                    .iter()
                    .any(|(endpoint, _)| endpoint.id == *id)
            });
        }
        for (endpoint, address) in &update.endpoints {
            if endpoint.readiness == Readiness::Removed {
                self.servers.remove(&endpoint.id);
                continue;
            }
            let process = ServerProcess {
                address: *address,
                started_at: endpoint.started_at,
            };
            let server = self
                .servers
                .entry(endpoint.id.clone())
                .or_insert_with(|| Server::new(process));
            if server.process != process {
                *server = Server::new(process);
            }
        }
    }

    /// Returns the process of a server; none if the server is unknown.
    pub(super) fn process(&self, id: &ServerId) -> Option<ServerProcess> {
        self.servers.get(id).map(|server| server.process)
    }

    /// Takes an idle connection to a server. Prefers, of those that can be reused at once, the most
    /// recently used one, so that the others can expire; if there is none, takes the one that can
    /// be reused soonest.
    pub(super) fn take_idle(&mut self, id: &ServerId) -> Option<IdleConnection> {
        let server = self.servers.get_mut(id)?;
        server.close_expired(self.max_idle_time);
        if server.idle.is_empty() {
            return None;
        }
        let reusable = server
            .idle
            .iter()
            .rposition(IdleConnection::is_reusable_now);
        Some(server.idle.remove(reusable.unwrap_or(0)))
    }

    /// Closes the connection that has been idle for longest. Returns false if no connection is
    /// idle.
    pub(super) fn close_oldest_idle(&mut self) -> bool {
        let with_idle = self
            .servers
            .values_mut()
            .filter(|server| !server.idle.is_empty());
        let Some(server) = with_idle.min_by_key(|server| server.idle[0].since()) else {
            return false;
        };
        server.idle.remove(0);
        true
    }

    /// Adds a connection to the idle ones of its server, unless the server is another process by now
    /// or has [`MAX_IDLE_PER_SERVER`] already. A connection that is not added is
    /// closed.
    pub(super) fn add_idle(
        &mut self,
        id: &ServerId,
        process: ServerProcess,
        connection: Arc<Connection>,
    ) {
        self.sweep();
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        if server.process == process && server.idle.len() < MAX_IDLE_PER_SERVER {
            server.idle.push(IdleConnection::new(connection));
        }
    }

    /// Closes connections of all servers that have been idle for too long, at most once per
    /// [`SWEEP_INTERVAL`]: the servers close them on their side.
    fn sweep(&mut self) {
        if self.last_sweep.elapsed() < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = Instant::now();
        for server in self.servers.values_mut() {
            server.close_expired(self.max_idle_time);
        }
    }
}
