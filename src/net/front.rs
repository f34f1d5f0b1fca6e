//! A front: connections of agents, and answers in the order of what was asked.
//!
//! Each connection has a thread that reads and, while there are answers to be written, one that writes. They are written
//! in the order of the commands, and a slow or broken agent holds up its own connection alone. What the connections speak is a [`Manner`].
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
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use slog::{info, warn, Logger};
use std::collections::{HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Commands of one connection that wait for their answers; an agent that writes more has gone too far.
const PIPELINED: usize = 64;
/// An agent that does not read its answers for so long is dropped: some stand still for seconds.
const WRITE_WAIT: Duration = Duration::from_secs(6);
/// Time for an agent to read its last answer before the connection is closed under it.
const LINGER: Duration = Duration::from_millis(300);
/// Read beyond what ended a connection, so that its last words are not lost to a reset; no more than that, as
/// some agents have 60 MB to send.
const DRAINED: usize = 128 * 1024;
/// Wait after a failed accept, as when descriptors run out.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);
/// A command is to be whole by then, counted from the connection or, later, from its first byte; what can't be
/// read is answered by then too. An agent may take 2 s, and is owed an answer within 3 s of connecting: a look later.
const PATIENCE: Duration = Duration::from_millis(2_600);
/// An agent from which more has come within this time is still writing, slowly, and has so long for its command. What
/// can't be read comes at full speed and is known at once.
const WRITING: Duration = Duration::from_millis(700);
const SLOW_PATIENCE: Duration = Duration::from_secs(6);
/// A connection that has nothing open for so long is closed. After 2 s it may be.
const IDLE: Duration = Duration::from_millis(3_000);
/// One that has nothing open for so long is closed if another needs its place.
const SPARE: Duration = Duration::from_secs(2);
/// Agents may hold four fifths of the places; what is above is for floods. Above three fifths, connections that have
/// nothing open for so long are closed.
const HELD: Duration = Duration::from_millis(300);
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
pub struct Slot<V>(Option<Box<dyn FnOnce(Reply<V>) + Send>>);

impl<V> Slot<V> {
    /// Gives the answer.
    pub fn fill(mut self, reply: Reply<V>) {
        if let Some(fill) = self.0.take() {
            fill(reply);
        }
    }
}

impl<V> Drop for Slot<V> {
    fn drop(&mut self) {
        if let Some(fill) = self.0.take() {
            fill(Reply::Answer(Answer::Failed { late: false }));
        }
    }
}

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

/// A command that is owed an answer.
struct Owed<M: Manner> {
    /// Its number; none of the front's own words.
    number: u64,
    /// What the writer has to know.
    shape: M::Shape,
    /// The answer, once there is one.
    reply: Option<Reply<ValueOf<M>>>,
    /// Where a request is counted.
    tally: Option<Tally>,
}

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
    links: Mutex<HashMap<u64, Arc<Link<M>>>>,
    /// A connection has ended.
    freed: Condvar,
    /// There is a connection to watch over.
    opened: Condvar,
    log: Logger,
    complaints: Hush,
    full: Hush,
}

/// A connection of an agent.
struct Link<M: Manner> {
    stream: TcpStream,
    state: Mutex<LinkState<M>>,
    /// An answer has been written, or the connection has ended.
    answered: Condvar,
}

struct LinkState<M: Manner> {
    /// Answers to be written, in order.
    queue: VecDeque<Owed<M>>,
    /// There is a thread that writes them; for good once it ends the connection.
    writing: bool,
    /// Further commands may come.
    taking: bool,
    /// There is a thread that reads.
    reading: bool,
    /// Requests that wait for their answers.
    waiting: Vec<u64>,
    /// Commands read and not answered yet.
    owed: usize,
    /// Nothing that is read from now on is taken.
    closed: bool,
    /// Its reader ends it once it finds no more to be read and nothing is owed.
    leaving: bool,
    /// What is read next may have come long ago: since then the agent may have left.
    held_back: bool,
    /// Handed over: another process reads and writes on it.
    moved: bool,
    /// A request has come: neither the front's own words nor what can't be understood counts.
    asked: bool,
    /// Pieces of the next that have come.
    pieces: u32,
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
    link: &'a Arc<Link<M>>,
    number: u64,
}

impl<M: Manner> Desk<'_, M> {
    /// Takes the next place in the order of answers for a request of this class; none if the connection is closing,
    /// and what was read is not taken.
    pub fn place(&self, shape: M::Shape, class: usize) -> Option<(u64, Slot<ValueOf<M>>)> {
        if self.link.has_left() {
            return None;
        }
        let number = self.front.numbers.fetch_add(1, Ordering::Relaxed);
        let owed = self.link.begin()?;
        let tally = Some(self.front.figures.taken(class));
        if owed > PIPELINED {
            self.dismiss(Dismissal::TooMany);
            return None;
        }
        let mut state = lock(&self.link.state);
        state.asked = true;
        state.queue.push_back(Owed { number, shape, reply: None, tally });
        drop(state);
        let (front, link, own) = (self.front.clone(), self.link.clone(), self.number);
        let fill = move |reply| {
            let mut state = lock(&link.state);
            if let Some(owed) = state.queue.iter_mut().find(|owed| owed.number == number) {
                owed.reply = Some(reply);
            }
            front.begin_writing(own, &link, state);
        };
        Some((number, Slot(Some(Box::new(fill)))))
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

    /// With nothing before them, words are written at once.
    fn put(&self, shape: M::Shape, words: Reply<ValueOf<M>>) -> bool {
        let closing = self.front.is_closing();
        let mut state = lock(&self.link.state);
        match words {
            Reply::Words { text, last } if !state.writing && state.queue.is_empty() => {
                drop(state);
                (&self.link.stream).write_all(&text).is_ok() && self.link.end(0, closing) && !last
            }
            words => {
                state.queue.push_back(Owed { number: 0, shape, reply: Some(words), tally: None });
                self.front.begin_writing(self.number, self.link, state);
                true
            }
        }
    }

    /// More of a command has come, and it is not whole.
    pub fn half(&self) {
        let mut state = lock(&self.link.state);
        (state.pieces, state.idle_since) = (state.pieces.saturating_add(1), Instant::now());
        state.half.get_or_insert_with(Instant::now);
    }

    /// Reads nothing for a while.
    pub fn hold_back(&self, wait: Duration) {
        thread::sleep(wait);
        lock(&self.link.state).held_back = true;
    }

    /// A request of this class is answered as failed by the front itself.
    pub fn failed(&self, class: usize) {
        drop(self.front.figures.taken(class));
    }

    /// Passes a request to the core.
    pub fn ask(&self, request: Incoming<Wiring<M::Speech>>) {
        // Under one lock: told between the two that its agent has left, the core would not know the request.
        let mut state = lock(&self.link.state);
        state.waiting.push(request.number);
        let unsent = self.front.queue.send(Input::Request(request));
        // A core that has ended takes no request: it comes back, and as it is dropped it answers itself, which takes the
        // same lock.
        drop(state);
        drop(unsent);
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
        self.close_if_closing();
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

    /// Closes every connection that owes nothing, and each other once it has answered; none while they are handed over.
    pub fn close_idle(&self) {
        self.closing.store(true, Ordering::SeqCst);
        self.close_if_closing();
    }

    /// Closes what owes nothing and on which no command is on its way, if all are to be closed.
    fn close_if_closing(&self) {
        if self.is_closing() {
            lock(&self.links).values().for_each(|link| link.close_if_idle());
        }
    }

    /// Connections are to be closed once they owe nothing, and not handed over.
    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst) && lock(&self.pass).is_none()
    }

    /// Some agent is in the middle of a command.
    pub fn is_written_to(&self) -> bool {
        lock(&self.links).values().any(|link| lock(&link.state).is_coming())
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

    /// Keeps within the descriptors: of the connections that owe nothing, one goes that never asked for anything and has
    /// stopped writing, else one idle for so long that it may be closed, else any; of these the one from which nothing
    /// has come for longest. False if all are busy: the new one is closed then, as one that waits would hold up all
    /// behind it.
    ///
    /// Guards against floods of connections that say nothing, or a part and no more: they push out each other, and not an
    /// agent that writes slowly.
    fn make_room(&self) -> bool {
        let began = Instant::now();
        let mut links = lock(&self.links);
        while links.len() >= self.most.load(Ordering::Relaxed) {
            let idle = |l: &Link<M>| {
                let state = lock(&l.state);
                let quiet = state.idle_since.elapsed();
                let place = match (state.asked, state.writes()) {
                    (false, false) => 0,
                    (true, false) if quiet >= SPARE => 1,
                    _ => 2,
                };
                (state.owed == 0 && !state.closed && !state.leaving).then_some((place, state.idle_since))
            };
            let oldest = links.values().filter_map(|l| Some((idle(l)?, l))).min_by_key(|(at, _)| *at);
            if let Some((_, link)) = oldest {
                link.give_way();
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
            self.close_if_closing();
            links = lock(&self.links);
            let now = Instant::now();
            for link in links.values() {
                self.tell_left(link.look(now));
            }
            self.thin_out(&links);
        }
    }

    /// Leaves a quarter of what agents may hold free: of the connections on which requests have come, those idle longest
    /// are closed.
    ///
    /// Guards against agents that ask once and hold their connection: once they hold all that they may, no further one of
    /// theirs reaches the limiter.
    fn thin_out(&self, links: &HashMap<u64, Arc<Link<M>>>) {
        let most = self.most.load(Ordering::Relaxed) * 3 / 5;
        if links.len() <= most {
            return;
        }
        let (mut asked, mut idle) = (0, Vec::new());
        for link in links.values() {
            let state = lock(&link.state);
            asked += usize::from(state.asked);
            let quiet = state.owed == 0 && !state.writes() && state.idle_since.elapsed() >= HELD;
            idle.extend((state.asked && quiet).then_some((state.idle_since, link)));
        }
        idle.sort_unstable_by_key(|(since, _)| *since);
        idle.iter().take(asked.saturating_sub(most)).for_each(|(_, link)| link.give_way());
    }

    /// Serves a connection that is new, or one with what another process has read from it.
    fn serve(self: &Arc<Self>, stream: TcpStream, read: Option<Vec<u8>>) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_WAIT))?;
        let now = Instant::now();
        let state = LinkState {
            queue: VecDeque::new(),
            writing: false,
            taking: true,
            reading: true,
            waiting: Vec::new(),
            owed: 0,
            closed: false,
            leaving: false,
            held_back: true,
            moved: false,
            asked: read.is_some(),
            pieces: 0,
            half: read.is_none().then_some(now),
            spoilt: None,
            opened: now,
            idle_since: now,
        };
        let link = Arc::new(Link { stream, state: Mutex::new(state), answered: Condvar::new() });
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        lock(&self.links).insert(number, link.clone());
        self.opened.notify_one();
        let (front, reading) = (self.clone(), link.clone());
        let begun = spawn("agent-read", move || front.read(number, &reading, read.unwrap_or_default()));
        if begun.is_err() {
            self.end(number, &link);
        }
        begun
    }

    fn read(self: &Arc<Self>, number: u64, link: &Arc<Link<M>>, mut first: Vec<u8>) {
        let desk = Desk { front: self, link, number };
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
                return self.read_out(number, link);
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
        let (by_choice, writing, leaving) = {
            let mut state = lock(&link.state);
            // The writer ends once all that is owed is written.
            state.taking = false;
            (state.spoilt.is_some(), state.writing || !state.queue.is_empty(), state.leaving)
        };
        if leaving {
            // It has read all that had come. What nobody has read the agent sends again elsewhere.
            return self.read_out(number, link);
        }
        if by_choice && !writing {
            _ = link.stream.shutdown(Shutdown::Write);
            _ = link.stream.set_read_timeout(Some(LINGER));
        }
        // Up to the end: to close with bytes unread would reset the connection under its last answer.
        let (mut part, mut drained) = ([0; 4 * 1024], 0);
        while drained <= DRAINED {
            match (&link.stream).read(&mut part) {
                Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
                Ok(0) | Err(_) => break,
                Ok(read) => drained += read,
            }
        }
        // Whoever has that much more to say would not be seen to leave behind it.
        self.left(link);
        self.read_out(number, link);
    }

    /// The reader of a connection ends; the writer, if there is one, ends the connection after it.
    fn read_out(&self, number: u64, link: &Link<M>) {
        let mut state = lock(&link.state);
        (state.taking, state.reading) = (false, false);
        // A request has its answer at its deadline at the latest, and is written then.
        let writes = state.writing || !state.queue.is_empty();
        drop(state);
        link.answered.notify_all();
        if !writes {
            self.end(number, link);
        }
    }

    /// Has answers written if the next is there, by a thread that is there while there are any.
    ///
    /// Guards against a thread for each connection or request that waits: a system that stops and continues a process, as
    /// for its part of a processor, does so with each of its threads.
    fn begin_writing(
        self: &Arc<Self>,
        number: u64,
        link: &Arc<Link<M>>,
        mut state: MutexGuard<LinkState<M>>,
    ) {
        if state.writing || state.queue.front().is_none_or(|owed| owed.reply.is_none()) {
            return;
        }
        state.writing = true;
        drop(state);
        let (front, own) = (self.clone(), link.clone());
        if let Err(fault) = spawn("agent-write", move || front.write(number, &own)) {
            warn!(self.log, "agent connection dropped"; "fault" => %fault);
            self.end(number, link);
        }
    }

    /// Closes a connection, and lets another take its place.
    fn end(&self, number: u64, link: &Link<M>) {
        self.left(link);
        link.close();
        lock(&self.links).remove(&number);
        self.freed.notify_all();
    }

    /// The agent has gone away: nobody waits for what is still open.
    fn left(&self, link: &Link<M>) {
        let mut state = lock(&link.state);
        state.closed = true;
        let left = std::mem::take(&mut state.waiting);
        drop(state);
        self.tell_left(left);
    }

    /// All at once: told one after another, a request that waits would be sent on in the place of the one before it.
    fn tell_left(&self, left: Vec<u64>) {
        if !left.is_empty() {
            _ = self.queue.send(Input::Left(left));
        }
    }

    /// Writes answers in order while they are there.
    fn write(&self, number: u64, link: &Link<M>) {
        let by_choice = loop {
            let (number, shape, reply, tally) = match link.next() {
                Ok(owed) => owed,
                Err(true) => return,
                Err(false) => break false,
            };
            let goes_on = match reply {
                Reply::Answer(answer) => {
                    let end = end(&answer);
                    let written = self.manner.write(&link.stream, shape, answer);
                    tally.filter(|_| written.is_ok()).into_iter().for_each(|tally| tally.told(end));
                    written
                }
                Reply::Words { text, last } => (&link.stream).write_all(&text).map(|()| !last),
            };
            match goes_on {
                Ok(true) if link.end(number, self.is_closing()) => {}
                Ok(_) => break true,
                Err(_) => break false,
            }
        };
        if by_choice {
            // The agent is told by the end of sending, and gets a moment to read what it was told.
            _ = link.stream.shutdown(Shutdown::Write);
            let state = lock(&link.state);
            drop(link.answered.wait_timeout_while(state, LINGER, |state| state.reading));
        }
        // Ends the reader too, which tells of what is still open.
        self.end(number, link);
    }
}

/// The agent has closed its connection, whether or not all that it sent has been read.
fn hung_up(stream: &TcpStream) -> bool {
    let mut one = [PollFd::new(stream, PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut one, Some(&now)).is_ok()
        && one[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}

/// How an answer is counted once it is written whole.
fn end<V>(answer: &Answer<V>) -> End {
    match answer {
        Answer::Served(_) => End::Served,
        Answer::Refused { .. } => End::Refused,
        Answer::Failed { .. } => End::Failed,
    }
}

impl<M: Manner> LinkState<M> {
    /// The agent is in the middle of a command, and goes on: one piece and no more is what a crowd sends.
    fn writes(&self) -> bool {
        self.pieces > 1 && self.idle_since.elapsed() < WRITING
    }

    /// A command may be on its way: the agent writes one, or has only just connected.
    fn is_coming(&self) -> bool {
        self.writes() || (!self.asked && self.opened.elapsed() < HELD)
    }
}

impl<M: Manner> Link<M> {
    /// What is to be written next; none if it is not there, and whether it may be later.
    #[allow(clippy::type_complexity)]
    fn next(&self) -> Result<(u64, M::Shape, Reply<ValueOf<M>>, Option<Tally>), bool> {
        let mut state = lock(&self.state);
        let later = state.taking || !state.queue.is_empty();
        match state.queue.pop_front() {
            Some(Owed { number, shape, reply: Some(reply), tally }) => Ok((number, shape, reply, tally)),
            waits => {
                waits.into_iter().for_each(|owed| state.queue.push_front(owed));
                state.writing = !later;
                Err(later)
            }
        }
    }

    /// A command has been read; how many are owed an answer with it, or none if the connection is closing and the
    /// command is not taken.
    fn begin(&self) -> Option<usize> {
        let mut state = lock(&self.state);
        if state.closed {
            return None;
        }
        (state.owed, state.pieces, state.half) = (state.owed + 1, 0, None);
        Some(state.owed)
    }

    /// The first command still owed has been answered; false if the connection is to end.
    fn end(&self, number: u64, closing: bool) -> bool {
        let mut state = lock(&self.state);
        state.waiting.retain(|n| *n != number);
        state.owed = state.owed.saturating_sub(1);
        state.idle_since = Instant::now();
        if closing {
            self.leave(&mut state);
        }
        self.answered.notify_all();
        !state.closed || (state.spoilt.is_some() && state.owed > 0)
    }

    /// Ends if nothing is owed: by its reader, who serves what it has read by then.
    ///
    /// Guards against an end between the reading of a request and its taking: the agent would find its connection closed
    /// under it, and not know that it never ran.
    fn leave(&self, state: &mut LinkState<M>) {
        if state.owed == 0 && !state.moved {
            state.leaving = true;
            _ = self.stream.shutdown(Shutdown::Read);
        }
    }

    /// The agent left while it was not read from. Seen once reading goes on, before a request of its is taken.
    fn has_left(&self) -> bool {
        let mut state = lock(&self.state);
        let left = std::mem::take(&mut state.held_back) && !state.leaving && hung_up(&self.stream);
        state.closed |= left;
        left
    }

    /// Closes the connection if it has waited for too long; else says which requests are to be given up, as what
    /// stands behind them can't wait.
    fn look(&self, now: Instant) -> Vec<u64> {
        let mut state = lock(&self.state);
        if state.spoilt.is_some_and(|by| now >= by) {
            return std::mem::take(&mut state.waiting);
        }
        // Its reader may not see the end: it rests, waits for the hand-over or has read enough.
        if !state.leaving && !state.waiting.is_empty() && hung_up(&self.stream) {
            state.closed = true;
            return std::mem::take(&mut state.waiting);
        }
        if state.closed {
            return Vec::new();
        }
        let patience = if state.writes() { SLOW_PATIENCE } else { PATIENCE };
        if state.half.is_some_and(|since| now >= since + patience) {
            // The reader comes to its end, says so and closes.
            _ = self.stream.shutdown(Shutdown::Read);
        } else if state.half.is_none() && now >= state.idle_since + IDLE {
            self.leave(&mut state);
        }
        Vec::new()
    }

    /// Ends if nothing is owed, unless a command may be on its way.
    fn close_if_idle(&self) {
        let mut state = lock(&self.state);
        if !state.is_coming() {
            self.leave(&mut state);
        }
    }

    /// Ends if nothing is owed.
    fn give_way(&self) {
        self.leave(&mut lock(&self.state));
    }

    fn close(&self) {
        let mut state = lock(&self.state);
        state.closed = true;
        state.queue.clear();
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
        let whole = !state.closed && !state.leaving;
        (state.closed, state.moved) = (true, whole);
        whole
    }

    /// It was not handed over after all; false if it ends.
    fn stays(&self) -> bool {
        let mut state = lock(&self.state);
        if !std::mem::take(&mut state.moved) {
            return false;
        }
        (state.closed, state.held_back, state.idle_since) = (false, true, Instant::now());
        true
    }
}
