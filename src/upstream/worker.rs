//! Runs one attempt or health check on its own thread.

use super::connection::{Connection, ConnectionSlot, IdleConnection};
use super::event::UpstreamEvent;
use super::pool::Shared;
use super::protocol::{ClientPresence, Exchange, UpstreamProtocol};
use super::running_attempt::RunningAttempt;
use super::servers::{ServerProcess, ServerTable};
use crate::core::{AttemptDeadlines, AttemptId};
use crate::decision::{Outcome, ServerId};
use crate::threads::lock;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The job of a worker.
pub(super) enum Job<C> {
    Attempt(Attempt<C>),
    HealthCheck,
}

/// An attempt to be written to its server.
pub(super) struct Attempt<C> {
    pub(super) id: AttemptId,
    pub(super) call: Arc<C>,
    pub(super) deadlines: AttemptDeadlines,
    pub(super) running: Arc<RunningAttempt>,
    pub(super) client: Arc<dyn ClientPresence>,
}

/// The connection for a job.
pub(super) enum AcquiredConnection {
    /// An idle connection, which may have to wait before it can be reused.
    Idle(IdleConnection),
    /// A connection that is yet to be opened and is already counted as open.
    New(ConnectionSlot),
}

/// Runs one job.
pub(super) struct Worker<S: UpstreamProtocol> {
    server: ServerId,
    process: ServerProcess,
    /// The connection in use. Counted as open until the end of the job was reported.
    connection: Option<Arc<Connection>>,
    shared: Arc<Shared<S>>,
}

impl<S: UpstreamProtocol> Worker<S> {
    /// Returns a worker for a job at this server.
    pub(super) fn new(server: ServerId, process: ServerProcess, shared: Arc<Shared<S>>) -> Self {
        Self {
            server,
            process,
            connection: None,
            shared,
        }
    }

    /// Runs a job and reports its result.
    pub(super) fn run(self, acquired: AcquiredConnection, job: Job<S::Call>) {
        match job {
            Job::Attempt(attempt) => self.run_attempt(acquired, &attempt),
            Job::HealthCheck => self.run_health_check(acquired),
        }
    }

    fn run_attempt(mut self, acquired: AcquiredConnection, attempt: &Attempt<S::Call>) {
        let exchange = self.exchange(acquired, attempt);
        {
            let mut table = lock(&self.shared.table);
            // A cancelled attempt has been removed from the running ones, and its connection was
            // closed.
            let was_running = table.running.remove(&attempt.id).is_some();
            self.release_connection(&mut table, was_running && exchange.reusable);
        }
        (self.shared.events)(UpstreamEvent::AttemptEnded {
            attempt: attempt.id,
            outcome: exchange.outcome,
            load: exchange.load,
            value: exchange.value,
        });
    }

    fn run_health_check(mut self, acquired: AcquiredConnection) {
        let started = Instant::now();
        let exchange = self.health_check(acquired);
        self.release_connection(&mut lock(&self.shared.table), exchange.reusable);
        (self.shared.events)(UpstreamEvent::HealthChecked {
            server: self.server.clone(),
            outcome: exchange.outcome,
            latency: started.elapsed(),
            load: exchange.load,
        });
    }

    /// Adds the connection to the idle ones if it can be reused.
    fn release_connection(&self, table: &mut ServerTable, reusable: bool) {
        if let Some(connection) = self.connection.clone().filter(|_| reusable) {
            table.add_idle(&self.server, self.process, connection);
        }
    }

    /// Connects to the server, writes an attempt and reads the response.
    fn exchange(
        &mut self,
        acquired: AcquiredConnection,
        attempt: &Attempt<S::Call>,
    ) -> Exchange<S::Value> {
        let Ok(connection) = self.connect(acquired) else {
            return Exchange::failed(Outcome::ConnectFailed);
        };
        // Guards against an attempt that begins after its client has disconnected: the reader of
        // the client may be paused, or the event of the disconnect may wait in a queue. The outcome
        // must not count against the server. Nothing was written, so the connection can be reused.
        if attempt.client.has_disconnected() {
            return Exchange {
                reusable: true,
                ..Exchange::failed(Outcome::Superseded)
            };
        }
        let writing = attempt
            .running
            .begin_writing(&connection, attempt.deadlines.write);
        if let Err(outcome) = writing {
            return Exchange::failed(outcome);
        }
        self.send_and_receive(&connection, attempt)
    }

    fn send_and_receive(
        &self,
        connection: &Arc<Connection>,
        attempt: &Attempt<S::Call>,
    ) -> Exchange<S::Value> {
        let time_left = attempt
            .deadlines
            .answer
            .saturating_duration_since(Instant::now());
        let protocol = &self.shared.protocol;
        if protocol
            .write(&attempt.call, &connection.stream, time_left)
            .is_err()
        {
            return Exchange::failed(Outcome::ConnectFailed);
        }
        self.shared.metrics.count_attempt();
        let report_start = |value| {
            (self.shared.events)(UpstreamEvent::ResponseStarted {
                attempt: attempt.id,
                value,
            });
        };
        protocol.read(
            &attempt.call,
            connection,
            &self.shared.memory,
            &report_start,
        )
    }

    /// Checks the health of the server. Reads and writes have a time-out, because the core, which
    /// ends attempts at their deadline, does not end health checks.
    fn health_check(&mut self, acquired: AcquiredConnection) -> Exchange<S::Value> {
        let Ok(connection) = self.connect(acquired) else {
            return Exchange::failed(Outcome::ConnectFailed);
        };
        let stream = &connection.stream;
        if set_timeouts(stream, Some(self.shared.settings.connect_timeout)).is_err() {
            return Exchange::failed(Outcome::ConnectFailed);
        }
        let exchange = self.shared.protocol.check_health(stream);
        Exchange {
            reusable: exchange.reusable && set_timeouts(stream, None).is_ok(),
            ..exchange
        }
    }

    /// Returns the acquired idle connection if it can still be reused, otherwise a new one.
    fn connect(&mut self, acquired: AcquiredConnection) -> io::Result<Arc<Connection>> {
        let connection = match acquired {
            AcquiredConnection::New(slot) => self.open(slot)?,
            AcquiredConnection::Idle(idle) => match idle.reuse() {
                Some(connection) => connection,
                None => self.open(self.shared.connections.reserve())?,
            },
        };
        self.connection = Some(connection.clone());
        Ok(connection)
    }

    fn open(&self, slot: ConnectionSlot) -> io::Result<Arc<Connection>> {
        let stream = TcpStream::connect_timeout(
            &self.process.address,
            self.shared.settings.connect_timeout,
        )?;
        stream.set_nodelay(true)?;
        Ok(Arc::new(Connection {
            stream,
            _slot: slot,
        }))
    }
}

/// Sets the read and write time-outs of a stream; `None` lets both block indefinitely.
fn set_timeouts(stream: &TcpStream, timeout: Option<Duration>) -> io::Result<()> {
    stream.set_write_timeout(timeout)?;
    stream.set_read_timeout(timeout)
}
