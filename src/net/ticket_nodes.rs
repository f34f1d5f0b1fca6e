//! Attempts at ticket nodes: kept connections, one attempt at a time on each, a small thread for each.

use super::wiring::Queue;
use super::{lock, spawn};
use crate::config::{Links, NodeNews};
use crate::figures::Figures;
use crate::hush::Hush;
use crate::interface::{Outcome, Readiness, ServerId};
use crate::limiter::{AttemptId, Input};
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use slog::{warn, Logger};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A connection is not used again within this time of the node's closing it.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Time for a hand-over that was decided just before that.
const HAND_OVER: Duration = Duration::from_millis(500);
/// Idle connections kept to one node.
const KEPT: usize = 32;

/// How attempts are worded on a connection to a ticket node.
pub trait Speech: Send + Sync + Sized + 'static {
    /// What is passed on.
    type Call: Send + Sync + 'static;
    /// What a ticket node serves.
    type Value: Send + 'static;
    /// Writes a request whole, with the time that the limiter waits; a fault means that it is not whole.
    fn write(&self, call: &Self::Call, to: &TcpStream, left: Duration) -> io::Result<()>;
    /// Reads the answer to what was written.
    fn read(&self, call: &Self::Call, from: &TcpStream) -> Exchange<Self::Value>;
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
        Self { outcome, load: Vec::new(), value: None, keep: false }
    }
}

/// The ticket nodes and the connections to them.
pub struct TicketNodes<S: Speech> {
    shared: Arc<Shared<S>>,
}

impl<S: Speech> Clone for TicketNodes<S> {
    fn clone(&self) -> Self {
        Self { shared: self.shared.clone() }
    }
}

struct Shared<S: Speech> {
    book: Mutex<Book<S::Call>>,
    links: Links,
    most: usize,
    speech: S,
    queue: Queue<S>,
    figures: Arc<Figures>,
    log: Logger,
    full: Hush,
}

struct Book<C> {
    nodes: HashMap<ServerId, Node<C>>,
    running: HashMap<AttemptId, Arc<Line>>,
    lines: usize,
}

struct Node<C> {
    address: SocketAddr,
    idle: Vec<Idle<C>>,
}

/// A connection that waits for work.
struct Idle<C> {
    work: Sender<Job<C>>,
    since: Instant,
}

/// A connection as the one who cancels sees it.
struct Line {
    node: ServerId,
    state: Mutex<LineState>,
}

#[derive(Default)]
struct LineState {
    /// There once writing has begun.
    stream: Option<Arc<TcpStream>>,
    cancelled: bool,
    /// The node was taken out before a byte was written: nothing is.
    barred: bool,
}

enum Job<C> {
    Attempt { attempt: AttemptId, call: Arc<C>, ends: Instant, line: Arc<Line> },
    Probe,
}

impl<S: Speech> TicketNodes<S> {
    /// Ticket nodes, none known yet; `most` connections to all of them together.
    pub fn new(
        links: Links,
        most: usize,
        speech: S,
        queue: Queue<S>,
        figures: Arc<Figures>,
        log: Logger,
    ) -> Self {
        let book = Mutex::new(Book { nodes: HashMap::new(), running: HashMap::new(), lines: 0 });
        let full = Hush::default();
        Self { shared: Arc::new(Shared { book, links, most, speech, queue, figures, log, full }) }
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
    pub fn start(&self, attempt: AttemptId, node: &ServerId, call: Arc<S::Call>, ends: Instant) {
        let line = Arc::new(Line { node: node.clone(), state: Mutex::default() });
        lock(&self.shared.book).running.insert(attempt, line.clone());
        if let Err(outcome) = self.give(node, Job::Attempt { attempt, call, ends, line }) {
            lock(&self.shared.book).running.remove(&attempt);
            _ = self.shared.queue.send(Input::Ended { attempt, outcome, load: Vec::new(), value: None });
        }
    }

    /// Gives an attempt up by closing its connection, which tells the node. False if nothing of it was written:
    /// while its connection was still coming up, it can't have run.
    pub fn cancel(&self, attempt: AttemptId) -> bool {
        let Some(line) = lock(&self.shared.book).running.remove(&attempt) else { return true };
        let mut state = lock(&line.state);
        state.cancelled = true;
        if let Some(stream) = &state.stream {
            _ = stream.shutdown(Shutdown::Both);
        }
        state.stream.is_some()
    }

    /// Keeps what has been started for a node, and waits for its connection, from being written.
    pub fn bar(&self, node: &ServerId) {
        let book = lock(&self.shared.book);
        book.running.values().filter(|l| l.node == *node).for_each(|line| lock(&line.state).barred = true);
    }

    /// Asks a node for its load.
    pub fn probe(&self, node: &ServerId) {
        if let Err(outcome) = self.give(node, Job::Probe) {
            let (node, took) = (node.clone(), Duration::ZERO);
            _ = self.shared.queue.send(Input::Probed { node, outcome, took, load: Vec::new() });
        }
    }

    fn give(&self, id: &ServerId, mut job: Job<S::Call>) -> Result<(), Outcome> {
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
            if let Some(more) = shared.full.due() {
                let lines = book.lines;
                warn!(shared.log, "no descriptor left for a ticket node"; "lines" => lines, "unlogged" => more);
            }
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

impl<C> Book<C> {
    /// Drops the idle connection that waits longest; its thread ends and frees the descriptor.
    fn close_oldest(&mut self) -> bool {
        let waiting = self.nodes.values_mut().filter(|n| !n.idle.is_empty());
        let oldest = waiting.min_by_key(|n| n.idle[0].since);
        oldest.map(|n| n.idle.remove(0)).is_some()
    }
}

/// The thread of one connection.
struct Worker<S: Speech> {
    id: ServerId,
    address: SocketAddr,
    stream: Option<Arc<TcpStream>>,
    shared: Arc<Shared<S>>,
}

impl<S: Speech> Worker<S> {
    fn run(mut self, first: Job<S::Call>) {
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
    fn carry_out(&mut self, job: Job<S::Call>) -> Option<Receiver<Job<S::Call>>> {
        match job {
            Job::Attempt { attempt, call, ends, line } => {
                let Exchange { outcome, load, value, keep } = self.attempt(&call, ends, &line);
                let work = {
                    let mut book = lock(&self.shared.book);
                    // A cancelled attempt has left the book, and its connection is closed.
                    let keep = book.running.remove(&attempt).is_some() && keep;
                    keep.then(|| book.rest(&self.id, self.address, &self.shared.links)).flatten()
                };
                _ = self.shared.queue.send(Input::Ended { attempt, outcome, load, value });
                work
            }
            Job::Probe => {
                let began = Instant::now();
                let Exchange { outcome, load, keep, .. } = self.probe();
                let mut book = lock(&self.shared.book);
                let work = keep.then(|| book.rest(&self.id, self.address, &self.shared.links)).flatten();
                drop(book);
                let (node, took) = (self.id.clone(), began.elapsed());
                _ = self.shared.queue.send(Input::Probed { node, outcome, took, load });
                work
            }
        }
    }

    fn attempt(&mut self, call: &S::Call, ends: Instant, line: &Line) -> Exchange<S::Value> {
        let Ok(stream) = self.connected() else { return Exchange::broke(Outcome::ConnectFailed) };
        {
            let mut state = lock(&line.state);
            if state.cancelled {
                return Exchange::broke(Outcome::Cancelled);
            }
            if state.barred {
                return Exchange::broke(Outcome::ConnectFailed);
            }
            state.stream = Some(stream.clone());
        }
        let left = ends.saturating_duration_since(Instant::now());
        match self.shared.speech.write(call, &stream, left) {
            Ok(()) => {
                self.shared.figures.attempt();
                self.shared.speech.read(call, &stream)
            }
            Err(_) => Exchange::broke(Outcome::ConnectFailed),
        }
    }

    fn probe(&mut self) -> Exchange<S::Value> {
        let Ok(stream) = self.connected() else { return Exchange::broke(Outcome::ConnectFailed) };
        // Nothing else ends a probe, as the core does an attempt: neither its writing nor its reading.
        let limit = |wait| stream.set_write_timeout(wait).is_ok() && stream.set_read_timeout(wait).is_ok();
        if !limit(Some(self.shared.links.connect)) {
            return Exchange::broke(Outcome::ConnectFailed);
        }
        let done = self.shared.speech.probe(&stream);
        Exchange { keep: done.keep && limit(None), ..done }
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
}

impl<C> Book<C> {
    /// Puts a connection among the idle ones of its node, if the node is still there and has few; what it is
    /// to do next comes from the receiver, which ends when the connection is dropped from the book.
    fn rest(&mut self, id: &ServerId, address: SocketAddr, links: &Links) -> Option<Receiver<Job<C>>> {
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
pub fn stands(stream: &TcpStream) -> bool {
    let quiet = stream.set_nonblocking(true).is_ok()
        && matches!(stream.peek(&mut [0]), Err(fault) if fault.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_ok() && quiet
}
