//! A client of a quota counter: calls are pipelined on a few kept connections.

mod connection;
pub mod http;
pub mod redis;
mod writer;

use crate::counter::writer::{CallWriter, Command};
use crate::decision::Outcome;
use crate::threads::spawn;
use crossbeam_channel::{unbounded, Sender};
use slog::Logger;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Connections to the counter. All calls of one counter name use the same connection, so its replies arrive in the
/// order of its calls.
const CONNECTIONS: usize = 4;

/// Receives the end of a call: its number, its outcome, and the total after it (0 unless the outcome is `Ok`).
pub type Counted = Arc<dyn Fn(u64, Outcome, f64) + Send + Sync>;

/// Encodes calls of a counter and decodes its replies.
pub trait CounterProtocol: Send + Sync + 'static {
    /// Encodes a call for the counter at this address.
    fn encode(&self, addition: &Addition, to: SocketAddr) -> Vec<u8>;

    /// Reads replies and passes the outcome and the total of each to `on_reply`.
    ///
    /// Returns when `on_reply` returns false, when the connection ends, or after a reply that can't be decoded: what
    /// follows such a reply can't be matched to calls.
    fn read(&self, from: &TcpStream, on_reply: &mut dyn FnMut(Outcome, f64) -> bool);
}

/// One call: adds an amount to a counter.
pub struct Addition {
    /// Number of the call, returned with its result.
    pub call_number: u64,
    /// Name of the counter.
    pub counter: u64,
    /// Amount to add, in units; negative to return units.
    pub amount: f64,
    /// Lifetime of the counter, if this call creates it.
    pub ttl: Duration,
}

/// A decoded reply to one call.
struct CallReply {
    outcome: Outcome,
    /// The total after the addition; 0 unless the outcome is `Ok`.
    total: f64,
}

impl CallReply {
    /// The amount was added.
    fn added(total: f64) -> Self {
        Self {
            outcome: Outcome::Ok,
            total,
        }
    }

    /// The counter is overloaded; nothing was added.
    fn rejected() -> Self {
        Self::without_total(Outcome::Rejected)
    }

    /// The counter refused the call; nothing was added.
    fn not_added() -> Self {
        Self::without_total(Outcome::ConnectFailed)
    }

    /// The amount may have been added, but the total is unknown.
    fn in_doubt() -> Self {
        Self::without_total(Outcome::Timeout)
    }

    fn without_total(outcome: Outcome) -> Self {
        Self {
            outcome,
            total: 0.0,
        }
    }

    fn is_in_doubt(&self) -> bool {
        self.outcome == Outcome::Timeout
    }
}

/// A client of one counter.
#[derive(Clone)]
pub struct CounterClient {
    writers: Vec<Sender<Command>>,
}

impl CounterClient {
    /// Starts one writer thread a connection.
    ///
    /// `wait` is the timeout of a call; connect and write timeouts are derived from it.
    ///
    /// # Errors
    ///
    /// If a thread can't be started.
    pub fn start(
        at: SocketAddr,
        wait: Duration,
        protocol: impl CounterProtocol,
        counted: Counted,
        log: &Logger,
    ) -> io::Result<Self> {
        let protocol: Arc<dyn CounterProtocol> = Arc::new(protocol);
        let mut writers = Vec::with_capacity(CONNECTIONS);
        for _ in 0..CONNECTIONS {
            let (sender, commands) = unbounded();
            let writer = CallWriter::new(at, wait, protocol.clone(), counted.clone(), log.clone());
            spawn("counter-write", move || writer.run(&commands))?;
            writers.push(sender);
        }
        Ok(Self { writers })
    }

    /// Starts a call. Its result is passed to the callback later, perhaps after the core stopped waiting for it.
    pub fn add(&self, addition: Addition) {
        let writer = &self.writers[addition.counter as usize % CONNECTIONS];
        // A writer thread runs until the process ends, so the channel is open.
        _ = writer.send(Command::Add(addition));
    }

    /// Sends further calls to another address; replies pending from the old one are still read.
    pub fn move_to(&self, at: SocketAddr) {
        for writer in &self.writers {
            _ = writer.send(Command::ChangeAddress(at));
        }
    }
}
