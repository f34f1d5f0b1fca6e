//! Hands client connections over to another process, and takes them over from one.

use super::connection::{ClientConnection, ConnectionOrigin};
use super::protocol::ClientProtocol;
use super::ClientListener;
use crate::threads::lock;
use slog::warn;
use std::net::TcpStream;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

/// Hands a connection over to another process, with the bytes that were read from it but not
/// processed, and the time for which further bytes may have been waiting. Returns false if the
/// connection stays with this process.
pub type ConnectionHandOver = Arc<dyn Fn(&TcpStream, &[u8], Duration) -> bool + Send + Sync>;

impl<P: ClientProtocol> ClientListener<P> {
    /// Hands over each connection through `to` as soon as no reply is pending on it. `None` ends
    /// the hand-over.
    pub fn hand_over(&self, to: Option<ConnectionHandOver>) {
        let interrupts = to.is_some();
        *lock(&self.hand_over_to) = to;
        if let Some(read_interrupt) = &self.read_interrupt {
            read_interrupt.set(interrupts);
        }
        self.close_if_closing();
    }

    /// Serves a connection that another process handed over, with the bytes that the other process
    /// has read but not processed. Further bytes may have been waiting on it for `waited`.
    pub fn adopt(self: &Arc<Self>, stream: TcpStream, read: Vec<u8>, waited: Duration) {
        let now = Instant::now();
        let earliest_arrival = now.checked_sub(waited).unwrap_or(now);
        let origin = ConnectionOrigin::OtherProcess { read };
        if let Err(error) = self.start_connection(stream, earliest_arrival, origin) {
            warn!(self.log, "client connection dropped"; "error" => %error);
        }
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// Waits until no reply is pending, and marks the connection as handed over. Returns false if
    /// it is closing.
    pub(super) fn detach_once_answered(&self) -> bool {
        let mut state = lock(&self.state);
        state.note_pause();
        let mut state = self
            .progress
            .wait_while(state, |state| state.unanswered > 0 && !state.closed)
            .unwrap_or_else(PoisonError::into_inner);
        let is_open = !state.closed && !state.close_after_reading;
        state.closed = true;
        state.handed_over = is_open;
        is_open
    }

    /// Returns for how long bytes may have been waiting to be read.
    pub(super) fn waited(&self) -> Duration {
        let paused_at = lock(&self.state).paused_at;
        paused_at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Continues to serve a connection that could not be handed over. Returns false if it is
    /// closing.
    pub(super) fn reattach(&self) -> bool {
        let mut state = lock(&self.state);
        if !std::mem::take(&mut state.handed_over) {
            return false;
        }
        state.closed = false;
        state.reading_was_paused = true;
        state.last_activity = Instant::now();
        true
    }
}
