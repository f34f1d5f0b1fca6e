//! The thread that checks all connections: it closes those that send an incomplete command or no
//! command within a timeout, evicts idle ones above a limit, and abandons requests that precede a
//! malformed command. It also starts readers and writers that could not be started before.

use super::connection::{ClientConnection, MIN_IDLE_TIME};
use super::protocol::ClientProtocol;
use super::socket_state::peer_disconnected;
use super::ClientListener;
use crate::memory::{MemoryHolder, ResidentMemory};
use crate::threads::lock;
use slog::warn;
use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time within which a command has to be complete: the first one counted from the accept of its
/// connection, later ones from their first byte. Also the time from the accept until requests that
/// precede a malformed command are abandoned. Clients may take 2 s to send a command, and have to
/// get a reply within 3 s of connecting.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Time within which a command has to be complete if its client is still sending it slowly.
const SLOW_COMMAND_TIMEOUT: Duration = Duration::from_secs(6);
/// A connection without a pending reply or an incomplete command is closed after this time. Clients
/// expect at least 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Interval of the checks while connections are open.
const WATCHDOG_INTERVAL: Duration = Duration::from_millis(200);
/// The memory of the process is logged once it exceeds this many quarters of its limit.
const LOGGED_MEMORY_QUARTERS: usize = 3;
/// Maximum number of connections on which requests were received, in fifths of the connection
/// limit.
const MAX_REQUESTING_FIFTHS: usize = 3;

impl<P: ClientProtocol> ClientListener<P> {
    /// Checks all connections every [`WATCHDOG_INTERVAL`] until the process ends.
    pub(super) fn run_watchdog(self: &Arc<Self>) {
        let mut connections = lock(&self.connections);
        loop {
            let waited = self
                .connection_opened
                .wait_while(connections, |connections| connections.is_empty());
            drop(waited);
            thread::sleep(WATCHDOG_INTERVAL);
            self.close_if_closing();
            self.log_memory_near_limit();
            connections = lock(&self.connections);
            let now = Instant::now();
            for (number, connection) in connections.iter() {
                self.report_abandoned(connection.check_timeouts(now));
                self.start_reader(*number, connection);
                self.start_writer(*number, connection, lock(&connection.state));
            }
            self.evict_idle(&connections);
        }
    }

    /// Logs at a limited rate how much memory the process uses, if that is close to its limit.
    fn log_memory_near_limit(&self) {
        let Some(memory) = ResidentMemory::read() else {
            return;
        };
        let limit_kib = (self.memory_limits.process / 1024) as u64;
        if memory.total_kib <= limit_kib / 4 * LOGGED_MEMORY_QUARTERS as u64 {
            return;
        }
        let charged_kib = |holder| self.memory.charged_to(holder) / 1024;
        if let Some(suppressed) = self.resident_memory_throttle.permit() {
            warn!(self.log, "memory close to the limit"; "limit_kib" => limit_kib,
                "resident_kib" => memory.total_kib, "anonymous_kib" => memory.anonymous_kib,
                "uncharged_kib" => self.memory.uncharged() / 1024,
                "connections" => lock(&self.connections).len(),
                "connections_kib" => charged_kib(MemoryHolder::Connection),
                "incomplete_kib" => charged_kib(MemoryHolder::IncompleteCommand),
                "requests_kib" => charged_kib(MemoryHolder::Request),
                "attempts_kib" => charged_kib(MemoryHolder::Attempt),
                "replies_kib" => charged_kib(MemoryHolder::Reply), "suppressed" => suppressed);
        }
    }

    /// Limits the connections on which requests were received to three fifths of the connection
    /// limit, by closing idle ones that have been inactive for longest. Clients may hold four
    /// fifths of the limit, and the rest is for floods, so a quarter of the clients' share stays
    /// free.
    ///
    /// Guards against clients that send one request and then hold their connection: once they hold
    /// as many connections as they may, no further connection of theirs reaches the limiter.
    pub(super) fn evict_idle(&self, connections: &HashMap<u64, Arc<ClientConnection<P>>>) {
        let max_connections = self.max_connections.load(Ordering::Relaxed);
        let max_requesting = max_connections * MAX_REQUESTING_FIFTHS / 5;
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
                && state.last_activity.elapsed() >= MIN_IDLE_TIME;
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
    /// Closes the connection if it has timed out. Returns the requests to abandon, because the
    /// client has disconnected or the reply to a malformed command that follows them is due.
    fn check_timeouts(&self, now: Instant) -> Vec<u64> {
        let mut state = lock(&self.state);
        if state.abandon_at.is_some_and(|deadline| now >= deadline) {
            return std::mem::take(&mut state.open_requests);
        }
        // The reader may not notice the disconnect because it is paused, waits for a hand-over or
        // has ended.
        if !state.close_after_reading
            && !state.open_requests.is_empty()
            && peer_disconnected(&self.stream)
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
                // The reader then reaches the end of the stream, replies with the reason and closes
                // the connection.
                _ = self.stream.shutdown(Shutdown::Read);
            }
            None if now >= state.last_activity + IDLE_TIMEOUT => {
                self.close_if_answered(&mut state);
            }
            _ => {}
        }
        Vec::new()
    }
}
