//! The state machine of the successor, the process that serves after a hand-over.

use super::{Event, HandoverFailure, Signal, Step};
use std::time::Duration;

/// Time within which the predecessor must answer a message.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// The stage of the successor in a hand-over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SuccessorStage {
    /// This process has sent its join message to the predecessor.
    Joining,
    /// This process has received the listener and waits for an endpoint list.
    AwaitingEndpoints,
    /// This process has requested the predecessor's state.
    AwaitingState,
    /// This process has received the state and confirms that it serves. If the confirmation can
    /// still be sent, this process owns the state; otherwise the predecessor does.
    Confirming,
    /// This process serves while the predecessor drains.
    Sharing,
    /// This process serves alone.
    ServingAlone,
}

impl SuccessorStage {
    /// Returns the time after which [`Event::TimedOut`] occurs in this stage, or none if the stage
    /// has no time limit.
    pub fn timeout(self) -> Option<Duration> {
        match self {
            Self::Joining | Self::AwaitingState => Some(ANSWER_TIMEOUT),
            Self::AwaitingEndpoints | Self::Confirming | Self::Sharing | Self::ServingAlone => None,
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
            (Self::Joining, Event::Received(Signal::Accept)) => (Self::AwaitingEndpoints, vec![]),
            (Self::AwaitingEndpoints, Event::EndpointsKnown) => {
                (Self::AwaitingState, vec![Step::Send(Signal::RequestState)])
            }
            (Self::AwaitingState, Event::Received(Signal::State)) => {
                (Self::Confirming, vec![Step::Send(Signal::Serving)])
            }
            (Self::Confirming, Event::Sent) => (Self::Sharing, vec![Step::Serve]),
            (Self::Sharing, Event::Received(Signal::Finished) | Event::ConnectionLost) => {
                (Self::ServingAlone, vec![Step::EndSharing])
            }
            (Self::Sharing | Self::ServingAlone, _)
            | (_, Event::EndpointsKnown | Event::Drained | Event::Sent) => (self, vec![]),
            (_, Event::Received(Signal::Reject)) => Self::fail(HandoverFailure::Rejected),
            (_, Event::Received(_)) => Self::fail(HandoverFailure::UnexpectedMessage),
            (_, Event::ConnectionLost) => Self::fail(HandoverFailure::PredecessorLost),
            (_, Event::TimedOut) => Self::fail(HandoverFailure::PredecessorTimedOut),
        }
    }

    fn fail(failure: HandoverFailure) -> (Self, Vec<Step>) {
        (Self::ServingAlone, vec![Step::ServeAlone(failure)])
    }
}
