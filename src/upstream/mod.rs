//! Attempts at ticket nodes: kept connections, one attempt at a time on each, a small thread for each attempt.
//!
//! Connections that wait hold no thread: hundreds of limiters on one machine would need more than a system gives.

mod event;

pub use event::{UpstreamEvent, UpstreamEventSink};

use crate::config::{EndpointUpdate, Links};
use crate::core::{AttemptDeadlines, AttemptId};
use crate::decision::{Outcome, Readiness, ServerId};
use crate::log_throttle::LogThrottle;
use crate::metrics::Metrics;
use crate::threads::{lock, spawn};
use slog::{warn, Logger};
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A connection is not used again within this time of the node's closing it, or half of the time it may be idle.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Between two looks through all idle connections.
const SWEEP: Duration = Duration::from_secs(1);
/// A connection is not used again so soon after an answer: a node that answers twice does so some milliseconds later, and
/// nothing tells the second answer from that of the next request. It is waited for, as a new one costs the node more.
const REST: Duration = Duration::from_millis(20);
/// Idle connections kept to one node.
const KEPT: usize = 32;

/// Linux's MSG_PEEK and MSG_DONTWAIT: one call in place of three for each use of a kept connection.
const PEEK_AT_ONCE: i32 = 0x02 | 0x40;

/// A protocol that upstream servers speak: how attempts are written and their answers read.
pub trait UpstreamProtocol: Send + Sync + Sized + 'static {
    /// What is passed on.
    type Call: Send + Sync + 'static;
    /// What a ticket node serves.
    type Value: Send + 'static;
    /// Writes a request whole, with the time that the limiter waits; a fault means that it is not whole.
    fn write(&self, call: &Self::Call, to: &TcpStream, left: Duration) -> io::Result<()>;
    /// Reads the answer to what was written. A value that is longer than a buffer is told of by `begins` at its first
    /// bytes, and comes to its end before this returns.
    fn read(
        &self,
        call: &Self::Call,
        from: &Arc<Connection>,
        begins: &dyn Fn(Self::Value),
    ) -> Exchange<Self::Value>;
    /// Asks for the node's load.
    fn probe(&self, stream: &TcpStream) -> Exchange<Self::Value>;
}

/// How an exchange on a connection went; the connection goes on only after a whole answer.
pub struct Exchange<V> {
    /// How it ended.
    pub outcome: Outcome,
    /// The node's load, if told.
    pub load: Vec<f64>,
    /// What it served.
    pub value: Option<V>,
    /// The connection can be used again.
    pub keep: bool,
}

impl<V> Exchange<V> {
    /// One that left no answer and no connection.
    pub fn broke(outcome: Outcome) -> Self {
        Self {
            outcome,
            load: Vec::new(),
            value: None,
            keep: false,
        }
    }
}

/// The ticket nodes and the connections to them.
pub struct UpstreamPool<S: UpstreamProtocol> {
    shared: Arc<Shared<S>>,
}

impl<S: UpstreamProtocol> Clone for UpstreamPool<S> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

struct Shared<S: UpstreamProtocol> {
    book: Mutex<Book>,
    links: Links,
    most: AtomicUsize,
    lines: Arc<AtomicUsize>,
    protocol: S,
    events: UpstreamEventSink<S::Value>,
    figures: Arc<Metrics>,
    log: Logger,
    full: LogThrottle,
}

struct Book {
    nodes: HashMap<ServerId, Node>,
    running: HashMap<AttemptId, Arc<Line>>,
    /// When idle connections were last looked through.
    swept: Instant,
}

struct Node {
    address: SocketAddr,
    /// The one used last comes last.
    idle: Vec<Idle>,
}

/// A connection that waits for work; no thread waits with it.
struct Idle {
    connection: Arc<Connection>,
    since: Instant,
}

/// A connection, counted while anybody holds it.
pub struct Connection {
    /// What is read from and written to.
    pub stream: TcpStream,
    _counted: Counted,
}

/// The client that an attempt is made for.
pub trait Presence: Send + Sync {
    /// It has closed its connection, now or earlier; seen without waiting for whoever reads from it.
    fn has_left(&self) -> bool;
}

/// A share in a connection that reads from it.
pub struct Source(pub Arc<Connection>);

impl Read for Source {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        (&self.0.stream).read(to)
    }
}

/// One of the connections that there may be.
struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(lines: &Arc<AtomicUsize>) -> Self {
        lines.fetch_add(1, Ordering::SeqCst);
        Self(lines.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A connection as the one who cancels sees it.
struct Line {
    node: ServerId,
    state: Mutex<LineState>,
}

#[derive(Default)]
struct LineState {
    /// There once writing has begun.
    connection: Option<Arc<Connection>>,
    cancelled: bool,
    /// The node was taken out before a byte was written: nothing is.
    barred: bool,
}

enum Job<C> {
    Attempt {
        attempt: AttemptId,
        call: Arc<C>,
        wait: AttemptDeadlines,
        line: Arc<Line>,
        client: Arc<dyn Presence>,
    },
    Probe,
}

impl<S: UpstreamProtocol> UpstreamPool<S> {
    /// Ticket nodes, none known yet; `most` connections to all of them together.
    pub fn new(
        links: Links,
        most: usize,
        protocol: S,
        events: UpstreamEventSink<S::Value>,
        figures: Arc<Metrics>,
        log: Logger,
    ) -> Self {
        let book = Mutex::new(Book {
            nodes: HashMap::new(),
            running: HashMap::new(),
            swept: Instant::now(),
        });
        let (most, full) = (AtomicUsize::new(most), LogThrottle::default());
        let lines = Arc::default();
        Self {
            shared: Arc::new(Shared {
                book,
                links,
                most,
                lines,
                protocol,
                events,
                figures,
                log,
                full,
            }),
        }
    }

    /// From now on so many connections at most; idle ones beyond are closed.
    pub fn limit(&self, most: usize) {
        self.shared.most.store(most, Ordering::Relaxed);
        let mut book = lock(&self.shared.book);
        let over = self
            .shared
            .lines
            .load(Ordering::SeqCst)
            .saturating_sub(most);
        (0..over).all(|_| book.close_oldest());
    }

    /// Takes news of the node list. A node that is gone or absent from a full list loses its idle connections.
    pub fn learn(&self, news: &EndpointUpdate) {
        let mut book = lock(&self.shared.book);
        if news.full {
            book.nodes
                .retain(|id, _| news.nodes.iter().any(|(m, _)| m.id == *id));
        }
        for (member, address) in &news.nodes {
            if member.readiness == Readiness::Removed {
                book.nodes.remove(&member.id);
                continue;
            }
            let fresh = || Node {
                address: *address,
                idle: Vec::new(),
            };
            let node = book.nodes.entry(member.id.clone()).or_insert_with(fresh);
            if node.address != *address {
                *node = fresh();
            }
        }
    }

    /// Starts an attempt on an idle connection, or on a new one.
    pub fn start(
        &self,
        attempt: AttemptId,
        node: &ServerId,
        call: Arc<S::Call>,
        wait: AttemptDeadlines,
        client: Arc<dyn Presence>,
    ) {
        let line = Arc::new(Line {
            node: node.clone(),
            state: Mutex::default(),
        });
        lock(&self.shared.book)
            .running
            .insert(attempt, line.clone());
        if let Err(outcome) = self.give(
            node,
            Job::Attempt {
                attempt,
                call,
                wait,
                line,
                client,
            },
        ) {
            lock(&self.shared.book).running.remove(&attempt);
            (self.shared.events)(UpstreamEvent::AttemptEnded {
                attempt,
                outcome,
                load: Vec::new(),
                value: None,
            });
        }
    }

    /// Gives an attempt up by closing its connection, which tells the node. False if nothing of it was written:
    /// while its connection was still coming up, it can't have run.
    pub fn cancel(&self, attempt: AttemptId) -> bool {
        let Some(line) = lock(&self.shared.book).running.remove(&attempt) else {
            return true;
        };
        let mut state = lock(&line.state);
        state.cancelled = true;
        if let Some(connection) = &state.connection {
            _ = connection.stream.shutdown(Shutdown::Both);
        }
        state.connection.is_some()
    }

    /// Keeps an attempt of which nothing is written from being written; false if it is under way.
    pub fn withdraw(&self, attempt: AttemptId) -> bool {
        let mut book = lock(&self.shared.book);
        let waits = book.running.get(&attempt).is_some_and(|line| {
            let mut state = lock(&line.state);
            state.cancelled |= state.connection.is_none();
            state.cancelled
        });
        if waits {
            book.running.remove(&attempt);
        }
        waits
    }

    /// Keeps what has been started for a node, and waits for its connection, from being written.
    pub fn bar(&self, node: &ServerId) {
        let book = lock(&self.shared.book);
        book.running
            .values()
            .filter(|l| l.node == *node)
            .for_each(|line| lock(&line.state).barred = true);
    }

    /// Asks a node for its load.
    pub fn probe(&self, node: &ServerId) {
        if let Err(outcome) = self.give(node, Job::Probe) {
            let (node, took) = (node.clone(), Duration::ZERO);
            (self.shared.events)(UpstreamEvent::HealthChecked {
                server: node,
                outcome,
                latency: took,
                load: Vec::new(),
            });
        }
    }

    fn give(&self, id: &ServerId, job: Job<S::Call>) -> Result<(), Outcome> {
        let shared = &self.shared;
        let mut book = lock(&shared.book);
        let keep = kept_for(&shared.links);
        let Some(node) = book.nodes.get_mut(id) else {
            return Err(Outcome::ConnectFailed);
        };
        let address = node.address;
        node.idle.retain(|idle| idle.since.elapsed() < keep);
        // The one used last that has rested: the others may age and close. Else the one that will have rested first.
        let rested = node
            .idle
            .iter()
            .rposition(|idle| idle.since.elapsed() >= REST);
        let kept = (!node.idle.is_empty()).then(|| node.idle.remove(rested.unwrap_or(0)));
        let full = || shared.lines.load(Ordering::SeqCst) >= shared.most.load(Ordering::Relaxed);
        if kept.is_none() && full() && !book.close_oldest() {
            // No judgement on the node: it never got the attempt.
            if let Some(more) = shared.full.permit() {
                let lines = shared.lines.load(Ordering::SeqCst);
                warn!(shared.log, "no file descriptor left for an upstream connection"; "connections" => lines, "suppressed" => more);
            }
            return Err(Outcome::Superseded);
        }
        let counted = kept.is_none().then(|| Counted::new(&shared.lines));
        drop(book);
        let (id, own) = (id.clone(), shared.clone());
        let work = move || {
            Worker {
                id,
                address,
                kept,
                counted,
                used: None,
                shared: own,
            }
            .carry_out(job)
        };
        if let Err(fault) = spawn("node", work) {
            warn!(shared.log, "no thread for an attempt"; "error" => %fault);
            return Err(Outcome::Superseded);
        }
        Ok(())
    }
}

impl Book {
    /// Drops the idle connection that waits longest.
    fn close_oldest(&mut self) -> bool {
        let waiting = self.nodes.values_mut().filter(|n| !n.idle.is_empty());
        let oldest = waiting.min_by_key(|n| n.idle[0].since);
        oldest.map(|n| n.idle.remove(0)).is_some()
    }

    /// Puts a connection among the idle ones of its node, if the node is still there and has few. Looks through all now
    /// and then: the node closes what is idle for too long.
    fn rest(
        &mut self,
        id: &ServerId,
        address: SocketAddr,
        connection: Arc<Connection>,
        links: &Links,
    ) {
        let keep = kept_for(links);
        if self.swept.elapsed() >= SWEEP {
            self.swept = Instant::now();
            self.nodes
                .values_mut()
                .for_each(|node| node.idle.retain(|idle| idle.since.elapsed() < keep));
        }
        let node = self
            .nodes
            .get_mut(id)
            .filter(|n| n.address == address && n.idle.len() < KEPT);
        node.into_iter().for_each(|n| {
            n.idle.push(Idle {
                connection: connection.clone(),
                since: Instant::now(),
            })
        });
    }
}

/// One attempt or probe, on a thread.
struct Worker<S: UpstreamProtocol> {
    id: ServerId,
    address: SocketAddr,
    /// The connection that it was given, which may have to rest yet.
    kept: Option<Idle>,
    /// Or its place for a new one.
    counted: Option<Counted>,
    /// The connection that it uses.
    used: Option<Arc<Connection>>,
    shared: Arc<Shared<S>>,
}

impl<S: UpstreamProtocol> Worker<S> {
    /// Carries out a job and tells of its end.
    fn carry_out(mut self, job: Job<S::Call>) {
        match job {
            Job::Attempt {
                attempt,
                call,
                wait,
                line,
                client,
            } => {
                let events = self.shared.events.clone();
                let begins = move |value| events(UpstreamEvent::ResponseStarted { attempt, value });
                let Exchange {
                    outcome,
                    load,
                    value,
                    keep,
                } = self.attempt(&call, wait, &line, &*client, &begins);
                {
                    let mut book = lock(&self.shared.book);
                    // A cancelled attempt has left the book, and its connection is closed.
                    let keep = book.running.remove(&attempt).is_some() && keep;
                    self.rest(&mut book, keep);
                }
                (self.shared.events)(UpstreamEvent::AttemptEnded {
                    attempt,
                    outcome,
                    load,
                    value,
                });
            }
            Job::Probe => {
                let began = Instant::now();
                let Exchange {
                    outcome,
                    load,
                    keep,
                    ..
                } = self.probe();
                self.rest(&mut lock(&self.shared.book), keep);
                let (node, took) = (self.id.clone(), began.elapsed());
                (self.shared.events)(UpstreamEvent::HealthChecked {
                    server: node,
                    outcome,
                    latency: took,
                    load,
                });
            }
        }
    }

    fn rest(&self, book: &mut Book, keep: bool) {
        if let Some(connection) = self.used.clone().filter(|_| keep) {
            book.rest(&self.id, self.address, connection, &self.shared.links);
        }
    }

    fn attempt(
        &mut self,
        call: &S::Call,
        wait: AttemptDeadlines,
        line: &Line,
        client: &dyn Presence,
        begins: &dyn Fn(S::Value),
    ) -> Exchange<S::Value> {
        let Ok(connection) = self.connected() else {
            return Exchange::broke(Outcome::ConnectFailed);
        };
        // Guards against an attempt that begins after its client left: whoever reads from the client may rest, and what it
        // tells the core waits in a queue. No judgement on the node; its new connection was never used.
        if client.has_left() {
            return Exchange {
                keep: true,
                ..Exchange::broke(Outcome::Superseded)
            };
        }
        {
            let mut state = lock(&line.state);
            if state.cancelled {
                return Exchange::broke(Outcome::Cancelled);
            }
            // Its connection may have come up late.
            if state.barred || Instant::now() >= wait.write {
                return Exchange::broke(Outcome::ConnectFailed);
            }
            state.connection = Some(connection.clone());
        }
        let left = wait.answer.saturating_duration_since(Instant::now());
        match self.shared.protocol.write(call, &connection.stream, left) {
            Ok(()) => {
                self.shared.figures.attempt();
                self.shared.protocol.read(call, &connection, begins)
            }
            Err(_) => Exchange::broke(Outcome::ConnectFailed),
        }
    }

    fn probe(&mut self) -> Exchange<S::Value> {
        let Ok(connection) = self.connected() else {
            return Exchange::broke(Outcome::ConnectFailed);
        };
        let stream = &connection.stream;
        // Nothing else ends a probe, as the core does an attempt: neither its writing nor its reading.
        let limit =
            |wait| stream.set_write_timeout(wait).is_ok() && stream.set_read_timeout(wait).is_ok();
        if !limit(Some(self.shared.links.connect)) {
            return Exchange::broke(Outcome::ConnectFailed);
        }
        let done = self.shared.protocol.probe(stream);
        Exchange {
            keep: done.keep && limit(None),
            ..done
        }
    }

    /// The kept connection if it still stands, else a new one.
    ///
    /// Guards against a request written to a connection that the node has closed meanwhile: it would end as a
    /// reset, and a request that must not run twice would be lost with it.
    fn connected(&mut self) -> io::Result<Arc<Connection>> {
        if let Some(Idle { connection, since }) = self.kept.take() {
            thread::sleep((since + REST).saturating_duration_since(Instant::now()));
            if stands(&connection.stream) {
                self.used = Some(connection.clone());
                return Ok(connection);
            }
        }
        let counted = self
            .counted
            .take()
            .unwrap_or_else(|| Counted::new(&self.shared.lines));
        let stream = TcpStream::connect_timeout(&self.address, self.shared.links.connect)?;
        stream.set_nodelay(true)?;
        let connection = Arc::new(Connection {
            stream,
            _counted: counted,
        });
        self.used = Some(connection.clone());
        Ok(connection)
    }
}

/// How long an idle connection may be used again.
fn kept_for(links: &Links) -> Duration {
    links.idle - IDLE_MARGIN.min(links.idle / 2)
}

/// Nothing has come on an idle connection: neither its end nor bytes that belong to no request.
pub fn stands(stream: &TcpStream) -> bool {
    let come = SockRef::from(stream).recv_with_flags(&mut [MaybeUninit::uninit()], PEEK_AT_ONCE);
    come.is_err_and(|fault| fault.kind() == ErrorKind::WouldBlock)
}
