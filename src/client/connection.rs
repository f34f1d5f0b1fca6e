//! One connection of an agent: what it owes, what may still come on it and when it ends.

use super::protocol::{ClientProtocol, Reply, ValueOf};
use crate::metrics::InFlightRequest;
use crate::threads::lock;
use crate::upstream::Presence;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::collections::VecDeque;
use std::net::{Shutdown, TcpStream};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

/// An agent from which more has come within this time is still writing, slowly, and has so long for its command. What
/// can't be read comes at full speed and is known at once.
const SENDING_WINDOW: Duration = Duration::from_millis(700);
/// Agents may hold four fifths of the places; what is above is for floods. Above three fifths, connections that have
/// nothing open for so long are closed.
pub(super) const SHORT_IDLE: Duration = Duration::from_millis(300);

/// A command that is owed an answer.
pub(super) struct PendingReply<P: ClientProtocol> {
    /// Its number; none of the front's own words.
    pub(super) number: u64,
    /// What the writer has to know.
    pub(super) context: P::ReplyContext,
    /// The answer, once there is one.
    pub(super) reply: Option<Reply<ValueOf<P>>>,
    /// Where a request is counted.
    pub(super) in_flight: Option<InFlightRequest>,
}

/// A connection of an agent.
pub(super) struct ClientConnection<P: ClientProtocol> {
    pub(super) stream: TcpStream,
    pub(super) state: Mutex<ConnectionState<P>>,
    /// An answer has been written, or the connection has ended.
    pub(super) progress: Condvar,
}

pub(super) struct ConnectionState<P: ClientProtocol> {
    /// Answers to be written, in order.
    pub(super) replies: VecDeque<PendingReply<P>>,
    /// There is a thread that writes them; for good once it ends the connection.
    pub(super) writer_running: bool,
    /// Further commands may come.
    pub(super) accepts_commands: bool,
    /// There is a thread that reads.
    pub(super) reader_running: bool,
    /// Requests that wait for their answers.
    pub(super) open_requests: Vec<u64>,
    /// Commands read and not answered yet.
    pub(super) unanswered: usize,
    /// Nothing that is read from now on is taken.
    pub(super) closed: bool,
    /// Its reader ends it once it finds no more to be read and nothing is owed.
    pub(super) closing_when_read: bool,
    /// What is read next may have come long ago: since then the agent may have left.
    pub(super) reading_was_paused: bool,
    /// Handed over: another process reads and writes on it.
    pub(super) handed_over: bool,
    /// A request has come: neither the front's own words nor what can't be understood counts.
    pub(super) has_requested: bool,
    /// Pieces of the next that have come.
    pub(super) partial_reads: u32,
    /// Since when the connection waits for a command to become whole.
    pub(super) incomplete_since: Option<Instant>,
    /// What can't be read has come: whatever is still open by then is failed.
    pub(super) give_up_at: Option<Instant>,
    pub(super) opened_at: Instant,
    pub(super) last_activity: Instant,
}

impl<P: ClientProtocol> ConnectionState<P> {
    /// State of a connection that has just come: from a client, or from another process (`adopted`).
    pub(super) fn new(adopted: bool) -> Self {
        let now = Instant::now();
        Self {
            replies: VecDeque::new(),
            writer_running: false,
            accepts_commands: true,
            reader_running: true,
            open_requests: Vec::new(),
            unanswered: 0,
            closed: false,
            closing_when_read: false,
            reading_was_paused: true,
            handed_over: false,
            has_requested: adopted,
            partial_reads: 0,
            incomplete_since: (!adopted).then_some(now),
            give_up_at: None,
            opened_at: now,
            last_activity: now,
        }
    }

    /// There are replies that are not written yet.
    pub(super) fn has_replies_to_write(&self) -> bool {
        self.writer_running || !self.replies.is_empty()
    }

    /// The agent is in the middle of a command, and goes on: one piece and no more is what a crowd sends.
    pub(super) fn is_sending(&self) -> bool {
        self.partial_reads > 1 && self.last_activity.elapsed() < SENDING_WINDOW
    }

    /// A command may be on its way: the agent writes one, or has only just connected.
    pub(super) fn command_may_be_coming(&self) -> bool {
        self.is_sending() || (!self.has_requested && self.opened_at.elapsed() < SHORT_IDLE)
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// A command has been read; how many are owed an answer with it, or none if the connection is closing and the
    /// command is not taken.
    pub(super) fn begin_command(&self) -> Option<usize> {
        let mut state = lock(&self.state);
        if state.closed {
            return None;
        }
        (
            state.unanswered,
            state.partial_reads,
            state.incomplete_since,
        ) = (state.unanswered + 1, 0, None);
        Some(state.unanswered)
    }

    /// The first command still owed has been answered; false if the connection is to end.
    pub(super) fn end_command(&self, number: u64, closing: bool) -> bool {
        let mut state = lock(&self.state);
        state.open_requests.retain(|n| *n != number);
        state.unanswered = state.unanswered.saturating_sub(1);
        state.last_activity = Instant::now();
        if closing {
            self.close_if_settled(&mut state);
        }
        self.progress.notify_all();
        !state.closed || (state.give_up_at.is_some() && state.unanswered > 0)
    }

    /// Ends if nothing is owed: by its reader, who serves what it has read by then.
    ///
    /// Guards against an end between the reading of a request and its taking: the agent would find its connection closed
    /// under it, and not know that it never ran.
    pub(super) fn close_if_settled(&self, state: &mut ConnectionState<P>) {
        if state.unanswered == 0 && !state.handed_over {
            state.closing_when_read = true;
            _ = self.stream.shutdown(Shutdown::Read);
        }
    }

    /// The agent left while it was not read from. Seen once reading goes on, before a request of its is taken.
    pub(super) fn peer_left_while_paused(&self) -> bool {
        let mut state = lock(&self.state);
        let left = std::mem::take(&mut state.reading_was_paused)
            && !state.closing_when_read
            && peer_hung_up(&self.stream);
        state.closed |= left;
        left
    }

    /// Ends if nothing is owed, unless a command may be on its way.
    pub(super) fn close_unless_busy(&self) {
        let mut state = lock(&self.state);
        if !state.command_may_be_coming() {
            self.close_if_settled(&mut state);
        }
    }

    /// Ends if nothing is owed.
    pub(super) fn evict(&self) {
        self.close_if_settled(&mut lock(&self.state));
    }

    pub(super) fn close(&self) {
        let mut state = lock(&self.state);
        state.closed = true;
        state.replies.clear();
        self.progress.notify_all();
        if !state.handed_over {
            _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

impl<P: ClientProtocol> Presence for ClientConnection<P> {
    /// While the limiter itself ends the connection, the client's own end can't be told from ours.
    fn has_left(&self) -> bool {
        let closing = lock(&self.state).closing_when_read;
        !closing && peer_hung_up(&self.stream)
    }
}

/// The agent has closed its connection, whether or not all that it sent has been read.
pub(super) fn peer_hung_up(stream: &TcpStream) -> bool {
    let mut one = [PollFd::new(stream, PollFlags::RDHUP)];
    let now = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut one, Some(&now)).is_ok()
        && one[0]
            .revents()
            .intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}
