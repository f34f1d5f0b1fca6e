//! The predecessor's side of a hand-over.

use super::coordinator::{UpgradeCoordinator, POLL_INTERVAL, RETRY_INTERVAL};
use super::link::{Link, ReceiveError};
use super::message::HandoverMessage;
use super::socket::{FileOwner, UpgradeSocket};
use super::stage::{Event, HandoverFailure, PredecessorStage, Signal, Step};
use super::{dispatch_message, LimiterProcess};
use crate::threads::lock;
use slog::{info, warn};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time within which a connected process must send its join message.
const JOIN_MESSAGE_TIMEOUT: Duration = Duration::from_millis(100);
/// How often the socket file of a successor that failed is looked at, every [`RETRY_INTERVAL`]. The
/// system may end the hand-over's connection of a killed process before its socket.
const SOCKET_CHECKS: u32 = 5;

impl UpgradeCoordinator {
    /// Waits for successors until this process has handed over to one, or the socket can't be
    /// created any more. Creates the socket if `socket` is none.
    pub(super) fn serve_successors<L: LimiterProcess>(
        &self,
        socket: Option<UpgradeSocket>,
        process: &Arc<L>,
    ) {
        let mut socket = socket.or_else(|| self.bind_socket());
        while let Some(accepting) = &socket {
            let Some(link) = self.accept_link(accepting) else {
                continue;
            };
            let hand_over = HandOver {
                coordinator: self,
                process,
                link: &link,
                stage: PredecessorStage::Serving,
                stage_entered_at: Instant::now(),
            };
            if hand_over.run() == PredecessorStage::Finished {
                return;
            }
            if is_file_abandoned(accepting) {
                socket = self.bind_socket();
            }
        }
    }

    fn accept_link(&self, socket: &UpgradeSocket) -> Option<Arc<Link>> {
        let Ok(stream) = socket.accept() else {
            thread::sleep(RETRY_INTERVAL);
            return None;
        };
        match Link::new(stream) {
            Ok(link) => Some(Arc::new(link)),
            Err(error) => {
                warn!(self.log, "upgrade: connection rejected"; "error" => %error);
                None
            }
        }
    }
}

/// Whether a successor that failed had replaced the file of this socket and has ended since.
///
/// Guards against later successors that would find nobody and serve beside this process.
fn is_file_abandoned(socket: &UpgradeSocket) -> bool {
    for _ in 0..SOCKET_CHECKS {
        match socket.file_owner() {
            FileOwner::ThisSocket => return false,
            FileOwner::Nobody => return true,
            FileOwner::OtherProcess => thread::sleep(RETRY_INTERVAL),
        }
    }
    false
}

/// One hand-over to a connected process.
struct HandOver<'a, L> {
    coordinator: &'a UpgradeCoordinator,
    process: &'a Arc<L>,
    link: &'a Arc<Link>,
    stage: PredecessorStage,
    stage_entered_at: Instant,
}

impl<L: LimiterProcess> HandOver<'_, L> {
    /// Runs the hand-over to the connected process. Returns the last stage:
    /// [`PredecessorStage::Finished`], or [`PredecessorStage::Serving`] if the hand-over failed.
    fn run(mut self) -> PredecessorStage {
        let log = &self.coordinator.log;
        loop {
            let Some(event) = self.next_event() else {
                continue;
            };
            let previous = self.stage;
            for step in self.stage.on(event) {
                self.execute(step);
            }
            if self.stage != previous {
                info!(log, "upgrade"; "stage" => self.stage.log_name());
                self.stage_entered_at = Instant::now();
            }
            match self.stage {
                PredecessorStage::Serving => {
                    if previous == PredecessorStage::Serving {
                        warn!(log, "upgrade: connection rejected"; "error" => ?event);
                    }
                    *lock(&self.coordinator.peer) = None;
                    return self.stage;
                }
                PredecessorStage::Finished => return self.stage,
                _ => {}
            }
        }
    }

    /// Waits for a message or the end of a poll interval. Returns the resulting event, if any.
    fn next_event(&self) -> Option<Event> {
        match self.link.receive(Some(POLL_INTERVAL)) {
            Ok((message, descriptor)) => {
                dispatch_message(message, descriptor, &**self.process).map(Event::Received)
            }
            Err(ReceiveError::TimedOut) => self.on_poll_interval(),
            Err(error) => Some(self.coordinator.connection_lost(error)),
        }
    }

    /// Checks the conditions that no message reports, after a poll interval without a message.
    fn on_poll_interval(&self) -> Option<Event> {
        if self.stage == PredecessorStage::Draining && self.process.is_drained() {
            return Some(Event::Drained);
        }
        let timeout = match self.stage {
            PredecessorStage::Serving => JOIN_MESSAGE_TIMEOUT,
            stage => stage.timeout()?,
        };
        (self.stage_entered_at.elapsed() >= timeout).then_some(Event::TimedOut)
    }

    /// Executes a step. A failed send is ignored here: the next call of [`Link::receive`] reports
    /// the lost connection.
    fn execute(&self, step: Step) {
        match step {
            Step::Send(signal) => self.send(signal),
            Step::CloseConnection => self.link.shutdown(),
            Step::StopAccepting => self.process.set_accepting(false),
            Step::HandOverConnections => {
                self.process.hand_over_connections(Some(self.link.clone()))
            }
            Step::ResumeServing(failure) => self.resume_serving(failure),
            Step::ReclaimState => self.process.reclaim_state(),
            Step::EndSharing => {
                let limits = &self.coordinator.shared_limits;
                limits.end_with(self.process, self.link.peer_process());
            }
            Step::Exit => self.process.exit(),
            // Steps of a successor, which this state machine does not return.
            Step::Serve | Step::ServeAlone(_) => {}
        }
    }

    /// Sends the message of this kind, with its content.
    fn send(&self, signal: Signal) {
        match signal {
            Signal::Accept => {
                let limits = &self.coordinator.shared_limits;
                limits.share(&**self.process, self.link.peer_process());
                *lock(&self.coordinator.peer) = Some(self.link.clone());
                let listener = self.process.listener().as_fd();
                _ = self
                    .link
                    .send(HandoverMessage::Accept(true), Some(listener));
            }
            Signal::Reject => _ = self.link.send(HandoverMessage::Reject(true), None),
            Signal::State => {
                // If the core does not answer, no state is sent: the wait for the successor's
                // confirmation times out and the hand-over fails.
                if let Some(state) = self.process.export_state() {
                    _ = self.link.send(HandoverMessage::LearnedState(state), None);
                }
            }
            // The process sends the final report at its exit, with the units that the core has not
            // reported.
            Signal::Finished => {}
            // Signals that only a successor sends.
            Signal::Join(_) | Signal::RequestState | Signal::Serving => {}
        }
    }

    /// Accepts connections again and stops handing them over.
    fn resume_serving(&self, failure: HandoverFailure) {
        warn!(self.coordinator.log, "upgrade: aborted, serving again"; "error" => %failure);
        self.process.hand_over_connections(None);
        self.process.set_accepting(true);
    }
}
