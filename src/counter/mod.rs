//! Calls of a counter, written one behind another on a few kept connections.

pub mod http;
pub mod redis;

use crate::decision::Outcome;
use crate::threads::{lock, spawn};
use crossbeam_channel::{unbounded, Receiver, Sender};
use slog::{warn, Logger};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Connections; a count keeps to one of them, so its answers come in the order of its calls.
const LINES: usize = 4;
/// The counter closes a connection that was idle for about 10 s or less: a call that crosses the close would
/// be in doubt, so one idle for this long is not used again.
const IDLE: Duration = Duration::from_secs(3);
/// An answer that takes longer than this, and than so many times what a call is waited for, holds up all behind it: the
/// line is given up for a new one.
const STUCK: Duration = Duration::from_millis(250);
const STUCK_TIMES: u32 = 5;
/// A connection is waited for so long, or for as long as a call if that is longer.
const CONNECT: Duration = Duration::from_millis(50);

/// Takes the end of a call: its number, how it ended, the total.
pub type Counted = Arc<dyn Fn(u64, Outcome, f64) + Send + Sync>;

/// How calls are worded, and their answers read.
pub trait CounterProtocol: Send + Sync + 'static {
    /// A call as it is written to the counter at this address.
    fn word(&self, addition: &Addition, to: SocketAddr) -> Vec<u8>;
    /// Reads answers and hands each to `told`, until that is false or the connection can't go on, as after an answer
    /// that can't be read: what follows it may belong to no call.
    fn read(&self, from: &TcpStream, told: &mut dyn FnMut(Outcome, f64) -> bool);
}

/// One call to be written.
pub struct Addition {
    /// Comes back with the total.
    pub call: u64,
    /// The count.
    pub name: u64,
    /// The amount.
    pub by: f64,
    /// How long a new name lives.
    pub ttl: Duration,
}

/// What a line is told to do.
enum Job {
    Add(Addition),
    Move(SocketAddr),
}

/// The way to a counter.
#[derive(Clone)]
pub struct CountLines {
    lines: Vec<Sender<Job>>,
}

impl CountLines {
    /// Starts the threads that write calls, each of which is waited for so long.
    pub fn start(
        at: SocketAddr,
        wait: Duration,
        protocol: impl CounterProtocol,
        counted: Counted,
        log: &Logger,
    ) -> io::Result<Self> {
        let protocol: Arc<dyn CounterProtocol> = Arc::new(protocol);
        let line = |_| {
            let (sender, jobs) = unbounded();
            let writer = Writer {
                at,
                wait,
                protocol: protocol.clone(),
                counted: counted.clone(),
                log: log.clone(),
                line: None,
            };
            spawn("count-write", move || writer.run(&jobs))?;
            Ok(sender)
        };
        Ok(Self {
            lines: (0..LINES).map(line).collect::<io::Result<_>>()?,
        })
    }

    /// Adds to a count. The end of the call is told later, and may be told after the core gave it up.
    pub fn add(&self, addition: Addition) {
        // A writer ends with the program alone.
        _ = self.lines[addition.name as usize % LINES].send(Job::Add(addition));
    }

    /// Calls the counter at another address from now on; answers still due from the old one are taken.
    pub fn move_to(&self, at: SocketAddr) {
        self.lines
            .iter()
            .for_each(|line| _ = line.send(Job::Move(at)));
    }
}

/// A connection with the calls written on it and not answered yet.
struct Line {
    stream: TcpStream,
    waiting: Mutex<VecDeque<(u64, Instant)>>,
    /// No further call is written: it ends with the last answer due.
    left: AtomicBool,
}

impl Line {
    /// Good for another call: in use of late, and nothing on it waits too long.
    fn fit(&self, last: Instant, stuck: Duration) -> bool {
        let oldest = lock(&self.waiting).front().map(|(_, at)| *at);
        oldest.map_or(last.elapsed() < IDLE, |at| at.elapsed() < stuck)
    }

    fn read(&self, protocol: &dyn CounterProtocol, counted: &Counted) {
        protocol.read(&self.stream, &mut |outcome, total| {
            let (call, more) = {
                let mut waiting = lock(&self.waiting);
                (
                    waiting.pop_front(),
                    !waiting.is_empty() || !self.left.load(Ordering::SeqCst),
                )
            };
            call.map(|(call, _)| counted(call, outcome, total))
                .is_some()
                && more
        });
        self.close();
        // Written and never answered: each may have been added.
        for (call, _) in std::mem::take(&mut *lock(&self.waiting)) {
            counted(call, Outcome::Timeout, 0.0);
        }
    }

    /// Takes what is still due and ends.
    fn leave(&self) {
        let waiting = lock(&self.waiting);
        self.left.store(true, Ordering::SeqCst);
        if waiting.is_empty() {
            self.close();
        }
    }

    fn close(&self) {
        _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Writes the calls of one line.
struct Writer {
    at: SocketAddr,
    wait: Duration,
    protocol: Arc<dyn CounterProtocol>,
    counted: Counted,
    log: Logger,
    line: Option<Arc<Line>>,
}

impl Writer {
    fn run(mut self, jobs: &Receiver<Job>) {
        let (mut last, mut failing) = (Instant::now(), false);
        let stuck = self.stuck();
        for job in jobs {
            let addition = match job {
                Job::Add(addition) => addition,
                Job::Move(at) => {
                    self.at = at;
                    if let Some(line) = self.line.take() {
                        line.leave();
                    }
                    continue;
                }
            };
            if let Some(unfit) = self.line.take_if(|l| !l.fit(last, stuck)) {
                unfit.close();
            }
            last = Instant::now();
            match self.open() {
                Ok(line) => self.write(&line, &addition, last),
                Err(fault) => {
                    if !failing {
                        warn!(self.log, "counter unreachable"; "error" => %fault);
                    }
                    failing = true;
                    (self.counted)(addition.call, Outcome::ConnectFailed, 0.0);
                    continue;
                }
            }
            failing = false;
        }
    }

    fn stuck(&self) -> Duration {
        STUCK.max(self.wait * STUCK_TIMES)
    }

    fn open(&mut self) -> io::Result<Arc<Line>> {
        if let Some(line) = &self.line {
            return Ok(line.clone());
        }
        let stream = TcpStream::connect_timeout(&self.at, CONNECT.max(self.wait))?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.stuck()))?;
        let line = Arc::new(Line {
            stream,
            waiting: Mutex::default(),
            left: AtomicBool::new(false),
        });
        let (reader, protocol, counted) =
            (line.clone(), self.protocol.clone(), self.counted.clone());
        spawn("count-read", move || reader.read(&*protocol, &counted))?;
        self.line = Some(line.clone());
        Ok(line)
    }

    fn write(&mut self, line: &Line, addition: &Addition, now: Instant) {
        // Before it is written, or its answer could come first.
        lock(&line.waiting).push_back((addition.call, now));
        if (&line.stream)
            .write_all(&self.protocol.word(addition, self.at))
            .is_ok()
        {
            return;
        }
        // Not written whole: nothing was added, unless the reader has told of it as in doubt already.
        let unwritten = {
            let mut waiting = lock(&line.waiting);
            let last = waiting
                .back()
                .is_some_and(|(call, _)| *call == addition.call);
            last && waiting.pop_back().is_some()
        };
        if unwritten {
            (self.counted)(addition.call, Outcome::ConnectFailed, 0.0);
        }
        line.close();
        self.line = None;
    }
}
