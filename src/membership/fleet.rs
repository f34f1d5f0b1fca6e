//! Handle through which the rest of the program uses the fleet membership.

use super::report;
use super::transport::{Command, Transport};
use super::view::View;
use crate::clock::Clock;
use crate::decision::QuotaShares;
use crate::threads::{lock, spawn};
use crossbeam_channel::{bounded, unbounded, Sender};
use slog::Logger;
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub use super::transport::FleetSettings;

/// Maximum time that [`Fleet::leave`] waits until the leave messages are sent.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Handle of a running fleet member. Clones refer to the same member.
#[derive(Clone)]
pub struct Fleet {
    commands: Sender<Command>,
    /// `None` until the member is first active with an available address.
    view: Arc<Mutex<Option<View>>>,
    clock: Clock,
}

impl Fleet {
    /// Starts the membership thread, which neither sends nor receives before
    /// [`set_active`](Self::set_active).
    ///
    /// The thread calls `on_shares` with the quota shares that the core may use, at most a few
    /// times per second.
    ///
    /// # Errors
    ///
    /// If the thread can't be started.
    pub fn start(
        settings: FleetSettings,
        clock: Clock,
        on_shares: impl FnMut(QuotaShares) + Send + 'static,
        log: Logger,
    ) -> std::io::Result<Self> {
        let (commands, received) = unbounded();
        let view = Arc::new(Mutex::new(None));
        let transport = Transport::new(settings, clock, view.clone(), Box::new(on_shares), log);
        spawn("membership", move || transport.run(&received))?;
        Ok(Self {
            commands,
            view,
            clock,
        })
    }

    /// Starts taking part in the fleet, or stops and frees the address for the other process of an
    /// upgrade.
    pub fn set_active(&self, active: bool) {
        let command = if active {
            Command::Activate
        } else {
            Command::Deactivate
        };
        // Sending fails only if the thread has ended, and then there is nothing to activate or
        // stop.
        _ = self.commands.send(command);
    }

    /// Leaves the fleet and waits until the leave messages are sent, for at most 300 ms.
    pub fn leave(&self) {
        let (done, left) = bounded(1);
        if self.commands.send(Command::Leave(done)).is_ok() {
            _ = left.recv_timeout(LEAVE_TIMEOUT);
        }
    }

    /// Returns the reply to `show-fleet`: a line for each member and one for the view. Returns
    /// `None` before the member is first active.
    pub fn show(&self) -> Option<String> {
        let view = lock(&self.view);
        Some(report::show_fleet(view.as_ref()?, self.clock.now()))
    }

    /// Returns the name and value of each metric; empty before the member is first active.
    pub fn metrics(&self) -> Vec<(String, u64)> {
        lock(&self.view)
            .as_ref()
            .map_or(Vec::new(), report::metrics)
    }
}
