//! The front: accepts connections of clients and writes replies in the order of the commands.
//!
//! Each connection has a thread that reads and, while replies can be written, one that writes, so
//! that a slow or failed client delays only its own connection. A [`ClientProtocol`] reads commands
//! and writes replies.
//!
//! One more thread, the watchdog, closes connections that send an incomplete command or no command
//! within a timeout.

mod accept;
pub mod accept_delay;
mod connection;
mod event;
mod hand_over;
pub mod interruptible;
mod protocol;
mod reader;
mod reply_queue;
mod request_memory;
mod session;
mod socket_state;
mod watchdog;
mod writer;

pub use event::{ClientEvent, ClientEventSink, ClientRequest, Undelivered};
pub use hand_over::ConnectionHandOver;
pub use protocol::{ClientProtocol, CloseReason, DirectReply, ReplySlot};
pub use session::{ReplyReservation, Session};

use crate::client::interruptible::ReadInterrupt;
use crate::core::QueuePermits;
use crate::log_throttle::LogThrottle;
use crate::memory::{MemoryBudget, MemoryLimits, OtherProcess};
use crate::metrics::Metrics;
use crate::threads::{lock, spawn};
use connection::ClientConnection;
use request_memory::RequestMemory;
use slog::Logger;
use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Number of requests that clients which send many at once may have in the core's queue, together.
const QUEUE_PERMITS: usize = 16;
/// Interval at which pending replies are checked when the limiter is about to exit.
const REPLIES_SENT_POLL: Duration = Duration::from_millis(20);

/// Options of a new [`ClientListener`].
pub struct ClientListenerOptions<P: ClientProtocol> {
    /// The protocol of the clients.
    pub protocol: P,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Interrupts readers for a hand-over; none if connections are never handed over.
    pub read_interrupt: Option<ReadInterrupt>,
    /// Budget of the memory that the process holds.
    pub memory: Arc<MemoryBudget>,
    /// How the memory limit is divided.
    pub memory_limits: MemoryLimits,
    /// Maximum number of requests that may be open at once.
    pub max_open_requests: usize,
    /// Retry-After of requests that do not fit in the budget; zero if clients get none.
    pub retry_after_when_full: Duration,
    /// Receives the requests and the disconnects of clients.
    pub events: ClientEventSink<P>,
    /// Counts requests.
    pub metrics: Arc<Metrics>,
    /// Log for malformed commands and reached limits.
    pub log: Logger,
}

/// Serves the clients of a limiter.
pub struct ClientListener<P: ClientProtocol> {
    protocol: P,
    max_connections: AtomicUsize,
    /// Interrupts readers for a hand-over; none if connections are never handed over.
    read_interrupt: Option<ReadInterrupt>,
    /// Hands a connection over; none while no hand-over runs.
    hand_over_to: Mutex<Option<ConnectionHandOver>>,
    /// Whether accepting is paused.
    accept_paused: Mutex<bool>,
    /// Notified when accepting is paused or resumed.
    accept_resumed: Condvar,
    memory: Arc<MemoryBudget>,
    memory_limits: MemoryLimits,
    request_memory: Arc<RequestMemory>,
    /// Permits for the core's queue.
    queue_permits: Arc<QueuePermits>,
    /// See [`ClientListenerOptions::retry_after_when_full`].
    retry_after_when_full: Duration,
    events: ClientEventSink<P>,
    metrics: Arc<Metrics>,
    /// Whether the limiter has an endpoint list.
    ready: AtomicBool,
    /// Whether the limiter is stopping: connections are closed once no reply is pending on them.
    closing: AtomicBool,
    /// The next number of a connection or request.
    next_number: AtomicU64,
    /// The open connections, by number.
    connections: Mutex<HashMap<u64, Arc<ClientConnection<P>>>>,
    /// When no connection could be evicted, if that was so at the last attempt.
    all_busy_at: Mutex<Option<Instant>>,
    /// Notified when a connection was closed.
    connection_ended: Condvar,
    /// Notified when a connection was opened, for the watchdog.
    connection_opened: Condvar,
    log: Logger,
    /// Limits the rate of log lines about malformed commands.
    malformed_throttle: LogThrottle,
    /// Limits the rate of log lines about the connection limit.
    connection_limit_throttle: LogThrottle,
    /// Limits the rate of log lines about evicted connections.
    eviction_throttle: LogThrottle,
    /// Limits the rate of log lines about readers that could not be started.
    reader_throttle: LogThrottle,
    /// Limits the rate of log lines about the memory of the process.
    resident_memory_throttle: LogThrottle,
    /// Limits the rate of log lines about the memory budget.
    memory_throttle: LogThrottle,
    /// Limits the rate of log lines about connections with too many open requests.
    open_requests_throttle: LogThrottle,
}

impl<P: ClientProtocol> ClientListener<P> {
    /// Returns a front without connections, which does not accept any yet.
    pub fn new(options: ClientListenerOptions<P>) -> Arc<Self> {
        Arc::new(Self {
            protocol: options.protocol,
            max_connections: AtomicUsize::new(options.max_connections),
            read_interrupt: options.read_interrupt,
            hand_over_to: Mutex::default(),
            accept_paused: Mutex::default(),
            accept_resumed: Condvar::new(),
            request_memory: RequestMemory::new(
                options.memory.clone(),
                options.memory_limits.requests,
                options.max_open_requests,
            ),
            queue_permits: QueuePermits::new(QUEUE_PERMITS),
            memory: options.memory,
            memory_limits: options.memory_limits,
            retry_after_when_full: options.retry_after_when_full,
            events: options.events,
            metrics: options.metrics,
            ready: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            next_number: AtomicU64::new(0),
            connections: Mutex::default(),
            all_busy_at: Mutex::default(),
            connection_ended: Condvar::new(),
            connection_opened: Condvar::new(),
            log: options.log,
            malformed_throttle: LogThrottle::default(),
            connection_limit_throttle: LogThrottle::default(),
            eviction_throttle: LogThrottle::default(),
            reader_throttle: LogThrottle::default(),
            resident_memory_throttle: LogThrottle::default(),
            memory_throttle: LogThrottle::default(),
            open_requests_throttle: LogThrottle::default(),
        })
    }

    /// Starts the thread that accepts connections and the watchdog thread.
    ///
    /// # Errors
    ///
    /// If a thread can't be started.
    pub fn listen(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        let front = self.clone();
        spawn("clients", move || front.run_accept_loop(&listener))?;
        let front = self.clone();
        spawn("clients-watch", move || front.run_watchdog())
    }

    /// Resumes or pauses accepting. While it is paused, new connections wait until another process
    /// accepts them from the listener.
    pub fn set_accepting(&self, accepts: bool) {
        *lock(&self.accept_paused) = !accepts;
        self.accept_resumed.notify_all();
    }

    /// Sets the maximum number of connections.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections
            .store(max_connections, Ordering::Relaxed);
    }

    /// Sets the other process of this limiter that holds requests too, as during an upgrade, if there
    /// is one.
    pub fn set_other_process(&self, other: Option<OtherProcess>) {
        self.memory.set_other_process(other);
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        lock(&self.connections).is_empty()
    }

    /// Records that the limiter has an endpoint list. From now on clients that ask whether it is
    /// ready get a positive reply.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Relaxed);
    }

    /// Whether the limiter has an endpoint list.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Closes each connection once no reply is pending on it, except while connections are handed
    /// over.
    pub fn close_idle(&self) {
        self.closing.store(true, Ordering::SeqCst);
        self.close_if_closing();
    }

    /// If connections are to be closed, closes those on which no reply is pending and no command is
    /// expected soon.
    fn close_if_closing(&self) {
        if self.is_closing() {
            for connection in lock(&self.connections).values() {
                connection.close_unless_busy();
            }
        }
    }

    /// Whether connections are to be closed once no reply is pending on them, rather than handed
    /// over.
    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst) && lock(&self.hand_over_to).is_none()
    }

    /// Whether a command may be received soon on any connection.
    pub fn may_receive_command_soon(&self) -> bool {
        lock(&self.connections)
            .values()
            .any(|connection| lock(&connection.state).may_receive_command_soon())
    }

    /// Waits for at most `timeout` until every connection is closed.
    pub fn wait_closed(&self, timeout: Duration) {
        let connections = lock(&self.connections);
        _ = self
            .connection_ended
            .wait_timeout_while(connections, timeout, |connections| !connections.is_empty());
    }

    /// Waits until no reply is pending on any connection and all are sent, while clients read their
    /// replies. Timeouts end the connections of those that do not.
    pub fn wait_replies_sent(&self) {
        let mut connections = lock(&self.connections);
        let has_replies = |connection: &Arc<ClientConnection<P>>| {
            lock(&connection.state).has_replies_to_write() || connection.has_unsent_reply()
        };
        while connections.values().any(has_replies) {
            connections = self
                .connection_ended
                .wait_timeout(connections, REPLIES_SENT_POLL)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Reports the open requests of a connection as abandoned, closes the connection and removes
    /// it.
    fn close_connection(&self, number: u64, connection: &ClientConnection<P>) {
        self.abandon_requests(connection);
        connection.close();
        lock(&self.connections).remove(&number);
        self.connection_ended.notify_all();
    }

    /// Reports the open requests of a connection as abandoned. Further commands are ignored.
    fn abandon_requests(&self, connection: &ClientConnection<P>) {
        let mut state = lock(&connection.state);
        state.closed = true;
        let abandoned = std::mem::take(&mut state.open_requests);
        drop(state);
        self.report_abandoned(abandoned);
    }

    /// Reports abandoned requests in a single event. With one event for each, the core would
    /// forward a queued request in place of the first abandoned one, although the next event may
    /// abandon that queued request too.
    fn report_abandoned(&self, numbers: Vec<u64>) {
        if !numbers.is_empty() {
            _ = (self.events)(ClientEvent::Disconnected(numbers));
        }
    }
}
