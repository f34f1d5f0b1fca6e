//! Clients that take a second for a long value, and send their next requests while they read it.

use super::clients::{read_reply, request, Crowd, RETRY_PAUSE};
use super::peers::SLOW_PREFIX;
use super::record::{Class, Event, Reply};
use socket2::{Domain, Socket, Type};
use std::collections::VecDeque;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;

/// How much the system of the client holds, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// How much the client reads at a time, in bytes, and its pause before that.
const PIECE_BYTES: usize = 16 * 1024;
const PIECE_PAUSE: Duration = Duration::from_millis(80);
/// Further requests are sent before these reads: most of the value is still with the limiter then, so
/// that it can't have ended the connection.
const READS_WITH_REQUEST: [usize; 2] = [6, 11];
/// Time for which the client looks for the next bytes: longer than servers stand still.
const READ_TIMEOUT: Duration = Duration::from_millis(8_500);
/// Ids of requests whose value is short begin with this.
const SHORT_PREFIX: &str = "uslow";
/// The first account of these clients.
const FIRST_ACCOUNT: usize = 800;

/// A slow client.
pub(super) struct SlowClient {
    pub(super) crowd: Crowd,
    pub(super) number: usize,
}

impl SlowClient {
    /// Asks for one long value after another, on a connection each, until the crowd stops.
    pub(super) fn run(self) {
        let mut turn = 0;
        while !self.crowd.is_stopped() {
            turn += 1;
            let limiter = (self.number + turn) % self.crowd.limiters.len();
            let connected = connect(self.crowd.limiters[limiter]);
            let play = SlowRead {
                client: &self,
                limiter,
                connection: self.crowd.next_connection.fetch_add(1, SeqCst),
                turn,
                reads: 0,
                has_begun: false,
                sent: VecDeque::new(),
                stream: match &connected {
                    Ok(stream) => stream,
                    Err(_) => {
                        thread::sleep(RETRY_PAUSE);
                        continue;
                    }
                },
            };
            play.run();
        }
    }
}

/// Connects with a small receive buffer.
fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(&address.into())?;
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(stream)
}

/// One use of a connection. Reading from it is slow, and sends further requests meanwhile.
struct SlowRead<'a> {
    client: &'a SlowClient,
    stream: &'a TcpStream,
    limiter: usize,
    connection: u64,
    turn: usize,
    /// Number of reads so far.
    reads: usize,
    /// Whether bytes of the value were read.
    has_begun: bool,
    /// Ids of the requests that were sent whole and are not answered.
    sent: VecDeque<String>,
}

impl SlowRead<'_> {
    fn run(mut self) {
        self.send(SLOW_PREFIX);
        let connection = self.connection;
        let recorder = self.client.crowd.recorder.clone();
        let mut replies = BufReader::with_capacity(PIECE_BYTES, self);
        while let Some(id) = replies.get_ref().sent.front().cloned() {
            let Ok(reply) = read_reply(&mut replies, &id) else {
                break;
            };
            replies.get_mut().sent.pop_front();
            recorder.note(Event::Replied {
                connection,
                id,
                reply,
            });
            if reply == Reply::CutOff {
                break;
            }
        }
        for id in replies.get_mut().sent.drain(..) {
            recorder.note(Event::Unanswered { connection, id });
        }
    }

    /// Records the first bytes of the value.
    fn note_begin(&mut self) {
        let id = self.sent.front().filter(|_| !self.has_begun).cloned();
        let connection = self.connection;
        if let Some(id) = id {
            self.has_begun = true;
            let recorder = &self.client.crowd.recorder;
            recorder.note(Event::Began { connection, id });
        }
    }

    /// Sends a request whose id begins with `prefix`.
    fn send(&mut self, prefix: &str) {
        let crowd = &self.client.crowd;
        let number = self.client.number;
        let id = format!("{prefix}{number}-{}-{}", self.turn, self.reads);
        let account = FIRST_ACCOUNT + number;
        let bytes = request(&id, Class::Look, crowd.max_deadline_ms, account, b"");
        let mut stream = self.stream;
        if stream.write_all(&bytes).is_err() {
            return;
        }
        crowd.recorder.note(Event::Sent {
            connection: self.connection,
            id: id.clone(),
            class: Class::Look,
            deadline_ms: crowd.max_deadline_ms,
            limiter: self.limiter,
        });
        self.sent.push_back(id);
    }
}

impl Read for SlowRead<'_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        if READS_WITH_REQUEST.contains(&self.reads) {
            self.send(SHORT_PREFIX);
        }
        self.reads += 1;
        thread::sleep(PIECE_PAUSE);
        let size = to.len().min(PIECE_BYTES);
        let read = self.stream.read(&mut to[..size])?;
        self.note_begin();
        Ok(read)
    }
}
