//! A front: connections of agents, and answers in the order of what was asked.
//!
//! Each connection has a thread that reads and one that writes. A slot for the answer of each command goes
//! from the one to the other in order, so a slow or broken agent holds up its own connection alone. What the
//! connections speak is a [`Manner`].

use super::ticket_nodes::Speech;
use super::wiring::{Queue, Wiring};
use super::{lock, spawn};
use crate::limiter::{Answer, Incoming, Input};
use crossbeam_channel::{bounded, Receiver, Sender};
use slog::{warn, Logger};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Commands of one connection that wait for their answers; an agent that writes more has to wait.
const PIPELINED: usize = 64;
/// An agent that does not read its answers for so long is dropped.
const WRITE_WAIT: Duration = Duration::from_secs(5);
/// Time for an agent to read its last answer before the connection is closed under it.
const LINGER: Duration = Duration::from_secs(1);
/// Wait after a failed accept, as when descriptors run out.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);

/// What the connections of a front speak.
pub trait Manner: Send + Sync + Sized + 'static {
    /// What is spoken to the ticket nodes behind it.
    type Speech: Speech;
    /// What the writer has to know of a command.
    type Shape: Send + 'static;
    /// Reads commands until the agent goes away or nothing more is to be taken from it.
    fn read(&self, stream: &TcpStream, desk: &Desk<Self>);
    /// Writes an answer; false if the connection is to end after it.
    fn write(
        &self,
        to: &TcpStream,
        shape: Self::Shape,
        answer: Answer<<Self::Speech as Speech>::Value>,
    ) -> io::Result<bool>;
}

/// Where the answer of a request goes; without one, the agent is told that the request failed.
pub type Slot<V> = Sender<Reply<V>>;

/// What is written to an agent.
pub enum Reply<V> {
    /// The answer of a request.
    Answer(Answer<V>),
    /// The front's own words; `last` if the connection ends with them.
    Words {
        /// As they are written.
        text: Vec<u8>,
        /// Nothing follows.
        last: bool,
    },
}

impl<V> Reply<V> {
    /// The front's own words, with more to follow.
    pub fn words(text: &str) -> Self {
        Self::Words { text: text.into(), last: false }
    }

    /// The front's last words.
    pub fn last(text: String) -> Self {
        Self::Words { text: text.into_bytes(), last: true }
    }
}

type ValueOf<M> = <<M as Manner>::Speech as Speech>::Value;

/// A command that is owed an answer: its number, what the writer has to know, where the answer comes from.
type Owed<M> = (u64, <M as Manner>::Shape, Receiver<Reply<ValueOf<M>>>);

/// A front.
pub struct Front<M: Manner> {
    manner: M,
    most: usize,
    queue: Queue<M::Speech>,
    ready: AtomicBool,
    closing: AtomicBool,
    numbers: AtomicU64,
    links: Mutex<HashMap<u64, Arc<Link>>>,
    /// A connection has ended.
    freed: Condvar,
    log: Logger,
}

/// A connection of an agent.
struct Link {
    stream: TcpStream,
    state: Mutex<LinkState>,
}

struct LinkState {
    /// Requests that wait for their answers.
    waiting: Vec<u64>,
    /// Commands read and not answered yet.
    owed: usize,
    /// Nothing that is read from now on is taken.
    closed: bool,
    idle_since: Instant,
}

/// What the reader of a connection hands its commands to.
pub struct Desk<'a, M: Manner> {
    front: &'a Front<M>,
    link: &'a Link,
    slots: Sender<Owed<M>>,
}

impl<M: Manner> Desk<'_, M> {
    /// Takes the next place in the order of answers; none if the connection is closing, and what was read is
    /// not taken.
    pub fn place(&self, shape: M::Shape) -> Option<(u64, Slot<ValueOf<M>>)> {
        let (slot, answer) = bounded(1);
        let number = self.front.numbers.fetch_add(1, Ordering::Relaxed);
        if !self.link.begin() || self.slots.send((number, shape, answer)).is_err() {
            return None;
        }
        Some((number, slot))
    }

    /// Passes a request to the core.
    pub fn ask(&self, request: Incoming<Wiring<M::Speech>>) {
        lock(&self.link.state).waiting.push(request.number);
        _ = self.front.queue.send(Input::Request(request));
    }

    /// The limiter knows a node list.
    pub fn ready(&self) -> bool {
        self.front.ready.load(Ordering::Relaxed)
    }

    /// For the front's log lines.
    pub fn log(&self) -> &Logger {
        &self.front.log
    }
}

impl<M: Manner> Front<M> {
    /// A front for at most so many connections.
    pub fn new(manner: M, most: usize, queue: Queue<M::Speech>, log: Logger) -> Arc<Self> {
        Arc::new(Self {
            manner,
            most,
            queue,
            ready: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            numbers: AtomicU64::new(0),
            links: Mutex::default(),
            freed: Condvar::new(),
            log,
        })
    }

    /// Listens and starts to take connections.
    pub fn listen(self: &Arc<Self>, at: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(at)?;
        let bound = listener.local_addr()?;
        let front = self.clone();
        spawn("agents", move || front.accept(&listener))?;
        Ok(bound)
    }

    /// From now on the front says that it is ready.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Relaxed);
    }

    /// Closes every connection that owes nothing, and each other once it has answered.
    pub fn close_idle(&self) {
        self.closing.store(true, Ordering::SeqCst);
        for link in lock(&self.links).values() {
            link.close_if_idle();
        }
    }

    /// Waits until every connection has ended, or for so long.
    pub fn wait_closed(&self, most: Duration) {
        let links = lock(&self.links);
        _ = self.freed.wait_timeout_while(links, most, |links| !links.is_empty());
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    self.make_room();
                    if let Err(fault) = self.serve(stream) {
                        warn!(self.log, "agent connection dropped"; "fault" => %fault);
                    }
                }
                Err(fault) => {
                    warn!(self.log, "accept failed"; "fault" => %fault);
                    thread::sleep(ACCEPT_WAIT);
                }
            }
        }
    }

    /// Keeps within the descriptors: the connection idle longest goes, else the new one waits for an end.
    fn make_room(&self) {
        let mut links = lock(&self.links);
        while links.len() >= self.most {
            let idle = |l: &Arc<Link>| {
                let state = lock(&l.state);
                (state.owed == 0 && !state.closed).then_some(state.idle_since)
            };
            let oldest = links.values().filter_map(|l| Some((idle(l)?, l.clone()))).min_by_key(|(at, _)| *at);
            match oldest {
                Some((_, link)) => link.close_if_idle(),
                None => warn!(self.log, "agent connections full"; "open" => links.len()),
            }
            let waited = self.freed.wait_timeout(links, Duration::from_secs(1));
            links = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_WAIT))?;
        let state = LinkState { waiting: Vec::new(), owed: 0, closed: false, idle_since: Instant::now() };
        let link = Arc::new(Link { stream, state: Mutex::new(state) });
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (slots, owed) = bounded(PIPELINED);
        lock(&self.links).insert(number, link.clone());
        if self.closing.load(Ordering::SeqCst) {
            link.close_if_idle();
        }
        let (front, reading) = (self.clone(), link.clone());
        let (reads, read_out) = bounded::<()>(0);
        let begun = spawn("agent-read", move || {
            let desk = Desk { front: &front, link: &reading, slots };
            front.manner.read(&reading.stream, &desk);
            drop(desk);
            // Up to the end: to close with bytes unread would reset the connection under its last answer.
            while matches!((&reading.stream).read(&mut [0; 512]), Ok(1..)) {}
            front.left(&reading);
            drop(reads);
        });
        let (front, writing) = (self.clone(), link.clone());
        let begun = begun.and_then(|()| {
            spawn("agent-write", move || {
                if front.write(&writing, &owed) {
                    // The agent is told by the end of sending, and gets a moment to read what it was told.
                    _ = writing.stream.shutdown(Shutdown::Write);
                    _ = read_out.recv_timeout(LINGER);
                }
                // Ends the reader too, which tells of what is still open.
                writing.close();
                lock(&front.links).remove(&number);
                front.freed.notify_all();
            })
        });
        if begun.is_err() {
            lock(&self.links).remove(&number);
            link.close();
        }
        begun
    }

    /// The agent has gone away: nobody waits for what is still open.
    fn left(&self, link: &Link) {
        let mut state = lock(&link.state);
        state.closed = true;
        let left = std::mem::take(&mut state.waiting);
        drop(state);
        left.into_iter().for_each(|number| _ = self.queue.send(Input::Left(number)));
    }

    /// Writes answers in order; true if the connection ends by the limiter's own choice.
    fn write(&self, link: &Link, owed: &Receiver<Owed<M>>) -> bool {
        for (number, shape, answer) in owed {
            let goes_on = match answer.recv().unwrap_or(Reply::Answer(Answer::Failed { late: false })) {
                Reply::Answer(answer) => self.manner.write(&link.stream, shape, answer),
                Reply::Words { text, last } => (&link.stream).write_all(&text).map(|()| !last),
            };
            match goes_on {
                Ok(true) if link.end(number, self.closing.load(Ordering::SeqCst)) => {}
                Ok(_) => return true,
                Err(_) => return false,
            }
        }
        false
    }
}

impl Link {
    /// A command has been read; false if the connection is closing and the command is not taken.
    fn begin(&self) -> bool {
        let mut state = lock(&self.state);
        state.owed += usize::from(!state.closed);
        !state.closed
    }

    /// The first command still owed has been answered; false if the connection is to end.
    fn end(&self, number: u64, closing: bool) -> bool {
        let mut state = lock(&self.state);
        state.waiting.retain(|n| *n != number);
        state.owed -= 1;
        state.idle_since = Instant::now();
        state.closed |= closing && state.owed == 0;
        !state.closed
    }

    fn close_if_idle(&self) {
        let mut state = lock(&self.state);
        if state.owed == 0 {
            state.closed = true;
            _ = self.stream.shutdown(Shutdown::Both);
        }
    }

    fn close(&self) {
        lock(&self.state).closed = true;
        _ = self.stream.shutdown(Shutdown::Both);
    }
}
