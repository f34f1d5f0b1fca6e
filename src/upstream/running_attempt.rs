//! The state of an attempt, which its worker shares with the threads that may cancel it.

use super::connection::Connection;
use crate::decision::{Outcome, ServerId};
use crate::threads::lock;
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// An attempt from its start until it ends or is cancelled.
pub(super) struct RunningAttempt {
    server: ServerId,
    state: Mutex<AttemptState>,
}

#[derive(Default)]
enum AttemptState {
    /// The attempt waits for its connection; nothing was written.
    #[default]
    Connecting,
    /// The server was blocked before anything was written, so nothing will be written.
    Blocked,
    /// The attempt was cancelled before anything was written, so nothing will be written.
    Cancelled,
    /// The attempt has begun to be written to this connection.
    Writing(Arc<Connection>),
}

impl RunningAttempt {
    /// Returns an attempt at this server that waits for its connection.
    pub(super) fn new(server: ServerId) -> Self {
        Self {
            server,
            state: Mutex::default(),
        }
    }

    /// Returns the server that the attempt is sent to.
    pub(super) fn server(&self) -> &ServerId {
        &self.server
    }

    /// Records that the attempt begins to be written to this connection.
    ///
    /// # Errors
    /// The outcome of the attempt if it must not be written any more: it was cancelled, its server
    /// was blocked, or `write_before` has passed.
    pub(super) fn begin_writing(
        &self,
        connection: &Arc<Connection>,
        write_before: Instant,
    ) -> Result<(), Outcome> {
        let mut state = lock(&self.state);
        match *state {
            AttemptState::Cancelled => return Err(Outcome::Cancelled),
            AttemptState::Blocked => return Err(Outcome::ConnectFailed),
            AttemptState::Connecting | AttemptState::Writing(_) => {}
        }
        // The connection may have been established too late.
        if Instant::now() >= write_before {
            return Err(Outcome::ConnectFailed);
        }
        *state = AttemptState::Writing(connection.clone());
        Ok(())
    }

    /// Cancels the attempt by closing its connection, which tells the server. Returns false if
    /// nothing was written.
    pub(super) fn cancel(&self) -> bool {
        let mut state = lock(&self.state);
        if let AttemptState::Writing(connection) = &*state {
            _ = connection.stream.shutdown(Shutdown::Both);
            return true;
        }
        *state = AttemptState::Cancelled;
        false
    }

    /// Cancels the attempt if nothing of it has been written yet. Returns whether it was cancelled.
    pub(super) fn withdraw(&self) -> bool {
        let mut state = lock(&self.state);
        if matches!(*state, AttemptState::Writing(_)) {
            return false;
        }
        *state = AttemptState::Cancelled;
        true
    }

    /// Prevents the attempt from being written, if writing has not begun.
    pub(super) fn block(&self) {
        let mut state = lock(&self.state);
        if matches!(*state, AttemptState::Connecting) {
            *state = AttemptState::Blocked;
        }
    }
}
