//! The protocol of upstream servers, and the presence of the client that an attempt is made for.

use super::connection::Connection;
use crate::decision::Outcome;
use crate::memory::MemoryBudget;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// A protocol of upstream servers: how attempts are written and responses are read.
pub trait UpstreamProtocol: Send + Sync + Sized + 'static {
    /// A request in the form that is forwarded.
    type Call: Send + Sync + 'static;
    /// The value in the response of an upstream server.
    type Value: Send + 'static;
    /// Writes a request, which includes `time_left`, the time that the limiter still waits for the
    /// response.
    ///
    /// # Errors
    /// If the request was not written completely.
    fn write(&self, call: &Self::Call, to: &TcpStream, time_left: Duration) -> io::Result<()>;
    /// Reads the response to a request that was written. A value that is longer than a buffer, or
    /// for which `memory` has no room, is passed to `on_value_start` when its first bytes are
    /// received; it is complete or cut off when this method returns.
    fn read(
        &self,
        call: &Self::Call,
        from: &Arc<Connection>,
        memory: &Arc<MemoryBudget>,
        on_value_start: &dyn Fn(Self::Value),
    ) -> Exchange<Self::Value>;
    /// Checks the health of the server and reads its load report.
    fn check_health(&self, stream: &TcpStream) -> Exchange<Self::Value>;
}

/// Result of a request and its response on a connection.
pub struct Exchange<V> {
    /// How the exchange ended.
    pub outcome: Outcome,
    /// Load report of the server; empty if it sent none.
    pub load: Vec<f64>,
    /// The value that the server sent, if any.
    pub value: Option<V>,
    /// Whether the connection can be reused, which requires a complete response.
    pub reusable: bool,
}

impl<V> Exchange<V> {
    /// Returns an exchange that failed without a response and whose connection can't be reused.
    pub fn failed(outcome: Outcome) -> Self {
        Self {
            outcome,
            load: Vec::new(),
            value: None,
            reusable: false,
        }
    }
}

/// The client that an attempt is made for.
pub trait ClientPresence: Send + Sync {
    /// Whether the client has closed its connection. Checks the socket itself, without waiting for
    /// the thread that reads from it.
    fn has_disconnected(&self) -> bool;
}
