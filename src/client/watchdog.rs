//! The thread that watches over all connections: what never completes a command, or is held for good after its last
//! answer, is closed, and whoever sends what can't be read is not kept waiting behind an answer.

use super::connection::{peer_hung_up, ClientConnection, SHORT_IDLE};
use super::protocol::ClientProtocol;
use super::Front;
use crate::threads::lock;
use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A command is to be whole by then, counted from the connection or, later, from its first byte; what can't be
/// read is answered by then too. An agent may take 2 s, and is owed an answer within 3 s of connecting: a look later.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_600);
/// The same for an agent that is still writing, slowly.
const SLOW_COMMAND_TIMEOUT: Duration = Duration::from_secs(6);
/// A connection that has nothing open for so long is closed. After 2 s it may be.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Between two looks at the connections, while there are any.
const WATCHDOG_INTERVAL: Duration = Duration::from_millis(200);

impl<P: ClientProtocol> Front<P> {
    /// Closes what has been kept waiting, or keeps others waiting, for too long.
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

    /// Leaves a quarter of what agents may hold free: of the connections on which requests have come, those idle longest
    /// are closed.
    ///
    /// Guards against agents that ask once and hold their connection: once they hold all that they may, no further one of
    /// theirs reaches the limiter.
    pub(super) fn evict_idle(&self, connections: &HashMap<u64, Arc<ClientConnection<P>>>) {
        let most = self.max_connections.load(Ordering::Relaxed) * 3 / 5;
        if connections.len() <= most {
            return;
        }
        let (mut asked, mut idle) = (0, Vec::new());
        for connection in connections.values() {
            let state = lock(&connection.state);
            asked += usize::from(state.has_requested);
            let quiet = state.unanswered == 0
                && !state.is_sending()
                && state.last_activity.elapsed() >= SHORT_IDLE;
            idle.extend(
                (state.has_requested && quiet).then_some((state.last_activity, connection)),
            );
        }
        idle.sort_unstable_by_key(|(since, _)| *since);
        idle.iter()
            .take(asked.saturating_sub(most))
            .for_each(|(_, connection)| connection.evict());
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// Closes the connection if it has waited for too long; else says which requests are to be given up, as what
    /// stands behind them can't wait.
    fn check_timeouts(&self, now: Instant) -> Vec<u64> {
        let mut state = lock(&self.state);
        if state.give_up_at.is_some_and(|by| now >= by) {
            return std::mem::take(&mut state.open_requests);
        }
        // Its reader may not see the end: it rests, waits for the hand-over or has read enough.
        if !state.closing_when_read && !state.open_requests.is_empty() && peer_hung_up(&self.stream)
        {
            state.closed = true;
            return std::mem::take(&mut state.open_requests);
        }
        if state.closed {
            return Vec::new();
        }
        let patience = if state.is_sending() {
            SLOW_COMMAND_TIMEOUT
        } else {
            COMMAND_TIMEOUT
        };
        if state
            .incomplete_since
            .is_some_and(|since| now >= since + patience)
        {
            // The reader comes to its end, says so and closes.
            _ = self.stream.shutdown(Shutdown::Read);
        } else if state.incomplete_since.is_none() && now >= state.last_activity + IDLE_TIMEOUT {
            self.close_if_settled(&mut state);
        }
        Vec::new()
    }
}
