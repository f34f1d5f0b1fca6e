//! The thread that watches over all connections: what never completes a command, or is held for good after its last
//! answer, is closed, and whoever sends what can't be read is not kept waiting behind an answer.

use super::connection::{hung_up, Link, HELD};
use super::protocol::ClientProtocol;
use super::Front;
use crate::net::lock;
use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A command is to be whole by then, counted from the connection or, later, from its first byte; what can't be
/// read is answered by then too. An agent may take 2 s, and is owed an answer within 3 s of connecting: a look later.
pub(super) const PATIENCE: Duration = Duration::from_millis(2_600);
/// The same for an agent that is still writing, slowly.
const SLOW_PATIENCE: Duration = Duration::from_secs(6);
/// A connection that has nothing open for so long is closed. After 2 s it may be.
const IDLE: Duration = Duration::from_millis(3_000);
/// Between two looks at the connections, while there are any.
const WATCH: Duration = Duration::from_millis(200);

impl<P: ClientProtocol> Front<P> {
    /// Closes what has been kept waiting, or keeps others waiting, for too long.
    pub(super) fn watch(&self) {
        let mut links = lock(&self.links);
        loop {
            let waited = self.opened.wait_while(links, |links| links.is_empty());
            drop(waited);
            thread::sleep(WATCH);
            self.close_if_closing();
            links = lock(&self.links);
            let now = Instant::now();
            for link in links.values() {
                self.tell_left(link.look(now));
            }
            self.thin_out(&links);
        }
    }

    /// Leaves a quarter of what agents may hold free: of the connections on which requests have come, those idle longest
    /// are closed.
    ///
    /// Guards against agents that ask once and hold their connection: once they hold all that they may, no further one of
    /// theirs reaches the limiter.
    pub(super) fn thin_out(&self, links: &HashMap<u64, Arc<Link<P>>>) {
        let most = self.most.load(Ordering::Relaxed) * 3 / 5;
        if links.len() <= most {
            return;
        }
        let (mut asked, mut idle) = (0, Vec::new());
        for link in links.values() {
            let state = lock(&link.state);
            asked += usize::from(state.asked);
            let quiet = state.owed == 0 && !state.writes() && state.idle_since.elapsed() >= HELD;
            idle.extend((state.asked && quiet).then_some((state.idle_since, link)));
        }
        idle.sort_unstable_by_key(|(since, _)| *since);
        idle.iter().take(asked.saturating_sub(most)).for_each(|(_, link)| link.give_way());
    }
}

impl<P: ClientProtocol> Link<P> {
    /// Closes the connection if it has waited for too long; else says which requests are to be given up, as what
    /// stands behind them can't wait.
    fn look(&self, now: Instant) -> Vec<u64> {
        let mut state = lock(&self.state);
        if state.spoilt.is_some_and(|by| now >= by) {
            return std::mem::take(&mut state.waiting);
        }
        // Its reader may not see the end: it rests, waits for the hand-over or has read enough.
        if !state.leaving && !state.waiting.is_empty() && hung_up(&self.stream) {
            state.closed = true;
            return std::mem::take(&mut state.waiting);
        }
        if state.closed {
            return Vec::new();
        }
        let patience = if state.writes() { SLOW_PATIENCE } else { PATIENCE };
        if state.half.is_some_and(|since| now >= since + patience) {
            // The reader comes to its end, says so and closes.
            _ = self.stream.shutdown(Shutdown::Read);
        } else if state.half.is_none() && now >= state.idle_since + IDLE {
            self.leave(&mut state);
        }
        Vec::new()
    }
}
