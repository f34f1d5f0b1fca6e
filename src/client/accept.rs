//! Accepts new connections, and evicts idle ones to stay within the limit.

use super::accept_delay::AcceptDelay;
use super::connection::{ClientConnection, ConnectionOrigin, ConnectionState, CONNECTION_BYTES};
use super::protocol::ClientProtocol;
use super::socket_state::is_readable;
use super::ClientListener;
use crate::memory::MemoryHolder;
use crate::retrying_stream::PEER_STALL_TIMEOUT;
use crate::threads::lock;
use slog::{info, warn};
use std::collections::HashMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Delay before the next accept after one has failed, for example because file descriptors ran out.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A connection without unanswered commands for this long may be closed to admit a new one.
const EVICTABLE_AFTER: Duration = Duration::from_secs(2);
/// Time between two searches for a connection to evict, while none can be evicted.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// How long a new connection waits for another one to close when none can be evicted.
const CAPACITY_TIMEOUT: Duration = Duration::from_millis(100);

impl<P: ClientProtocol> ClientListener<P> {
    /// Accepts connections until the process ends.
    pub(super) fn run_accept_loop(self: &Arc<Self>, listener: &TcpListener) {
        let mut delay = AcceptDelay::default();
        loop {
            let paused = lock(&self.accept_paused);
            drop(self.accept_resumed.wait_while(paused, |paused| *paused));
            delay.note_waiting(is_readable(listener));
            match listener.accept() {
                Ok((stream, _)) => {
                    let earliest_arrival = delay.accepted(Instant::now());
                    self.start_or_hand_over(stream, earliest_arrival);
                }
                Err(error) => {
                    warn!(self.log, "accept failed"; "error" => %error);
                    thread::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    /// Serves a new connection, or hands it over if a hand-over is running: an accept that began
    /// before the hand-over may return during it. The connection is closed if the limit is reached.
    fn start_or_hand_over(self: &Arc<Self>, stream: TcpStream, earliest_arrival: Instant) {
        let hand_over = lock(&self.hand_over_to).clone();
        let waited = earliest_arrival.elapsed();
        if hand_over.is_some_and(|to| to(&stream, &[], waited))
            || !self.ensure_capacity(earliest_arrival)
        {
            return;
        }
        let origin = ConnectionOrigin::Client;
        if let Err(error) = self.start_connection(stream, earliest_arrival, origin) {
            warn!(self.log, "client connection dropped"; "error" => %error);
        }
    }

    /// Ensures that a new connection fits within the limit and the memory budget, by evicting the first
    /// connection in eviction order if needed. Returns false if none can be evicted within
    /// [`CAPACITY_TIMEOUT`]: the caller then closes the new connection.
    ///
    /// While there is no room for more connections, that time counts from `since`, when the new one may
    /// have been opened, so that those which have waited behind it are closed soon and their clients try
    /// elsewhere. Memory is free again sooner: each connection waits for it.
    ///
    /// Guards against floods of connections that send nothing or an incomplete command: these are
    /// evicted before a client that sends slowly.
    pub(super) fn ensure_capacity(&self, since: Instant) -> bool {
        let began = Instant::now();
        let mut connections = lock(&self.connections);
        while !self.has_room_for_connection(connections.len()) {
            let waits_since = if self.is_at_limit(connections.len()) {
                since
            } else {
                began
            };
            if let Some(rank) = self.evict_first_unless_all_busy(&connections) {
                self.log_evicted(rank, connections.len());
            } else if waits_since.elapsed() >= CAPACITY_TIMEOUT {
                if let Some(suppressed) = self.connection_limit_throttle.permit() {
                    warn!(self.log, "client connection limit reached"; "open" => connections.len(),
                        "charged_kib" => self.memory.charged() / 1024, "suppressed" => suppressed);
                }
                return false;
            }
            connections = self
                .connection_ended
                .wait_timeout(connections, CAPACITY_TIMEOUT)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        true
    }

    /// Evicts the first connection in eviction order that can be closed. Returns its rank, if there is
    /// one. If there was none a moment ago, it does not look again: a look at hundreds of connections for
    /// each of hundreds of new ones would make these wait.
    fn evict_first_unless_all_busy(
        &self,
        connections: &HashMap<u64, Arc<ClientConnection<P>>>,
    ) -> Option<EvictionRank> {
        let mut all_busy_at = lock(&self.all_busy_at);
        if all_busy_at.is_some_and(|at| at.elapsed() < EVICTION_RETRY_INTERVAL) {
            return None;
        }
        let evicted = evict_first(connections);
        *all_busy_at = evicted.is_none().then(Instant::now);
        evicted
    }

    /// Logs at a limited rate that a connection of this rank was evicted while so many are `open`.
    fn log_evicted(&self, rank: EvictionRank, open: usize) {
        if let Some(suppressed) = self.eviction_throttle.permit() {
            info!(self.log, "client connection evicted"; "rank" => ?rank, "open" => open,
                "charged_kib" => self.memory.charged() / 1024,
                "uncharged_kib" => self.memory.uncharged() / 1024, "suppressed" => suppressed);
        }
    }

    /// Whether `open` connections are as many as there may be.
    fn is_at_limit(&self, open: usize) -> bool {
        open >= self.max_connections.load(Ordering::Relaxed)
    }

    /// Whether there is room for one more connection than `open`.
    fn has_room_for_connection(&self, open: usize) -> bool {
        !self.is_at_limit(open)
            && self
                .memory
                .has_room(MemoryHolder::Connection, CONNECTION_BYTES)
    }

    /// Begins to serve a connection, on which bytes may have arrived since `earliest_arrival`.
    pub(super) fn start_connection(
        self: &Arc<Self>,
        stream: TcpStream,
        earliest_arrival: Instant,
        origin: ConnectionOrigin,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(PEER_STALL_TIMEOUT))?;
        let state = ConnectionState::new(origin, earliest_arrival, &self.memory);
        let connection = Arc::new(ClientConnection {
            stream,
            // A connection that was admitted, or that another process hands over, is kept.
            _charge: self
                .memory
                .charge(MemoryHolder::Connection, CONNECTION_BYTES),
            memory: Arc::default(),
            state: Mutex::new(state),
            sent_wait: Mutex::default(),
            progress: Condvar::new(),
        });
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        lock(&self.connections).insert(number, connection.clone());
        self.connection_opened.notify_one();
        self.start_reader(number, &connection);
        Ok(())
    }
}

/// Evicts the first connection in eviction order that can be closed. Returns its rank, if there is one.
fn evict_first<P: ClientProtocol>(
    connections: &HashMap<u64, Arc<ClientConnection<P>>>,
) -> Option<EvictionRank> {
    let mut evictable: Vec<_> = connections
        .values()
        .filter_map(|connection| Some((connection.eviction_order()?, connection)))
        .collect();
    evictable.sort_unstable_by_key(|(order, _)| *order);
    let evicted = evictable.iter().find(|(_, connection)| connection.evict());
    evicted.map(|((rank, _), _)| *rank)
}

/// Eviction rank of a connection. The lowest rank is evicted first; within a rank, the connection
/// that has been inactive for longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Never sent a request, and is not sending a command.
    Silent,
    /// Idle for [`EVICTABLE_AFTER`].
    Idle,
    /// Is sending a command, or sent a request and was active within [`EVICTABLE_AFTER`].
    Active,
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// Returns the position of this connection in eviction order; the lowest is evicted first. None
    /// if the connection can't be evicted, because replies are pending or it is closing.
    fn eviction_order(&self) -> Option<(EvictionRank, Instant)> {
        let state = lock(&self.state);
        if state.unanswered > 0 || state.closed || state.close_after_reading {
            return None;
        }
        let idle = state.last_activity.elapsed();
        let rank = match (state.has_requested, state.is_sending()) {
            (false, false) => EvictionRank::Silent,
            (true, false) if idle >= EVICTABLE_AFTER => EvictionRank::Idle,
            _ => EvictionRank::Active,
        };
        Some((rank, state.last_activity))
    }
}
