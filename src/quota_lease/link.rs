//! A limiter's connections to the allocators: one thread for each, which carries a report there and the answer back.
//!
//! These threads own nothing but their connection. What a report says and what an answer means is the
//! [`Holder`](super::holder::Holder)'s business, which lives with the limiter's core.

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

/// Reports that wait for one connection: the one after the report that is out. A further one is dropped, and sent again by
/// the holder where that is still of use.
const QUEUED_REPORTS: usize = 1;
/// Time after which a failed connection is tried again, to begin with and at most. It doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);

/// How long things may take at a connection to an allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTimeouts {
    /// Until a connection is established.
    pub connect: Duration,
    /// Until a report is written.
    pub write: Duration,
    /// Until the answer to a report has come.
    pub answer: Duration,
}

/// What a connection tells the limiter's core.
#[derive(Debug)]
pub enum LinkEvent {
    /// An allocator's answer.
    Answer(Grant),
    /// An answer that is not taken. The connection is closed.
    Unreadable {
        /// The allocator.
        allocator: u32,
        /// What is wrong with it.
        reason: MessageError,
    },
    /// The allocator can't be reached, or the connection broke before it answered.
    Lost {
        /// The allocator.
        allocator: u32,
    },
}

/// Takes what a connection tells. Must not block.
pub type Told = Arc<dyn Fn(LinkEvent) + Send + Sync>;

/// The connections of a limiter to all allocators.
#[derive(Clone)]
pub struct AllocatorLinks {
    reports: Vec<Sender<Report>>,
}

impl AllocatorLinks {
    /// Starts a thread for each allocator; their numbers are the places of their addresses.
    pub fn start(
        addresses: &[SocketAddr],
        timeouts: LinkTimeouts,
        told: &Told,
        log: &Logger,
    ) -> io::Result<Self> {
        let link = |(number, address): (usize, &SocketAddr)| {
            let (reports, queue) = bounded(QUEUED_REPORTS);
            let link = Link {
                allocator: number as u32,
                address: *address,
                timeouts,
                told: told.clone(),
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

    /// Sends a report to an allocator, without waiting.
    pub fn send(&self, allocator: u32, report: Report) {
        if let Some(queue) = self.reports.get(allocator as usize) {
            _ = queue.try_send(report);
        }
    }
}

/// Why a report was not answered.
#[derive(Debug, Error)]
enum LinkError {
    #[error("not connected: {0}")]
    Connect(io::Error),
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
    told: Told,
    connection: Option<TcpStream>,
    backoff: Backoff,
    log: Logger,
}

impl Link {
    fn run(mut self, queue: &Receiver<Report>) {
        for report in queue {
            match self.exchange(&report.encode_to_vec()) {
                Ok(grant) => (self.told)(LinkEvent::Answer(grant)),
                Err(fault) => self.lose(fault),
            }
        }
    }

    /// Sends a report and waits for its answer. A connection that was closed since its last answer is replaced once: the
    /// allocator answers a report that it gets twice, and carries it out once.
    fn exchange(&mut self, report: &[u8]) -> Result<Grant, LinkError> {
        if let Some(kept) = self.connection.take() {
            match self.exchange_on(&kept, report) {
                Err(LinkError::Frame(FrameError::Closed | FrameError::Cut | FrameError::Io(_))) => {
                }
                outcome => {
                    self.connection = outcome.is_ok().then_some(kept);
                    return outcome;
                }
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
        match grant.allocator == self.allocator {
            true => Ok(grant),
            false => Err(MessageError::UnknownSender(grant.allocator).into()),
        }
    }

    fn lose(&mut self, fault: LinkError) {
        let allocator = self.allocator;
        if !matches!(fault, LinkError::Backoff) {
            if !self.backoff.has_failed() {
                warn!(self.log, "allocator lost"; "allocator" => allocator, "address" => %self.address, "error" => %fault);
            }
            self.backoff.failed(Instant::now());
        }
        if let LinkError::Message(reason) = fault {
            (self.told)(LinkEvent::Unreadable { allocator, reason });
        }
        (self.told)(LinkEvent::Lost { allocator });
    }
}

/// When a connection is tried again: later with each failure, and at a random part of that time, so that limiters which
/// lost an allocator together do not come back together.
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
            .saturating_mul(1 << self.failures.min(16))
            .min(LONGEST_BACKOFF);
        self.failures += 1;
        self.until = Some(now + longest.mul_f64(0.5 + 0.5 * fastrand::f64()));
    }

    fn succeeded(&mut self) {
        *self = Self::default();
    }
}
