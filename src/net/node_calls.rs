//! How the platform words an attempt, and what its ticket nodes answer.

use super::buffers::{Buffer, SIZE};
use super::resp::{self, Reply};
use super::ticket_nodes::{Exchange, Speech};
use crate::interface::Outcome;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::time::Duration;

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

/// A value as a ticket node served it.
#[derive(Debug)]
pub struct Served {
    /// The node's answer.
    pub buffer: Buffer,
    /// Where the value stands in it.
    pub value: Range<usize>,
}

/// RESP to ticket nodes, with the names of the figures in a load report, in the module's order.
pub struct PlatformSpeech(pub Vec<String>);

impl Speech for PlatformSpeech {
    type Call = PlatformCall;
    type Value = Served;

    fn write(&self, call: &PlatformCall, mut to: &TcpStream, left: Duration) -> io::Result<()> {
        let mut command = Buffer::take();
        let size = call.word(&mut command, left)?;
        to.write_all(&command[..size])
    }

    fn read(&self, _: &PlatformCall, stream: &TcpStream) -> Exchange<Served> {
        let done = self.answer(stream);
        match (done.outcome, &done.value) {
            // A load report where a value was due serves nobody.
            (Outcome::Ok, None) => Exchange::broke(Outcome::Error),
            _ => done,
        }
    }

    fn probe(&self, mut stream: &TcpStream) -> Exchange<Served> {
        match stream.write_all(b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n") {
            Ok(()) => self.answer(stream),
            Err(_) => Exchange::broke(Outcome::ConnectFailed),
        }
    }
}

impl PlatformSpeech {
    fn answer(&self, mut stream: &TcpStream) -> Exchange<Served> {
        let (mut buffer, mut end) = (Buffer::take(), 0);
        loop {
            match stream.read(&mut buffer[end..]) {
                Ok(0) => return Exchange::broke(Outcome::Reset),
                Ok(read) => end += read,
                Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => {
                    return Exchange::broke(Outcome::Timeout)
                }
                Err(_) => return Exchange::broke(Outcome::Reset),
            }
            // An array of any other length would be waited for in vain.
            let other = buffer[0] == b'*' && !buffer[..end].starts_with(&SERVED[..end.min(SERVED.len())]);
            match resp::reply(&buffer[..end], 0) {
                _ if other => return Exchange::broke(Outcome::Error),
                Ok(Some((reply, size))) => return self.understood(buffer, reply, size == end),
                Ok(None) if end < SIZE => {}
                _ => return Exchange::broke(Outcome::Error),
            }
        }
    }

    /// What a whole reply says. `alone` if nothing came behind it.
    ///
    /// Guards against answers that come spoilt: after one that no ticket node means, its connection stays open and
    /// answers nothing more.
    fn understood(&self, buffer: Buffer, reply: Reply, alone: bool) -> Exchange<Served> {
        let done = |outcome, load, value| Exchange { outcome, load, value, keep: alone };
        match reply {
            Reply::Array(Some(parts)) => {
                let load = match parts.get(2) {
                    Some(Reply::Bulk(Some(text))) => self.load(&buffer[text.clone()]),
                    _ => Vec::new(),
                };
                match parts.into_iter().next() {
                    Some(Reply::Bulk(Some(value))) => done(Outcome::Ok, load, Some(Served { buffer, value })),
                    _ => Exchange::broke(Outcome::Error),
                }
            }
            Reply::Bulk(Some(report)) => done(Outcome::Ok, self.load(&buffer[report]), None),
            Reply::Error(text) => {
                let text = &buffer[text];
                let last = text.rsplit(|b| *b == b' ').next().filter(|w| w.contains(&b'='));
                let load = last.map(|w| self.load(w)).unwrap_or_default();
                match text.split(|b| *b == b' ').next() {
                    Some(b"BUSY") => done(Outcome::Full, load, None),
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
            let (_, value) = text.split(',').filter_map(|f| f.split_once('=')).find(|(n, _)| n == name)?;
            value.parse::<f64>().ok().filter(|v| v.is_finite())
        };
        self.0.iter().map(figure).collect::<Option<_>>().unwrap_or_default()
    }
}
