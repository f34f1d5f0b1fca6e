//! The platform's front: agents' commands in RESP, each passed on as it came but for the time left.

use super::buffers::{Buffer, SIZE};
use super::front::{Desk, Manner, Reply, Slot};
use super::node_calls::{PlatformCall, PlatformSpeech, Served, FIELDS};
use super::resp;
use super::wiring::Wiring;
use crate::interface::CustomerId;
use crate::limiter::{Answer, Incoming};
use crate::wire::Names;
use slog::info;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::time::{Duration, Instant};

/// A command can grow by the digits of a new deadline on its way to a ticket node.
const LONGEST_COMMAND: usize = SIZE - 64;

/// What agents speak on the platform.
pub struct Agents {
    /// Names of classes and plans.
    pub names: Names,
    /// By class: the longest that an agent waits.
    pub deadlines: Vec<Duration>,
}

type Refused = (Slot<Served>, &'static str);

impl Manner for Agents {
    type Speech = PlatformSpeech;
    type Shape = ();

    fn read(&self, mut stream: &TcpStream, desk: &Desk<Self>) {
        let (mut buffer, mut end) = (Buffer::take(), 0);
        loop {
            match stream.read(&mut buffer[end..]) {
                Ok(0) => return,
                Ok(read) => end += read,
                Err(fault) if fault.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return,
            }
            let arrived = Instant::now();
            let mut start = 0;
            loop {
                let (mut words, size) = match resp::command(&buffer[start..end]) {
                    Ok(Some((words, size))) if size <= LONGEST_COMMAND => (words, size),
                    Ok(None) if end - start < LONGEST_COMMAND => break,
                    Ok(_) => return malformed(desk, "command too long"),
                    Err(fault) => return malformed(desk, fault),
                };
                words.iter_mut().for_each(|w| *w = w.start + start..w.end + start);
                start += size;
                let Some((number, slot)) = desk.place(()) else { return };
                if words.len() <= FIELDS {
                    _ = slot.send(word(&buffer[words[0].clone()], desk.ready()));
                    continue;
                }
                // The command goes on in the buffer that it came in; what follows it moves to a new one.
                let mut rest = Buffer::take();
                rest[..end - start].copy_from_slice(&buffer[start..end]);
                let came = std::mem::replace(&mut buffer, rest);
                (start, end) = (0, end - start);
                match self.understand(number, came, words, arrived, slot) {
                    Ok(request) => desk.ask(request),
                    Err((slot, fault)) => _ = slot.send(Reply::words(fault)),
                }
            }
            buffer.copy_within(start..end, 0);
            end -= start;
        }
    }

    fn write(&self, mut to: &TcpStream, (): (), answer: Answer<Served>) -> io::Result<bool> {
        match answer {
            Answer::Served(Served { buffer, value }) => {
                // As it came (the codec takes plain lengths alone): length line, value and line end stand in a
                // row in the node's answer.
                let digits = value.len().to_string().len();
                to.write_all(&buffer[value.start - digits - 3..value.end + 2])
            }
            Answer::Refused { after, .. } if after.is_zero() => to.write_all(b"-BUSY\r\n"),
            Answer::Refused { after, .. } => {
                let wait = after.as_micros().div_ceil(1_000);
                to.write_all(format!("-BUSY {wait}\r\n").as_bytes())
            }
            Answer::Failed { late: true } => to.write_all(b"-ERR timed out\r\n"),
            Answer::Failed { late: false } => to.write_all(b"-ERR failed\r\n"),
        }
        .map(|()| true)
    }
}

/// Nothing after a malformed command can be told apart: the agent is told so, and the connection ends once what
/// was asked before is answered.
fn malformed(desk: &Desk<Agents>, fault: &str) {
    info!(desk.log(), "malformed command"; "fault" => fault);
    if let Some((_, slot)) = desk.place(()) {
        _ = slot.send(Reply::last(format!("-ERR {fault}\r\n")));
    }
}

fn word(word: &[u8], ready: bool) -> Reply<Served> {
    Reply::words(match (word.eq_ignore_ascii_case(b"PING"), ready) {
        (true, true) => "+PONG\r\n",
        (true, false) => "-LOADING no node list yet\r\n",
        (false, _) => "-ERR unknown command\r\n",
    })
}

impl Agents {
    fn understand(
        &self,
        number: u64,
        buffer: Buffer,
        words: Vec<Range<usize>>,
        arrived: Instant,
        slot: Slot<Served>,
    ) -> Result<Incoming<Wiring<PlatformSpeech>>, Refused> {
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
        let longest = self.deadlines.get(class).copied().unwrap_or_default();
        let budget = match budget {
            None => longest,
            Some(Some(wait)) => Duration::from_millis(wait).min(longest),
            Some(None) => return Err((slot, "-ERR bad d\r\n")),
        };
        let account = CustomerId::from(word(1));
        let call = PlatformCall { buffer, words, wait };
        Ok(Incoming {
            number,
            arrived,
            budget,
            class,
            plan,
            account,
            units,
            spread,
            first,
            client: slot,
            call,
        })
    }
}
