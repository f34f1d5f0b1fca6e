//! The thread that watches all connections: it closes those with an incomplete command or without commands after a
//! timeout, evicts idle ones above the limit, and abandons requests before a malformed command.

use super::connection::{peer_hung_up, ClientConnection, SHORT_IDLE};
use super::protocol::ClientProtocol;
use super::ClientListener;
use crate::threads::lock;
use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The time within which a command has to be complete, from the accept of the connection or from the first byte of a later
/// command; also the time, from the accept, until requests before a malformed command are abandoned. Clients may take 2 s,
/// and have to get a reply within 3 s of connecting.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_600);
/// The same for a client that is still sending, slowly.
const SLOW_COMMAND_TIMEOUT: Duration = Duration::from_secs(6);
/// A connection without a pending reply or an incomplete command is closed after this time; clients expect 2 s at least.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The interval of checks while connections are open.
const WATCHDOG_INTERVAL: Duration = Duration::from_millis(200);
/// Connections on which requests were received, in fifths of all.
const REQUESTING_FIFTHS: usize = 3;

impl<P: ClientProtocol> ClientListener<P> {
    /// Checks all connections in an interval for as long as the process runs.
    pub(super) fn run_watchdog(&self) {
        let mut connections = lock(&self.connections);
        loop {
            let waited = self
                .connection_opened
                .wait_while(connections, |connections| connections.is_empty());
            drop(waited);
            thread::sleep(WATCHDOG_INTERVAL);
            self.close_if_closing();
            connections = lock(&self.connections);
            let now = Instant::now();
            for connection in connections.values() {
                self.report_abandoned(connection.check_timeouts(now));
            }
            self.evict_idle(&connections);
        }
    }

    /// Limits connections on which requests were received to three fifths of all: those without activity for longest are
    /// closed. Clients may hold four fifths, and the rest is for floods, so a quarter of the clients' part stays free.
    ///
    /// Guards against clients that send one request and hold their connection: once they hold all that they may, no further
    /// one of theirs reaches the limiter.
    pub(super) fn evict_idle(&self, connections: &HashMap<u64, Arc<ClientConnection<P>>>) {
        let max_connections = self.max_connections.load(Ordering::Relaxed);
        let max_requesting = max_connections * REQUESTING_FIFTHS / 5;
        if connections.len() <= max_requesting {
            return;
        }
        let mut requesting: usize = 0;
        let mut idle = Vec::new();
        for connection in connections.values() {
            let state = lock(&connection.state);
            if !state.has_requested {
                continue;
            }
            requesting += 1;
            let is_idle = state.unanswered == 0
                && !state.is_sending()
                && state.last_activity.elapsed() >= SHORT_IDLE;
            if is_idle {
                idle.push((state.last_activity, connection));
            }
        }
        idle.sort_unstable_by_key(|(last_activity, _)| *last_activity);
        let excess = requesting.saturating_sub(max_requesting);
        for (_, connection) in idle.iter().take(excess) {
            connection.evict();
        }
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// Closes the connection after a timeout. Returns the requests that are abandoned: the client has disconnected, or the
    /// reply to a malformed command after them is due.
    fn check_timeouts(&self, now: Instant) -> Vec<u64> {
        let mut state = lock(&self.state);
        if state.give_up_at.is_some_and(|deadline| now >= deadline) {
            return std::mem::take(&mut state.open_requests);
        }
        // The reader may not notice the disconnect: it is paused, waits for a hand-over or has ended.
        if !state.closing_when_read && !state.open_requests.is_empty() && peer_hung_up(&self.stream)
        {
            state.closed = true;
            return std::mem::take(&mut state.open_requests);
        }
        if state.closed {
            return Vec::new();
        }
        let command_timeout = if state.is_sending() {
            SLOW_COMMAND_TIMEOUT
        } else {
            COMMAND_TIMEOUT
        };
        match state.incomplete_since {
            Some(since) if now >= since + command_timeout => {
                // The reader reaches the end of the stream, replies with the reason and closes.
                _ = self.stream.shutdown(Shutdown::Read);
            }
            None if now >= state.last_activity + IDLE_TIMEOUT => self.close_if_settled(&mut state),
            _ => {}
        }
        Vec::new()
    }
}
