//! The successor's side of a hand-over.

use super::coordinator::{PredecessorConnection, UpgradeCoordinator, POLL_INTERVAL};
use super::link::{Link, ReceiveError};
use super::message::{HandoverMessage, LearnedState};
use super::stage::{Event, HandoverFailure, Signal, Step, SuccessorStage};
use super::{deliver, LimiterProcess};
use crate::threads::lock;
use slog::{info, warn};
use std::collections::VecDeque;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl UpgradeCoordinator {
    /// Takes over from the predecessor; returns when this process serves alone. Returns the socket for successors if it
    /// has been created.
    pub(super) fn take_over<L: LimiterProcess>(
        &self,
        predecessor: PredecessorConnection,
        endpoints_known: impl Fn(Duration) -> bool,
        process: &L,
    ) -> Option<UnixListener> {
        *lock(&self.peer) = Some(predecessor.link.clone());
        let mut stage = SuccessorStage::Joining;
        stage.on(Event::Received(Signal::Accept));
        let take_over = TakeOver {
            coordinator: self,
            process,
            link: predecessor.link,
            poll_endpoints: endpoints_known,
            stage,
            stage_began: Instant::now(),
            endpoints_known: false,
            state: None,
            early_ends: Vec::new(),
            socket: None,
        };
        let socket = take_over.run();
        *lock(&self.peer) = None;
        socket
    }
}

struct TakeOver<'a, L, F> {
    coordinator: &'a UpgradeCoordinator,
    process: &'a L,
    link: Arc<Link>,
    /// Waits for a duration at most and returns whether an endpoint list is known.
    poll_endpoints: F,
    stage: SuccessorStage,
    stage_began: Instant,
    endpoints_known: bool,
    /// The predecessor's state, until it is adopted.
    state: Option<LearnedState>,
    /// Ends of attempts that arrived before the state that counts these attempts: applied before it, they would have no
    /// effect, and the attempts would count as in flight for ever.
    early_ends: Vec<HandoverMessage>,
    socket: Option<UnixListener>,
}

impl<L: LimiterProcess, F: Fn(Duration) -> bool> TakeOver<'_, L, F> {
    fn run(mut self) -> Option<UnixListener> {
        while self.stage != SuccessorStage::ServingAlone {
            let Some(event) = self.next_event() else {
                continue;
            };
            let before = self.stage;
            self.apply(event);
            if self.stage != before {
                self.stage_began = Instant::now();
            }
        }
        self.socket
    }

    fn next_event(&mut self) -> Option<Event> {
        match self.link.receive(Some(POLL_INTERVAL)) {
            Ok((message, descriptor)) => self.on_message(message, descriptor),
            Err(ReceiveError::TimedOut) => self.on_silence(),
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
                self.early_ends.push(message);
                None
            }
            message => deliver(message, descriptor, self.process).map(Event::Received),
        }
    }

    fn on_silence(&mut self) -> Option<Event> {
        if self.stage == SuccessorStage::AwaitingEndpoints {
            self.endpoints_known = self.endpoints_known || (self.poll_endpoints)(Duration::ZERO);
            return self.endpoints_known.then_some(Event::EndpointsKnown);
        }
        let limit = self.stage.limit()?;
        (self.stage_began.elapsed() >= limit).then_some(Event::TimedOut)
    }

    fn apply(&mut self, event: Event) {
        let mut steps = VecDeque::from(self.stage.on(event));
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Send(Signal::RequestState) => {
                    _ = self.link.send(HandoverMessage::RequestState(true), None);
                }
                Step::Send(Signal::Serving) => steps.extend(self.confirm()),
                Step::Serve => self.serve(),
                Step::ServeAlone(failure) => self.serve_alone(failure),
                Step::EndSharing => {
                    self.process.set_sharing(false);
                    info!(self.coordinator.log, "upgrade: predecessor has ended");
                }
                // Steps of the predecessor.
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

    /// Confirms that this process serves, and returns the steps that follow.
    fn confirm(&mut self) -> Vec<Step> {
        let event = match self.link.send(HandoverMessage::Serving(true), None) {
            Ok(()) => Event::Sent,
            Err(_) => Event::ConnectionLost,
        };
        self.stage.on(event)
    }

    fn serve(&mut self) {
        if let Some(state) = self.state.take() {
            self.process.adopt_state(state);
        }
        for ended in self.early_ends.drain(..) {
            self.process.process_message(ended);
        }
        // Before readiness is reported: the next upgrade must find this process.
        self.socket = self.coordinator.bind_socket();
        self.process.set_accepting(true);
        self.process.begin_serving();
        info!(self.coordinator.log, "upgrade: state received");
    }

    fn serve_alone(&mut self, failure: HandoverFailure) {
        warn!(self.coordinator.log, "upgrade: serving alone"; "error" => %failure);
        // The predecessor may still serve and owns the socket: a later successor joins the owner.
        while !self.endpoints_known {
            self.endpoints_known = (self.poll_endpoints)(Duration::MAX);
        }
        self.process.set_accepting(true);
        self.process.begin_serving();
        self.process.set_sharing(false);
    }
}
