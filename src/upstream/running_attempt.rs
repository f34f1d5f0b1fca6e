//! The state of an attempt that its worker shares with whoever cancels it.

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
    /// Waits for its connection; nothing is written.
    #[default]
    Connecting,
    /// The server was taken out before anything was written: nothing will be.
    Blocked,
    /// Cancelled before anything was written: nothing will be.
    Cancelled,
    /// Writing has begun on this connection.
    Writing(Arc<Connection>),
}

impl RunningAttempt {
    /// An attempt at this server that waits for its connection.
    pub(super) fn new(server: ServerId) -> Self {
        Self {
            server,
            state: Mutex::default(),
        }
    }

    /// The server that it is sent to.
    pub(super) fn server(&self) -> &ServerId {
        &self.server
    }

    /// Marks the attempt as written on this connection from now on.
    ///
    /// # Errors
    /// How the attempt ends if it may not be written any more.
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
        // The connection may have come up too late.
        if Instant::now() >= write_before {
            return Err(Outcome::ConnectFailed);
        }
        *state = AttemptState::Writing(connection.clone());
        Ok(())
    }

    /// Cancels the attempt by closing its connection, which notifies the server. Returns false if nothing
    /// was written.
    pub(super) fn cancel(&self) -> bool {
        let mut state = lock(&self.state);
        if let AttemptState::Writing(connection) = &*state {
            _ = connection.stream.shutdown(Shutdown::Both);
            return true;
        }
        *state = AttemptState::Cancelled;
        false
    }

    /// Cancels the attempt if nothing is written yet; returns whether it was cancelled.
    pub(super) fn withdraw(&self) -> bool {
        let mut state = lock(&self.state);
        if matches!(*state, AttemptState::Writing(_)) {
            return false;
        }
        *state = AttemptState::Cancelled;
        true
    }

    /// Keeps the attempt from being written, if writing has not begun.
    pub(super) fn block(&self) {
        let mut state = lock(&self.state);
        if matches!(*state, AttemptState::Connecting) {
            *state = AttemptState::Blocked;
        }
    }
}
