//! Watches the node list: what is known first, then every change, over broken watches too.

use super::http::{Body, Broken, Reader};
use super::lock;
use crate::config::{self, NodeNews};
use crossbeam_channel::{unbounded, Receiver, Sender};
use serde_json::Value;
use slog::{info, warn, Logger};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An empty line comes every 2 s; a watch silent for longer than this is broken.
const SILENCE: Duration = Duration::from_millis(4_500);
const CONNECT: Duration = Duration::from_secs(1);
/// The node list takes its callers one after another: time for each limiter of the fleet.
const TURN: Duration = Duration::from_millis(20);
/// The longest wait before a list is asked that may answer at once, as a part of the time for which a node told to be
/// draining may still be sent to.
///
/// Guards against a limiter of a large fleet that asks too late: what the list has to tell counts as told from the start on
/// to a limiter that could have asked, and nothing may go to a drained node after that time.
const FIRST_PART: f64 = 0.7;
/// The longest time for all turns of a fleet that was turned away, and the longest wait then: at least, and at most.
const LONGEST_TURNS: Duration = Duration::from_secs(2);
const LONGEST_WAIT: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(5)];
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
    news: impl Fn(NodeNews) + Send + 'static,
    log: Logger,
) -> io::Result<Watch> {
    let (moved, moves) = unbounded();
    let rng = fastrand::Rng::with_seed(seed);
    let watch = Watch { moved: moved.clone(), current: Arc::default() };
    let current = watch.current.clone();
    let first = grace.mul_f64(FIRST_PART).max(TURN);
    let mut follower = Follower {
        from,
        generation: Some(generation),
        moves,
        _mover: moved,
        current,
        limiters,
        first,
        call: Call::Heard,
        rng,
        news,
        log,
    };
    super::spawn("node-list", move || follower.run())?;
    Ok(watch)
}

/// Time in which a fleet of so many limiters asks.
fn turns(limiters: u32) -> Duration {
    (TURN * limiters.max(1)).min(LONGEST_TURNS)
}

/// What came of a call of the node list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    /// The list was heard, or the call is the first.
    Heard,
    /// It broke off, before or after its head.
    Broke,
    /// The list said no.
    TurnedAway,
}

/// The longest that may be waited before a call, after one that may have been waited for `last`: `first` at the most,
/// but where the list turned away all turns of the fleet, and three times as long at the most.
///
/// Guards against a fleet that was cut off or started together and asks again together: a node list turns most callers
/// away then, and limiters that asked each second kept it so for the rest of the day.
fn next_wait(last: Duration, turns: Duration, first: Duration, call: Call) -> Duration {
    match call {
        Call::Heard => turns.min(first),
        Call::Broke => (last * 2).max(turns).min(first),
        Call::TurnedAway => (last * 2).max(turns).min((turns * 3).clamp(LONGEST_WAIT[0], LONGEST_WAIT[1])),
    }
}

/// A random part of a wait, a tenth of it at least.
fn spread(wait: Duration, chance: f64) -> Duration {
    wait.mul_f64(0.1 + 0.9 * chance)
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
    rng: fastrand::Rng,
    news: N,
    log: Logger,
}

impl<N: Fn(NodeNews)> Follower<N> {
    /// Time in which the whole fleet can ask.
    fn turns(&self) -> Duration {
        turns(self.limiters.load(Ordering::Relaxed))
    }

    fn run(&mut self) {
        let mut wait = self.turns();
        loop {
            wait = next_wait(wait, self.turns(), self.first, self.call);
            // Before the first call too: limiters that start together would all ask within a few milliseconds.
            let mut moved = self.moves.recv_timeout(spread(wait, self.rng.f64())).ok();
            while let Some(at) = moved {
                info!(self.log, "node list moved"; "to" => %at);
                (self.from, self.generation) = (at, None);
                wait = next_wait(wait, self.turns(), self.first, Call::Heard);
                moved = self.moves.try_recv().ok();
            }
            let began = Instant::now();
            self.call = Call::Broke;
            let fault = self.follow();
            *lock(&self.current) = None;
            if self.moves.is_empty() {
                warn!(self.log, "node list watch broke"; "fault" => ?fault, "generation" => self.generation);
            }
            // A watch that went on for a while is no caller turned away, though it brought no news.
            if began.elapsed() >= SILENCE {
                self.call = Call::Heard;
            }
        }
    }

    fn connect(&self) -> Result<TcpStream, Broken> {
        let stream = TcpStream::connect_timeout(&self.from, CONNECT)?;
        stream.set_read_timeout(Some(SILENCE))?;
        stream.set_nodelay(true)?;
        *lock(&self.current) = Some(stream.try_clone()?);
        // Whoever sent the watch elsewhere meanwhile found no connection to close.
        match self.moves.is_empty() {
            true => Ok(stream),
            false => Err(Broken::Closed),
        }
    }

    fn ask(&self, mut stream: &TcpStream, query: &str) -> Result<(), Broken> {
        let head = format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {}\r\n\r\n", self.from);
        Ok(stream.write_all(head.as_bytes())?)
    }

    fn follow(&mut self) -> Result<(), Broken> {
        if self.generation.is_none() {
            let stream = self.connect()?;
            self.ask(&stream, "")?;
            let (head, list) = Reader::new(&stream).response_with_body(LONGEST_NEWS, false)?;
            if head.status != 200 {
                return Err(self.turned_away("not a node list"));
            }
            self.tell(&list, true)?;
            if self.generation.is_none() {
                return Err(Broken::Malformed("no node list"));
            }
        }
        let stream = self.connect()?;
        self.ask(&stream, &format!("?watch=1&from={}", self.generation.unwrap_or(0)))?;
        let mut reader = Reader::new(&stream);
        let head = reader.response()?;
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
        match config::node_news(value) {
            Ok(told) => {
                let told = NodeNews { full: told.full || whole, ..told };
                info!(self.log, "node list news"; "generation" => told.generation, "full" => told.full,
                    "nodes" => told.nodes.len());
                (self.generation, self.call) = (Some(told.generation), Call::Heard);
                (self.news)(told);
                Ok(())
            }
            Err(fault) => Err(self.unreadable(&fault)),
        }
    }

    /// Without what it held, later changes would not make up the list: it is read whole next.
    fn unreadable(&mut self, fault: &str) -> Broken {
        warn!(self.log, "node list news unreadable"; "fault" => fault);
        self.generation = None;
        Broken::Malformed("unreadable news")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Where a node told to be draining may be sent to for a second.
    const FIRST: Duration = Duration::from_millis(700);

    /// 100 limiters that were cut off at the same moment ask a list that takes one of them in 20 ms and turns away
    /// who waits longer than 250 ms; who is turned away took that time all the same. So many are left after 10 s,
    /// and when the others were served, in ms.
    fn cut_off(mut pause: impl FnMut(&mut (Duration, fastrand::Rng)) -> Duration) -> (usize, Vec<u64>) {
        let fleet = (0..100).map(|seed| {
            (next_wait(turns(100), turns(100), FIRST, Call::Heard), fastrand::Rng::with_seed(seed))
        });
        let mut fleet: Vec<_> = fleet.collect();
        let mut asks: Vec<(Duration, usize)> =
            fleet.iter_mut().enumerate().map(|(n, own)| (pause(own), n)).collect();
        let (mut free, mut served) = (Duration::ZERO, Vec::new());
        while let Some(next) = (0..asks.len()).min_by_key(|n| asks[*n]) {
            let (at, n) = asks.swap_remove(next);
            if at > Duration::from_secs(10) {
                return (asks.len() + 1, served);
            }
            let patient = free.saturating_sub(at) <= Duration::from_millis(250);
            free = free.max(at) + TURN;
            if patient {
                served.push(at.as_millis() as u64);
            } else {
                asks.push((at + pause(&mut fleet[n]), n));
            }
        }
        (0, served)
    }

    #[test]
    fn a_fleet_that_was_cut_off_together_comes_back_one_after_another() {
        let spread_out = |(wait, rng): &mut (Duration, fastrand::Rng)| {
            let pause = spread(*wait, rng.f64());
            *wait = next_wait(*wait, turns(100), FIRST, Call::TurnedAway);
            pause
        };
        let (left, served) = cut_off(spread_out);
        assert!(left == 0, "{left} limiters without a list after 10 s, the others at {served:?}");
        // In step, each second, the list is kept busy with turning away.
        let (left, _) = cut_off(|_| Duration::from_secs(1));
        assert!(left > 50, "{left} left: the list of this test is never crowded");
    }

    #[test]
    fn waits_grow_with_the_fleet_and_start_again_after_news() {
        let (few, many) = (turns(3), turns(300));
        let longest = |turns, call| (0..10).fold(turns, |wait, _| next_wait(wait, turns, FIRST, call));
        let away = |turns| longest(turns, Call::TurnedAway);
        assert_eq!((away(few), away(many)), (LONGEST_WAIT[0], LONGEST_WAIT[1]));
        // What breaks off has turned nobody away, and may have news that counts as told.
        assert_eq!((longest(few, Call::Broke), longest(many, Call::Broke)), (FIRST, FIRST));
        // A first try comes well before a second has gone.
        assert!(spread(next_wait(many, many, FIRST, Call::Heard), 1.0) < Duration::from_millis(800));
        assert_eq!(next_wait(away(many), many, FIRST, Call::Heard), FIRST);
        assert!(spread(many, 0.0) > Duration::ZERO && spread(many, 1.0) <= many);
    }
}
