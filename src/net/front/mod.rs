//! A front: connections of agents, and answers in the order of what was asked.
//!
//! Each connection has a thread that reads and, while there are answers to be written, one that writes. They are written
//! in the order of the commands, and a slow or broken agent holds up its own connection alone. What the connections speak is a [`ClientProtocol`].
//!
//! One more thread watches over all connections: what never completes a command, or is held for good after its
//! last answer, is closed, and whoever sends what can't be read is not kept waiting behind an answer.

mod accept;
mod connection;
mod hand_over;
mod protocol;
mod reader;
mod session;
mod watchdog;
mod writer;

pub use hand_over::ConnectionHandOver;
pub use protocol::{ClientProtocol, CloseReason, Reply, ReplySlot};
pub use session::Session;

use super::interruptible::ReadInterrupt;
use super::wiring::Queue;
use super::{lock, spawn};
use crate::figures::Figures;
use crate::limiter::Input;
use crate::log_throttle::LogThrottle;
use connection::Link;
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
    most: AtomicUsize,
    /// Connections can be handed over; ends the waiting of their readers.
    wake: Option<ReadInterrupt>,
    /// Where to, while they are.
    pass: Mutex<Option<ConnectionHandOver>>,
    /// No connection is accepted.
    paused: Mutex<bool>,
    unpaused: Condvar,
    queue: Queue<P::Upstream>,
    figures: Arc<Figures>,
    ready: AtomicBool,
    closing: AtomicBool,
    numbers: AtomicU64,
    links: Mutex<HashMap<u64, Arc<Link<P>>>>,
    /// A connection has ended.
    freed: Condvar,
    /// There is a connection to watch over.
    opened: Condvar,
    log: Logger,
    complaints: LogThrottle,
    full: LogThrottle,
}

impl<P: ClientProtocol> Front<P> {
    /// A front for at most so many connections.
    pub fn new(
        protocol: P,
        most: usize,
        wake: Option<ReadInterrupt>,
        queue: Queue<P::Upstream>,
        figures: Arc<Figures>,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            protocol,
            most: AtomicUsize::new(most),
            wake,
            pass: Mutex::default(),
            paused: Mutex::default(),
            unpaused: Condvar::new(),
            queue,
            figures,
            ready: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            numbers: AtomicU64::new(0),
            links: Mutex::default(),
            freed: Condvar::new(),
            opened: Condvar::new(),
            log,
            complaints: LogThrottle::default(),
            full: LogThrottle::default(),
        })
    }

    /// Starts to take connections.
    pub fn listen(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        let front = self.clone();
        spawn("agents", move || front.accept(&listener))?;
        let front = self.clone();
        spawn("agents-watch", move || front.watch())
    }

    /// Takes connections, or none for now: they wait for whoever else accepts from the listener.
    pub fn set_accepting(&self, goes_on: bool) {
        *lock(&self.paused) = !goes_on;
        self.unpaused.notify_all();
    }

    /// From now on so many connections at most.
    pub fn set_max_connections(&self, most: usize) {
        self.most.store(most, Ordering::Relaxed);
    }

    /// No connection is left.
    pub fn is_empty(&self) -> bool {
        lock(&self.links).is_empty()
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
            lock(&self.links).values().for_each(|link| link.close_if_idle());
        }
    }

    /// Connections are to be closed once they owe nothing, and not handed over.
    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst) && lock(&self.pass).is_none()
    }

    /// Some agent is in the middle of a command.
    pub fn has_partial_command(&self) -> bool {
        lock(&self.links).values().any(|link| lock(&link.state).is_coming())
    }

    /// Waits until every connection has ended, or for so long.
    pub fn wait_closed(&self, most: Duration) {
        let links = lock(&self.links);
        _ = self.freed.wait_timeout_while(links, most, |links| !links.is_empty());
    }

    /// Closes a connection, and lets another take its place.
    fn end(&self, number: u64, link: &Link<P>) {
        self.left(link);
        link.close();
        lock(&self.links).remove(&number);
        self.freed.notify_all();
    }

    /// The agent has gone away: nobody waits for what is still open.
    fn left(&self, link: &Link<P>) {
        let mut state = lock(&link.state);
        state.closed = true;
        let left = std::mem::take(&mut state.waiting);
        drop(state);
        self.tell_left(left);
    }

    /// All at once: told one after another, a request that waits would be sent on in the place of the one before it.
    fn tell_left(&self, left: Vec<u64>) {
        if !left.is_empty() {
            _ = self.queue.send(Input::Left(left));
        }
    }
}
