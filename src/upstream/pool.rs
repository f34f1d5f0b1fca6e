//! The pool of upstream connections: starts attempts and health checks, each on a thread, and
//! cancels attempts.

use super::connection::{max_idle_time, ConnectionCount};
use super::event::{UpstreamEvent, UpstreamEventSink};
use super::protocol::{ClientPresence, UpstreamProtocol};
use super::running_attempt::RunningAttempt;
use super::servers::ServerTable;
use super::worker::{AcquiredConnection, Attempt, Job, Worker};
use crate::config::{ConnectionSettings, EndpointUpdate};
use crate::core::{AttemptDeadlines, AttemptId};
use crate::decision::{Outcome, ServerId};
use crate::log_throttle::LogThrottle;
use crate::memory::{MemoryBudget, MemoryHolder, THREAD_BYTES};
use crate::metrics::Metrics;
use crate::threads::{lock, spawn};
use slog::{warn, Logger};
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;

/// Options of a pool of upstream connections.
pub struct UpstreamPoolOptions<S: UpstreamProtocol> {
    /// Time-outs of connections.
    pub connection_settings: ConnectionSettings,
    /// Maximum number of connections to all servers together.
    pub max_connections: usize,
    /// The protocol of the servers.
    pub protocol: S,
    /// Receives the results of attempts and health checks.
    pub events: UpstreamEventSink<S::Value>,
    /// Budget of the memory that the process holds.
    pub memory: Arc<MemoryBudget>,
    /// Counts attempts.
    pub metrics: Arc<Metrics>,
    /// Log for faults of this process.
    pub log: Logger,
}

/// The upstream servers and the connections to them. Clones share both.
pub struct UpstreamPool<S: UpstreamProtocol> {
    shared: Arc<Shared<S>>,
}

impl<S: UpstreamProtocol> Clone for UpstreamPool<S> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

/// State that the pool and its workers share.
pub(super) struct Shared<S: UpstreamProtocol> {
    pub(super) table: Mutex<ServerTable>,
    pub(super) settings: ConnectionSettings,
    max_connections: AtomicUsize,
    pub(super) connections: ConnectionCount,
    pub(super) protocol: S,
    pub(super) events: UpstreamEventSink<S::Value>,
    pub(super) memory: Arc<MemoryBudget>,
    pub(super) metrics: Arc<Metrics>,
    log: Logger,
    /// Limits the rate of log lines about the connection limit.
    connection_limit_throttle: LogThrottle,
    /// Limits the rate of log lines about the memory budget.
    memory_throttle: LogThrottle,
}

impl<S: UpstreamProtocol> Shared<S> {
    fn is_at_limit(&self) -> bool {
        self.connections.get() >= self.max_connections.load(Ordering::Relaxed)
    }

    /// Logs at a limited rate that there is no memory for an attempt.
    fn log_no_memory(&self) {
        if let Some(suppressed) = self.memory_throttle.permit() {
            warn!(self.log, "no memory for an attempt";
                "charged_kib" => self.memory.charged() / 1024, "suppressed" => suppressed);
        }
    }

    /// Logs at a limited rate that no connection can be opened.
    fn log_limit_reached(&self) {
        let Some(suppressed) = self.connection_limit_throttle.permit() else {
            return;
        };
        warn!(self.log, "no file descriptor left for an upstream connection";
            "connections" => self.connections.get(), "suppressed" => suppressed);
    }
}

/// Why a job was not started.
#[derive(Debug, Error)]
enum DispatchError {
    #[error("unknown upstream server")]
    UnknownServer,
    #[error("limit of upstream connections reached")]
    TooManyConnections,
    #[error("no memory for an upstream job")]
    NoMemory,
    #[error("no thread for an upstream job could be started: {0}")]
    NoThread(#[source] io::Error),
}

impl DispatchError {
    /// Returns the outcome of the attempt or health check.
    fn outcome(&self) -> Outcome {
        match self {
            Self::UnknownServer => Outcome::ConnectFailed,
            // Must not count against the server: the attempt never reached it.
            Self::TooManyConnections | Self::NoMemory | Self::NoThread(_) => Outcome::Superseded,
        }
    }
}

impl<S: UpstreamProtocol> UpstreamPool<S> {
    /// Returns a pool without servers.
    pub fn new(options: UpstreamPoolOptions<S>) -> Self {
        let table = ServerTable::new(max_idle_time(options.connection_settings.idle_timeout));
        Self {
            shared: Arc::new(Shared {
                table: Mutex::new(table),
                settings: options.connection_settings,
                max_connections: AtomicUsize::new(options.max_connections),
                connections: ConnectionCount::default(),
                protocol: options.protocol,
                events: options.events,
                memory: options.memory,
                metrics: options.metrics,
                log: options.log,
                connection_limit_throttle: LogThrottle::default(),
                memory_throttle: LogThrottle::default(),
            }),
        }
    }

    /// Sets the maximum number of connections, and closes idle ones above it.
    pub fn set_max_connections(&self, max_connections: usize) {
        let shared = &self.shared;
        shared
            .max_connections
            .store(max_connections, Ordering::Relaxed);
        let mut table = lock(&shared.table);
        let excess = shared.connections.get().saturating_sub(max_connections);
        for _ in 0..excess {
            if !table.close_oldest_idle() {
                break;
            }
        }
    }

    /// Applies an update of the endpoint list. A server that was removed or is absent from a full
    /// list loses its idle connections.
    pub fn update(&self, update: &EndpointUpdate) {
        lock(&self.shared.table).update(update);
    }

    /// Starts an attempt on an idle connection, or on a new one if none is idle. Its end is
    /// reported as [`UpstreamEvent::AttemptEnded`], even after it was cancelled.
    pub fn start(
        &self,
        attempt: AttemptId,
        server: &ServerId,
        call: Arc<S::Call>,
        deadlines: AttemptDeadlines,
        client: Arc<dyn ClientPresence>,
    ) {
        let running = Arc::new(RunningAttempt::new(server.clone()));
        lock(&self.shared.table)
            .running
            .insert(attempt, running.clone());
        let job = Job::Attempt(Attempt {
            id: attempt,
            call,
            deadlines,
            running,
            client,
        });
        if let Err(error) = self.dispatch(server, job) {
            lock(&self.shared.table).running.remove(&attempt);
            (self.shared.events)(UpstreamEvent::AttemptEnded {
                attempt,
                outcome: error.outcome(),
                load: Vec::new(),
                value: None,
            });
        }
    }

    /// Cancels an attempt by closing its connection, which tells the server. Returns false if
    /// nothing of it was written, so that the request can't have run.
    pub fn cancel(&self, attempt: AttemptId) -> bool {
        let removed = lock(&self.shared.table).running.remove(&attempt);
        removed.is_none_or(|running| running.cancel())
    }

    /// Cancels an attempt if nothing of it has been written yet. Returns whether it was cancelled.
    pub fn withdraw(&self, attempt: AttemptId) -> bool {
        let mut table = lock(&self.shared.table);
        let withdrawn = table
            .running
            .get(&attempt)
            .is_some_and(|running| running.withdraw());
        if withdrawn {
            table.running.remove(&attempt);
        }
        withdrawn
    }

    /// Prevents attempts at a server from being written if they still wait for their connections.
    pub fn block_server(&self, server: &ServerId) {
        let table = lock(&self.shared.table);
        for running in table.running.values() {
            if running.server() == server {
                running.block();
            }
        }
    }

    /// Starts a health check of a server, which also reads its load report. The result is reported
    /// as [`UpstreamEvent::HealthChecked`].
    pub fn check_health(&self, server: &ServerId) {
        if let Err(error) = self.dispatch(server, Job::HealthCheck) {
            (self.shared.events)(UpstreamEvent::HealthChecked {
                server: server.clone(),
                outcome: error.outcome(),
                latency: Duration::ZERO,
                load: Vec::new(),
            });
        }
    }

    /// Reserves a connection for a job and runs the job on a thread.
    fn dispatch(&self, server: &ServerId, job: Job<S::Call>) -> Result<(), DispatchError> {
        let shared = &self.shared;
        let Some(charge) = shared
            .memory
            .try_charge(MemoryHolder::Attempt, THREAD_BYTES)
        else {
            shared.log_no_memory();
            return Err(DispatchError::NoMemory);
        };
        let mut table = lock(&shared.table);
        let process = table.process(server).ok_or(DispatchError::UnknownServer)?;
        let acquired = match table.take_idle(server) {
            Some(idle) => AcquiredConnection::Idle(idle),
            None => {
                if shared.is_at_limit() && !table.close_oldest_idle() {
                    shared.log_limit_reached();
                    return Err(DispatchError::TooManyConnections);
                }
                AcquiredConnection::New(shared.connections.reserve())
            }
        };
        drop(table);
        let worker = Worker::new(server.clone(), process, shared.clone());
        let work = move || {
            let _charge = charge;
            worker.run(acquired, job);
        };
        spawn("attempt", work).map_err(|error| {
            warn!(shared.log, "no thread for an attempt"; "error" => %error);
            DispatchError::NoThread(error)
        })
    }
}
