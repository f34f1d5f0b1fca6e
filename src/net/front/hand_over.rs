//! Connections that move to another process, or come from one.

use super::connection::Link;
use super::protocol::ClientProtocol;
use super::Front;
use crate::net::lock;
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
        *lock(&self.pass) = to;
        _ = self.wake.as_ref().map(|wake| wake.set(hands));
        self.close_if_closing();
    }

    /// A connection that another process has served so far, with what was read from it.
    pub fn adopt(self: &Arc<Self>, stream: TcpStream, read: Vec<u8>) {
        if let Err(fault) = self.serve(stream, Some(read)) {
            warn!(self.log, "agent connection dropped"; "fault" => %fault);
        }
    }
}

impl<P: ClientProtocol> Link<P> {
    /// Waits until nothing is owed on the connection, and takes it from all but the one who asks. False if it ends.
    pub(super) fn settled(&self) -> bool {
        let state = lock(&self.state);
        let wait = self.answered.wait_while(state, |state| state.owed > 0 && !state.closed);
        let mut state = wait.unwrap_or_else(PoisonError::into_inner);
        let whole = !state.closed && !state.leaving;
        (state.closed, state.moved) = (true, whole);
        whole
    }

    /// It was not handed over after all; false if it ends.
    pub(super) fn stays(&self) -> bool {
        let mut state = lock(&self.state);
        if !std::mem::take(&mut state.moved) {
            return false;
        }
        (state.closed, state.held_back, state.idle_since) = (false, true, Instant::now());
        true
    }
}
