//! Commands of operators and of the other process of an upgrade.

use super::messages::Transport;
use super::Core;
use crate::decision::{Micros, ServerId};
use crate::handover::message::{HandoverMessage, LearnedState};
use crossbeam_channel::Sender;

/// A command to the core. Commands are handled before any queued [`Input`](super::Input).
#[derive(Debug)]
pub enum Command {
    /// Command of an operator.
    Admin(AdminCommand),
    /// Command of the hand-over to or from another process.
    HandOver(HandOverCommand),
}

/// A command of an operator. The reply is false if no such upstream server was ever listed. The
/// `Debug` output is part of a log line.
#[derive(Clone, Debug)]
pub enum AdminCommand {
    /// Disable an upstream server: it gets no new requests.
    Disable(ServerId, Sender<bool>),
    /// Enable an upstream server again.
    Enable(ServerId, Sender<bool>),
}

/// A command of the hand-over.
#[derive(Clone, Debug)]
pub enum HandOverCommand {
    /// Reply with the learned state for a successor, and notify the successor of each attempt that
    /// ends from now on.
    ExportState(Sender<LearnedState>),
    /// Take back the state given to the successor, because the successor does not serve.
    ReclaimState,
    /// Stop notifying the successor, which no longer exists.
    SuccessorGone,
    /// Adopt the learned state of a predecessor; the reply is sent once that is done.
    AdoptState(LearnedState, Sender<()>),
    /// Handle a message of the other process.
    PeerMessage(HandoverMessage),
    /// The predecessor no longer exists, so all of its attempts have ended.
    PredecessorGone,
    /// End once the open requests and counter calls have ended; a successor serves.
    Finish,
}

impl<T: Transport> Core<T> {
    /// Handles a command. Commands have a separate channel, which the loop reads first, so that an
    /// operator gets a reply within a second regardless of the number of queued requests.
    pub(super) fn handle_command(&mut self, now: Micros, command: Command) {
        match command {
            Command::Admin(AdminCommand::Disable(server, reply)) => {
                let is_known = self.set_disabled(now, &server, true);
                _ = reply.try_send(is_known);
            }
            Command::Admin(AdminCommand::Enable(server, reply)) => {
                let is_known = self.set_disabled(now, &server, false);
                _ = reply.try_send(is_known);
            }
            Command::HandOver(command) => self.handle_hand_over_command(now, command),
        }
    }
}
