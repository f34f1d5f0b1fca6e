//! An upgrade under load: a new process takes over listener, client connections and learned state from the one that
//! serves.
//!
//! [`stage`] decides, without input or output; [`UpgradeCoordinator`] carries its steps out for either side, over a Unix
//! socket in a folder that both processes are configured with. Without that folder or the socket a limiter serves without
//! upgrades. The design is in `docs/upgrade.md`.

mod coordinator;
mod learned_state;
mod limiter_process;
pub mod link;
pub mod message;
mod predecessor;
pub mod stage;
mod successor;

pub use coordinator::{PredecessorConnection, UpgradeCoordinator};
pub use limiter_process::LimiterProcess;

use message::HandoverMessage;
use stage::Signal;
use std::os::fd::OwnedFd;

/// Passes the content of a message on to the process. Returns the signal for the state machine, if the message is one.
fn deliver<L: LimiterProcess>(
    message: HandoverMessage,
    descriptor: Option<OwnedFd>,
    process: &L,
) -> Option<Signal> {
    match message {
        HandoverMessage::Join(version) => Some(Signal::Join(version)),
        HandoverMessage::Accept(_) => Some(Signal::Accept),
        HandoverMessage::Reject(_) => Some(Signal::Reject),
        HandoverMessage::RequestState(_) => Some(Signal::RequestState),
        HandoverMessage::LearnedState(_) => Some(Signal::State),
        HandoverMessage::Serving(_) => Some(Signal::Serving),
        HandoverMessage::Connection(read) => {
            if let Some(connection) = descriptor {
                process.adopt_connection(connection, read);
            }
            None
        }
        HandoverMessage::FinalReport(_) => {
            process.process_message(message);
            Some(Signal::Finished)
        }
        HandoverMessage::Ban(_) | HandoverMessage::Ended(_) => {
            process.process_message(message);
            None
        }
    }
}
