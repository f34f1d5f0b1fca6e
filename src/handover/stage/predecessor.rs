//! The state machine of the process that serves before a hand-over.

use super::{Event, HandoverFailure, Signal, Step, VERSION};
use std::time::Duration;

/// Time within which a successor requests the state: it is to be ready within 6 s.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time within which a successor that was sent the state confirms that it serves.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// The stage of the predecessor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PredecessorStage {
    /// It serves, and there is no successor.
    Serving,
    /// A successor was accepted and prepares to serve.
    SuccessorPreparing,
    /// The state was sent.
    StateSent,
    /// The successor did not confirm in time and can no longer do so. A confirmation that it sent before the connection
    /// was closed still counts.
    ConfirmationOverdue,
    /// The successor serves; this process completes its open requests.
    Draining,
    /// It has no connection and no request left.
    Finished,
}

impl PredecessorStage {
    /// The time after which [`Event::TimedOut`] occurs at this stage, if there is a limit.
    pub fn limit(self) -> Option<Duration> {
        match self {
            Self::SuccessorPreparing => Some(PREPARE_TIMEOUT),
            Self::StateSent => Some(CONFIRM_TIMEOUT),
            Self::Serving | Self::ConfirmationOverdue | Self::Draining | Self::Finished => None,
        }
    }

    /// The name of the stage in log lines.
    pub fn log_name(self) -> &'static str {
        match self {
            Self::Serving => "Alone",
            Self::SuccessorPreparing => "Joined",
            Self::StateSent => "Given",
            Self::ConfirmationOverdue => "Doubting",
            Self::Draining => "Leaving",
            Self::Finished => "Gone",
        }
    }

    /// Applies an event and returns the steps to take, in order.
    pub fn on(&mut self, event: Event) -> Vec<Step> {
        let (next, steps) = self.transition(event);
        *self = next;
        steps
    }

    fn transition(self, event: Event) -> (Self, Vec<Step>) {
        match (self, event) {
            (Self::Serving, Event::Received(Signal::Join(VERSION))) => {
                (Self::SuccessorPreparing, vec![Step::Send(Signal::Accept)])
            }
            (Self::Serving, Event::Received(_)) => {
                (Self::Serving, vec![Step::Send(Signal::Reject)])
            }
            (Self::SuccessorPreparing, Event::Received(Signal::RequestState)) => (
                Self::StateSent,
                vec![Step::StopAccepting, Step::Send(Signal::State)],
            ),
            (Self::StateSent, Event::TimedOut) => {
                (Self::ConfirmationOverdue, vec![Step::CloseConnection])
            }
            (Self::StateSent | Self::ConfirmationOverdue, Event::Received(Signal::Serving)) => {
                (Self::Draining, vec![Step::HandOverConnections])
            }
            (Self::Draining, Event::Drained) => (
                Self::Finished,
                vec![Step::Exit, Step::Send(Signal::Finished)],
            ),
            // The state has not been sent: nothing has changed in this process.
            (
                Self::SuccessorPreparing,
                Event::ConnectionLost | Event::TimedOut | Event::Received(_),
            ) => (Self::Serving, vec![Step::EndSharing]),
            (
                Self::StateSent | Self::ConfirmationOverdue,
                Event::ConnectionLost | Event::Received(_),
            ) => (
                Self::Serving,
                vec![
                    Step::ReclaimState,
                    Step::ResumeServing(HandoverFailure::SuccessorDidNotServe),
                    Step::EndSharing,
                ],
            ),
            (Self::Draining, Event::ConnectionLost) => (
                Self::Serving,
                vec![
                    Step::ResumeServing(HandoverFailure::SuccessorLost),
                    Step::EndSharing,
                ],
            ),
            _ => (self, vec![]),
        }
    }
}
