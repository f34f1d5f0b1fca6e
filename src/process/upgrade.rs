//! Upgrades of this limiter: what it gives to another process, and what it adopts from one.

use super::connection_limits::ConnectionLimits;
use super::core_queue::CoreQueue;
use crate::client::interruptible::ReadInterrupt;
use crate::client::{ClientListener, ClientProtocol, ConnectionHandOver};
use crate::core::{Command, HandOverCommand};
use crate::handover::link::Link;
use crate::handover::message::{
    HandoverMessage, LearnedState, WaitingConnection, WAITING_CONNECTION_FEATURE,
};
use crate::handover::{LimiterProcess, PredecessorConnection, UpgradeCoordinator};
use crate::membership::fleet::Fleet;
use crate::memory::OtherProcess;
use crate::metrics::Metrics;
use crate::upstream::UpstreamPool;
use crossbeam_channel::bounded;
use slog::{warn, Logger};
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a command to the core. The core handles commands before inputs, but the process may
/// have only a fraction of a processor.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// What this process needs to take over from a predecessor and to hand over to a successor.
#[derive(Default)]
pub(super) struct UpgradeChannel {
    /// Interrupts the readers of connections that are to be handed over; `None` if no other process
    /// can take over.
    pub(super) read_interrupt: Option<ReadInterrupt>,
    /// Coordinator of upgrades; `None` if no other process can take over.
    pub(super) coordinator: Option<Arc<UpgradeCoordinator>>,
    /// The predecessor that this process has joined, if any.
    pub(super) predecessor: Option<PredecessorConnection>,
}

impl UpgradeChannel {
    /// Prepares upgrades if the processes share a folder, and joins the process that serves, if
    /// there is one.
    pub(super) fn open(folder: Option<PathBuf>, log: Logger) -> Self {
        let Some(folder) = folder else {
            return Self::default();
        };
        let read_interrupt = match ReadInterrupt::new() {
            Ok(interrupt) => interrupt,
            Err(error) => {
                warn!(log, "upgrades unavailable"; "error" => %error);
                return Self::default();
            }
        };
        let coordinator = UpgradeCoordinator::new(&folder, log);
        Self {
            predecessor: coordinator.join(),
            read_interrupt: Some(read_interrupt),
            coordinator: Some(coordinator),
        }
    }
}

/// Carries out the steps of an upgrade in this limiter.
pub(super) struct UpgradeControl<P: ClientProtocol> {
    pub(super) listener: TcpListener,
    pub(super) fleet: Option<Fleet>,
    pub(super) front: Arc<ClientListener<P>>,
    pub(super) upstream: UpstreamPool<P::Upstream>,
    pub(super) limits: ConnectionLimits,
    pub(super) metrics: Arc<Metrics>,
    pub(super) queue: CoreQueue<P::Upstream>,
}

impl<P: ClientProtocol> UpgradeControl<P> {
    fn send_command(&self, command: HandOverCommand) {
        self.queue.send_command(Command::HandOver(command));
    }
}

impl<P: ClientProtocol> LimiterProcess for UpgradeControl<P> {
    fn listener(&self) -> &TcpListener {
        &self.listener
    }

    fn export_state(&self) -> Option<LearnedState> {
        let (reply, state) = bounded(1);
        self.send_command(HandOverCommand::ExportState(reply));
        state.recv_timeout(COMMAND_TIMEOUT).ok()
    }

    fn reclaim_state(&self) {
        self.send_command(HandOverCommand::ReclaimState);
    }

    fn adopt_state(&self, state: LearnedState) {
        let (reply, adopted) = bounded(1);
        self.send_command(HandOverCommand::AdoptState(state, reply));
        _ = adopted.recv_timeout(COMMAND_TIMEOUT);
    }

    fn set_accepting(&self, accepting: bool) {
        self.front.set_accepting(accepting);
    }

    fn begin_serving(&self) {
        self.front.set_ready();
        if let Some(fleet) = &self.fleet {
            fleet.set_active(true);
        }
    }

    fn hand_over_connections(&self, link: Option<Arc<Link>>) {
        // The two processes are a single member of the fleet, and only the process that serves
        // sends heartbeats.
        if let Some(fleet) = &self.fleet {
            fleet.set_active(link.is_none());
        }
        if link.is_none() {
            self.send_command(HandOverCommand::SuccessorGone);
        }
        self.front.hand_over(link.map(connection_hand_over));
    }

    fn adopt_connection(&self, connection: OwnedFd, read: Vec<u8>, waited: Duration) {
        self.front.adopt(connection.into(), read, waited);
    }

    fn process_message(&self, message: HandoverMessage) {
        self.send_command(HandOverCommand::PeerMessage(message));
    }

    fn set_sharing(&self, other: Option<OtherProcess>) {
        let shared = other.is_some();
        self.front.set_max_connections(self.limits.clients(shared));
        self.front.set_other_process(other);
        self.upstream
            .set_max_connections(self.limits.upstream(shared));
    }

    fn predecessor_ended(&self) {
        self.send_command(HandOverCommand::PredecessorGone);
    }

    fn is_drained(&self) -> bool {
        self.front.is_empty() && self.metrics.in_flight() == 0
    }

    fn exit(&self) {
        self.send_command(HandOverCommand::Finish);
    }
}

/// Returns a function that hands connections over to the other process through this link.
fn connection_hand_over(link: Arc<Link>) -> ConnectionHandOver {
    Arc::new(move |stream, read, waited| {
        let read = read.to_vec();
        let message = if link.peer_has_feature(WAITING_CONNECTION_FEATURE) {
            let waited_us = waited.as_micros() as u64;
            HandoverMessage::WaitingConnection(WaitingConnection { read, waited_us })
        } else {
            HandoverMessage::Connection(read)
        };
        link.send(message, Some(stream.as_fd())).is_ok()
    })
}
