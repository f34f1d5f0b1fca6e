//! Executes admin calls.

use crate::admin::{acknowledgement, render_metrics, Call, CallError};
use crate::core::AdminCommand;
use crate::decision::ServerId;
use crate::membership::fleet::Fleet;
use crate::metrics::Metrics;
use crossbeam_channel::{bounded, Sender};
use slog::{info, Logger};
use std::sync::Arc;
use std::time::Duration;

pub use crate::admin::listener::listen;

/// Time within which the core must confirm a command. Operators wait 1 s for an answer, half of
/// which may have passed before the call was complete.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(800);

/// The parts of the process that admin calls need.
pub struct AdminContext {
    /// The metrics of this process.
    pub metrics: Arc<Metrics>,
    /// The limiter's membership in a fleet, if one is configured.
    pub fleet: Option<Fleet>,
    /// Whether this process can serve.
    pub is_ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Passes a command to the core.
    pub send_command: Box<dyn Fn(AdminCommand) + Send + Sync>,
    /// Logger that receives a line for each command.
    pub log: Logger,
}

impl AdminContext {
    /// Executes a call and renders its answer.
    pub(super) fn answer(&self, call: Call) -> String {
        let result = match call {
            Call::ShowStat => Ok(self.show_stat()),
            Call::ShowFleet => self.show_fleet(),
            Call::Ready => self.ready().map(|()| acknowledgement(Ok(()))),
            Call::DisableServer(id) => self.execute_command(id, AdminCommand::Disable),
            Call::EnableServer(id) => self.execute_command(id, AdminCommand::Enable),
        };
        result.unwrap_or_else(|error| acknowledgement(Err(&error.to_string())))
    }

    fn show_stat(&self) -> String {
        let fleet_metrics = self.fleet.as_ref().map_or(Vec::new(), Fleet::metrics);
        render_metrics(&self.metrics, fleet_metrics)
    }

    fn show_fleet(&self) -> Result<String, CallError> {
        let fleet = self.fleet.as_ref().ok_or(CallError::NoFleet)?;
        let members = fleet.show().ok_or(CallError::NotMember)?;
        Ok(members + "END\n")
    }

    fn ready(&self) -> Result<(), CallError> {
        if (self.is_ready)() {
            Ok(())
        } else {
            Err(CallError::NotReady)
        }
    }

    /// Sends a command for an upstream server to the core and waits for its confirmation.
    fn execute_command(
        &self,
        id: ServerId,
        command: impl Fn(ServerId, Sender<bool>) -> AdminCommand,
    ) -> Result<String, CallError> {
        let (sender, confirmation) = bounded(1);
        let command = command(id, sender);
        info!(self.log, "admin command"; "command" => ?command);
        (self.send_command)(command);
        match confirmation.recv_timeout(CONFIRMATION_TIMEOUT) {
            Ok(true) => Ok(acknowledgement(Ok(()))),
            Ok(false) => Err(CallError::UnknownServer),
            Err(_) => Err(CallError::Unconfirmed),
        }
    }
}
