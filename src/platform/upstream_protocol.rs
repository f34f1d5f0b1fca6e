//! How the platform words an attempt, and what its ticket nodes answer.

use crate::decision::Outcome;
use crate::protocol::buffers::{Buffer, SIZE};
use crate::protocol::resp::{self, Reply};
use crate::upstream::{Connection, Exchange, UpstreamProtocol};
use crossbeam_channel::{bounded, Sender};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What the answer of a ticket node that served begins with: value, use and load.
const SERVED: &[u8] = b"*3\r\n";
/// Place of the names and values among a command's words.
pub const FIELDS: usize = 3;

/// A command as it goes on to a ticket node: as it came, but for the time left.
pub struct PlatformCall {
    /// The agent's command.
    pub buffer: Buffer,
    /// Its words.
    pub words: Vec<Range<usize>>,
    /// Where the value of `d` stands; empty where the agent gave none.
    pub wait: Range<usize>,
}

impl PlatformCall {
    /// Writes the command with the time that the limiter waits; how many bytes it takes.
    fn word(&self, mut to: &mut [u8], left: Duration) -> io::Result<usize> {
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

/// A value as a ticket node serves it.
pub enum Served {
    /// It has come.
    Whole {
        /// The node's answer.
        buffer: Buffer,
        /// Where the value stands in it.
        value: Range<usize>,
    },
    /// It begins to come, and is longer than a buffer.
    Long(Long),
}

/// A value that is passed on as it comes, by the thread that writes to the agent: a slow agent slows down the one
/// connection that the value comes on, and no piece of it is held but the one in hand.
pub struct Long {
    from: Arc<Connection>,
    /// What has been read of it, and perhaps beyond.
    first: Vec<u8>,
    length: usize,
    /// To the thread of the attempt.
    ended: Sender<Passed>,
}

/// How the passing on of a long value ended.
enum Passed {
    /// The agent has it whole; these bytes came behind it.
    Whole(Vec<u8>),
    /// The node broke off, said nothing for too long or said what has no place.
    Broken,
    /// The agent took no more.
    Left,
}

impl Long {
    /// Writes the value to the agent as it comes. An agent whose value breaks off is told by the end of its connection.
    pub fn pass_on(self, to: &TcpStream) -> io::Result<()> {
        let (passed, end) = match self.pass(to) {
            Ok(rest) => (Passed::Whole(rest), Ok(())),
            Err((passed, fault)) => (passed, Err(fault)),
        };
        _ = self.ended.try_send(passed);
        end
    }

    fn pass(&self, mut to: &TcpStream) -> Result<Vec<u8>, (Passed, io::Error)> {
        let left = |fault| (Passed::Left, fault);
        let broken = || (Passed::Broken, io::Error::from(ErrorKind::UnexpectedEof));
        let (mut piece, mut come, mut due) = ([0; PIECE], self.first.clone(), self.length);
        write!(to, "${due}\r\n").map_err(left)?;
        loop {
            let part = due.min(come.len());
            to.write_all(&come[..part]).map_err(left)?;
            (due, come) = (due - part, come.split_off(part));
            // What stands behind the value says whether its length was right.
            if due == 0 && come.len() >= 2 {
                if !come.starts_with(b"\r\n") {
                    return Err(broken());
                }
                to.write_all(b"\r\n").map_err(left)?;
                return Ok(come.split_off(2));
            }
            let read = match (&self.from.stream).read(&mut piece) {
                Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
                Ok(0) | Err(_) => return Err(broken()),
                Ok(read) => read,
            };
            let whole = due.min(read);
            to.write_all(&piece[..whole]).map_err(left)?;
            due -= whole;
            come.extend_from_slice(&piece[whole..read]);
        }
    }
}

/// What is passed on at a time.
const PIECE: usize = 16 * 1024;
/// A node that has begun a long value and gives nothing more of it for so long has broken off. No deadline cuts it off.
pub const STALLED: Duration = Duration::from_secs(5);
/// What comes behind a long value is waited for so long, once the agent has it.
const BEHIND: Duration = Duration::from_millis(500);

/// RESP to ticket nodes, with the names of the figures in a load report, in the module's order.
pub struct PlatformUpstreamProtocol(pub Vec<String>);

impl UpstreamProtocol for PlatformUpstreamProtocol {
    type Call = PlatformCall;
    type Value = Served;

    fn write(&self, call: &PlatformCall, mut to: &TcpStream, left: Duration) -> io::Result<()> {
        let mut command = Buffer::take();
        let size = call.word(&mut command, left)?;
        to.write_all(&command[..size])
    }

    fn read(
        &self,
        _: &PlatformCall,
        from: &Arc<Connection>,
        begins: &dyn Fn(Served),
    ) -> Exchange<Served> {
        let done = match self.answer(&from.stream) {
            Answer::Done(done) => done,
            Answer::Long { first, length } => return self.long(from, first, length, begins),
        };
        match (done.outcome, &done.value) {
            // A load report where a value was due serves nobody.
            (Outcome::Ok, None) => Exchange::broke(Outcome::Error),
            _ => done,
        }
    }

    fn probe(&self, mut stream: &TcpStream) -> Exchange<Served> {
        match stream.write_all(b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n") {
            Ok(()) => match self.answer(stream) {
                Answer::Done(done) => done,
                Answer::Long { .. } => Exchange::broke(Outcome::Error),
            },
            Err(_) => Exchange::broke(Outcome::ConnectFailed),
        }
    }
}

/// What a ticket node answers.
enum Answer {
    Done(Exchange<Served>),
    /// A value of this length begins, of which so much has come.
    Long {
        first: Vec<u8>,
        length: usize,
    },
}

impl PlatformUpstreamProtocol {
    fn answer(&self, stream: &TcpStream) -> Answer {
        let (mut buffer, mut end) = (Buffer::none(), 0);
        loop {
            match buffer.read(end, stream) {
                Ok(0) => return Answer::Done(Exchange::broke(Outcome::Reset)),
                Ok(read) => end += read,
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => {
                    return Answer::Done(Exchange::broke(Outcome::Timeout))
                }
                Err(_) => return Answer::Done(Exchange::broke(Outcome::Reset)),
            }
            if let Some((start, length)) = resp::long_value(&buffer[..end]) {
                return Answer::Long {
                    first: buffer[start..end].to_vec(),
                    length,
                };
            }
            // An array of any other length would be waited for in vain.
            let other =
                buffer[0] == b'*' && !buffer[..end].starts_with(&SERVED[..end.min(SERVED.len())]);
            match resp::reply(&buffer[..end], 0) {
                _ if other => return Answer::Done(Exchange::broke(Outcome::Error)),
                Ok(Some((reply, size))) => {
                    return Answer::Done(self.understood(buffer, reply, size == end))
                }
                Ok(None) if end < SIZE => {}
                _ => return Answer::Done(Exchange::broke(Outcome::Error)),
            }
        }
    }

    /// Has a long value passed on, and waits for its end.
    fn long(
        &self,
        from: &Arc<Connection>,
        first: Vec<u8>,
        length: usize,
        begins: &dyn Fn(Served),
    ) -> Exchange<Served> {
        let limit = |wait| from.stream.set_read_timeout(wait).is_ok();
        if !limit(Some(STALLED)) {
            return Exchange::broke(Outcome::Reset);
        }
        let (ended, passed) = bounded(1);
        begins(Served::Long(Long {
            from: from.clone(),
            first,
            length,
            ended,
        }));
        match passed.recv() {
            Ok(Passed::Whole(behind)) => {
                let load = limit(Some(BEHIND))
                    .then(|| self.behind(&from.stream, behind))
                    .flatten();
                let (keep, load) = (load.is_some() && limit(None), load.unwrap_or_default());
                Exchange {
                    outcome: Outcome::Ok,
                    load,
                    value: None,
                    keep,
                }
            }
            Ok(Passed::Broken) => Exchange::broke(Outcome::Reset),
            // The agent's doing, or nobody wanted it.
            Ok(Passed::Left) | Err(_) => Exchange::broke(Outcome::Cancelled),
        }
    }

    /// Use and load behind a value: the load, or none if the connection can't be used again.
    fn behind(&self, mut stream: &TcpStream, mut come: Vec<u8>) -> Option<Vec<f64>> {
        let began = Instant::now();
        // Each read has its time, and so have all: a node may give a byte now and then for good.
        while began.elapsed() < BEHIND {
            let used = resp::reply(&come, 0).ok()?;
            let load = used
                .map(|(_, at)| resp::reply(&come, at))
                .transpose()
                .ok()?
                .flatten();
            if let Some((load, end)) = load {
                let report = match load {
                    Reply::Bulk(Some(text)) => self.load(&come[text]),
                    _ => Vec::new(),
                };
                return (end == come.len()).then_some(report);
            }
            let mut part = [0; 1_024];
            let read = stream
                .read(&mut part)
                .ok()
                .filter(|read| *read > 0 && come.len() < 4 * part.len())?;
            come.extend_from_slice(&part[..read]);
        }
        None
    }

    /// What a whole reply says. `alone` if nothing came behind it.
    ///
    /// Guards against answers that come spoilt: after one that no ticket node means, its connection stays open and
    /// answers nothing more.
    fn understood(&self, buffer: Buffer, reply: Reply, alone: bool) -> Exchange<Served> {
        let done = |outcome, load, value| Exchange {
            outcome,
            load,
            value,
            keep: alone,
        };
        match reply {
            Reply::Array(Some(parts)) => {
                let load = match parts.get(2) {
                    Some(Reply::Bulk(Some(text))) => self.load(&buffer[text.clone()]),
                    _ => Vec::new(),
                };
                match parts.into_iter().next() {
                    Some(Reply::Bulk(Some(value))) => {
                        done(Outcome::Ok, load, Some(Served::Whole { buffer, value }))
                    }
                    _ => Exchange::broke(Outcome::Error),
                }
            }
            Reply::Bulk(Some(report)) => done(Outcome::Ok, self.load(&buffer[report]), None),
            Reply::Error(text) => {
                let text = &buffer[text];
                let last = text
                    .rsplit(|b| *b == b' ')
                    .next()
                    .filter(|w| w.contains(&b'='));
                let load = last.map(|w| self.load(w)).unwrap_or_default();
                match text.split(|b| *b == b' ').next() {
                    Some(b"BUSY") => done(Outcome::Rejected, load, None),
                    Some(b"ERR") => done(Outcome::Error, load, None),
                    _ => Exchange::broke(Outcome::Error),
                }
            }
            _ => Exchange::broke(Outcome::Error),
        }
    }

    /// A load report in the order of the settings; empty unless it holds every figure.
    fn load(&self, report: &[u8]) -> Vec<f64> {
        let text = std::str::from_utf8(report).unwrap_or("");
        let figure = |name: &String| {
            let (_, value) = text
                .split(',')
                .filter_map(|f| f.split_once('='))
                .find(|(n, _)| n == name)?;
            value.parse::<f64>().ok().filter(|v| v.is_finite())
        };
        self.0
            .iter()
            .map(figure)
            .collect::<Option<_>>()
            .unwrap_or_default()
    }
}
