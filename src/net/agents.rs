//! The platform's front: agents' commands in, answers out in the order of the commands.
//!
//! Each connection has a thread that reads and one that writes. A slot for the answer of each command goes
//! from the one to the other in order, so a slow or broken agent holds up its own connection alone.

use super::buffers::{Buffer, SIZE};
use super::resp;
use super::{lock, spawn};
use crate::interface::CustomerId;
use crate::limiter::Answer;
use crate::wire::Names;
use crossbeam_channel::{bounded, Receiver, Sender};
use slog::{info, warn, Logger};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Commands of one connection that wait for their answers; an agent that writes more has to wait.
const PIPELINED: usize = 64;
/// An agent that does not read its answers for so long is dropped.
const WRITE_WAIT: Duration = Duration::from_secs(5);
/// A command can grow by the digits of a new deadline on its way to a ticket node.
const LONGEST_COMMAND: usize = SIZE - 64;
/// Wait after a failed accept, as when descriptors run out.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);

/// A command as it goes on to a ticket node: as it came, but for the time left.
pub struct PlatformCall {
    buffer: Buffer,
    words: Vec<Range<usize>>,
    /// Where the value of `d` stands; empty where the agent gave none.
    wait: Range<usize>,
}

impl PlatformCall {
    /// Writes the command with the time that the limiter waits; how many bytes it takes.
    pub fn write(&self, mut to: &mut [u8], left: Duration) -> io::Result<usize> {
        let room = to.len();
        let wait = left.as_millis().max(1).to_string();
        write!(to, "*{}\r\n", self.words.len())?;
        for (place, word) in self.words.iter().enumerate() {
            if place == FIELDS && !self.wait.is_empty() {
                let (before, after) = (word.start..self.wait.start, self.wait.end..word.end);
                write!(to, "${}\r\n", before.len() + wait.len() + after.len())?;
                to.write_all(&self.buffer[before])?;
                to.write_all(wait.as_bytes())?;
                to.write_all(&self.buffer[after])?;
            } else {
                write!(to, "${}\r\n", word.len())?;
                to.write_all(&self.buffer[word.clone()])?;
            }
            to.write_all(b"\r\n")?;
        }
        Ok(room - to.len())
    }
}

/// Place of the names and values among a command's words.
const FIELDS: usize = 3;

/// A value as a ticket node served it.
#[derive(Debug)]
pub struct Served {
    /// The node's answer.
    pub buffer: Buffer,
    /// Where the value stands in it.
    pub value: Range<usize>,
}

/// Where the answer of a request goes; without one, the agent is told that the request failed.
pub type Slot = Sender<Reply>;

/// A command that is owed an answer, and where that comes from.
type Owed = (u64, Receiver<Reply>);

/// What is written to an agent.
pub enum Reply {
    /// The answer of a request.
    Answer(Answer<Served>),
    /// A line of the front's own.
    Line(&'static str),
    /// The last line on this connection.
    Last(String),
}

/// A request as the front has read it.
pub struct Asked {
    /// Its number.
    pub number: u64,
    /// When its last byte came.
    pub arrived: Instant,
    /// How long the agent waits; as long as the class allows if not told.
    pub budget: Option<Duration>,
    /// Its class.
    pub class: usize,
    /// The account's plan.
    pub plan: usize,
    /// The agent account.
    pub account: CustomerId,
    /// Units.
    pub units: f64,
    /// Limiters of the account.
    pub spread: u32,
    /// The first of them.
    pub first: u32,
    /// Where the answer goes.
    pub slot: Slot,
    /// The command.
    pub call: PlatformCall,
}

/// What the front tells the core.
pub enum FromAgent {
    /// A request.
    Asked(Asked),
    /// The agent of this request has gone away.
    Left(u64),
}

/// Takes what the front tells.
pub type Told = Arc<dyn Fn(FromAgent) + Send + Sync>;

/// The front.
pub struct Agents {
    names: Names,
    most: usize,
    told: Told,
    ready: AtomicBool,
    closing: AtomicBool,
    numbers: AtomicU64,
    links: Mutex<HashMap<u64, Arc<Link>>>,
    /// A connection has ended or become idle.
    freed: Condvar,
    log: Logger,
}

/// A connection of an agent.
struct Link {
    stream: TcpStream,
    state: Mutex<LinkState>,
}

struct LinkState {
    /// Requests that wait for their answers, in order.
    waiting: Vec<u64>,
    /// Slots handed to the writer and not written yet.
    unwritten: usize,
    /// Nothing that is read from now on is taken.
    closed: bool,
    idle_since: Instant,
}

impl Agents {
    /// A front for at most so many connections.
    pub fn new(names: Names, most: usize, told: Told, log: Logger) -> Arc<Self> {
        Arc::new(Self {
            names,
            most,
            told,
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

    /// From now on `PING` is answered `+PONG`.
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
                (state.unwritten == 0 && !state.closed).then_some(state.idle_since)
            };
            let oldest = links.values().filter_map(|l| Some((idle(l)?, l.clone()))).min_by_key(|(at, _)| *at);
            if let Some((_, link)) = oldest {
                link.close_if_idle();
            } else {
                warn!(self.log, "agent connections full"; "open" => links.len());
            }
            links = match self.freed.wait_timeout(links, Duration::from_secs(1)) {
                Ok((links, _)) => links,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_WAIT))?;
        let state =
            LinkState { waiting: Vec::new(), unwritten: 0, closed: false, idle_since: Instant::now() };
        let link = Arc::new(Link { stream, state: Mutex::new(state) });
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let (slots, answers) = bounded(PIPELINED);
        lock(&self.links).insert(number, link.clone());
        let (front, reading) = (self.clone(), link.clone());
        let begun = spawn("agent-read", move || {
            front.read(&reading, &slots);
            // The writer ends once it has written what is still owed.
            drop(slots);
        });
        let (front, writing) = (self.clone(), link.clone());
        let begun = begun.and_then(|()| {
            spawn("agent-write", move || {
                front.write(&writing, &answers);
                lock(&front.links).remove(&number);
                front.freed.notify_all();
            })
        });
        if begun.is_err() {
            lock(&self.links).remove(&number);
            _ = link.stream.shutdown(Shutdown::Both);
        }
        begun
    }

    fn read(&self, link: &Link, slots: &Sender<Owed>) {
        let (mut buffer, mut end) = (Buffer::take(), 0);
        loop {
            match (&link.stream).read(&mut buffer[end..]) {
                Ok(0) => break,
                Ok(read) => end += read,
                Err(fault) if fault.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => break,
            }
            let arrived = Instant::now();
            let mut start = 0;
            loop {
                match resp::command(&buffer[start..end]) {
                    Ok(Some((mut words, size))) if size <= LONGEST_COMMAND => {
                        let whole = start..start + size;
                        words.iter_mut().for_each(|w| *w = w.start + start..w.end + start);
                        start = whole.end;
                        let (slot, answer) = bounded(1);
                        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
                        if !link.begin() || slots.send((number, answer)).is_err() {
                            return;
                        }
                        if words.len() <= FIELDS {
                            _ = slot.send(self.word(&buffer[words[0].clone()]));
                            continue;
                        }
                        // The command goes on in the buffer that it came in; what follows it moves to a new one.
                        let mut rest = Buffer::take();
                        rest[..end - start].copy_from_slice(&buffer[start..end]);
                        let came = std::mem::replace(&mut buffer, rest);
                        (start, end) = (0, end - start);
                        self.ask(link, number, came, words, arrived, slot);
                    }
                    Ok(None) if end - start < LONGEST_COMMAND => break,
                    Ok(_) => return self.give_up(link, slots, "command too long"),
                    Err(fault) => return self.give_up(link, slots, fault),
                }
            }
            buffer.copy_within(start..end, 0);
            end -= start;
        }
        // The agent has gone away: nobody waits for what is still open.
        let left = std::mem::take(&mut lock(&link.state).waiting);
        lock(&link.state).closed = true;
        left.into_iter().for_each(|number| (self.told)(FromAgent::Left(number)));
    }

    /// Nothing after a malformed command can be told apart: the agent is told so, and the connection ends once
    /// what was asked before is answered.
    fn give_up(&self, link: &Link, slots: &Sender<Owed>, fault: &str) {
        info!(self.log, "malformed command"; "fault" => fault);
        let (slot, answer) = bounded(1);
        if link.begin() && slots.send((0, answer)).is_ok() {
            _ = slot.send(Reply::Last(format!("-ERR {fault}\r\n")));
        }
    }

    fn word(&self, word: &[u8]) -> Reply {
        if word.eq_ignore_ascii_case(b"PING") {
            let ready = self.ready.load(Ordering::Relaxed);
            return Reply::Line(if ready { "+PONG\r\n" } else { "-LOADING no node list yet\r\n" });
        }
        Reply::Line("-ERR unknown command\r\n")
    }

    fn ask(
        &self,
        link: &Link,
        number: u64,
        buffer: Buffer,
        words: Vec<Range<usize>>,
        arrived: Instant,
        slot: Slot,
    ) {
        match self.understand(number, buffer, words, arrived, slot) {
            Ok(asked) => {
                lock(&link.state).waiting.push(number);
                (self.told)(FromAgent::Asked(asked));
            }
            Err((slot, fault)) => _ = slot.send(Reply::Line(fault)),
        }
    }

    fn understand(
        &self,
        number: u64,
        buffer: Buffer,
        words: Vec<Range<usize>>,
        arrived: Instant,
        slot: Slot,
    ) -> Result<Asked, (Slot, &'static str)> {
        let word = |at: usize| std::str::from_utf8(&buffer[words[at].clone()]).unwrap_or("");
        if !["SVC.QUERY", "SVC.SUBMIT"].iter().any(|c| word(0).eq_ignore_ascii_case(c)) || words.len() > 5 {
            return Err((slot, "-ERR unknown command\r\n"));
        }
        let (mut class, mut plan, mut budget, mut wait) = (None, None, None, 0..0);
        let (mut units, mut spread, mut first) = (Some(1.0), Some(1), Some(0));
        let mut at = words[FIELDS].start;
        for field in word(FIELDS).split(',') {
            if let Some((name, value)) = field.split_once('=') {
                match name {
                    "c" => class = self.names.class(value),
                    "t" => plan = self.names.plan(value),
                    "d" => {
                        budget = Some(value.parse().ok());
                        wait = at + 2..at + field.len();
                    }
                    "units" => units = value.parse().ok().filter(|u: &f64| u.is_finite() && *u >= 0.0),
                    "spread" => spread = value.parse().ok(),
                    "first" => first = value.parse().ok(),
                    _ => {}
                }
            }
            at += field.len() + 1;
        }
        let Some(class) = class else { return Err((slot, "-ERR unknown class\r\n")) };
        let Some(plan) = plan else { return Err((slot, "-ERR unknown plan\r\n")) };
        let (Some(units), Some(spread), Some(first)) = (units, spread, first) else {
            return Err((slot, "-ERR bad units, spread or first\r\n"));
        };
        let budget = match budget {
            Some(None) => return Err((slot, "-ERR bad d\r\n")),
            given => given.flatten().map(Duration::from_millis),
        };
        let account = CustomerId::from(word(1));
        let call = PlatformCall { buffer, words, wait };
        Ok(Asked { number, arrived, budget, class, plan, account, units, spread, first, slot, call })
    }

    fn write(&self, link: &Link, answers: &Receiver<Owed>) {
        for (number, answer) in answers {
            let reply = answer.recv().unwrap_or(Reply::Line("-ERR failed\r\n"));
            let last = matches!(reply, Reply::Last(_));
            let written = write_reply(&link.stream, reply);
            if written.is_err() || last || !link.end(number, self.closing.load(Ordering::SeqCst)) {
                break;
            }
        }
        // Ends the reader too, which tells of what is still open.
        link.close();
    }
}

impl Link {
    /// A command has been read; false if the connection is closing and the command is not taken.
    fn begin(&self) -> bool {
        let mut state = lock(&self.state);
        state.unwritten += usize::from(!state.closed);
        !state.closed
    }

    /// The first command still owed has been answered; false if the connection is to end.
    fn end(&self, number: u64, closing: bool) -> bool {
        let mut state = lock(&self.state);
        state.waiting.retain(|n| *n != number);
        state.unwritten -= 1;
        state.idle_since = Instant::now();
        state.closed |= closing && state.unwritten == 0;
        !state.closed
    }

    fn close_if_idle(&self) {
        let mut state = lock(&self.state);
        if state.unwritten == 0 {
            state.closed = true;
            _ = self.stream.shutdown(Shutdown::Both);
        }
    }

    fn close(&self) {
        lock(&self.state).closed = true;
        _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn write_reply(mut to: &TcpStream, reply: Reply) -> io::Result<()> {
    match reply {
        Reply::Line(text) => to.write_all(text.as_bytes()),
        Reply::Last(text) => to.write_all(text.as_bytes()),
        Reply::Answer(Answer::Served(Served { buffer, value })) => {
            // As it came (the codec takes plain lengths alone): length line, value, line end stand in a row in the node's answer.
            let digits = value.len().to_string().len();
            let framed = value.start - digits - 3..value.end + 2;
            to.write_all(&buffer[framed])
        }
        Reply::Answer(Answer::Refused { after, .. }) if after.is_zero() => to.write_all(b"-BUSY\r\n"),
        Reply::Answer(Answer::Refused { after, .. }) => {
            let wait = after.as_micros().div_ceil(1_000);
            to.write_all(format!("-BUSY {wait}\r\n").as_bytes())
        }
        Reply::Answer(Answer::Failed { late: true }) => to.write_all(b"-ERR timed out\r\n"),
        Reply::Answer(Answer::Failed { late: false }) => to.write_all(b"-ERR failed\r\n"),
    }
}
