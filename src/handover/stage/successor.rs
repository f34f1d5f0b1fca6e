//! The state machine of the process that serves after a hand-over.

use super::{Event, HandoverFailure, Signal, Step};
use std::time::Duration;

/// Time within which the predecessor answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// The stage of the successor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SuccessorStage {
    /// It has asked the predecessor to be accepted.
    Joining,
    /// It has the listener, and waits for an endpoint list.
    AwaitingEndpoints,
    /// It has requested the predecessor's state.
    AwaitingState,
    /// It has the state and confirms that it serves: whether the confirmation can still be sent decides which process
    /// owns the state.
    Confirming,
    /// It serves while the predecessor drains.
    Sharing,
    /// It serves alone.
    ServingAlone,
}

impl SuccessorStage {
    /// The time after which [`Event::TimedOut`] occurs at this stage, if there is a limit.
    pub fn limit(self) -> Option<Duration> {
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
