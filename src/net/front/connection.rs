//! One connection of an agent: what it owes, what may still come on it and when it ends.

use super::protocol::{Manner, Reply, ValueOf};
use crate::figures::Tally;
use crate::net::lock;
use crate::net::ticket_nodes::Presence;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::collections::VecDeque;
use std::net::{Shutdown, TcpStream};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

/// An agent from which more has come within this time is still writing, slowly, and has so long for its command. What
/// can't be read comes at full speed and is known at once.
const WRITING: Duration = Duration::from_millis(700);
/// Agents may hold four fifths of the places; what is above is for floods. Above three fifths, connections that have
/// nothing open for so long are closed.
pub(super) const HELD: Duration = Duration::from_millis(300);

/// A command that is owed an answer.
pub(super) struct Owed<M: Manner> {
    /// Its number; none of the front's own words.
    pub(super) number: u64,
    /// What the writer has to know.
    pub(super) shape: M::Shape,
    /// The answer, once there is one.
    pub(super) reply: Option<Reply<ValueOf<M>>>,
    /// Where a request is counted.
    pub(super) tally: Option<Tally>,
}

/// A connection of an agent.
pub(super) struct Link<M: Manner> {
    pub(super) stream: TcpStream,
    pub(super) state: Mutex<LinkState<M>>,
    /// An answer has been written, or the connection has ended.
    pub(super) answered: Condvar,
}

pub(super) struct LinkState<M: Manner> {
    /// Answers to be written, in order.
    pub(super) queue: VecDeque<Owed<M>>,
    /// There is a thread that writes them; for good once it ends the connection.
    pub(super) writing: bool,
    /// Further commands may come.
    pub(super) taking: bool,
    /// There is a thread that reads.
    pub(super) reading: bool,
    /// Requests that wait for their answers.
    pub(super) waiting: Vec<u64>,
    /// Commands read and not answered yet.
    pub(super) owed: usize,
    /// Nothing that is read from now on is taken.
    pub(super) closed: bool,
    /// Its reader ends it once it finds no more to be read and nothing is owed.
    pub(super) leaving: bool,
    /// What is read next may have come long ago: since then the agent may have left.
    pub(super) held_back: bool,
    /// Handed over: another process reads and writes on it.
    pub(super) moved: bool,
    /// A request has come: neither the front's own words nor what can't be understood counts.
    pub(super) asked: bool,
    /// Pieces of the next that have come.
    pub(super) pieces: u32,
    /// Since when the connection waits for a command to become whole.
    pub(super) half: Option<Instant>,
    /// What can't be read has come: whatever is still open by then is failed.
    pub(super) spoilt: Option<Instant>,
    pub(super) opened: Instant,
    pub(super) idle_since: Instant,
}

impl<M: Manner> LinkState<M> {
    /// The agent is in the middle of a command, and goes on: one piece and no more is what a crowd sends.
    pub(super) fn writes(&self) -> bool {
        self.pieces > 1 && self.idle_since.elapsed() < WRITING
    }

    /// A command may be on its way: the agent writes one, or has only just connected.
    pub(super) fn is_coming(&self) -> bool {
        self.writes() || (!self.asked && self.opened.elapsed() < HELD)
    }
}

impl<M: Manner> Link<M> {
    /// A command has been read; how many are owed an answer with it, or none if the connection is closing and the
    /// command is not taken.
    pub(super) fn begin(&self) -> Option<usize> {
        let mut state = lock(&self.state);
        if state.closed {
            return None;
        }
        (state.owed, state.pieces, state.half) = (state.owed + 1, 0, None);
        Some(state.owed)
    }

    /// The first command still owed has been answered; false if the connection is to end.
    pub(super) fn end(&self, number: u64, closing: bool) -> bool {
        let mut state = lock(&self.state);
        state.waiting.retain(|n| *n != number);
        state.owed = state.owed.saturating_sub(1);
        state.idle_since = Instant::now();
        if closing {
            self.leave(&mut state);
        }
        self.answered.notify_all();
        !state.closed || (state.spoilt.is_some() && state.owed > 0)
    }

    /// Ends if nothing is owed: by its reader, who serves what it has read by then.
    ///
    /// Guards against an end between the reading of a request and its taking: the agent would find its connection closed
    /// under it, and not know that it never ran.
    pub(super) fn leave(&self, state: &mut LinkState<M>) {
        if state.owed == 0 && !state.moved {
            state.leaving = true;
            _ = self.stream.shutdown(Shutdown::Read);
        }
    }

    /// The agent left while it was not read from. Seen once reading goes on, before a request of its is taken.
    pub(super) fn left_unread(&self) -> bool {
        let mut state = lock(&self.state);
        let left = std::mem::take(&mut state.held_back) && !state.leaving && hung_up(&self.stream);
        state.closed |= left;
        left
    }

    /// Ends if nothing is owed, unless a command may be on its way.
    pub(super) fn close_if_idle(&self) {
        let mut state = lock(&self.state);
        if !state.is_coming() {
            self.leave(&mut state);
        }
    }

    /// Ends if nothing is owed.
    pub(super) fn give_way(&self) {
        self.leave(&mut lock(&self.state));
    }

    pub(super) fn close(&self) {
        let mut state = lock(&self.state);
        state.closed = true;
        state.queue.clear();
        self.answered.notify_all();
        if !state.moved {
            _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

impl<M: Manner> Presence for Link<M> {
    /// While the limiter itself ends the connection, the client's own end can't be told from ours.
    fn has_left(&self) -> bool {
        let leaving = lock(&self.state).leaving;
        !leaving && hung_up(&self.stream)
    }
}

/// The agent has closed its connection, whether or not all that it sent has been read.
pub(super) fn hung_up(stream: &TcpStream) -> bool {
    let mut one = [PollFd::new(stream, PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut one, Some(&now)).is_ok()
        && one[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}
