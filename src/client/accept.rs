//! Accepts new connections, and evicts idle ones to stay within the limit.

use super::connection::{ClientConnection, ConnectionOrigin, ConnectionState};
use super::protocol::ClientProtocol;
use super::ClientListener;
use crate::threads::{lock, spawn};
use slog::warn;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of writes to a client; some clients stop reading for seconds.
const WRITE_TIMEOUT: Duration = Duration::from_secs(6);
/// Wait after a failed accept, as when descriptors run out.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A connection without open commands for this long may be closed if another needs its place.
const EVICTABLE_AFTER: Duration = Duration::from_secs(2);
/// The time that a new connection waits for another to end when all are busy.
const ROOM_TIMEOUT: Duration = Duration::from_millis(100);

impl<P: ClientProtocol> ClientListener<P> {
    /// Accepts connections for as long as the process runs.
    pub(super) fn run_accept_loop(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            let paused = lock(&self.accept_paused);
            drop(self.accept_resumed.wait_while(paused, |paused| *paused));
            match listener.accept() {
                Ok((stream, _)) => self.start_or_hand_over(stream),
                Err(error) => {
                    warn!(self.log, "accept failed"; "error" => %error);
                    thread::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    /// Serves a new connection, unless the limit is reached or it can be handed over: an accept that had begun before a
    /// hand-over returns during it.
    fn start_or_hand_over(self: &Arc<Self>, stream: TcpStream) {
        let hand_over = lock(&self.hand_over_to).clone();
        if hand_over.is_some_and(|hand_over| hand_over(&stream, &[])) || !self.make_room() {
            return;
        }
        if let Err(error) = self.start_connection(stream, None) {
            warn!(self.log, "client connection dropped"; "error" => %error);
        }
    }

    /// Makes room for a new connection within the limit, by evicting the first connection in eviction order where that is
    /// needed. Returns false if all are busy: the new one is closed then, since waiting would delay all behind it.
    ///
    /// Guards against floods of connections that send nothing, or an incomplete command: they evict each other rather than
    /// a client that sends slowly.
    pub(super) fn make_room(&self) -> bool {
        let began = Instant::now();
        let mut connections = lock(&self.connections);
        while connections.len() >= self.max_connections.load(Ordering::Relaxed) {
            let evictable = connections
                .values()
                .filter_map(|connection| Some((connection.eviction_order()?, connection)));
            if let Some((_, connection)) = evictable.min_by_key(|(order, _)| *order) {
                connection.evict();
            } else if began.elapsed() >= ROOM_TIMEOUT {
                if let Some(suppressed) = self.full_log.permit() {
                    warn!(self.log, "client connection limit reached"; "open" => connections.len(), "suppressed" => suppressed);
                }
                return false;
            }
            connections = self
                .connection_ended
                .wait_timeout(connections, ROOM_TIMEOUT)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        true
    }

    /// Starts the reader of a connection: a new one, or one of another process with the bytes that it has read (`read`).
    pub(super) fn start_connection(
        self: &Arc<Self>,
        stream: TcpStream,
        read: Option<Vec<u8>>,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let origin = match read {
            Some(_) => ConnectionOrigin::OtherProcess,
            None => ConnectionOrigin::Client,
        };
        let state = ConnectionState::new(origin);
        let connection = Arc::new(ClientConnection {
            stream,
            state: Mutex::new(state),
            progress: Condvar::new(),
        });
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        lock(&self.connections).insert(number, connection.clone());
        self.connection_opened.notify_one();
        let front = self.clone();
        let reader_connection = connection.clone();
        let started = spawn("client-read", move || {
            front.run_reader(number, &reader_connection, read.unwrap_or_default())
        });
        if started.is_err() {
            self.close_connection(number, &connection);
        }
        started
    }
}

/// Which connections are evicted first; of one rank, the one without activity for longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Never sent a request, and is not sending a command.
    Silent,
    /// Idle for [`EVICTABLE_AFTER`].
    Idle,
    Active,
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// The place among connections that may be evicted; the least goes first. None if replies are pending or the connection
    /// is closing.
    fn eviction_order(&self) -> Option<(EvictionRank, Instant)> {
        let state = lock(&self.state);
        if state.unanswered > 0 || state.closed || state.closing_when_read {
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
