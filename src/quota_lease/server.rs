//! The allocator's process: connections of limiters, the fleet of allocators, and the thread that owns the
//! [`Allocator`].
//!
//! Each connection has a thread of its own that reads a report, hands it over, waits for the answer and writes it. A
//! limiter that is slow, silent or sends garbage so holds up its own connection alone.

use super::allocator::{Allocator, AllocatorSettings, Ownership};
use super::frame::{self, FrameError, Timeouts};
use super::message::{Grant, MessageError, Report, Verdict};
use crate::core::Clock;
use crate::decision::Micros;
use crate::decision::QuotaShares;
use crate::log_throttle::LogThrottle;
use crate::membership::fleet::Fleet;
use crate::membership::link::Place;
use crate::threads::spawn;
use crossbeam_channel::{bounded, unbounded, Receiver, RecvTimeoutError, Sender};
use prost::Message;
use rustix::process::{getrlimit, Resource};
use slog::{info, o, warn, Logger};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The owner of the allocator is waited for so long when the process ends.
const LAST_ANSWERS: Duration = Duration::from_secs(1);
/// Connections that wait to be accepted: all limiters may come back within one second, and one that finds no room tries
/// again only after a second or more.
const BACKLOG: i32 = 4_096;
/// File descriptors that are not connections of limiters, generously.
const OTHER_DESCRIPTORS: usize = 32;
/// After an error of the listener, as when there are no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What the thread that owns the allocator is told. A connection has one report at most in this queue, so the number of
/// connections bounds it.
enum Input {
    Report {
        report: Box<Report>,
        answer: Sender<Result<Grant, MessageError>>,
    },
    Unreadable(MessageError),
    Ownership(Ownership),
    Stop(Sender<()>),
}

/// Settings of the server of an allocator.
#[derive(Clone)]
pub struct ServerSettings {
    /// Number of the allocator, from 0.
    pub number: u32,
    /// Allocators in all.
    pub allocators: u32,
    /// Address at which limiters connect.
    pub listen: SocketAddr,
    /// Limiters in all, numbered from 0.
    pub limiters: u32,
    /// Lifetime of a lease.
    pub lifetime: Duration,
    /// Most accounts that are kept.
    pub accounts: usize,
    /// Timeouts after which a connection is closed.
    pub timeouts: Timeouts,
    /// Interval between two lines of figures in the log.
    pub log_interval: Duration,
    /// Most connections that may be open at once.
    pub connections: usize,
    /// Place in the fleet of allocators.
    pub fleet: Place,
}

/// An allocator that serves limiters.
pub struct Server {
    /// Where limiters connect.
    pub address: SocketAddr,
    queue: Sender<Input>,
    fleet: Fleet,
}

impl Server {
    /// Starts all threads.
    pub fn start(settings: ServerSettings, log: &Logger) -> io::Result<Self> {
        warn_of_few_descriptors(&settings, log);
        let clock = Clock::start();
        let (queue, inputs) = unbounded();
        let listener = listen(settings.listen)?;
        let address = listener.local_addr()?;
        let connections = Arc::new(Connections {
            queue: queue.clone(),
            timeouts: settings.timeouts,
            limit: settings.connections,
            open: AtomicUsize::new(0),
            closed: ClosedConnections::default(),
            closed_log: LogThrottle::default(),
            log: log.new(o!("part" => "connections")),
        });
        let owner = Owner {
            allocator: new_allocator(&settings, clock),
            clock,
            connections: connections.clone(),
            figures: Metrics::default(),
            lease: Lease::default(),
            log_interval: settings.log_interval,
            log: log.new(o!("part" => "allocator")),
        };
        spawn("allocator", move || owner.run(&inputs))?;
        spawn("accept", move || connections.accept(&listener))?;
        let to_owner = queue.clone();
        let told =
            move |standing: QuotaShares| _ = to_owner.send(Input::Ownership(ownership(&standing)));
        let fleet = Fleet::start(
            settings.fleet,
            clock,
            told,
            log.new(o!("part" => "membership")),
        )?;
        fleet.speak(true);
        info!(log, "listening"; "address" => %address, "allocator" => settings.number, "of" => settings.allocators);
        Ok(Self {
            address,
            queue,
            fleet,
        })
    }

    /// Ends in order: what has been received is answered, nothing is granted after that, and the other allocators are told.
    pub fn stop(self) {
        let (done, stopped) = bounded(1);
        if self.queue.send(Input::Stop(done)).is_ok() {
            _ = stopped.recv_timeout(LAST_ANSWERS);
        }
        self.fleet.leave();
    }
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Each connection takes a file descriptor.
fn warn_of_few_descriptors(settings: &ServerSettings, log: &Logger) {
    let wanted = (settings.connections + OTHER_DESCRIPTORS) as u64;
    if let Some(allowed) = getrlimit(Resource::Nofile)
        .current
        .filter(|allowed| *allowed < wanted)
    {
        warn!(log, "fewer file descriptors than connections"; "allowed" => allowed, "wanted" => wanted);
    }
}

fn new_allocator(settings: &ServerSettings, clock: Clock) -> Allocator {
    let allocator = AllocatorSettings {
        limiters: settings.limiters,
        lease: micros(settings.lifetime),
        max_accounts: settings.accounts,
        ..AllocatorSettings::default()
    };
    Allocator::new(settings.number, settings.allocators, clock.now(), allocator)
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

/// What the fleet's leases say of the ownership of accounts.
fn ownership(standing: &QuotaShares) -> Ownership {
    let given = standing
        .reassigned
        .iter()
        .enumerate()
        .filter(|(_, given)| **given);
    Ownership {
        given_away: given.fold(0, |bits, (number, _)| bits | 1 << number),
        given_until: standing.reassigned_until,
        until: standing.lease_ends,
    }
}

/// Counted since the start.
#[derive(Default)]
struct Metrics {
    reports: u64,
    entries: u64,
    /// In thousandths of a unit.
    granted: u64,
    exhausted: u64,
    not_owner: u64,
}

/// The thread that owns the allocator.
struct Owner {
    allocator: Allocator,
    clock: Clock,
    connections: Arc<Connections>,
    figures: Metrics,
    lease: Lease,
    log_interval: Duration,
    log: Logger,
}

/// The allocator's own lease, as far as the log has told of it.
#[derive(Default)]
struct Lease {
    held: bool,
    until: Micros,
}

impl Owner {
    fn run(mut self, inputs: &Receiver<Input>) {
        let mut next_line = Instant::now() + self.log_interval;
        loop {
            let wake = if self.lease.held {
                next_line.min(self.clock.moment(self.lease.until))
            } else {
                next_line
            };
            match inputs.recv_deadline(wake) {
                Ok(Input::Stop(done)) => {
                    self.log_figures();
                    _ = done.send(());
                    return;
                }
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.log_lease();
            if Instant::now() >= next_line {
                self.log_figures();
                next_line = Instant::now() + self.log_interval;
            }
        }
    }

    fn take(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Report { report, answer } => {
                let grant = self.allocator.on_report(now, &report);
                if let Ok(grant) = &grant {
                    self.count(grant);
                }
                // Its connection may have ended.
                _ = answer.send(grant);
            }
            Input::Unreadable(reason) => self.allocator.count_dropped(&reason),
            Input::Ownership(ownership) => {
                self.lease.until = ownership.until;
                self.allocator.set_ownership(now, ownership);
            }
            // Taken by the loop.
            Input::Stop(_) => {}
        }
    }

    fn log_lease(&mut self) {
        let held = self.allocator.is_serving(self.clock.now());
        if held != self.lease.held {
            self.lease.held = held;
            info!(self.log, "own lease"; "held" => held);
        }
    }

    fn count(&mut self, grant: &Grant) {
        self.figures.reports += 1;
        for entry in grant.entries() {
            self.figures.entries += 1;
            self.figures.granted += entry.units;
            match entry.verdict {
                Verdict::Granted => {}
                Verdict::Exhausted => self.figures.exhausted += 1,
                Verdict::NotOwner => self.figures.not_owner += 1,
            }
        }
    }

    fn log_figures(&self) {
        let (now, figures, dropped) = (self.clock.now(), &self.figures, self.allocator.dropped());
        let closed = &self.connections.closed;
        info!(self.log, "figures";
            "serving" => self.allocator.is_serving(now),
            "accounts" => self.allocator.accounts(),
            "connections" => self.connections.open.load(Ordering::Relaxed),
            "reports" => figures.reports,
            "entries" => figures.entries,
            "granted_milli_units" => figures.granted,
            "exhausted" => figures.exhausted,
            "not_owner" => figures.not_owner,
            "dropped_too_long" => dropped.too_long + closed.too_long.load(Ordering::Relaxed),
            "dropped_malformed" => dropped.malformed + closed.empty.load(Ordering::Relaxed),
            "dropped_format" => dropped.format,
            "dropped_entries" => dropped.entries,
            "dropped_unknown_sender" => dropped.unknown_sender,
            "dropped_outdated" => dropped.outdated,
            "closed_refused" => closed.refused.load(Ordering::Relaxed),
            "closed_idle" => closed.idle.load(Ordering::Relaxed),
            "closed_slow" => closed.slow.load(Ordering::Relaxed),
            "closed_cut" => closed.cut.load(Ordering::Relaxed),
            "closed_failed" => closed.failed.load(Ordering::Relaxed));
    }
}

/// Connections that were closed for a fault, by reason.
#[derive(Default)]
struct ClosedConnections {
    /// There were too many.
    refused: AtomicU64,
    idle: AtomicU64,
    slow: AtomicU64,
    cut: AtomicU64,
    empty: AtomicU64,
    too_long: AtomicU64,
    failed: AtomicU64,
}

impl ClosedConnections {
    fn count(&self, reason: &FrameError) {
        let counter = match reason {
            FrameError::Closed => return,
            FrameError::Idle => &self.idle,
            FrameError::Slow => &self.slow,
            FrameError::Cut => &self.cut,
            FrameError::Empty => &self.empty,
            FrameError::TooLong(_) => &self.too_long,
            FrameError::Io(_) => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Why a connection ends.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Message(#[from] MessageError),
    #[error("the allocator ends")]
    Ending,
}

/// Connections of limiters.
struct Connections {
    queue: Sender<Input>,
    timeouts: Timeouts,
    limit: usize,
    open: AtomicUsize,
    closed: ClosedConnections,
    closed_log: LogThrottle,
    log: Logger,
}

impl Connections {
    fn accept(self: Arc<Self>, listener: &TcpListener) {
        loop {
            match listener.accept() {
                Ok((stream, from)) => self.clone().open(stream, from),
                Err(fault) => {
                    self.log_closed(None, &fault.to_string());
                    std::thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    fn open(self: Arc<Self>, stream: TcpStream, from: SocketAddr) {
        let open = OpenConnection::new(self.clone());
        if self.open.load(Ordering::Relaxed) > self.limit {
            self.closed.refused.fetch_add(1, Ordering::Relaxed);
            return self.log_closed(Some(from), "too many connections");
        }
        let connections = self.clone();
        let serve = move || {
            let fault = connections.serve(&stream);
            drop(open);
            connections.count_closed(from, &fault);
        };
        // Without a thread for it the connection is closed.
        if let Err(fault) = spawn("limiter", serve) {
            self.closed.failed.fetch_add(1, Ordering::Relaxed);
            self.log_closed(Some(from), &fault.to_string());
        }
    }

    fn count_closed(&self, from: SocketAddr, fault: &ConnectionError) {
        if let ConnectionError::Frame(fault) = fault {
            self.closed.count(fault);
        }
        if !matches!(
            fault,
            ConnectionError::Frame(FrameError::Closed) | ConnectionError::Ending
        ) {
            self.log_closed(Some(from), &fault.to_string());
        }
    }

    /// Answers reports until something is wrong with the connection or what comes over it.
    fn serve(&self, stream: &TcpStream) -> ConnectionError {
        if let Err(fault) = stream.set_nodelay(true) {
            return FrameError::Io(fault).into();
        }
        loop {
            if let Err(fault) = self.exchange(stream) {
                return fault;
            }
        }
    }

    fn exchange(&self, stream: &TcpStream) -> Result<(), ConnectionError> {
        let bytes = frame::read(stream, self.timeouts)?;
        let report = Report::read(&bytes).inspect_err(|reason| {
            _ = self.queue.send(Input::Unreadable(reason.clone()));
        })?;
        let (answer, answered) = bounded(1);
        let input = Input::Report {
            report: Box::new(report),
            answer,
        };
        self.queue
            .send(input)
            .map_err(|_| ConnectionError::Ending)?;
        match answered.recv().map_err(|_| ConnectionError::Ending)? {
            Ok(grant) => Ok(frame::write(
                stream,
                &grant.encode_to_vec(),
                self.timeouts.frame,
            )?),
            // Sent before what was answered last: the limiter waits for no answer to it.
            Err(MessageError::Outdated(_)) => Ok(()),
            Err(reason) => Err(reason.into()),
        }
    }

    fn log_closed(&self, from: Option<SocketAddr>, fault: &str) {
        if let Some(more) = self.closed_log.permit() {
            warn!(self.log, "connection closed"; "from" => ?from, "error" => fault, "suppressed" => more);
        }
    }
}

/// Counts a connection as long as it is open.
struct OpenConnection(Arc<Connections>);

impl OpenConnection {
    fn new(connections: Arc<Connections>) -> Self {
        connections.open.fetch_add(1, Ordering::Relaxed);
        Self(connections)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
