//! Watches the node list: what is known first, then every change, over broken watches too.

pub mod poll_wait;

use crate::config::{self, EndpointUpdate};
use crate::discovery::poll_wait::{
    answer_timeout, first_wait, next_wait, spread, turns, Call, CONNECT_TIMEOUT, WATCH_TIMEOUT,
};
use crate::protocol::http::{Body, Broken, Reader};
use crate::threads::lock;
use crossbeam_channel::{unbounded, Receiver, Sender};
use serde_json::Value;
use slog::{info, warn, Logger};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What comes at once is the whole list at most.
const LONGEST_NEWS: usize = 4 << 20;

/// The watch of a node list, as those see it who may send it elsewhere.
#[derive(Clone)]
pub struct Watch {
    moved: Sender<SocketAddr>,
    /// The connection in use; closed to wake the thread that reads it.
    current: Arc<Mutex<Option<TcpStream>>>,
}

impl Watch {
    /// Follows the list at another address from now on. Its versions may have nothing to do with those so far, so
    /// it is read whole first.
    pub fn move_to(&self, at: SocketAddr) {
        _ = self.moved.send(at);
        if let Some(stream) = &*lock(&self.current) {
            _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Starts the watch after this version of the list. `news` is told of every change.
pub fn watch(
    from: SocketAddr,
    generation: u64,
    (limiters, grace, seed): (Arc<AtomicU32>, Duration, u64),
    news: impl Fn(EndpointUpdate) + Send + 'static,
    log: Logger,
) -> io::Result<Watch> {
    let (moved, moves) = unbounded();
    let rng = fastrand::Rng::with_seed(seed);
    let watch = Watch {
        moved: moved.clone(),
        current: Arc::default(),
    };
    let current = watch.current.clone();
    let first = first_wait(grace);
    let mut follower = Follower {
        from,
        generation: Some(generation),
        moves,
        _mover: moved,
        current,
        limiters,
        first,
        call: Call::Heard,
        given_up: 0,
        rng,
        news,
        log,
    };
    crate::threads::spawn("node-list", move || follower.run())?;
    Ok(watch)
}

/// Reads an answer up to a moment, or for as long as something comes now and then.
///
/// Guards against a list that sends an answer a byte at a time and never ends it.
struct TimedReader<'a> {
    stream: &'a TcpStream,
    until: Option<Instant>,
}

impl<'a> TimedReader<'a> {
    fn until(stream: &'a TcpStream, timeout: Duration) -> Self {
        Self {
            stream,
            until: Some(Instant::now() + timeout),
        }
    }

    /// From now on only a silence of a watch ends the reading.
    fn goes_on_while_heard(&mut self) -> io::Result<()> {
        self.until = None;
        self.stream.set_read_timeout(Some(WATCH_TIMEOUT))
    }
}

impl Read for TimedReader<'_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        if let Some(until) = self.until {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        }
        self.stream.read(to)
    }
}

struct Follower<N> {
    from: SocketAddr,
    /// The version last told of; none where the list has to be read whole.
    generation: Option<u64>,
    moves: Receiver<SocketAddr>,
    /// Keeps `moves` open: closed, as after the word to stop nobody else has a sender, it would end each wait at once.
    _mover: Sender<SocketAddr>,
    current: Arc<Mutex<Option<TcpStream>>>,
    /// Limiters that ask beside this one, and this one.
    limiters: Arc<AtomicU32>,
    /// The longest wait before a call that may be answered at once.
    first: Duration,
    /// What came of the last call.
    call: Call,
    /// Calls in a row of which not even the head of an answer came.
    given_up: u32,
    rng: fastrand::Rng,
    news: N,
    log: Logger,
}

impl<N: Fn(EndpointUpdate)> Follower<N> {
    /// Time in which the whole fleet can ask.
    fn turns(&self) -> Duration {
        turns(self.limiters.load(Ordering::Relaxed))
    }

    fn run(&mut self) {
        let mut wait = self.turns();
        loop {
            wait = next_wait(wait, self.turns(), self.first, self.call);
            // Before the first call too: limiters that start together would all ask within a few milliseconds.
            let mut moved = self
                .moves
                .recv_timeout(spread(wait, self.call, self.rng.f64()))
                .ok();
            while let Some(at) = moved {
                info!(self.log, "service discovery moved"; "to" => %at);
                (self.from, self.generation) = (at, None);
                wait = next_wait(wait, self.turns(), self.first, Call::Heard);
                moved = self.moves.try_recv().ok();
            }
            let began = Instant::now();
            self.call = Call::Broke;
            let fault = self.follow();
            *lock(&self.current) = None;
            if self.moves.is_empty() {
                warn!(self.log, "endpoint watch broken"; "error" => ?fault, "generation" => self.generation);
            }
            // A watch that went on for a while is no caller turned away, though it brought no news.
            if began.elapsed() >= WATCH_TIMEOUT {
                self.call = Call::Heard;
            }
        }
    }

    fn connect(&self) -> Result<TcpStream, Broken> {
        let stream = TcpStream::connect_timeout(&self.from, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        *lock(&self.current) = Some(stream.try_clone()?);
        // Whoever sent the watch elsewhere meanwhile found no connection to close.
        match self.moves.is_empty() {
            true => Ok(stream),
            false => Err(Broken::Closed),
        }
    }

    fn ask(&self, mut stream: &TcpStream, query: &str) -> Result<(), Broken> {
        let head = format!(
            "GET /v1/endpoints{query} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.from
        );
        Ok(stream.write_all(head.as_bytes())?)
    }

    fn follow(&mut self) -> Result<(), Broken> {
        let answer_timeout = answer_timeout(self.given_up);
        self.given_up = self.given_up.saturating_add(1);
        if self.generation.is_none() {
            let stream = self.connect()?;
            self.ask(&stream, "")?;
            let mut reader = Reader::new(TimedReader::until(&stream, answer_timeout));
            let (head, list) = reader.response_with_body(LONGEST_NEWS, false)?;
            self.given_up = 0;
            if head.status != 200 {
                return Err(self.turned_away("not a node list"));
            }
            self.tell(&list, true)?;
            if self.generation.is_none() {
                return Err(Broken::Malformed("no node list"));
            }
        }
        let stream = self.connect()?;
        self.ask(
            &stream,
            &format!("?watch=1&from={}", self.generation.unwrap_or(0)),
        )?;
        let mut reader = Reader::new(TimedReader::until(&stream, answer_timeout));
        let head = reader.response()?;
        self.given_up = 0;
        reader.source().goes_on_while_heard()?;
        if head.status != 200 || head.body != Body::Chunked {
            return Err(self.turned_away("not a watch"));
        }
        let (mut text, mut seen) = (Vec::new(), 0);
        while reader.chunk(&mut text, LONGEST_NEWS)? {
            match text.trim_ascii_start().first() {
                None => text.clear(),
                // Nothing has become whole without a brace.
                Some(b'{') if !text[seen..].contains(&b'}') => {}
                Some(_) => drop(text.drain(..self.tell(&text, false)?)),
            }
            seen = text.len();
        }
        Ok(())
    }

    /// No caller turned away where the whole list was told just before.
    fn turned_away(&mut self, fault: &'static str) -> Broken {
        if self.call == Call::Broke {
            self.call = Call::TurnedAway;
        }
        Broken::Malformed(fault)
    }

    /// Passes on each object that has come whole, or the one that is the `whole` list, unless the watch has been sent
    /// elsewhere since it came; how much of the text that was. An object may stand on one line or be spread over many.
    fn tell(&mut self, text: &[u8], whole: bool) -> Result<usize, Broken> {
        let mut objects = serde_json::Deserializer::from_slice(text).into_iter::<Value>();
        let mut told = 0;
        loop {
            match objects.next() {
                None => return Ok(text.len()),
                Some(Ok(value)) => self.pass_on(&value, whole)?,
                Some(Err(fault)) if fault.is_eof() && !whole => return Ok(told),
                Some(Err(_)) => return Err(self.unreadable("not JSON")),
            }
            told = objects.byte_offset();
        }
    }

    fn pass_on(&mut self, value: &Value, whole: bool) -> Result<(), Broken> {
        if !self.moves.is_empty() {
            return Err(Broken::Closed);
        }
        match config::endpoint_update(value) {
            Ok(told) => {
                let told = EndpointUpdate {
                    full: told.full || whole,
                    ..told
                };
                let (generation, full, nodes) = (told.generation, told.full, told.nodes.len());
                (self.generation, self.call) = (Some(generation), Call::Heard);
                (self.news)(told);
                // Logged once it holds: whoever reads the line may count on it.
                info!(self.log, "endpoint update"; "generation" => generation, "full" => full, "endpoints" => nodes);
                Ok(())
            }
            Err(fault) => Err(self.unreadable(&fault)),
        }
    }

    /// Without what it held, later changes would not make up the list: it is read whole next.
    fn unreadable(&mut self, fault: &str) -> Broken {
        warn!(self.log, "endpoint update unreadable"; "error" => fault);
        self.generation = None;
        Broken::Malformed("unreadable news")
    }
}
