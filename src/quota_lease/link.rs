//! A limiter's connections to the allocators. Each connection has a thread that sends reports and
//! receives the answers.
//!
//! A thread owns only its connection. The [`Holder`](super::holder::Holder), which the limiter's core
//! owns, creates the reports and processes the answers.

use super::frame::{self, FrameError, Timeouts};
use super::message::{Grant, MessageError, Report};
use crate::threads::spawn;
use crossbeam_channel::{bounded, Receiver, Sender};
use prost::Message;
use slog::{info, warn, Logger};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum number of reports that wait for one connection, besides the one in flight. Further ones are
/// dropped; the holder retries a report that is still needed.
const QUEUED_REPORTS: usize = 1;
/// Upper bound of the backoff after the first failure of a connection. The bound doubles with each
/// further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the backoff after any number of failures.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Lower bound of the backoff, as a fraction of its upper bound.
const MIN_BACKOFF_FRACTION: f64 = 0.5;
/// Maximum number of times that the bound of the backoff is doubled, which keeps the shift in range.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// Timeouts of a connection to an allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTimeouts {
    /// Maximum time to establish a connection.
    pub connect: Duration,
    /// Maximum time to write a report.
    pub write: Duration,
    /// Maximum time until the first byte of the answer to a report, and again from there to its
    /// last byte.
    pub answer: Duration,
}

/// An event of a connection to an allocator.
#[derive(Debug)]
pub enum AllocatorEvent {
    /// The allocator answered a report.
    Answer(Grant),
    /// The allocator's answer is invalid. The connection is closed.
    InvalidAnswer {
        /// Number of the allocator.
        allocator: u32,
        /// Why the answer is invalid.
        reason: MessageError,
    },
    /// The allocator is unreachable, or the connection failed before the allocator answered.
    Lost {
        /// Number of the allocator.
        allocator: u32,
    },
}

/// Callback for the events of all connections. It must not block.
pub type AllocatorEventHandler = Arc<dyn Fn(AllocatorEvent) + Send + Sync>;

/// The connections of a limiter to all allocators.
#[derive(Clone)]
pub struct AllocatorLinks {
    /// Queue of each connection, by number of the allocator.
    queues: Vec<Sender<Report>>,
}

impl AllocatorLinks {
    /// Starts a thread for each allocator. The index of an address in `addresses` is the allocator's
    /// number.
    ///
    /// # Errors
    ///
    /// If a thread can't be started.
    pub fn start(
        addresses: &[SocketAddr],
        timeouts: LinkTimeouts,
        on_event: &AllocatorEventHandler,
        log: &Logger,
    ) -> io::Result<Self> {
        let start_link = |(number, address): (usize, &SocketAddr)| {
            let (queue, reports) = bounded(QUEUED_REPORTS);
            let link = Link {
                allocator: number as u32,
                address: *address,
                timeouts,
                on_event: on_event.clone(),
                connection: None,
                backoff: Backoff::default(),
                log: log.clone(),
            };
            spawn("allocator-link", move || link.run(&reports))?;
            Ok(queue)
        };
        let queues = addresses
            .iter()
            .enumerate()
            .map(start_link)
            .collect::<io::Result<_>>()?;
        Ok(Self { queues })
    }

    /// Queues a report for an allocator, or drops it if the queue is full.
    pub fn send(&self, allocator: u32, report: Report) {
        if let Some(queue) = self.queues.get(allocator as usize) {
            // A dropped report is not lost: the holder retries reports that are not answered.
            _ = queue.try_send(report);
        }
    }
}

/// Reason why a report was not answered.
#[derive(Debug, Error)]
enum LinkError {
    #[error("connecting failed: {0}")]
    Connect(#[source] io::Error),
    #[error("no connection attempt before the end of the backoff")]
    Backoff,
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// The connection to one allocator.
struct Link {
    allocator: u32,
    address: SocketAddr,
    timeouts: LinkTimeouts,
    on_event: AllocatorEventHandler,
    connection: Option<TcpStream>,
    backoff: Backoff,
    log: Logger,
}

impl Link {
    /// Exchanges reports until all senders of them are dropped.
    fn run(mut self, reports: &Receiver<Report>) {
        for report in reports {
            match self.exchange(&report.encode_to_vec()) {
                Ok(grant) => (self.on_event)(AllocatorEvent::Answer(grant)),
                Err(error) => self.handle_failure(error),
            }
        }
    }

    /// Sends a report and waits for its answer. If the open connection was closed since its last
    /// answer, the report is sent again on a new one. That is safe as an allocator grants units
    /// only once for a report that it receives twice.
    fn exchange(&mut self, report: &[u8]) -> Result<Grant, LinkError> {
        if let Some(open) = self.connection.take() {
            match self.exchange_on(&open, report) {
                Err(LinkError::Frame(
                    FrameError::Closed | FrameError::Truncated | FrameError::Io(_),
                )) => {}
                Ok(grant) => {
                    self.connection = Some(open);
                    return Ok(grant);
                }
                Err(error) => return Err(error),
            }
        }
        let new = self.connect()?;
        let grant = self.exchange_on(&new, report)?;
        if self.backoff.has_failed() {
            info!(self.log, "allocator answers again"; "allocator" => self.allocator);
        }
        self.backoff.record_success();
        self.connection = Some(new);
        Ok(grant)
    }

    fn connect(&self) -> Result<TcpStream, LinkError> {
        if !self.backoff.is_over(Instant::now()) {
            return Err(LinkError::Backoff);
        }
        let stream = TcpStream::connect_timeout(&self.address, self.timeouts.connect)
            .map_err(LinkError::Connect)?;
        stream.set_nodelay(true).map_err(LinkError::Connect)?;
        Ok(stream)
    }

    fn exchange_on(&self, stream: &TcpStream, report: &[u8]) -> Result<Grant, LinkError> {
        frame::write(stream, report, self.timeouts.write)?;
        let timeouts = Timeouts {
            idle: self.timeouts.answer,
            frame: self.timeouts.answer,
        };
        let grant = Grant::read(&frame::read(stream, timeouts)?)?;
        if grant.allocator != self.allocator {
            return Err(MessageError::UnknownSender(grant.allocator).into());
        }
        Ok(grant)
    }

    fn handle_failure(&mut self, error: LinkError) {
        let allocator = self.allocator;
        if !matches!(error, LinkError::Backoff) {
            if !self.backoff.has_failed() {
                warn!(self.log, "allocator lost"; "allocator" => allocator,
                    "address" => %self.address, "error" => %error);
            }
            self.backoff.record_failure(Instant::now());
        }
        if let LinkError::Message(reason) = error {
            (self.on_event)(AllocatorEvent::InvalidAnswer { allocator, reason });
        }
        (self.on_event)(AllocatorEvent::Lost { allocator });
    }
}

/// Exponential backoff with jitter, so that the limiters do not all reconnect to a restarted allocator
/// at the same time.
#[derive(Default)]
struct Backoff {
    failures: u32,
    /// End of the current backoff; `None` without a failure.
    ends: Option<Instant>,
}

impl Backoff {
    fn has_failed(&self) -> bool {
        self.failures > 0
    }

    fn is_over(&self, now: Instant) -> bool {
        self.ends.is_none_or(|ends| now >= ends)
    }

    fn record_failure(&mut self, now: Instant) {
        let upper_bound = FIRST_BACKOFF
            .saturating_mul(1 << self.failures.min(MAX_BACKOFF_DOUBLINGS))
            .min(MAX_BACKOFF);
        self.failures += 1;
        self.ends = Some(
            now + upper_bound
                .mul_f64(MIN_BACKOFF_FRACTION + (1.0 - MIN_BACKOFF_FRACTION) * fastrand::f64()),
        );
    }

    fn record_success(&mut self) {
        *self = Self::default();
    }
}
