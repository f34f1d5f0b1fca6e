//! The platform's front: agents' commands in RESP, each passed on as it came but for the time left.

use crate::client::interruptible::InterruptibleReader;
use crate::client::{ClientProtocol, CloseReason, Reply, Session};
use crate::core::{Answer, IncomingRequest};
use crate::decision::{AccountId, Idempotency, RequestId};
use crate::platform::upstream_protocol::{PlatformCall, PlatformUpstreamProtocol, Served, FIELDS};
use crate::protocol::buffers::{Buffer, SIZE};
use crate::protocol::resp;
use crate::simulator::Names;
use std::io::{self, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::time::{Duration, Instant};

/// A command can grow by the digits of a new deadline on its way to a ticket node.
const LONGEST_COMMAND: usize = SIZE - 64;
/// Places of the agent account and of the request's id among a command's words.
const ACCOUNT: usize = 1;
const ID: usize = 2;
/// Commands in a row that can't be understood before the connection is closed, and the wait after the first; it
/// grows with each.
const MOST_BAD: u32 = 8;
const BAD_WAIT: Duration = Duration::from_millis(10);

/// The protocol of clients on the platform.
pub struct PlatformClientProtocol {
    /// Names of classes and plans.
    pub names: Names,
    /// By class: the longest that an agent waits, and whether it may run again.
    pub classes: Vec<(Duration, Idempotency)>,
    /// Units that a request may count at most.
    pub most_units: f64,
    /// Limiters in all.
    pub limiters: u32,
}

/// What a command asks for, once it has been found good.
struct Asked {
    class: usize,
    plan: usize,
    budget: Duration,
    units: f64,
    spread: u32,
    first: u32,
    /// Where the value of `d` stands.
    wait: Range<usize>,
}

impl ClientProtocol for PlatformClientProtocol {
    type Upstream = PlatformUpstreamProtocol;
    type ReplyContext = ();

    fn read(&self, from: &mut InterruptibleReader, session: &Session<Self>) -> Vec<u8> {
        let (mut buffer, mut end, mut bad) = (Buffer::none(), 0, 0);
        loop {
            match buffer.read(end, &mut *from) {
                Ok(0) => return Vec::new(),
                Ok(read) => end += read,
                Err(_) => return buffer[..end].to_vec(),
            }
            let arrived = Instant::now();
            let mut start = 0;
            while start < end {
                let (mut words, size) = match resp::command(&buffer[start..end]) {
                    Ok(Some((words, size))) if size <= LONGEST_COMMAND => (words, size),
                    Ok(None) if end - start < LONGEST_COMMAND => break,
                    Ok(_) => return malformed(session, "command too long"),
                    Err(fault) => return malformed(session, fault),
                };
                words
                    .iter_mut()
                    .for_each(|w| *w = w.start + start..w.end + start);
                start += size;
                if words.len() <= FIELDS {
                    if !session
                        .reply_directly((), word(&buffer[words[0].clone()], session.is_ready()))
                    {
                        return Vec::new();
                    }
                    continue;
                }
                let asked = match self.understand(&buffer, &words) {
                    Ok(asked) => asked,
                    Err(fault) => {
                        // Guards against agents that send the same thing again as soon as it is turned away:
                        // their errors come at once, but ever less often, and then no more.
                        bad += 1;
                        if bad > MOST_BAD {
                            return malformed(session, fault);
                        }
                        session.log_malformed(fault);
                        let fields = String::from_utf8_lossy(&buffer[words[FIELDS].clone()]);
                        let class = fields
                            .split(',')
                            .find_map(|f| self.names.class(f.strip_prefix("c=")?));
                        class
                            .into_iter()
                            .for_each(|class| session.count_failed(class));
                        if !session.reply_directly((), Reply::direct(&format!("-ERR {fault}\r\n")))
                        {
                            return Vec::new();
                        }
                        session.pause_reading(BAD_WAIT * bad);
                        continue;
                    }
                };
                bad = 0;
                let Some((number, client)) = session.reserve_reply((), asked.class) else {
                    return Vec::new();
                };
                let text = |at: usize| String::from_utf8_lossy(&buffer[words[at].clone()]);
                let (account, id) = (
                    AccountId::from(&*text(ACCOUNT)),
                    RequestId::from(&*text(ID)),
                );
                // The command goes on in the buffer that it came in; what follows it moves to a new one.
                let mut rest = Buffer::none();
                if start < end {
                    rest = Buffer::take();
                    rest[..end - start].copy_from_slice(&buffer[start..end]);
                }
                let buffer = std::mem::replace(&mut buffer, rest);
                (start, end) = (0, end - start);
                let Asked {
                    class,
                    plan,
                    budget,
                    units,
                    spread,
                    first,
                    wait,
                } = asked;
                session.submit(IncomingRequest {
                    number,
                    id: Some(id),
                    arrived,
                    timeout: budget,
                    class,
                    plan,
                    account,
                    units,
                    limiter_count: spread,
                    first_limiter: first,
                    client,
                    call: PlatformCall {
                        buffer,
                        words,
                        wait,
                    },
                });
            }
            if start < end {
                buffer.copy_within(start..end, 0);
                session.note_partial_command();
            } else {
                buffer = Buffer::none();
            }
            end -= start;
        }
    }

    fn closing_reply(&self, why: CloseReason) -> ((), Vec<u8>) {
        ((), format!("-ERR {}\r\n", why.description()).into_bytes())
    }

    fn write(&self, mut to: &TcpStream, (): (), answer: Answer<Served>) -> io::Result<bool> {
        match answer {
            Answer::Served(Served::Long(long)) => long.pass_on(to),
            Answer::Served(Served::Whole { buffer, value }) => {
                // As it came (the codec takes plain lengths alone): length line, value and line end stand in a
                // row in the node's answer.
                let digits = value.len().to_string().len();
                to.write_all(&buffer[value.start - digits - 3..value.end + 2])
            }
            Answer::Rejected {
                retry_after: after, ..
            } if after.is_zero() => to.write_all(b"-BUSY\r\n"),
            Answer::Rejected {
                retry_after: after, ..
            } => {
                let wait = after.as_micros().div_ceil(1_000);
                to.write_all(format!("-BUSY {wait}\r\n").as_bytes())
            }
            Answer::Failed { timed_out: true } => to.write_all(b"-ERR timed out\r\n"),
            Answer::Failed { timed_out: false } => to.write_all(b"-ERR failed\r\n"),
        }
        .map(|()| true)
    }
}

/// Nothing after a malformed command can be told apart: the agent is told so, and the connection ends once what
/// was asked before is answered.
fn malformed(session: &Session<PlatformClientProtocol>, fault: &str) -> Vec<u8> {
    session.reply_and_close((), format!("-ERR {fault}\r\n").into_bytes(), fault);
    Vec::new()
}

fn word(word: &[u8], ready: bool) -> Reply<Served> {
    Reply::direct(match (word.eq_ignore_ascii_case(b"PING"), ready) {
        (true, true) => "+PONG\r\n",
        (true, false) => "-LOADING no node list yet\r\n",
        (false, _) => "-ERR unknown command\r\n",
    })
}

impl PlatformClientProtocol {
    /// Finds out what a command asks for, or what is wrong with it.
    ///
    /// Guards against commands under a usual account's name that no agent of ours would send: the decision module
    /// is not to see their plan, units or limiters, nor a ticket node the rest.
    fn understand(&self, bytes: &[u8], words: &[Range<usize>]) -> Result<Asked, &'static str> {
        let word = |at: usize| std::str::from_utf8(&bytes[words[at].clone()]).unwrap_or("");
        let submit = word(0).eq_ignore_ascii_case("SVC.SUBMIT");
        if !(submit || word(0).eq_ignore_ascii_case("SVC.QUERY")) || words.len() > 5 {
            return Err("unknown command");
        }
        if !is_account(word(ACCOUNT)) {
            return Err("bad account");
        }
        if !is_name(word(ID)) {
            return Err("bad id");
        }
        let (mut class, mut plan, mut budget, mut wait, mut key) = (None, None, None, 0..0, None);
        let (mut units, mut spread, mut first) = (None, None, None);
        let mut at = words[FIELDS].start;
        for field in word(FIELDS).split(',') {
            if let Some((name, value)) = field.split_once('=') {
                match name {
                    "c" => class = self.names.class(value),
                    "t" => plan = self.names.plan(value),
                    "d" => {
                        budget = value.parse().ok().filter(|wait| *wait > 0);
                        wait = at + 2..at + field.len();
                    }
                    "k" => key = Some(value),
                    "units" => {
                        units = value
                            .parse()
                            .ok()
                            .filter(|u: &f64| *u > 0.0 && *u <= self.most_units)
                    }
                    "spread" => {
                        spread = value
                            .parse()
                            .ok()
                            .filter(|s| (1..=self.limiters).contains(s))
                    }
                    "first" => first = value.parse().ok().filter(|f| *f < self.limiters),
                    _ => {}
                }
            }
            at += field.len() + 1;
        }
        let class = class.ok_or("unknown class")?;
        let plan = plan.ok_or("unknown plan")?;
        let (Some(units), Some(spread), Some(first)) = (units, spread, first) else {
            return Err("bad units, spread or first");
        };
        let (longest, effect) = self.classes.get(class).copied().ok_or("unknown class")?;
        if submit == (effect == Idempotency::Idempotent) {
            return Err("the class goes with the other command");
        }
        if matches!(effect, Idempotency::Keyed(_)) && !key.is_some_and(is_name) {
            return Err("bad k");
        }
        let budget = Duration::from_millis(budget.ok_or("bad d")?).min(longest);
        Ok(Asked {
            class,
            plan,
            budget,
            units,
            spread,
            first,
            wait,
        })
    }
}

/// 16 hex digits, a number below 2^33.
fn is_account(text: &str) -> bool {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits && u64::from_str_radix(text, 16).is_ok_and(|n| n < 1 << 33)
}

/// What an id or a key can be made of.
fn is_name(text: &str) -> bool {
    (1..=64).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}
