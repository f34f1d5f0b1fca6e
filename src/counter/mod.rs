//! A client of a quota counter. Calls are pipelined on a small number of persistent connections.

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

/// Number of connections to the counter. All calls with the same counter name use the same
/// connection, so their replies arrive in the order of the calls.
const CONNECTIONS: usize = 4;

/// Callback that receives the result of a call: the call number, the outcome, and the total after
/// the addition (0 unless the outcome is `Ok`).
pub type CounterReplyHandler = Arc<dyn Fn(u64, Outcome, f64) + Send + Sync>;

/// Encodes calls to a counter and decodes the replies.
pub trait CounterProtocol: Send + Sync + 'static {
    /// Encodes a call to the counter at this address.
    fn encode(&self, addition: &Addition, address: SocketAddr) -> Vec<u8>;

    /// Reads replies from the connection and passes the outcome and the total of each to
    /// `on_reply`.
    ///
    /// Returns when `on_reply` returns false, when the connection ends, or after a reply that can't
    /// be decoded: the bytes after such a reply can't be matched to calls.
    fn read(&self, stream: &TcpStream, on_reply: &mut dyn FnMut(Outcome, f64) -> bool);
}

/// A call that adds an amount to a counter.
pub struct Addition {
    /// Number of the call, which is passed to the callback with the result.
    pub call_number: u64,
    /// Name of the counter, which is a number.
    pub counter: u64,
    /// Amount to add, in units; negative if units are returned.
    pub amount: f64,
    /// Lifetime of the counter if this call creates it.
    pub ttl: Duration,
}

/// A decoded reply to one call.
struct CallReply {
    outcome: Outcome,
    /// The total after the addition; 0 unless the outcome is `Ok`.
    total: f64,
}

impl CallReply {
    /// The reply to a call whose amount was added.
    fn added(total: f64) -> Self {
        Self {
            outcome: Outcome::Ok,
            total,
        }
    }

    /// The reply of an overloaded counter, which added nothing.
    fn rejected() -> Self {
        Self::without_total(Outcome::Rejected)
    }

    /// The reply of a counter that refused the call and added nothing.
    fn not_added() -> Self {
        Self::without_total(Outcome::ConnectFailed)
    }

    /// The reply to a call whose amount may have been added; the total is unknown.
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
    /// Creates a client and starts one writer thread per connection.
    ///
    /// Connect and write timeouts are derived from `call_timeout`, the timeout of a call.
    /// `on_result` receives the result of each call.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started.
    pub fn start(
        address: SocketAddr,
        call_timeout: Duration,
        protocol: impl CounterProtocol,
        on_result: CounterReplyHandler,
        log: &Logger,
    ) -> io::Result<Self> {
        let protocol: Arc<dyn CounterProtocol> = Arc::new(protocol);
        let mut writers = Vec::with_capacity(CONNECTIONS);
        for _ in 0..CONNECTIONS {
            let (sender, commands) = unbounded();
            let writer = CallWriter::new(
                address,
                call_timeout,
                protocol.clone(),
                on_result.clone(),
                log.clone(),
            );
            spawn("counter-write", move || writer.run(&commands))?;
            writers.push(sender);
        }
        Ok(Self { writers })
    }

    /// Starts a call. Its result is passed to the callback later, possibly after the core has
    /// stopped waiting for it.
    pub fn add(&self, addition: Addition) {
        let writer = &self.writers[addition.counter as usize % CONNECTIONS];
        // The send can't fail: a writer thread runs until the process ends, so the channel is open.
        _ = writer.send(Command::Add(addition));
    }

    /// Sends all further calls to another address. Replies that are pending at the old address are
    /// still read.
    pub fn move_to(&self, address: SocketAddr) {
        for writer in &self.writers {
            _ = writer.send(Command::ChangeAddress(address));
        }
    }
}
