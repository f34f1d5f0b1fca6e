//! What the reader of a connection hands its commands to.

use super::connection::{Link, Owed};
use super::protocol::{Dismissal, Manner, Reply, Slot, ValueOf};
use super::watchdog::PATIENCE;
use super::Front;
use crate::limiter::{Incoming, Input};
use crate::net::lock;
use crate::net::wiring::Wiring;
use slog::info;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Commands of one connection that wait for their answers; an agent that writes more has gone too far.
const PIPELINED: usize = 64;

/// What the reader of a connection hands its commands to.
pub struct Desk<'a, M: Manner> {
    pub(super) front: &'a Arc<Front<M>>,
    pub(super) link: &'a Arc<Link<M>>,
    pub(super) number: u64,
}

impl<M: Manner> Desk<'_, M> {
    /// Takes the next place in the order of answers for a request of this class; none if the connection is closing,
    /// and what was read is not taken.
    pub fn place(&self, shape: M::Shape, class: usize) -> Option<(u64, Slot<ValueOf<M>>)> {
        if self.link.left_unread() {
            return None;
        }
        let number = self.front.numbers.fetch_add(1, Ordering::Relaxed);
        let owed = self.link.begin()?;
        let tally = Some(self.front.figures.taken(class));
        if owed > PIPELINED {
            self.dismiss(Dismissal::TooMany);
            return None;
        }
        let mut state = lock(&self.link.state);
        state.asked = true;
        state.queue.push_back(Owed { number, shape, reply: None, tally });
        drop(state);
        let (front, link, own) = (self.front.clone(), self.link.clone(), self.number);
        let fill = move |reply| {
            let mut state = lock(&link.state);
            if let Some(owed) = state.queue.iter_mut().find(|owed| owed.number == number) {
                owed.reply = Some(reply);
            }
            front.begin_writing(own, &link, state);
        };
        Some((number, Slot::new(self.link.clone(), fill)))
    }

    /// Says the front's own words in their place; false if the connection is closing.
    pub fn say(&self, shape: M::Shape, words: Reply<ValueOf<M>>) -> bool {
        match self.link.begin() {
            None => false,
            Some(owed) if owed > PIPELINED => {
                self.dismiss(Dismissal::TooMany);
                false
            }
            Some(_) => self.put(shape, words),
        }
    }

    /// Says the last words: what comes after can't be told apart or is not wanted. Whatever was asked before is
    /// answered first, but not for longer than an agent may be kept waiting for these.
    pub fn say_last(&self, shape: M::Shape, words: Vec<u8>, fault: &str) {
        if self.link.begin().is_some() {
            self.last(shape, words, fault);
        }
    }

    pub(super) fn dismiss(&self, why: Dismissal) {
        let (shape, words) = self.front.manner.dismissal(why);
        self.last(shape, words, why.words());
    }

    fn last(&self, shape: M::Shape, text: Vec<u8>, fault: &str) {
        self.complain(fault);
        let mut state = lock(&self.link.state);
        state.closed = true;
        state.spoilt = Some(state.opened + PATIENCE);
        drop(state);
        self.put(shape, Reply::Words { text, last: true });
    }

    /// With nothing before them, words are written at once.
    fn put(&self, shape: M::Shape, words: Reply<ValueOf<M>>) -> bool {
        let closing = self.front.is_closing();
        let mut state = lock(&self.link.state);
        match words {
            Reply::Words { text, last } if !state.writing && state.queue.is_empty() => {
                drop(state);
                (&self.link.stream).write_all(&text).is_ok() && self.link.end(0, closing) && !last
            }
            words => {
                state.queue.push_back(Owed { number: 0, shape, reply: Some(words), tally: None });
                self.front.begin_writing(self.number, self.link, state);
                true
            }
        }
    }

    /// More of a command has come, and it is not whole.
    pub fn half(&self) {
        let mut state = lock(&self.link.state);
        (state.pieces, state.idle_since) = (state.pieces.saturating_add(1), Instant::now());
        state.half.get_or_insert_with(Instant::now);
    }

    /// Reads nothing for a while.
    pub fn hold_back(&self, wait: Duration) {
        thread::sleep(wait);
        lock(&self.link.state).held_back = true;
    }

    /// A request of this class is answered as failed by the front itself.
    pub fn failed(&self, class: usize) {
        drop(self.front.figures.taken(class));
    }

    /// Passes a request to the core.
    pub fn ask(&self, request: Incoming<Wiring<M::Speech>>) {
        // Under one lock: told between the two that its agent has left, the core would not know the request.
        let mut state = lock(&self.link.state);
        state.waiting.push(request.number);
        let unsent = self.front.queue.send(Input::Request(request));
        // A core that has ended takes no request: it comes back, and as it is dropped it answers itself, which takes the
        // same lock.
        drop(state);
        drop(unsent);
    }

    /// The limiter knows a node list.
    pub fn ready(&self) -> bool {
        self.front.is_ready()
    }

    /// Logs what is wrong with an agent's input, but not every time.
    pub fn complain(&self, fault: &str) {
        if let Some(more) = self.front.complaints.due() {
            info!(self.front.log, "malformed command"; "fault" => fault, "unlogged" => more);
        }
    }
}
