//! Coordinates the upgrades of one process: it joins a predecessor at its start, then waits for
//! successors.

use super::link::{Link, ReceiveError};
use super::message::{FinalReport, HandoverMessage};
use super::shared_limits::SharedLimits;
use super::socket::UpgradeSocket;
use super::stage::{Event, SuccessorStage, VERSION};
use super::LimiterProcess;
use crate::memory::OtherProcess;
use crate::threads::{lock, spawn};
use crossbeam_channel::{unbounded, Sender};
use slog::{info, warn, Logger};
use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// File name of the Unix socket in the folder that both processes are configured with.
const SOCKET_NAME: &str = "mossrill-upgrade";
/// During an upgrade, the interval between checks of conditions that no message reports.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a successor keeps trying to join, as an earlier upgrade may not be finished yet.
/// It is less than the 6 s within which the successor has to be ready.
const JOIN_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two attempts to join, or to accept a successor.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The reason why an attempt to join failed. A later attempt may succeed.
#[derive(Debug, Error)]
enum JoinError {
    #[error(transparent)]
    Connection(#[from] io::Error),
    #[error(transparent)]
    Receive(#[from] ReceiveError),
    #[error("unexpected answer from the predecessor, expected accept or reject")]
    UnexpectedMessage,
}

/// Coordinates the upgrades of one process.
pub struct UpgradeCoordinator {
    /// Path of the Unix socket.
    pub(super) socket_path: PathBuf,
    /// The connection to the other process during an upgrade.
    pub(super) peer: Mutex<Option<Arc<Link>>>,
    pub(super) shared_limits: Arc<SharedLimits>,
    pub(super) log: Logger,
}

/// The connection of an accepted successor to its predecessor.
pub struct PredecessorConnection {
    pub(super) link: Arc<Link>,
    /// The predecessor's listener for clients.
    pub listener: TcpListener,
}

impl PredecessorConnection {
    /// Returns the predecessor.
    pub fn process(&self) -> OtherProcess {
        self.link.peer_process()
    }
}

impl UpgradeCoordinator {
    /// Creates a coordinator whose socket is in `folder`.
    pub fn new(folder: &Path, log: Logger) -> Arc<Self> {
        Arc::new(Self {
            socket_path: folder.join(SOCKET_NAME),
            peer: Mutex::default(),
            shared_limits: Arc::default(),
            log,
        })
    }

    /// Joins the process that serves. Returns none if no process serves, or if the serving process
    /// rejects this one or does not answer in time.
    pub fn join(&self) -> Option<PredecessorConnection> {
        let started = Instant::now();
        loop {
            let error = match self.try_join() {
                Ok(connection) => return connection,
                Err(error) => error,
            };
            if started.elapsed() >= JOIN_TIMEOUT {
                warn!(self.log, "upgrade: predecessor hands nothing over"; "error" => %error);
                return None;
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Makes one attempt to join. Returns none if no process serves, or the serving process rejects
    /// this one.
    fn try_join(&self) -> Result<Option<PredecessorConnection>, JoinError> {
        let Some(stream) = self.connect() else {
            return Ok(None);
        };
        let link = Link::new(stream)?;
        link.send(HandoverMessage::Join(VERSION), None)?;
        match link.receive(SuccessorStage::Joining.timeout())? {
            (HandoverMessage::Accept(_), Some(listener)) => {
                let listener = TcpListener::from(listener);
                info!(self.log, "upgrade: listener received"; "address" => ?listener.local_addr().ok());
                Ok(Some(PredecessorConnection {
                    link: Arc::new(link),
                    listener,
                }))
            }
            (HandoverMessage::Reject(_), _) => {
                warn!(self.log, "upgrade: rejected by the predecessor"; "version" => VERSION);
                Ok(None)
            }
            _ => Err(JoinError::UnexpectedMessage),
        }
    }

    fn connect(&self) -> Option<UnixStream> {
        let error = match UnixStream::connect(&self.socket_path) {
            Ok(stream) => return Some(stream),
            Err(error) => error,
        };
        // A connection is refused if the socket file belongs to a process that no longer runs.
        let is_absent = matches!(
            error.kind(),
            ErrorKind::NotFound | ErrorKind::ConnectionRefused
        );
        if !is_absent {
            warn!(self.log, "upgrades unavailable"; "error" => %error);
        }
        None
    }

    /// Starts the thread that takes over from the predecessor, if there is one, and then waits for
    /// successors. `endpoints_known` waits up to the given duration for an endpoint list and
    /// returns whether one is known.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start<L: LimiterProcess>(
        self: &Arc<Self>,
        predecessor: Option<PredecessorConnection>,
        endpoints_known: impl Fn(Duration) -> bool + Send + 'static,
        process: Arc<L>,
    ) -> io::Result<()> {
        let coordinator = self.clone();
        spawn("handover", move || match predecessor {
            Some(connection) => {
                let socket = coordinator.take_over(connection, endpoints_known, &process);
                coordinator.serve_successors(socket, &process);
            }
            None => {
                while !endpoints_known(Duration::MAX) {}
                process.begin_serving();
                coordinator.serve_successors(None, &process);
            }
        })
    }

    /// Starts the thread that sends messages to the other process, and returns the queue of
    /// messages. Messages are dropped while no other process is connected. The queue is unbounded,
    /// as the core must not block.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn message_sender(self: Arc<Self>) -> io::Result<Sender<HandoverMessage>> {
        let (sender, messages) = unbounded();
        spawn("handover-send", move || {
            for message in messages {
                self.send_to_peer(message);
            }
        })?;
        Ok(sender)
    }

    fn send_to_peer(&self, message: HandoverMessage) {
        let peer = lock(&self.peer).clone();
        if let Some(link) = peer {
            // The receiving thread detects a lost connection.
            _ = link.send(message, None);
        }
    }

    /// Sends the final report of this process, which is about to exit.
    pub fn send_final_report(&self, report: FinalReport) {
        self.send_to_peer(HandoverMessage::FinalReport(report));
    }

    /// Creates the socket for successors, replacing that of any other process. Returns none if the
    /// socket can't be created.
    pub(super) fn bind_socket(&self) -> Option<UpgradeSocket> {
        match UpgradeSocket::bind(&self.socket_path) {
            Ok(socket) => Some(socket),
            Err(error) => {
                warn!(self.log, "upgrades unavailable"; "error" => %error, "address" => %self.socket_path.display());
                None
            }
        }
    }

    /// Returns the event for a connection that can't be received from any more.
    pub(super) fn connection_lost(&self, error: ReceiveError) -> Event {
        if error.is_malformed() {
            warn!(self.log, "upgrade: unexpected message"; "error" => %error);
        }
        Event::ConnectionLost
    }
}
