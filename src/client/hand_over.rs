//! Connections that move to another process, or come from one.

use super::connection::ClientConnection;
use super::protocol::ClientProtocol;
use super::Front;
use crate::threads::lock;
use slog::warn;
use std::net::TcpStream;
use std::sync::{Arc, PoisonError};
use std::time::Instant;

/// Hands a connection over to another process, with what was read from it; false if it stays.
pub type ConnectionHandOver = Arc<dyn Fn(&TcpStream, &[u8]) -> bool + Send + Sync>;

impl<P: ClientProtocol> Front<P> {
    /// Hands over each connection as soon as what was asked on it is answered, or none any more.
    pub fn hand_over(&self, to: Option<ConnectionHandOver>) {
        let hands = to.is_some();
        *lock(&self.hand_over_to) = to;
        _ = self
            .read_interrupt
            .as_ref()
            .map(|interrupt| interrupt.set(hands));
        self.close_if_closing();
    }

    /// A connection that another process has served so far, with what was read from it.
    pub fn adopt(self: &Arc<Self>, stream: TcpStream, read: Vec<u8>) {
        if let Err(fault) = self.start_connection(stream, Some(read)) {
            warn!(self.log, "client connection dropped"; "error" => %fault);
        }
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// Waits until nothing is owed on the connection, and takes it from all but the one who asks. False if it ends.
    pub(super) fn detach_when_settled(&self) -> bool {
        let state = lock(&self.state);
        let wait = self
            .progress
            .wait_while(state, |state| state.unanswered > 0 && !state.closed);
        let mut state = wait.unwrap_or_else(PoisonError::into_inner);
        let whole = !state.closed && !state.closing_when_read;
        (state.closed, state.handed_over) = (true, whole);
        whole
    }

    /// It was not handed over after all; false if it ends.
    pub(super) fn reattach(&self) -> bool {
        let mut state = lock(&self.state);
        if !std::mem::take(&mut state.handed_over) {
            return false;
        }
        (state.closed, state.reading_was_paused, state.last_activity) =
            (false, true, Instant::now());
        true
    }
}
