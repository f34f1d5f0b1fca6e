//! A front: accepts connections of clients and writes replies in the order of the commands.
//!
//! Each connection has a thread that reads and, while there are replies to be written, one that writes: a slow or
//! broken client holds up its own connection alone. How commands are read and replies written is a
//! [`ClientProtocol`].
//!
//! One more thread, the watchdog, closes connections on which no command becomes whole or that are held for long
//! after their last reply.

mod accept;
mod connection;
mod event;
mod hand_over;
pub mod interruptible;
mod protocol;
mod reader;
mod session;
mod watchdog;
mod writer;

pub use event::{ClientEvent, ClientEventSink, ClientRequest, Undelivered};
pub use hand_over::ConnectionHandOver;
pub use protocol::{ClientProtocol, CloseReason, Reply, ReplySlot};
pub use session::Session;

use crate::client::interruptible::ReadInterrupt;
use crate::log_throttle::LogThrottle;
use crate::metrics::Metrics;
use crate::threads::{lock, spawn};
use connection::ClientConnection;
use slog::Logger;
use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// A front.
pub struct Front<P: ClientProtocol> {
    protocol: P,
    max_connections: AtomicUsize,
    /// Connections can be handed over; ends the waiting of their readers.
    read_interrupt: Option<ReadInterrupt>,
    /// Where to, while they are.
    hand_over_to: Mutex<Option<ConnectionHandOver>>,
    /// No connection is accepted.
    accept_paused: Mutex<bool>,
    accept_resumed: Condvar,
    events: ClientEventSink<P>,
    figures: Arc<Metrics>,
    ready: AtomicBool,
    closing: AtomicBool,
    next_number: AtomicU64,
    connections: Mutex<HashMap<u64, Arc<ClientConnection<P>>>>,
    /// A connection has ended.
    connection_ended: Condvar,
    /// There is a connection to watch over.
    connection_opened: Condvar,
    log: Logger,
    malformed_log: LogThrottle,
    full_log: LogThrottle,
}

impl<P: ClientProtocol> Front<P> {
    /// A front for at most so many connections.
    pub fn new(
        protocol: P,
        most: usize,
        read_interrupt: Option<ReadInterrupt>,
        events: ClientEventSink<P>,
        figures: Arc<Metrics>,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            protocol,
            max_connections: AtomicUsize::new(most),
            read_interrupt,
            hand_over_to: Mutex::default(),
            accept_paused: Mutex::default(),
            accept_resumed: Condvar::new(),
            events,
            figures,
            ready: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            next_number: AtomicU64::new(0),
            connections: Mutex::default(),
            connection_ended: Condvar::new(),
            connection_opened: Condvar::new(),
            log,
            malformed_log: LogThrottle::default(),
            full_log: LogThrottle::default(),
        })
    }

    /// Starts to take connections.
    pub fn listen(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        let front = self.clone();
        spawn("agents", move || front.run_accept_loop(&listener))?;
        let front = self.clone();
        spawn("agents-watch", move || front.run_watchdog())
    }

    /// Takes connections, or none for now: they wait for whoever else accepts from the listener.
    pub fn set_accepting(&self, goes_on: bool) {
        *lock(&self.accept_paused) = !goes_on;
        self.accept_resumed.notify_all();
    }

    /// From now on so many connections at most.
    pub fn set_max_connections(&self, most: usize) {
        self.max_connections.store(most, Ordering::Relaxed);
    }

    /// No connection is left.
    pub fn is_empty(&self) -> bool {
        lock(&self.connections).is_empty()
    }

    /// From now on the front says that it is ready.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Relaxed);
    }

    /// The limiter knows a node list and takes requests.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Closes every connection that owes nothing, and each other once it has answered; none while they are handed over.
    pub fn close_idle(&self) {
        self.closing.store(true, Ordering::SeqCst);
        self.close_if_closing();
    }

    /// Closes what owes nothing and on which no command is on its way, if all are to be closed.
    fn close_if_closing(&self) {
        if self.is_closing() {
            lock(&self.connections)
                .values()
                .for_each(|connection| connection.close_unless_busy());
        }
    }

    /// Connections are to be closed once they owe nothing, and not handed over.
    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst) && lock(&self.hand_over_to).is_none()
    }

    /// Some agent is in the middle of a command.
    pub fn has_partial_command(&self) -> bool {
        lock(&self.connections)
            .values()
            .any(|connection| lock(&connection.state).command_may_be_coming())
    }

    /// Waits until every connection has ended, or for so long.
    pub fn wait_closed(&self, most: Duration) {
        let connections = lock(&self.connections);
        _ = self
            .connection_ended
            .wait_timeout_while(connections, most, |connections| !connections.is_empty());
    }

    /// Closes a connection, and lets another take its place.
    fn close_connection(&self, number: u64, connection: &ClientConnection<P>) {
        self.abandon_requests(connection);
        connection.close();
        lock(&self.connections).remove(&number);
        self.connection_ended.notify_all();
    }

    /// The agent has gone away: nobody waits for what is still open.
    fn abandon_requests(&self, connection: &ClientConnection<P>) {
        let mut state = lock(&connection.state);
        state.closed = true;
        let left = std::mem::take(&mut state.open_requests);
        drop(state);
        self.report_abandoned(left);
    }

    /// All at once: told one after another, a request that waits would be sent on in the place of the one before it.
    fn report_abandoned(&self, left: Vec<u64>) {
        if !left.is_empty() {
            _ = (self.events)(ClientEvent::Disconnected(left));
        }
    }
}
