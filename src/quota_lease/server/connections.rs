//! The connections of limiters.
//!
//! Each connection has a thread of its own that reads a report, passes it to the owner of the allocator,
//! waits for the grant and writes it. A limiter that is slow, silent or sends garbage so delays its own
//! connection only.

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

/// Pause after an error of the listener, such as a lack of file descriptors.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Counts open connections, and those closed because of an error, by reason.
#[derive(Default)]
pub(super) struct ConnectionCounters {
    open: AtomicUsize,
    /// There were too many connections.
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

/// Why a connection ends.
#[derive(Debug, Error)]
enum ConnectionError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Message(#[from] MessageError),
    #[error("the allocator ends")]
    Stopping,
}

/// Accepts and serves the connections of limiters.
pub(super) struct Connections {
    pub(super) inputs: Sender<Input>,
    pub(super) timeouts: Timeouts,
    /// The most open connections.
    pub(super) limit: usize,
    pub(super) counters: ConnectionCounters,
    pub(super) error_throttle: LogThrottle,
    pub(super) log: Logger,
}

impl Connections {
    /// Accepts connections for ever.
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

    fn open(self: Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        let open = OpenConnection::new(self.clone());
        if self.counters.open.load(Ordering::Relaxed) > self.limit {
            self.counters.refused.fetch_add(1, Ordering::Relaxed);
            return self.log_closed(Some(peer), "too many connections");
        }
        let connections = self.clone();
        let serve = move || {
            let error = connections.serve(&stream);
            drop(open);
            connections.record_closed(peer, &error);
        };
        if let Err(error) = spawn("limiter", serve) {
            self.counters.failed.fetch_add(1, Ordering::Relaxed);
            self.log_closed(Some(peer), &error.to_string());
        }
    }

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

    /// Answers reports until an error ends the connection.
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

    fn answer_report(&self, stream: &TcpStream) -> Result<(), ConnectionError> {
        let bytes = frame::read(stream, self.timeouts)?;
        let report = Report::read(&bytes).inspect_err(|reason| {
            // Without the owner there is nobody to count it.
            _ = self.inputs.send(Input::Undecodable(reason.clone()));
        })?;
        let (answer, answered) = bounded(1);
        let input = Input::Report {
            report: Box::new(report),
            answer,
        };
        self.inputs
            .send(input)
            .map_err(|_| ConnectionError::Stopping)?;
        match answered.recv().map_err(|_| ConnectionError::Stopping)? {
            Ok(grant) => {
                frame::write(stream, &grant.encode_to_vec(), self.timeouts.frame)?;
                Ok(())
            }
            // A later report was answered already, so the limiter does not wait for this answer.
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

/// Counts a connection as long as it is open.
struct OpenConnection(Arc<Connections>);

impl OpenConnection {
    fn new(connections: Arc<Connections>) -> Self {
        connections.counters.open.fetch_add(1, Ordering::Relaxed);
        Self(connections)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.counters.open.fetch_sub(1, Ordering::Relaxed);
    }
}
