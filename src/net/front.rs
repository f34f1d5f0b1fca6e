//! A front: connections of agents, and answers in the order of what was asked.
//!
//! Each connection has a thread that reads and, from its first request on, one that writes. A slot for the answer
//! of each command goes from the one to the other in order, so a slow or broken agent holds up its own connection
//! alone. What the connections speak is a [`Manner`].
//!
//! One more thread watches over all connections: what never completes a command, or is held for good after its
//! last answer, is closed, and whoever sends what can't be read is not kept waiting behind an answer.

use super::tap::{Tap, Wake};
use super::ticket_nodes::Speech;
use super::wiring::{Queue, Wiring};
use super::{lock, spawn};
use crate::figures::{End, Figures, Tally};
use crate::hush::Hush;
use crate::limiter::{Answer, Incoming, Input};
use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use slog::{info, warn, Logger};
use std::cell::OnceCell;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Commands of one connection that wait for their answers; an agent that writes more has gone too far.
const PIPELINED: usize = 64;
/// An agent that does not read its answers for so long is dropped.
const WRITE_WAIT: Duration = Duration::from_secs(2);
/// Time for an agent to read its last answer before the connection is closed under it.
const LINGER: Duration = Duration::from_millis(300);
/// Read beyond what ended a connection, so that its last words are not lost to a reset; no more than that, as
/// some agents have 60 MB to send.
const DRAINED: usize = 128 * 1024;
/// Wait after a failed accept, as when descriptors run out.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);
/// A command is to be whole by then, counted from the connection or, later, from its first byte; what can't be
/// read is answered by then too. An agent is owed that within 3 s of connecting.
const PATIENCE: Duration = Duration::from_millis(2_200);
/// A connection that has nothing open for so long is closed. After 2 s it may be.
const IDLE: Duration = Duration::from_millis(3_000);
/// Between two looks at the connections, while there are any.
const WATCH: Duration = Duration::from_millis(200);
/// A new connection waits so long for another to end when all are busy.
const ROOM_WAIT: Duration = Duration::from_millis(100);

/// What the connections of a front speak.
pub trait Manner: Send + Sync + Sized + 'static {
    /// What is spoken to the ticket nodes behind it.
    type Speech: Speech;
    /// What the writer has to know of a command.
    type Shape: Send + 'static;
    /// Reads commands until the agent goes away, nothing more is to be taken from it or the connection is to be handed
    /// over; what has been read by then and is no whole command.
    fn read(&self, from: &mut Tap, desk: &Desk<Self>) -> Vec<u8>;
    /// The last words to an agent whose connection is ended.
    fn dismissal(&self, why: Dismissal) -> (Self::Shape, Vec<u8>);
    /// Writes an answer; false if the connection is to end after it.
    fn write(
        &self,
        to: &TcpStream,
        shape: Self::Shape,
        answer: Answer<<Self::Speech as Speech>::Value>,
    ) -> io::Result<bool>;
}

/// Why a connection is ended while the agent may still read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Dismissal {
    /// No whole command came in time.
    TooSlow,
    /// More commands came at once than may wait for their answers.
    TooMany,
}

impl Dismissal {
    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            Self::TooSlow => "no whole command in time",
            Self::TooMany => "too many commands at once",
        }
    }
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
}

type ValueOf<M> = <<M as Manner>::Speech as Speech>::Value;

/// A command that is owed an answer: its number, what the writer has to know, where the answer comes from, and where a
/// request is counted.
type Owed<M> = (u64, <M as Manner>::Shape, Receiver<Reply<ValueOf<M>>>, Option<Tally>);

/// Hands a connection over to another process, with what was read from it; false if it stays.
pub type Pass = Arc<dyn Fn(&TcpStream, &[u8]) -> bool + Send + Sync>;

/// A front.
pub struct Front<M: Manner> {
    manner: M,
    most: AtomicUsize,
    /// Connections can be handed over; ends the waiting of their readers.
    wake: Option<Wake>,
    /// Where to, while they are.
    pass: Mutex<Option<Pass>>,
    /// No connection is accepted.
    paused: Mutex<bool>,
    unpaused: Condvar,
    queue: Queue<M::Speech>,
    figures: Arc<Figures>,
    ready: AtomicBool,
    closing: AtomicBool,
    numbers: AtomicU64,
    links: Mutex<HashMap<u64, Arc<Link>>>,
    /// A connection has ended.
    freed: Condvar,
    /// There is a connection to watch over.
    opened: Condvar,
    log: Logger,
    complaints: Hush,
    full: Hush,
}

/// A connection of an agent.
struct Link {
    stream: TcpStream,
    state: Mutex<LinkState>,
    /// An answer has been written, or the connection has ended.
    answered: Condvar,
}

struct LinkState {
    /// Requests that wait for their answers.
    waiting: Vec<u64>,
    /// Commands read and not answered yet.
    owed: usize,
    /// Nothing that is read from now on is taken.
    closed: bool,
    /// Handed over: another process reads and writes on it.
    moved: bool,
    /// A whole command has come.
    asked: bool,
    /// Since when the connection waits for a command to become whole.
    half: Option<Instant>,
    /// What can't be read has come: whatever is still open by then is failed.
    spoilt: Option<Instant>,
    opened: Instant,
    idle_since: Instant,
}

/// What the reader of a connection hands its commands to.
pub struct Desk<'a, M: Manner> {
    front: &'a Arc<Front<M>>,
    link: &'a Arc<Link>,
    number: u64,
    /// To the writer, once there is one, and the sign that the reader has come to its end.
    writer: OnceCell<(Sender<Owed<M>>, Sender<()>)>,
}

impl<M: Manner> Desk<'_, M> {
    /// Takes the next place in the order of answers for a request of this class; none if the connection is closing,
    /// and what was read is not taken.
    pub fn place(&self, shape: M::Shape, class: usize) -> Option<(u64, Slot<ValueOf<M>>)> {
        let (slot, answer) = bounded(1);
        let number = self.front.numbers.fetch_add(1, Ordering::Relaxed);
        let owed = self.link.begin()?;
        let tally = self.front.figures.taken(class);
        if owed > PIPELINED {
            self.dismiss(Dismissal::TooMany);
            return None;
        }
        (self.writer()?.send((number, shape, answer, Some(tally))).is_ok()).then_some((number, slot))
    }

    /// Says the front's own words in their place; false if the connection is closing.
    pub fn say(&self, shape: M::Shape, words: Reply<ValueOf<M>>) -> bool {
        match self.link.begin() {
            None => false,
            Some(owed) if owed > PIPELINED => {
                self.dismiss(Dismissal::TooMany);
                false
            }
            Some(_) => self.put(shape, words),
        }
    }

    /// Says the last words: what comes after can't be told apart or is not wanted. Whatever was asked before is
    /// answered first, but not for longer than an agent may be kept waiting for these.
    pub fn say_last(&self, shape: M::Shape, words: Vec<u8>, fault: &str) {
        if self.link.begin().is_some() {
            self.last(shape, words, fault);
        }
    }

    fn dismiss(&self, why: Dismissal) {
        let (shape, words) = self.front.manner.dismissal(why);
        self.last(shape, words, why.words());
    }

    fn last(&self, shape: M::Shape, text: Vec<u8>, fault: &str) {
        self.complain(fault);
        let mut state = lock(&self.link.state);
        state.closed = true;
        state.spoilt = Some(state.opened + PATIENCE);
        drop(state);
        self.put(shape, Reply::Words { text, last: true });
    }

    /// Without a writer, or with nothing before them, words are written at once.
    fn put(&self, shape: M::Shape, words: Reply<ValueOf<M>>) -> bool {
        let closing = self.front.closing.load(Ordering::SeqCst);
        match (self.writer.get(), words) {
            (Some((slots, _)), words) => {
                let (slot, answer) = bounded(1);
                _ = slot.send(words);
                slots.send((0, shape, answer, None)).is_ok()
            }
            (None, Reply::Words { text, last }) => {
                (&self.link.stream).write_all(&text).is_ok() && self.link.end(0, closing) && !last
            }
            (None, Reply::Answer(_)) => false,
        }
    }

    /// A command has begun and is not whole.
    pub fn half(&self) {
        lock(&self.link.state).half.get_or_insert_with(Instant::now);
    }

    fn writer(&self) -> Option<&Sender<Owed<M>>> {
        if self.writer.get().is_none() {
            // The places are bounded by what may be owed.
            let (slots, owed) = unbounded();
            let (reads, read_out) = bounded(0);
            let (front, link, number) = (self.front.clone(), self.link.clone(), self.number);
            let begun = spawn("agent-write", move || {
                if front.write(&link, &owed) {
                    // The agent is told by the end of sending, and gets a moment to read what it was told.
                    _ = link.stream.shutdown(Shutdown::Write);
                    _ = read_out.recv_timeout(LINGER);
                }
                // Ends the reader too, which tells of what is still open.
                front.end(number, &link);
            });
            if let Err(fault) = begun {
                warn!(self.front.log, "agent connection dropped"; "fault" => %fault);
                return None;
            }
            _ = self.writer.set((slots, reads));
        }
        self.writer.get().map(|(slots, _)| slots)
    }

    /// A request of this class is answered as failed by the front itself.
    pub fn failed(&self, class: usize) {
        drop(self.front.figures.taken(class));
    }

    /// Passes a request to the core.
    pub fn ask(&self, request: Incoming<Wiring<M::Speech>>) {
        lock(&self.link.state).waiting.push(request.number);
        _ = self.front.queue.send(Input::Request(request));
    }

    /// The limiter knows a node list.
    pub fn ready(&self) -> bool {
        self.front.is_ready()
    }

    /// Logs what is wrong with an agent's input, but not every time.
    pub fn complain(&self, fault: &str) {
        if let Some(more) = self.front.complaints.due() {
            info!(self.front.log, "malformed command"; "fault" => fault, "unlogged" => more);
        }
    }
}

impl<M: Manner> Front<M> {
    /// A front for at most so many connections.
    pub fn new(
        manner: M,
        most: usize,
        wake: Option<Wake>,
        queue: Queue<M::Speech>,
        figures: Arc<Figures>,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            manner,
            most: AtomicUsize::new(most),
            wake,
            pass: Mutex::default(),
            paused: Mutex::default(),
            unpaused: Condvar::new(),
            queue,
            figures,
            ready: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            numbers: AtomicU64::new(0),
            links: Mutex::default(),
            freed: Condvar::new(),
            opened: Condvar::new(),
            log,
            complaints: Hush::default(),
            full: Hush::default(),
        })
    }

    /// Starts to take connections.
    pub fn listen(self: &Arc<Self>, listener: TcpListener) -> io::Result<()> {
        let front = self.clone();
        spawn("agents", move || front.accept(&listener))?;
        let front = self.clone();
        spawn("agents-watch", move || front.watch())
    }

    /// Takes connections, or none for now: they wait for whoever else accepts from the listener.
    pub fn accepts(&self, goes_on: bool) {
        *lock(&self.paused) = !goes_on;
        self.unpaused.notify_all();
    }

    /// From now on so many connections at most.
    pub fn limit(&self, most: usize) {
        self.most.store(most, Ordering::Relaxed);
    }

    /// Hands over each connection as soon as what was asked on it is answered, or none any more.
    pub fn hand_over(&self, to: Option<Pass>) {
        let hands = to.is_some();
        *lock(&self.pass) = to;
        _ = self.wake.as_ref().map(|wake| wake.set(hands));
    }

    /// A connection that another process has served so far, with what was read from it.
    pub fn adopt(self: &Arc<Self>, stream: TcpStream, read: Vec<u8>) {
        if let Err(fault) = self.serve(stream, Some(read)) {
            warn!(self.log, "agent connection dropped"; "fault" => %fault);
        }
    }

    /// No connection is left.
    pub fn is_empty(&self) -> bool {
        lock(&self.links).is_empty()
    }

    /// From now on the front says that it is ready.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Relaxed);
    }

    /// The limiter knows a node list and takes requests.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
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
            let paused = lock(&self.paused);
            drop(self.unpaused.wait_while(paused, |paused| *paused));
            match listener.accept() {
                Ok((stream, _)) => {
                    // The one that was waited for when the hand-over began.
                    let pass = lock(&self.pass).clone();
                    if pass.is_some_and(|pass| pass(&stream, &[])) || !self.make_room() {
                        continue;
                    }
                    if let Err(fault) = self.serve(stream, None) {
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

    /// Keeps within the descriptors: of the connections that owe nothing, the oldest goes that never asked for
    /// anything, else the one idle longest. False if all are busy: the new one is closed then, as one that waits
    /// would hold up all behind it.
    ///
    /// Guards against floods of connections that say nothing: they push out each other.
    fn make_room(&self) -> bool {
        let began = Instant::now();
        let mut links = lock(&self.links);
        while links.len() >= self.most.load(Ordering::Relaxed) {
            let idle = |l: &Link| {
                let state = lock(&l.state);
                (state.owed == 0 && !state.closed).then_some((state.asked, state.idle_since))
            };
            let oldest = links.values().filter_map(|l| Some((idle(l)?, l))).min_by_key(|(at, _)| *at);
            if let Some((_, link)) = oldest {
                link.close_if_idle();
            } else if began.elapsed() >= ROOM_WAIT {
                if let Some(more) = self.full.due() {
                    warn!(self.log, "agent connections full"; "open" => links.len(), "unlogged" => more);
                }
                return false;
            }
            links = self.freed.wait_timeout(links, ROOM_WAIT).unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    /// Closes what has been kept waiting, or keeps others waiting, for too long.
    fn watch(&self) {
        let mut links = lock(&self.links);
        loop {
            let waited = self.opened.wait_while(links, |links| links.is_empty());
            drop(waited);
            thread::sleep(WATCH);
            links = lock(&self.links);
            let now = Instant::now();
            for link in links.values() {
                let left = link.look(now);
                left.into_iter().for_each(|number| _ = self.queue.send(Input::Left(number)));
            }
        }
    }

    /// Serves a connection that is new, or one with what another process has read from it.
    fn serve(self: &Arc<Self>, stream: TcpStream, read: Option<Vec<u8>>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_WAIT))?;
        let now = Instant::now();
        let state = LinkState {
            waiting: Vec::new(),
            owed: 0,
            closed: false,
            moved: false,
            asked: read.is_some(),
            half: read.is_none().then_some(now),
            spoilt: None,
            opened: now,
            idle_since: now,
        };
        let link = Arc::new(Link { stream, state: Mutex::new(state), answered: Condvar::new() });
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        lock(&self.links).insert(number, link.clone());
        self.opened.notify_one();
        if self.closing.load(Ordering::SeqCst) {
            link.close_if_idle();
        }
        let (front, reading) = (self.clone(), link.clone());
        let begun = spawn("agent-read", move || front.read(number, &reading, read.unwrap_or_default()));
        if begun.is_err() {
            self.end(number, &link);
        }
        begun
    }

    fn read(self: &Arc<Self>, number: u64, link: &Arc<Link>, mut first: Vec<u8>) {
        let desk = Desk { front: self, link, number, writer: OnceCell::new() };
        loop {
            let mut tap = Tap::new(&link.stream, self.wake.as_ref(), first);
            first = self.manner.read(&mut tap, &desk);
            let woken = tap.woken();
            first.extend(tap.unread());
            if !woken {
                break;
            }
            // All that was asked on it is answered from here; what comes next is the other's.
            let pass = link.settled().then(|| lock(&self.pass).clone()).flatten();
            if pass.is_some_and(|pass| pass(&link.stream, &first)) {
                // The writer ends without a word, and ends the connection here alone.
                return match desk.writer.into_inner() {
                    Some(_) => {}
                    None => self.end(number, link),
                };
            }
            if !link.stays() {
                break;
            }
            // Guards against asking again and again while the other's end is not known yet.
            thread::sleep(ACCEPT_WAIT);
        }
        if lock(&link.state).half.is_some_and(|since| since.elapsed() >= PATIENCE) {
            // The watch has ended the reading.
            if link.begin().is_some() {
                desk.dismiss(Dismissal::TooSlow);
            }
        }
        let writer = desk.writer.into_inner();
        let by_choice = lock(&link.state).spoilt.is_some();
        if by_choice && writer.is_none() {
            _ = link.stream.shutdown(Shutdown::Write);
            _ = link.stream.set_read_timeout(Some(LINGER));
        }
        let writes = writer.map(|(slots, reads)| {
            // The writer ends once all that is owed is written.
            drop(slots);
            reads
        });
        // Up to the end: to close with bytes unread would reset the connection under its last answer.
        let (mut part, mut drained) = ([0; 4 * 1024], 0);
        let gone = loop {
            match (&link.stream).read(&mut part) {
                Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
                Ok(0) | Err(_) => break true,
                Ok(read) => drained += read,
            }
            if drained > DRAINED {
                break false;
            }
        };
        if gone {
            self.left(link);
        }
        if writes.is_none() {
            self.end(number, link);
        }
    }

    /// Closes a connection, and lets another take its place.
    fn end(&self, number: u64, link: &Link) {
        link.close();
        lock(&self.links).remove(&number);
        self.freed.notify_all();
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
        for (number, shape, answer, tally) in owed {
            let goes_on = match answer.recv().unwrap_or(Reply::Answer(Answer::Failed { late: false })) {
                Reply::Answer(answer) => {
                    let end = end(&answer);
                    let written = self.manner.write(&link.stream, shape, answer);
                    tally.filter(|_| written.is_ok()).into_iter().for_each(|tally| tally.told(end));
                    written
                }
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

/// How an answer is counted once it is written whole.
fn end<V>(answer: &Answer<V>) -> End {
    match answer {
        Answer::Served(_) => End::Served,
        Answer::Refused { .. } => End::Refused,
        Answer::Failed { .. } => End::Failed,
    }
}

impl Link {
    /// A command has been read; how many are owed an answer with it, or none if the connection is closing and the
    /// command is not taken.
    fn begin(&self) -> Option<usize> {
        let mut state = lock(&self.state);
        if state.closed {
            return None;
        }
        (state.owed, state.asked, state.half) = (state.owed + 1, true, None);
        Some(state.owed)
    }

    /// The first command still owed has been answered; false if the connection is to end.
    fn end(&self, number: u64, closing: bool) -> bool {
        let mut state = lock(&self.state);
        state.waiting.retain(|n| *n != number);
        state.owed = state.owed.saturating_sub(1);
        state.idle_since = Instant::now();
        state.closed |= closing && state.owed == 0;
        self.answered.notify_all();
        !state.closed || (state.spoilt.is_some() && state.owed > 0)
    }

    /// Closes the connection if it has waited for too long; else says which requests are to be given up, as what
    /// stands behind them can't wait.
    fn look(&self, now: Instant) -> Vec<u64> {
        let mut state = lock(&self.state);
        if state.spoilt.is_some_and(|by| now >= by) {
            return std::mem::take(&mut state.waiting);
        }
        if state.closed {
            return Vec::new();
        }
        if state.half.is_some_and(|since| now >= since + PATIENCE) {
            // The reader comes to its end, says so and closes.
            _ = self.stream.shutdown(Shutdown::Read);
        } else if state.half.is_none() && state.owed == 0 && now >= state.idle_since + IDLE {
            state.closed = true;
            _ = self.stream.shutdown(Shutdown::Both);
        }
        Vec::new()
    }

    fn close_if_idle(&self) {
        let mut state = lock(&self.state);
        if state.owed == 0 && !state.moved {
            state.closed = true;
            _ = self.stream.shutdown(Shutdown::Both);
        }
    }

    fn close(&self) {
        let mut state = lock(&self.state);
        state.closed = true;
        self.answered.notify_all();
        if !state.moved {
            _ = self.stream.shutdown(Shutdown::Both);
        }
    }

    /// Waits until nothing is owed on the connection, and takes it from all but the one who asks. False if it ends.
    fn settled(&self) -> bool {
        let state = lock(&self.state);
        let wait = self.answered.wait_while(state, |state| state.owed > 0 && !state.closed);
        let mut state = wait.unwrap_or_else(PoisonError::into_inner);
        let whole = !state.closed;
        (state.closed, state.moved) = (true, whole);
        whole
    }

    /// It was not handed over after all; false if it ends.
    fn stays(&self) -> bool {
        let mut state = lock(&self.state);
        if !std::mem::take(&mut state.moved) {
            return false;
        }
        (state.closed, state.idle_since) = (false, Instant::now());
        true
    }
}
