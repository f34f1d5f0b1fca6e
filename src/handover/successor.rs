//! The successor's side of a hand-over.

use super::coordinator::{PredecessorConnection, UpgradeCoordinator, POLL_INTERVAL};
use super::link::{Link, ReceiveError};
use super::message::{HandoverMessage, LearnedState};
use super::socket::UpgradeSocket;
use super::stage::{Event, HandoverFailure, Signal, Step, SuccessorStage};
use super::{dispatch_message, LimiterProcess};
use crate::threads::lock;
use slog::{info, warn};
use std::collections::VecDeque;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl UpgradeCoordinator {
    /// Takes over from the predecessor. Blocks until this process serves alone, and returns the
    /// socket for later successors if it was created.
    pub(super) fn take_over<L: LimiterProcess>(
        &self,
        predecessor: PredecessorConnection,
        endpoints_known: impl Fn(Duration) -> bool,
        process: &Arc<L>,
    ) -> Option<UpgradeSocket> {
        *lock(&self.peer) = Some(predecessor.link.clone());
        let mut stage = SuccessorStage::Joining;
        stage.on(Event::Received(Signal::Accept));
        let take_over = TakeOver {
            coordinator: self,
            process,
            link: predecessor.link,
            poll_endpoints: endpoints_known,
            stage,
            stage_entered_at: Instant::now(),
            endpoints_known: false,
            state: None,
            early_attempt_ends: Vec::new(),
            socket: None,
        };
        let socket = take_over.run();
        *lock(&self.peer) = None;
        socket
    }
}

/// One hand-over from a predecessor.
struct TakeOver<'a, L, F> {
    coordinator: &'a UpgradeCoordinator,
    process: &'a Arc<L>,
    link: Arc<Link>,
    /// Waits up to the given duration for an endpoint list and returns whether one is known.
    poll_endpoints: F,
    stage: SuccessorStage,
    stage_entered_at: Instant,
    endpoints_known: bool,
    /// The predecessor's state, between its receipt and its adoption.
    state: Option<LearnedState>,
    /// Messages about ended attempts that were received before the state was adopted. Processed
    /// earlier, they would have no effect, and the state's attempts would count as in flight
    /// forever.
    early_attempt_ends: Vec<HandoverMessage>,
    socket: Option<UpgradeSocket>,
}

impl<L: LimiterProcess, F: Fn(Duration) -> bool> TakeOver<'_, L, F> {
    /// Runs the hand-over until this process serves alone. Returns the socket for later successors
    /// if it was created.
    fn run(mut self) -> Option<UpgradeSocket> {
        while self.stage != SuccessorStage::ServingAlone {
            let Some(event) = self.next_event() else {
                continue;
            };
            let previous = self.stage;
            self.apply_event(event);
            if self.stage != previous {
                self.stage_entered_at = Instant::now();
            }
        }
        self.socket
    }

    /// Waits for a message or the end of a poll interval. Returns the resulting event, if any.
    fn next_event(&mut self) -> Option<Event> {
        match self.link.receive(Some(POLL_INTERVAL)) {
            Ok((message, descriptor)) => self.on_message(message, descriptor),
            Err(ReceiveError::TimedOut) => self.on_poll_interval(),
            Err(error) => Some(self.coordinator.connection_lost(error)),
        }
    }

    fn on_message(
        &mut self,
        message: HandoverMessage,
        descriptor: Option<OwnedFd>,
    ) -> Option<Event> {
        match message {
            HandoverMessage::LearnedState(state) => {
                self.state = Some(state);
                Some(Event::Received(Signal::State))
            }
            HandoverMessage::Ended(_) if self.stage != SuccessorStage::Sharing => {
                self.early_attempt_ends.push(message);
                None
            }
            message => dispatch_message(message, descriptor, &**self.process).map(Event::Received),
        }
    }

    /// Checks the conditions that no message reports, after a poll interval without a message.
    fn on_poll_interval(&mut self) -> Option<Event> {
        if self.stage == SuccessorStage::AwaitingEndpoints {
            self.endpoints_known = self.endpoints_known || (self.poll_endpoints)(Duration::ZERO);
            return self.endpoints_known.then_some(Event::EndpointsKnown);
        }
        let timeout = self.stage.timeout()?;
        (self.stage_entered_at.elapsed() >= timeout).then_some(Event::TimedOut)
    }

    /// Applies an event to the state machine and executes the resulting steps.
    fn apply_event(&mut self, event: Event) {
        let mut steps = VecDeque::from(self.stage.on(event));
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Send(Signal::RequestState) => {
                    _ = self.link.send(HandoverMessage::RequestState(true), None);
                }
                Step::Send(Signal::Serving) => steps.extend(self.confirm_serving()),
                Step::Serve => self.serve(),
                Step::ServeAlone(failure) => self.serve_alone(failure),
                Step::EndSharing => {
                    self.end_sharing();
                    self.process.predecessor_ended();
                    info!(self.coordinator.log, "upgrade: predecessor has ended");
                }
                // Steps of a predecessor, which this state machine does not return.
                Step::Send(_)
                | Step::CloseConnection
                | Step::StopAccepting
                | Step::HandOverConnections
                | Step::ResumeServing(_)
                | Step::ReclaimState
                | Step::Exit => {}
            }
        }
    }

    /// Confirms to the predecessor that this process serves, and returns the steps that follow.
    fn confirm_serving(&mut self) -> Vec<Step> {
        let event = match self.link.send(HandoverMessage::Serving(true), None) {
            Ok(()) => Event::Sent,
            Err(_) => Event::ConnectionLost,
        };
        self.stage.on(event)
    }

    /// Begins to serve with the predecessor's state, while the predecessor drains.
    fn serve(&mut self) {
        if let Some(state) = self.state.take() {
            self.process.adopt_state(state);
        }
        for message in self.early_attempt_ends.drain(..) {
            self.process.process_message(message);
        }
        // The socket must exist before readiness is reported, as the next upgrade may start right
        // after.
        self.socket = self.coordinator.bind_socket();
        self.process.set_accepting(true);
        self.process.begin_serving();
        info!(self.coordinator.log, "upgrade: state received");
    }

    /// Begins to serve without the predecessor's state, once an endpoint list is known.
    fn serve_alone(&mut self, failure: HandoverFailure) {
        warn!(self.coordinator.log, "upgrade: serving alone"; "error" => %failure);
        // No socket is created: the predecessor may still serve and own it, and a later successor
        // joins the owner of the socket.
        while !self.endpoints_known {
            self.endpoints_known = (self.poll_endpoints)(Duration::MAX);
        }
        self.process.set_accepting(true);
        self.process.begin_serving();
        self.end_sharing();
    }

    /// Ends the sharing of limits once the predecessor has ended.
    fn end_sharing(&self) {
        let limits = &self.coordinator.shared_limits;
        limits.end_with(self.process, self.link.peer_process());
    }
}
