//! The usual clients of a soak, whose requests are recorded.

use super::peers::{value_of, LONG_PREFIX};
use super::record::{Class, Event, Recorder, Reply};
use super::wire;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time for which a client waits for a connection.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause of a client whose connection was refused.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(15);
/// How much longer than its deadline a client looks for an answer, to see how late it is.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(1_500);
/// Longest pause of a client between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;
/// Largest number of requests that are sent at once.
const MAX_AT_ONCE: usize = 4;
/// Largest number of times that a client uses a connection.
const MAX_USES: usize = 60;
/// Length of a long body, in bytes.
const LONG_BODY_BYTES: usize = 30_000;
/// Pause of a client that writes slowly between two pieces, and the number of pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(30);
const PIECES: usize = 4;

/// What all clients share.
#[derive(Clone)]
pub struct Crowd {
    /// Where the limiters listen.
    pub limiters: Vec<SocketAddr>,
    /// Receives what the clients see.
    pub recorder: Recorder,
    /// Whether the clients are to stop.
    pub stop: Arc<AtomicBool>,
    /// The next number of a connection.
    pub next_connection: Arc<AtomicU64>,
    /// Longest time that a client waits for an answer, in milliseconds.
    pub max_deadline_ms: u64,
}

impl Crowd {
    pub(super) fn is_stopped(&self) -> bool {
        self.stop.load(SeqCst)
    }
}

/// A request and what is needed to send it again.
#[derive(Clone)]
struct Request {
    id: String,
    class: Class,
    deadline_ms: u64,
    bytes: Vec<u8>,
}

/// A usual client.
pub struct Client {
    crowd: Crowd,
    number: usize,
    rng: StdRng,
    sequence: u64,
    /// A request whose id is sent once more.
    again: Option<Request>,
    /// The limiter that the next connection goes to; none for any.
    next_limiter: Option<usize>,
}

impl Client {
    /// Returns a client whose choices follow from the seed.
    pub fn new(crowd: Crowd, number: usize, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64));
        Self {
            crowd,
            number,
            rng,
            sequence: 0,
            again: None,
            next_limiter: None,
        }
    }

    /// Sends requests on one connection after another until the crowd stops.
    pub fn run(mut self) {
        while !self.crowd.is_stopped() {
            let any = self.rng.random_range(0..self.crowd.limiters.len());
            let limiter = self.next_limiter.take().unwrap_or(any);
            let address = self.crowd.limiters[limiter];
            match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
                Ok(stream) => self.use_connection(limiter, &stream),
                Err(_) => thread::sleep(RETRY_PAUSE),
            }
        }
    }

    fn use_connection(&mut self, limiter: usize, stream: &TcpStream) {
        let connection = self.crowd.next_connection.fetch_add(1, SeqCst);
        let uses = self.rng.random_range(1..MAX_USES);
        let mut replies = BufReader::new(stream);
        for _ in 0..uses {
            if self.crowd.is_stopped() || is_closed(stream) {
                return;
            }
            let count = match self.rng.random_bool(0.1) {
                true => self.rng.random_range(2..=MAX_AT_ONCE),
                false => 1,
            };
            let sent = self.send(limiter, connection, stream, count);
            let complete = sent.len() == count;
            if self.rng.random_bool(0.03) {
                return self.leave(limiter, connection, stream, &sent);
            }
            if !self.read_replies(connection, stream, &mut replies, sent) || !complete {
                return;
            }
            let pause = self.rng.random_range(0..MAX_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Sends requests one behind another. Returns those that were written whole.
    fn send(
        &mut self,
        limiter: usize,
        connection: u64,
        stream: &TcpStream,
        count: usize,
    ) -> VecDeque<Request> {
        let mut sent = VecDeque::new();
        for _ in 0..count {
            let request = match self.again.take() {
                Some(request) => request,
                None => self.next_request(),
            };
            let pieces = if self.rng.random_bool(0.05) {
                PIECES
            } else {
                1
            };
            if write_in_pieces(stream, &request.bytes, pieces).is_err() {
                break;
            }
            self.crowd.recorder.note(Event::Sent {
                connection,
                id: request.id.clone(),
                class: request.class,
                deadline_ms: request.deadline_ms,
                limiter,
            });
            sent.push_back(request);
        }
        sent
    }

    fn next_request(&mut self) -> Request {
        self.sequence += 1;
        let class = match self.rng.random_range(0..3) {
            0 => Class::Look,
            1 => Class::Hold,
            _ => Class::Pay,
        };
        let is_long = class == Class::Look && self.rng.random_bool(0.05);
        let prefix = if is_long { LONG_PREFIX } else { "u" };
        let id = format!("{prefix}{}-{}", self.number, self.sequence);
        let deadline_ms = self.rng.random_range(300..=self.crowd.max_deadline_ms);
        let has_long_body = class != Class::Look && self.rng.random_bool(0.1);
        let body = vec![b'b'; if has_long_body { LONG_BODY_BYTES } else { 20 }];
        let bytes = request(&id, class, deadline_ms, self.number, &body);
        Request {
            id,
            class,
            deadline_ms,
            bytes,
        }
    }

    /// Closes the connection before the answers, after a while. Sometimes it comes back with the
    /// last id.
    fn leave(
        &mut self,
        limiter: usize,
        connection: u64,
        stream: &TcpStream,
        sent: &VecDeque<Request>,
    ) {
        thread::sleep(Duration::from_millis(self.rng.random_range(0..100)));
        for request in sent {
            self.crowd.recorder.note(Event::Left {
                connection,
                id: request.id.clone(),
            });
        }
        _ = stream.shutdown(std::net::Shutdown::Both);
        if self.rng.random_bool(0.5) {
            self.again = sent.back().cloned();
            self.next_limiter = Some(limiter);
        }
    }

    /// Reads the replies to all requests. Returns whether the connection can be used again.
    fn read_replies(
        &mut self,
        connection: u64,
        stream: &TcpStream,
        replies: &mut BufReader<&TcpStream>,
        mut sent: VecDeque<Request>,
    ) -> bool {
        while let Some(request) = sent.pop_front() {
            let wait = Duration::from_millis(request.deadline_ms) + LATE_ANSWER_WAIT;
            let read = stream
                .set_read_timeout(Some(wait))
                .and_then(|()| read_reply(replies, &request.id));
            let id = request.id.clone();
            match read {
                Ok(reply) => {
                    self.crowd.recorder.note(Event::Replied {
                        connection,
                        id,
                        reply,
                    });
                    if reply == Reply::CutOff {
                        self.note_unanswered(connection, sent.iter());
                        return false;
                    }
                }
                // The checker finds that there is no answer.
                Err(error) if is_timeout(&error) => return false,
                Err(_) => {
                    self.note_unanswered(connection, std::iter::once(&request).chain(&sent));
                    self.again = Some(request).filter(|request| request.class == Class::Look);
                    return false;
                }
            }
        }
        true
    }

    fn note_unanswered<'a>(&self, connection: u64, requests: impl Iterator<Item = &'a Request>) {
        for request in requests {
            self.crowd.recorder.note(Event::Unanswered {
                connection,
                id: request.id.clone(),
            });
        }
    }
}

pub(super) fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Whether the limiter has closed a connection on which nothing is open.
fn is_closed(stream: &TcpStream) -> bool {
    let peeked = stream
        .set_nonblocking(true)
        .and_then(|()| stream.peek(&mut [0]));
    let is_open = peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_err() || !is_open
}

fn write_in_pieces(mut stream: &TcpStream, bytes: &[u8], pieces: usize) -> io::Result<()> {
    let size = bytes.len().div_ceil(pieces);
    for (index, piece) in bytes.chunks(size).enumerate() {
        if index > 0 {
            thread::sleep(PIECE_PAUSE);
        }
        stream.write_all(piece)?;
    }
    Ok(())
}

pub(super) fn read_reply(replies: &mut impl BufRead, id: &str) -> io::Result<Reply> {
    let line = wire::read_line(replies)?.ok_or(ErrorKind::UnexpectedEof)?;
    if let Some(length) = line.strip_prefix('$') {
        return match wire::read_value(replies, length) {
            Ok(value) if value == value_of(id) => Ok(Reply::Served),
            Ok(_) => Ok(Reply::WrongValue),
            Err(error) if is_timeout(&error) => Err(error),
            Err(_) => Ok(Reply::CutOff),
        };
    }
    Ok(if line.starts_with("-BUSY") {
        Reply::Rejected
    } else {
        Reply::Failed
    })
}

/// Returns the command of a request.
pub(super) fn request(
    id: &str,
    class: Class,
    deadline_ms: u64,
    account: usize,
    body: &[u8],
) -> Vec<u8> {
    let name: &[u8] = match class {
        Class::Look => b"SVC.QUERY",
        Class::Hold | Class::Pay => b"SVC.SUBMIT",
    };
    let account = format!("{:016x}", account + 1);
    let fields = format!(
        "c={},t=basic,d={deadline_ms},k=k{id},units=1,spread=1,first=0",
        class.name()
    );
    let mut words = vec![name, account.as_bytes(), id.as_bytes(), fields.as_bytes()];
    if class != Class::Look {
        words.push(body);
    }
    wire::command(&words)
}
