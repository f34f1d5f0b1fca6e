//! Calls of the quota counter over HTTP, written one behind another on a few kept connections.

use super::http::Reader;
use super::{lock, spawn};
use crate::interface::Outcome;
use crossbeam_channel::{unbounded, Receiver, Sender};
use slog::{warn, Logger};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Connections; a count keeps to one of them, so its answers come in the order of its calls.
const LINES: usize = 4;
/// The counter closes a connection that was idle for about 10 s or less: a call that crosses the close would
/// be in doubt, so one idle for this long is not used again.
const IDLE: Duration = Duration::from_secs(3);
/// An answer that takes longer than this holds up all behind it: the line is given up for a new one.
const STUCK: Duration = Duration::from_millis(500);
const CONNECT: Duration = Duration::from_millis(50);
const LONGEST_BODY: usize = 1_024;

/// Takes the end of a call: its number, how it ended, the total.
pub type Counted = Arc<dyn Fn(u64, Outcome, f64) + Send + Sync>;

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

/// The way to the quota counter.
pub struct QuotaCounter {
    lines: Vec<Sender<Addition>>,
}

impl QuotaCounter {
    /// Starts the threads that write calls.
    pub fn start(at: SocketAddr, counted: Counted, log: &Logger) -> io::Result<Self> {
        let line = |_| {
            let (sender, additions) = unbounded();
            let (counted, log) = (counted.clone(), log.clone());
            spawn("counter-write", move || write_calls(at, &additions, &counted, &log))?;
            Ok(sender)
        };
        Ok(Self { lines: (0..LINES).map(line).collect::<io::Result<_>>()? })
    }

    /// Adds to a count. The end of the call is told later, and may be told after the core gave it up.
    pub fn add(&self, addition: Addition) {
        // A writer ends with the program alone.
        _ = self.lines[addition.name as usize % LINES].send(addition);
    }
}

/// A connection with the calls written on it and not answered yet.
struct Line {
    stream: TcpStream,
    waiting: Mutex<VecDeque<(u64, Instant)>>,
}

impl Line {
    fn open(at: SocketAddr, counted: &Counted) -> io::Result<Arc<Self>> {
        let stream = TcpStream::connect_timeout(&at, CONNECT)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(STUCK))?;
        let line = Arc::new(Self { stream, waiting: Mutex::new(VecDeque::new()) });
        let (reader, counted) = (line.clone(), counted.clone());
        spawn("counter-read", move || reader.read_answers(&counted))?;
        Ok(line)
    }

    /// Good for another call: in use of late, and nothing on it waits too long.
    fn fit(&self, last: Instant) -> bool {
        let oldest = lock(&self.waiting).front().map(|(_, at)| *at);
        oldest.map_or(last.elapsed() < IDLE, |at| at.elapsed() < STUCK)
    }

    fn read_answers(&self, counted: &Counted) {
        let mut reader = Reader::new(&self.stream);
        while let Ok((status, body, keep)) = reader.response() {
            let Ok(body) = reader.body(body, LONGEST_BODY) else { break };
            let Some((call, _)) = lock(&self.waiting).pop_front() else { break };
            let total = std::str::from_utf8(&body).ok().and_then(|t| t.trim().parse::<f64>().ok());
            match (status, total) {
                (200, Some(total)) => counted(call, Outcome::Ok, total),
                // Added, but to what is not told.
                (200, None) => counted(call, Outcome::Timeout, 0.0),
                (503, _) => counted(call, Outcome::Full, 0.0),
                (400..=499, _) => counted(call, Outcome::ConnectFailed, 0.0),
                _ => counted(call, Outcome::Timeout, 0.0),
            }
            if !keep {
                break;
            }
        }
        self.close();
        // Written and never answered: each may have been added.
        for (call, _) in std::mem::take(&mut *lock(&self.waiting)) {
            counted(call, Outcome::Timeout, 0.0);
        }
    }

    fn close(&self) {
        _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn write_calls(at: SocketAddr, additions: &Receiver<Addition>, counted: &Counted, log: &Logger) {
    let mut line: Option<Arc<Line>> = None;
    let mut last = Instant::now();
    let mut failing = false;
    for Addition { call, name, by, ttl } in additions {
        if let Some(unfit) = line.take_if(|l| !l.fit(last)) {
            unfit.close();
        }
        if line.is_none() {
            match Line::open(at, counted) {
                Ok(fresh) => line = Some(fresh),
                Err(fault) => {
                    if !failing {
                        warn!(log, "quota counter unreachable"; "fault" => %fault);
                    }
                    failing = true;
                    counted(call, Outcome::ConnectFailed, 0.0);
                    continue;
                }
            }
            failing = false;
        }
        let Some(open) = &line else { continue };
        last = Instant::now();
        let ttl = ttl.as_millis();
        let text = format!(
            "POST /v1/count/{name}?add={by}&ttl_ms={ttl} HTTP/1.1\r\nHost: {at}\r\nContent-Length: 0\r\n\r\n"
        );
        // Before it is written, or its answer could come first.
        lock(&open.waiting).push_back((call, last));
        if (&open.stream).write_all(text.as_bytes()).is_err() {
            open.close();
            let mut waiting = lock(&open.waiting);
            // Not written whole: nothing was added. The reader may have told of it as in doubt already.
            if waiting.back().is_some_and(|(last, _)| *last == call) {
                waiting.pop_back();
                drop(waiting);
                counted(call, Outcome::ConnectFailed, 0.0);
            } else {
                drop(waiting);
            }
            line = None;
        }
    }
}
