//! A process's part in upgrades: it joins a predecessor at its start and then waits for successors.

use super::link::{Link, ReceiveError};
use super::message::{FinalReport, HandoverMessage};
use super::stage::{Event, SuccessorStage, VERSION};
use super::LimiterProcess;
use crate::threads::{lock, spawn};
use crossbeam_channel::{unbounded, Sender};
use slog::{info, warn, Logger};
use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Name of the socket in the common folder.
const SOCKET: &str = "mossrill-upgrade";
/// Interval between two checks of conditions that no message reports, during an upgrade.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a successor tries to join: an earlier upgrade may still be ending. It is to be ready within 6 s.
const JOIN_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two attempts to join, or to accept a successor.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Why an attempt to join failed that may succeed later.
#[derive(Debug, Error)]
enum JoinError {
    #[error(transparent)]
    Connection(#[from] io::Error),
    #[error(transparent)]
    Receive(#[from] ReceiveError),
    #[error("the predecessor neither accepts nor rejects")]
    UnexpectedMessage,
}

/// A process's part in upgrades.
pub struct UpgradeCoordinator {
    pub(super) path: PathBuf,
    /// The connection to the other process, while there is one.
    pub(super) peer: Mutex<Option<Arc<Link>>>,
    pub(super) log: Logger,
}

/// The connection of an accepted successor to its predecessor.
pub struct PredecessorConnection {
    pub(super) link: Arc<Link>,
    /// The predecessor's listener for clients.
    pub listener: TcpListener,
}

impl UpgradeCoordinator {
    /// Creates a coordinator whose socket is in `folder`.
    pub fn new(folder: &Path, log: Logger) -> Arc<Self> {
        Arc::new(Self {
            path: folder.join(SOCKET),
            peer: Mutex::default(),
            log,
        })
    }

    /// Joins the process that serves. None if there is none, it rejects this one, or does not answer in time.
    pub fn join(&self) -> Option<PredecessorConnection> {
        let began = Instant::now();
        loop {
            let error = match self.try_join() {
                Ok(joined) => return joined,
                Err(error) => error,
            };
            if began.elapsed() >= JOIN_TIMEOUT {
                warn!(self.log, "upgrade: predecessor hands nothing over"; "error" => %error);
                return None;
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Attempts to join once. None if no process serves or it rejects this one.
    fn try_join(&self) -> Result<Option<PredecessorConnection>, JoinError> {
        let Some(stream) = self.connect() else {
            return Ok(None);
        };
        let link = Link::new(stream)?;
        link.send(HandoverMessage::Join(VERSION), None)?;
        match link.receive(SuccessorStage::Joining.limit())? {
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
        let error = match UnixStream::connect(&self.path) {
            Ok(stream) => return Some(stream),
            Err(error) => error,
        };
        // Refused: the file was left behind by a process that no longer runs.
        let is_absent = matches!(
            error.kind(),
            ErrorKind::NotFound | ErrorKind::ConnectionRefused
        );
        if !is_absent {
            warn!(self.log, "upgrades unavailable"; "error" => %error);
        }
        None
    }

    /// Starts the thread that takes over from the predecessor, if there is one, and then waits for successors.
    /// `endpoints_known` waits at most for a duration and returns whether an endpoint list is known.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub fn start<L: LimiterProcess>(
        self: &Arc<Self>,
        predecessor: Option<PredecessorConnection>,
        endpoints_known: impl Fn(Duration) -> bool + Send + 'static,
        process: Arc<L>,
    ) -> io::Result<()> {
        let coordinator = self.clone();
        spawn("handover", move || match predecessor {
            Some(connection) => {
                let socket = coordinator.take_over(connection, endpoints_known, &*process);
                coordinator.serve_successors(socket, &*process);
            }
            None => {
                while !endpoints_known(Duration::MAX) {}
                process.begin_serving();
                coordinator.serve_successors(None, &*process);
            }
        })
    }

    /// Starts the thread that sends messages to the other process, while there is one. The queue of messages is
    /// unbounded, as the core must not wait.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
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
            // A lost connection is noticed by the thread that receives.
            _ = link.send(message, None);
        }
    }

    /// Sends the last message of a process that exits.
    pub fn send_final_report(&self, report: FinalReport) {
        self.send_to_peer(HandoverMessage::FinalReport(report));
    }

    /// Listens for successors, in place of any other process. None if the socket can't be created.
    pub(super) fn bind_socket(&self) -> Option<UnixListener> {
        // A file that was left behind, or the one of the predecessor, which is about to exit.
        _ = std::fs::remove_file(&self.path);
        match UnixListener::bind(&self.path) {
            Ok(listener) => Some(listener),
            Err(error) => {
                warn!(self.log, "upgrades unavailable"; "error" => %error, "address" => %self.path.display());
                None
            }
        }
    }

    /// The event for a connection on which nothing more can be received.
    pub(super) fn connection_lost(&self, error: ReceiveError) -> Event {
        if error.is_malformed() {
            warn!(self.log, "upgrade: unexpected message"; "error" => %error);
        }
        Event::ConnectionLost
    }
}
