//! Commands of operators and of the other process of an upgrade.

use super::messages::Transport;
use super::Core;
use crate::decision::{Micros, ServerId};
use crate::handover::message::{HandoverMessage, LearnedState};
use crossbeam_channel::Sender;

/// A command to the core, which reads these before anything else.
#[derive(Debug)]
pub enum Command {
    /// From an operator.
    Admin(AdminCommand),
    /// From the hand-over to or from another process.
    HandOver(HandOverCommand),
}

/// A command of an operator. The reply is false if no such upstream server was ever listed. The debug form
/// is part of a log line.
#[derive(Clone, Debug)]
pub enum AdminCommand {
    /// Take an upstream server out.
    Disable(ServerId, Sender<bool>),
    /// Put it back.
    Enable(ServerId, Sender<bool>),
}

/// A command of the hand-over.
#[derive(Clone, Debug)]
pub enum HandOverCommand {
    /// Reply with what is known, for a successor, and notify it of each attempt that ends from now on.
    GiveState(Sender<LearnedState>),
    /// The successor does not serve: the state that it was given belongs to this process again.
    ReclaimState,
    /// There is no successor any more.
    SuccessorGone,
    /// Adopt what a predecessor knew; the reply is sent once that is done.
    AdoptState(LearnedState, Sender<()>),
    /// A message of the other process.
    PeerMessage(HandoverMessage),
    /// Everything open is answered or handed over: end.
    Finish,
}

impl<T: Transport> Core<T> {
    /// Handles a command. Commands have a channel of their own, which the loop reads first: an operator is
    /// owed a reply within a second, however many requests are queued.
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
