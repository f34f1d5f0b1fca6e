//! Upgrade of a limiter without downtime: a new process, the successor, takes over the listener,
//! the client connections and the learned state of the running process, the predecessor.
//!
//! [`stage`] contains the state machines of both processes and does no I/O. [`UpgradeCoordinator`]
//! executes their steps over a Unix socket in a folder that both processes are configured with. If
//! the folder is not configured or the socket can't be created, the limiter serves but can't be
//! upgraded this way. The design is described in `docs/upgrade.md`.

mod coordinator;
mod learned_state;
mod limiter_process;
pub mod link;
pub mod message;
mod predecessor;
mod shared_limits;
mod socket;
pub mod stage;
mod successor;

pub use coordinator::{PredecessorConnection, UpgradeCoordinator};
pub use limiter_process::LimiterProcess;

use message::HandoverMessage;
use stage::Signal;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Passes the content of a message to the process. Returns the signal that the message has for the
/// state machine, if any.
fn dispatch_message<L: LimiterProcess>(
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
                process.adopt_connection(connection, read, Duration::ZERO);
            }
            None
        }
        HandoverMessage::WaitingConnection(waiting) => {
            if let Some(connection) = descriptor {
                let waited = Duration::from_micros(waiting.waited_us);
                process.adopt_connection(connection, waiting.read, waited);
            }
            None
        }
        HandoverMessage::FinalReport(_) => {
            process.process_message(message);
            Some(Signal::Finished)
        }
        HandoverMessage::Ban(_) | HandoverMessage::Ended(_) | HandoverMessage::MayRun(_) => {
            process.process_message(message);
            None
        }
    }
}
