//! The state machine of the predecessor, the process that serves before a hand-over.

use super::{Event, HandoverFailure, Signal, Step, VERSION};
use std::time::Duration;

/// Time within which an accepted successor must request the state. It has to be ready within 6 s.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time within which a successor must confirm that it serves, after the state was sent.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// The stage of the predecessor in a hand-over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PredecessorStage {
    /// This process serves and has no successor.
    Serving,
    /// A successor was accepted and prepares to serve.
    SuccessorPreparing,
    /// The state was sent; the successor has not confirmed yet that it serves.
    StateSent,
    /// The successor did not confirm in time, and the connection was closed so that it no longer
    /// can. A confirmation that it sent before that still counts.
    ConfirmationOverdue,
    /// The successor serves; this process completes its open requests.
    Draining,
    /// This process has no open connection and no open request.
    Finished,
}

impl PredecessorStage {
    /// Returns the time after which [`Event::TimedOut`] occurs in this stage, or none if the stage
    /// has no time limit.
    pub fn timeout(self) -> Option<Duration> {
        match self {
            Self::SuccessorPreparing => Some(PREPARE_TIMEOUT),
            Self::StateSent => Some(CONFIRM_TIMEOUT),
            Self::Serving | Self::ConfirmationOverdue | Self::Draining | Self::Finished => None,
        }
    }

    /// Returns the name of the stage in log lines. Operators rely on these names, which differ from
    /// those of the variants.
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
            // The state was not sent yet, so this process still serves and has nothing to take
            // back.
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
