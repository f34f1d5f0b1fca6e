//! The protocol that upstream servers speak, and what it needs to know of a client.

use super::connection::Connection;
use crate::decision::Outcome;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// A protocol that upstream servers speak: how attempts are written and their responses read.
pub trait UpstreamProtocol: Send + Sync + Sized + 'static {
    /// A request as it is forwarded.
    type Call: Send + Sync + 'static;
    /// What an upstream server serves.
    type Value: Send + 'static;
    /// Writes a whole request, which includes the time `left` that the limiter waits for the response.
    ///
    /// # Errors
    /// The request was not written whole.
    fn write(&self, call: &Self::Call, to: &TcpStream, left: Duration) -> io::Result<()>;
    /// Reads the response to a request that was written. A value that is longer than a buffer is passed to
    /// `begins` at its first bytes, and was received whole or broken off when this returns.
    fn read(
        &self,
        call: &Self::Call,
        from: &Arc<Connection>,
        begins: &dyn Fn(Self::Value),
    ) -> Exchange<Self::Value>;
    /// Checks the health of the server and reads its load report.
    fn check_health(&self, stream: &TcpStream) -> Exchange<Self::Value>;
}

/// Result of an exchange on a connection. The connection is used again only after a whole response.
pub struct Exchange<V> {
    /// How it ended.
    pub outcome: Outcome,
    /// Load report of the server; empty if there was none.
    pub load: Vec<f64>,
    /// What the server served.
    pub value: Option<V>,
    /// The connection can be used again.
    pub reusable: bool,
}

impl<V> Exchange<V> {
    /// An exchange that failed without a response, and whose connection is closed.
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
    /// Whether the client has closed its connection. Asks the connection itself, without waiting for the
    /// thread that reads from it.
    fn has_left(&self) -> bool;
}
