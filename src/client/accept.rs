//! New connections: accepting them, and room for them within the limit.

use super::connection::{ClientConnection, ConnectionState};
use super::protocol::ClientProtocol;
use super::Front;
use crate::threads::{lock, spawn};
use slog::warn;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// An agent that does not read its answers for so long is dropped: some stand still for seconds.
const WRITE_TIMEOUT: Duration = Duration::from_secs(6);
/// Wait after a failed accept, as when descriptors run out.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// One that has nothing open for so long is closed if another needs its place.
const EVICTABLE_AFTER: Duration = Duration::from_secs(2);
/// A new connection waits so long for another to end when all are busy.
const ROOM_TIMEOUT: Duration = Duration::from_millis(100);

impl<P: ClientProtocol> Front<P> {
    pub(super) fn run_accept_loop(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            let paused = lock(&self.accept_paused);
            drop(self.accept_resumed.wait_while(paused, |paused| *paused));
            match listener.accept() {
                Ok((stream, _)) => {
                    // The one that was waited for when the hand-over began.
                    let hand_over = lock(&self.hand_over_to).clone();
                    if hand_over.is_some_and(|hand_over| hand_over(&stream, &[]))
                        || !self.make_room()
                    {
                        continue;
                    }
                    if let Err(fault) = self.start_connection(stream, None) {
                        warn!(self.log, "client connection dropped"; "error" => %fault);
                    }
                }
                Err(fault) => {
                    warn!(self.log, "accept failed"; "error" => %fault);
                    thread::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    /// Keeps within the descriptors: of the connections that owe nothing, one goes that never asked for anything and has
    /// stopped writing, else one idle for so long that it may be closed, else any; of these the one from which nothing
    /// has come for longest. False if all are busy: the new one is closed then, as one that waits would hold up all
    /// behind it.
    ///
    /// Guards against floods of connections that say nothing, or a part and no more: they push out each other, and not an
    /// agent that writes slowly.
    pub(super) fn make_room(&self) -> bool {
        let began = Instant::now();
        let mut connections = lock(&self.connections);
        while connections.len() >= self.max_connections.load(Ordering::Relaxed) {
            let evictable = connections
                .values()
                .filter_map(|c| Some((c.eviction_order()?, c)));
            if let Some((_, connection)) = evictable.min_by_key(|(order, _)| *order) {
                connection.evict();
            } else if began.elapsed() >= ROOM_TIMEOUT {
                if let Some(more) = self.full_log.permit() {
                    warn!(self.log, "client connection limit reached"; "open" => connections.len(), "suppressed" => more);
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

    /// Serves a connection that is new, or one with what another process has read from it.
    pub(super) fn start_connection(
        self: &Arc<Self>,
        stream: TcpStream,
        read: Option<Vec<u8>>,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let state = ConnectionState::new(read.is_some());
        let connection = Arc::new(ClientConnection {
            stream,
            state: Mutex::new(state),
            progress: Condvar::new(),
        });
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        lock(&self.connections).insert(number, connection.clone());
        self.connection_opened.notify_one();
        let (front, reading) = (self.clone(), connection.clone());
        let begun = spawn("agent-read", move || {
            front.run_reader(number, &reading, read.unwrap_or_default())
        });
        if begun.is_err() {
            self.close_connection(number, &connection);
        }
        begun
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// Its place among the connections that may be closed for others, the least first; none if it may not.
    fn eviction_order(&self) -> Option<(u8, Instant)> {
        let state = lock(&self.state);
        if state.unanswered > 0 || state.closed || state.closing_when_read {
            return None;
        }
        let idle = state.last_activity.elapsed();
        let rank = match (state.has_requested, state.is_sending()) {
            (false, false) => 0,
            (true, false) if idle >= EVICTABLE_AFTER => 1,
            _ => 2,
        };
        Some((rank, state.last_activity))
    }
}
