//! Connections from limiters.
//!
//! Each connection has its own thread, which reads a report, passes it to the allocator thread,
//! waits for the grant and writes it. A limiter that is slow, sends nothing or sends invalid data
//! therefore delays only its own connection.

use super::input::Input;
use crate::log_throttle::LogThrottle;
use crate::quota_lease::frame::{self, FrameError, Timeouts};
use crate::quota_lease::message::{MessageError, Report};
use crate::threads::spawn;
use crossbeam_channel::{bounded, Sender};
use prost::Message;
use slog::{warn, Logger};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Pause after an error of the listener. An error such as a lack of file descriptors would otherwise
/// recur at once.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Number of open connections, and numbers of connections closed because of an error, by reason.
#[derive(Default)]
pub(super) struct ConnectionCounters {
    open: AtomicUsize,
    /// Connections over the limit of open connections.
    refused: AtomicU64,
    idle: AtomicU64,
    frame_timeout: AtomicU64,
    truncated: AtomicU64,
    empty: AtomicU64,
    too_long: AtomicU64,
    failed: AtomicU64,
}

/// The values of [`ConnectionCounters`] at one time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionCounts {
    pub(super) open: usize,
    pub(super) refused: u64,
    pub(super) idle: u64,
    pub(super) frame_timeout: u64,
    pub(super) truncated: u64,
    pub(super) empty: u64,
    pub(super) too_long: u64,
    pub(super) failed: u64,
}

impl ConnectionCounters {
    pub(super) fn snapshot(&self) -> ConnectionCounts {
        ConnectionCounts {
            open: self.open.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            idle: self.idle.load(Ordering::Relaxed),
            frame_timeout: self.frame_timeout.load(Ordering::Relaxed),
            truncated: self.truncated.load(Ordering::Relaxed),
            empty: self.empty.load(Ordering::Relaxed),
            too_long: self.too_long.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
        }
    }

    fn count_closed(&self, reason: &FrameError) {
        let counter = match reason {
            FrameError::Closed => return,
            FrameError::IdleTimeout => &self.idle,
            FrameError::FrameTimeout => &self.frame_timeout,
            FrameError::Truncated => &self.truncated,
            FrameError::Empty => &self.empty,
            FrameError::TooLong(_) => &self.too_long,
            FrameError::Io(_) => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Reason why a connection is closed.
#[derive(Debug, Error)]
enum ConnectionError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Message(#[from] MessageError),
    #[error("the allocator is shutting down")]
    Stopping,
}

/// Accepts and serves the connections of limiters.
pub(super) struct Connections {
    pub(super) inputs: Sender<Input>,
    pub(super) timeouts: Timeouts,
    /// Maximum number of open connections.
    pub(super) limit: usize,
    pub(super) counters: ConnectionCounters,
    pub(super) error_throttle: LogThrottle,
    pub(super) log: Logger,
}

impl Connections {
    /// Accepts connections; never returns.
    pub(super) fn accept(self: Arc<Self>, listener: &TcpListener) {
        loop {
            match listener.accept() {
                Ok((stream, peer)) => self.clone().open(stream, peer),
                Err(error) => {
                    self.log_closed(None, &error.to_string());
                    std::thread::sleep(ACCEPT_ERROR_PAUSE);
                }
            }
        }
    }

    /// Starts a thread that serves a connection, or closes it if there are too many.
    fn open(self: Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        let open_guard = OpenConnectionGuard::new(self.clone());
        if self.counters.open.load(Ordering::Relaxed) > self.limit {
            self.counters.refused.fetch_add(1, Ordering::Relaxed);
            return self.log_closed(Some(peer), "too many connections");
        }
        let connections = self.clone();
        let serve = move || {
            let error = connections.serve(&stream);
            drop(open_guard);
            connections.record_closed(peer, &error);
        };
        if let Err(error) = spawn("limiter", serve) {
            self.counters.failed.fetch_add(1, Ordering::Relaxed);
            self.log_closed(Some(peer), &error.to_string());
        }
    }

    /// Counts a closed connection, and logs it unless the limiter closed it or the allocator is
    /// stopping.
    fn record_closed(&self, peer: SocketAddr, error: &ConnectionError) {
        if let ConnectionError::Frame(error) = error {
            self.counters.count_closed(error);
        }
        let expected = matches!(
            error,
            ConnectionError::Frame(FrameError::Closed) | ConnectionError::Stopping
        );
        if !expected {
            self.log_closed(Some(peer), &error.to_string());
        }
    }

    /// Answers reports until the connection is to be closed, and returns the reason.
    fn serve(&self, stream: &TcpStream) -> ConnectionError {
        if let Err(error) = stream.set_nodelay(true) {
            return FrameError::Io(error).into();
        }
        loop {
            if let Err(error) = self.answer_report(stream) {
                return error;
            }
        }
    }

    /// Reads one report and writes its grant.
    fn answer_report(&self, stream: &TcpStream) -> Result<(), ConnectionError> {
        let bytes = frame::read(stream, self.timeouts)?;
        let report = Report::read(&bytes).inspect_err(|reason| {
            // Sending fails only if the allocator thread has ended. The message is not counted then.
            _ = self.inputs.send(Input::Undecodable(reason.clone()));
        })?;
        let (answer, grants) = bounded(1);
        let input = Input::Report {
            report: Box::new(report),
            answer,
        };
        self.inputs
            .send(input)
            .map_err(|_| ConnectionError::Stopping)?;
        match grants.recv().map_err(|_| ConnectionError::Stopping)? {
            Ok(grant) => {
                frame::write(stream, &grant.encode_to_vec(), self.timeouts.frame)?;
                Ok(())
            }
            // The allocator has already answered a later report, so the limiter does not wait for this
            // answer.
            Err(MessageError::Outdated(_)) => Ok(()),
            Err(reason) => Err(reason.into()),
        }
    }

    fn log_closed(&self, peer: Option<SocketAddr>, error: &str) {
        if let Some(suppressed) = self.error_throttle.permit() {
            warn!(self.log, "connection closed"; "from" => ?peer, "error" => error,
                "suppressed" => suppressed);
        }
    }
}

/// Counts a connection as open until it is dropped.
struct OpenConnectionGuard(Arc<Connections>);

impl OpenConnectionGuard {
    fn new(connections: Arc<Connections>) -> Self {
        connections.counters.open.fetch_add(1, Ordering::Relaxed);
        Self(connections)
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.counters.open.fetch_sub(1, Ordering::Relaxed);
    }
}
