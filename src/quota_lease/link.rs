//! A limiter's connections to the allocators. One thread for each sends reports and receives the answers.
//!
//! These threads own nothing but their connection. The [`Holder`](super::holder::Holder), which the
//! limiter's core owns, writes the reports and processes the answers.

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

/// Reports that wait for one connection, besides the one in flight. A further one is dropped; the holder
/// retries it if that is still useful.
const QUEUED_REPORTS: usize = 1;
/// Longest backoff after the first failure of a connection. It doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff after any number of failures.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Least fraction of the longest backoff.
const MIN_BACKOFF_FRACTION: f64 = 0.5;
/// Exponent that bounds the doubling of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// Timeouts of a connection to an allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTimeouts {
    /// Time to establish a connection.
    pub connect: Duration,
    /// Time to write a report.
    pub write: Duration,
    /// Time until the answer to a report begins, and again until it is complete.
    pub answer: Duration,
}

/// An event of a connection to an allocator.
#[derive(Debug)]
pub enum AllocatorEvent {
    /// An allocator's answer.
    Answer(Grant),
    /// The answer is invalid. The connection is closed.
    Unreadable {
        /// The allocator.
        allocator: u32,
        /// Why the answer is invalid.
        reason: MessageError,
    },
    /// The allocator can't be reached, or the connection failed before it answered.
    Lost {
        /// The allocator.
        allocator: u32,
    },
}

/// Receives the events of all connections. Must not block.
pub type AllocatorEventHandler = Arc<dyn Fn(AllocatorEvent) + Send + Sync>;

// Re-exported until the lead joins the folders.
pub use self::{AllocatorEvent as LinkEvent, AllocatorEventHandler as Told};

/// The connections of a limiter to all allocators.
#[derive(Clone)]
pub struct AllocatorLinks {
    reports: Vec<Sender<Report>>,
}

impl AllocatorLinks {
    /// Starts a thread for each allocator. The index of an address is the allocator's number.
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
        let link = |(number, address): (usize, &SocketAddr)| {
            let (reports, queue) = bounded(QUEUED_REPORTS);
            let link = Link {
                allocator: number as u32,
                address: *address,
                timeouts,
                on_event: on_event.clone(),
                connection: None,
                backoff: Backoff::default(),
                log: log.clone(),
            };
            spawn("allocator-link", move || link.run(&queue))?;
            Ok(reports)
        };
        let reports = addresses
            .iter()
            .enumerate()
            .map(link)
            .collect::<io::Result<_>>()?;
        Ok(Self { reports })
    }

    /// Queues a report for an allocator. It is dropped if another one waits already.
    pub fn send(&self, allocator: u32, report: Report) {
        if let Some(queue) = self.reports.get(allocator as usize) {
            // The holder retries a report without an answer.
            _ = queue.try_send(report);
        }
    }
}

/// Why a report was not answered.
#[derive(Debug, Error)]
enum LinkError {
    #[error("not connected: {0}")]
    Connect(#[source] io::Error),
    #[error("not tried again yet")]
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
    fn run(mut self, queue: &Receiver<Report>) {
        for report in queue {
            match self.exchange(&report.encode_to_vec()) {
                Ok(grant) => (self.on_event)(AllocatorEvent::Answer(grant)),
                Err(error) => self.lose(error),
            }
        }
    }

    /// Sends a report and waits for its answer. A connection that was closed since its last answer is
    /// replaced once: an allocator answers a retry, but grants units for it only once.
    fn exchange(&mut self, report: &[u8]) -> Result<Grant, LinkError> {
        if let Some(idle) = self.connection.take() {
            match self.exchange_on(&idle, report) {
                Err(LinkError::Frame(
                    FrameError::Closed | FrameError::Truncated | FrameError::Io(_),
                )) => {}
                Ok(grant) => {
                    self.connection = Some(idle);
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
        self.backoff.succeeded();
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

    fn lose(&mut self, error: LinkError) {
        let allocator = self.allocator;
        if !matches!(error, LinkError::Backoff) {
            if !self.backoff.has_failed() {
                warn!(self.log, "allocator lost"; "allocator" => allocator,
                    "address" => %self.address, "error" => %error);
            }
            self.backoff.failed(Instant::now());
        }
        if let LinkError::Message(reason) = error {
            (self.on_event)(AllocatorEvent::Unreadable { allocator, reason });
        }
        (self.on_event)(AllocatorEvent::Lost { allocator });
    }
}

/// Exponential backoff with jitter, so that the limiters do not reconnect to a restarted allocator
/// all at once.
#[derive(Default)]
struct Backoff {
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    fn has_failed(&self) -> bool {
        self.failures > 0
    }

    fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    fn failed(&mut self, now: Instant) {
        let longest = FIRST_BACKOFF
            .saturating_mul(1 << self.failures.min(MAX_BACKOFF_DOUBLINGS))
            .min(MAX_BACKOFF);
        self.failures += 1;
        self.until = Some(
            now + longest
                .mul_f64(MIN_BACKOFF_FRACTION + (1.0 - MIN_BACKOFF_FRACTION) * fastrand::f64()),
        );
    }

    fn succeeded(&mut self) {
        *self = Self::default();
    }
}
