//! Attempts at ticket nodes: kept connections, one attempt at a time on each, a small thread for each.

use super::agents::{PlatformCall, Served};
use super::buffers::{Buffer, SIZE};
use super::resp::{self, Reply};
use super::{lock, spawn};
use crate::config::{Links, NodeNews};
use crate::interface::{Outcome, Readiness, ServerId};
use crate::limiter::AttemptId;
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use slog::{warn, Logger};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A connection is not used again within this time of the node's closing it.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Time for a hand-over that was decided just before that.
const HAND_OVER: Duration = Duration::from_millis(500);
/// Idle connections kept to one node.
const KEPT: usize = 32;

/// What became of an attempt or a probe.
pub enum NodeEnd {
    /// An attempt has ended.
    Attempt {
        /// Which.
        attempt: AttemptId,
        /// How.
        outcome: Outcome,
        /// The node's load, if told.
        load: Vec<f64>,
        /// What it served.
        value: Option<Served>,
    },
    /// A probe has ended.
    Probe {
        /// The node.
        node: ServerId,
        /// How.
        outcome: Outcome,
        /// Time it took.
        took: Duration,
        /// The node's load.
        load: Vec<f64>,
    },
}

/// Takes what became of attempts and probes.
pub type Ended = Arc<dyn Fn(NodeEnd) + Send + Sync>;

/// The ticket nodes and the connections to them.
#[derive(Clone)]
pub struct TicketNodes {
    shared: Arc<Shared>,
}

struct Shared {
    book: Mutex<Book>,
    links: Links,
    most: usize,
    load_fields: Vec<String>,
    ended: Ended,
    log: Logger,
}

#[derive(Default)]
struct Book {
    nodes: HashMap<ServerId, Node>,
    running: HashMap<AttemptId, Arc<Line>>,
    lines: usize,
}

struct Node {
    address: SocketAddr,
    idle: Vec<Idle>,
}

/// A connection that waits for work.
struct Idle {
    work: Sender<Job>,
    since: Instant,
}

/// A connection as the one who cancels sees it.
#[derive(Default)]
struct Line {
    state: Mutex<LineState>,
}

#[derive(Default)]
struct LineState {
    stream: Option<Arc<TcpStream>>,
    cancelled: bool,
}

enum Job {
    Attempt { attempt: AttemptId, call: Arc<PlatformCall>, ends: Instant, line: Arc<Line> },
    Probe,
}

impl TicketNodes {
    /// Ticket nodes, none known yet; `most` connections to all of them together.
    pub fn new(links: Links, most: usize, load_fields: Vec<String>, ended: Ended, log: Logger) -> Self {
        let book = Mutex::default();
        Self { shared: Arc::new(Shared { book, links, most, load_fields, ended, log }) }
    }

    /// Takes news of the node list. A node that is gone or absent from a full list loses its idle connections.
    pub fn learn(&self, news: &NodeNews) {
        let mut book = lock(&self.shared.book);
        if news.full {
            book.nodes.retain(|id, _| news.nodes.iter().any(|(m, _)| m.id == *id));
        }
        for (member, address) in &news.nodes {
            if member.readiness == Readiness::Gone {
                book.nodes.remove(&member.id);
                continue;
            }
            let fresh = || Node { address: *address, idle: Vec::new() };
            let node = book.nodes.entry(member.id.clone()).or_insert_with(fresh);
            if node.address != *address {
                *node = fresh();
            }
        }
    }

    /// Starts an attempt on an idle connection, or on a new one.
    pub fn start(&self, attempt: AttemptId, node: &ServerId, call: Arc<PlatformCall>, ends: Instant) {
        let line = Arc::new(Line::default());
        lock(&self.shared.book).running.insert(attempt, line.clone());
        if let Err(outcome) = self.give(node, Job::Attempt { attempt, call, ends, line }) {
            lock(&self.shared.book).running.remove(&attempt);
            (self.shared.ended)(NodeEnd::Attempt { attempt, outcome, load: Vec::new(), value: None });
        }
    }

    /// Gives an attempt up by closing its connection, which tells the node.
    pub fn cancel(&self, attempt: AttemptId) {
        let Some(line) = lock(&self.shared.book).running.remove(&attempt) else { return };
        let mut state = lock(&line.state);
        state.cancelled = true;
        if let Some(stream) = &state.stream {
            _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Asks a node for its load.
    pub fn probe(&self, node: &ServerId) {
        if let Err(outcome) = self.give(node, Job::Probe) {
            let (node, took) = (node.clone(), Duration::ZERO);
            (self.shared.ended)(NodeEnd::Probe { node, outcome, took, load: Vec::new() });
        }
    }

    fn give(&self, id: &ServerId, mut job: Job) -> Result<(), Outcome> {
        let shared = &self.shared;
        let mut book = lock(&shared.book);
        let Some(node) = book.nodes.get_mut(id) else { return Err(Outcome::ConnectFailed) };
        let address = node.address;
        let keep = shared.links.idle.saturating_sub(IDLE_MARGIN);
        // The one used last: the others may age and close.
        while let Some(idle) = node.idle.pop() {
            if idle.since.elapsed() >= keep {
                continue;
            }
            match idle.work.send(job) {
                Ok(()) => return Ok(()),
                Err(back) => job = back.0,
            }
        }
        if book.lines >= shared.most && !book.close_oldest() {
            // No judgement on the node: it never got the attempt.
            warn!(shared.log, "no descriptor left for a ticket node"; "lines" => book.lines);
            return Err(Outcome::Moot);
        }
        book.lines += 1;
        drop(book);
        let (id, own) = (id.clone(), shared.clone());
        let work = move || Worker { id, address, stream: None, shared: own }.run(job);
        if let Err(fault) = spawn("node", work) {
            warn!(shared.log, "no thread for a ticket node"; "fault" => %fault);
            lock(&shared.book).lines -= 1;
            return Err(Outcome::Moot);
        }
        Ok(())
    }
}

impl Book {
    /// Drops the idle connection that waits longest; its thread ends and frees the descriptor.
    fn close_oldest(&mut self) -> bool {
        let waiting = self.nodes.values_mut().filter(|n| !n.idle.is_empty());
        let oldest = waiting.min_by_key(|n| n.idle[0].since);
        oldest.map(|n| n.idle.remove(0)).is_some()
    }
}

/// The thread of one connection.
struct Worker {
    id: ServerId,
    address: SocketAddr,
    stream: Option<Arc<TcpStream>>,
    shared: Arc<Shared>,
}

/// How an exchange on a connection went; the connection goes on only after a whole answer.
struct Exchange {
    outcome: Outcome,
    load: Vec<f64>,
    value: Option<Served>,
    keep: bool,
}

impl Exchange {
    fn broke(outcome: Outcome) -> Self {
        Self { outcome, load: Vec::new(), value: None, keep: false }
    }
}

impl Worker {
    fn run(mut self, first: Job) {
        let keep = self.shared.links.idle.saturating_sub(IDLE_MARGIN);
        let mut job = Some(first);
        while let Some(next) = job.take() {
            let Some(work) = self.carry_out(next) else { break };
            // Work is handed over for `keep` alone; the rest is for a hand-over that was slow.
            job = match work.recv_timeout(keep + HAND_OVER) {
                Err(RecvTimeoutError::Timeout) => work.try_recv().ok(),
                other => other.ok(),
            };
        }
        self.stream = None;
        lock(&self.shared.book).lines -= 1;
    }

    /// Carries out a job and tells of its end; says where the next comes from if the connection is kept.
    fn carry_out(&mut self, job: Job) -> Option<Receiver<Job>> {
        match job {
            Job::Attempt { attempt, call, ends, line } => {
                let Exchange { outcome, load, value, keep } = self.attempt(&call, ends, &line);
                let work = {
                    let mut book = lock(&self.shared.book);
                    // A cancelled attempt has left the book, and its connection is closed.
                    let keep = book.running.remove(&attempt).is_some() && keep;
                    keep.then(|| book.rest(&self.id, self.address, &self.shared.links)).flatten()
                };
                (self.shared.ended)(NodeEnd::Attempt { attempt, outcome, load, value });
                work
            }
            Job::Probe => {
                let began = Instant::now();
                let Exchange { outcome, load, keep, .. } = self.probe();
                let mut book = lock(&self.shared.book);
                let work = keep.then(|| book.rest(&self.id, self.address, &self.shared.links)).flatten();
                drop(book);
                let (node, took) = (self.id.clone(), began.elapsed());
                (self.shared.ended)(NodeEnd::Probe { node, outcome, took, load });
                work
            }
        }
    }

    fn attempt(&mut self, call: &PlatformCall, ends: Instant, line: &Line) -> Exchange {
        let Ok(stream) = self.connected() else { return Exchange::broke(Outcome::ConnectFailed) };
        {
            let mut state = lock(&line.state);
            if state.cancelled {
                return Exchange::broke(Outcome::Cancelled);
            }
            state.stream = Some(stream.clone());
        }
        let mut command = Buffer::take();
        let left = ends.saturating_duration_since(Instant::now());
        let written = call.write(&mut command, left).and_then(|size| (&*stream).write_all(&command[..size]));
        drop(command);
        if written.is_err() {
            return Exchange::broke(Outcome::ConnectFailed);
        }
        self.read(&stream)
    }

    fn probe(&mut self) -> Exchange {
        let Ok(stream) = self.connected() else { return Exchange::broke(Outcome::ConnectFailed) };
        let limited = stream.set_read_timeout(Some(self.shared.links.connect));
        if limited.is_err() || (&*stream).write_all(b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n").is_err() {
            return Exchange::broke(Outcome::ConnectFailed);
        }
        let done = self.read(&stream);
        Exchange { keep: done.keep && stream.set_read_timeout(None).is_ok(), ..done }
    }

    /// The kept connection if it still stands, else a new one.
    ///
    /// Guards against a request written to a connection that the node has closed meanwhile: it would end as a
    /// reset, and a request that must not run twice would be lost with it.
    fn connected(&mut self) -> io::Result<Arc<TcpStream>> {
        if let Some(stream) = self.stream.take_if(|s| stands(s)) {
            self.stream = Some(stream.clone());
            return Ok(stream);
        }
        let stream = TcpStream::connect_timeout(&self.address, self.shared.links.connect)?;
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        self.stream = Some(stream.clone());
        Ok(stream)
    }

    fn read(&self, stream: &TcpStream) -> Exchange {
        let (mut buffer, mut end) = (Buffer::take(), 0);
        loop {
            match (&*stream).read(&mut buffer[end..]) {
                Ok(0) => return Exchange::broke(Outcome::Reset),
                Ok(read) => end += read,
                Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => {
                    return Exchange::broke(Outcome::Timeout)
                }
                Err(_) => return Exchange::broke(Outcome::Reset),
            }
            match resp::reply(&buffer[..end], 0) {
                Ok(Some((reply, size))) => return self.understood(buffer, reply, size == end),
                Ok(None) if end < SIZE => {}
                _ => return Exchange::broke(Outcome::Error),
            }
        }
    }

    fn understood(&self, buffer: Buffer, reply: Reply, keep: bool) -> Exchange {
        let done = |outcome, load, value| Exchange { outcome, load, value, keep };
        match reply {
            Reply::Array(Some(parts)) => {
                let load = match parts.get(2) {
                    Some(Reply::Bulk(Some(text))) => self.load(&buffer[text.clone()]),
                    _ => Vec::new(),
                };
                match parts.into_iter().next() {
                    Some(Reply::Bulk(Some(value))) => done(Outcome::Ok, load, Some(Served { buffer, value })),
                    _ => done(Outcome::Error, load, None),
                }
            }
            Reply::Bulk(Some(report)) => done(Outcome::Ok, self.load(&buffer[report]), None),
            Reply::Error(text) => {
                let text = &buffer[text];
                let last = text.rsplit(|b| *b == b' ').next().filter(|w| w.contains(&b'='));
                let outcome = if text.starts_with(b"BUSY") { Outcome::Full } else { Outcome::Error };
                done(outcome, last.map(|w| self.load(w)).unwrap_or_default(), None)
            }
            _ => done(Outcome::Error, Vec::new(), None),
        }
    }

    /// A load report in the order of the settings; empty unless it holds every figure.
    fn load(&self, report: &[u8]) -> Vec<f64> {
        let text = std::str::from_utf8(report).unwrap_or("");
        let figure = |name: &String| {
            let (_, value) = text.split(',').filter_map(|f| f.split_once('=')).find(|(n, _)| n == name)?;
            value.parse::<f64>().ok().filter(|v| v.is_finite())
        };
        self.shared.load_fields.iter().map(figure).collect::<Option<_>>().unwrap_or_default()
    }
}

impl Book {
    /// Puts a connection among the idle ones of its node, if the node is still there and has few; what it is
    /// to do next comes from the receiver, which ends when the connection is dropped from the book.
    fn rest(&mut self, id: &ServerId, address: SocketAddr, links: &Links) -> Option<Receiver<Job>> {
        let node = self.nodes.get_mut(id).filter(|n| n.address == address)?;
        let keep = links.idle.saturating_sub(IDLE_MARGIN);
        node.idle.retain(|idle| idle.since.elapsed() < keep);
        if node.idle.len() >= KEPT {
            return None;
        }
        let (sender, work) = bounded(1);
        node.idle.push(Idle { work: sender, since: Instant::now() });
        Some(work)
    }
}

/// Nothing has come on an idle connection: neither its end nor bytes that belong to no request.
fn stands(stream: &TcpStream) -> bool {
    let quiet = stream.set_nonblocking(true).is_ok()
        && matches!(stream.peek(&mut [0]), Err(fault) if fault.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_ok() && quiet
}
