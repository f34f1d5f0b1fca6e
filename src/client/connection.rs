//! One connection of a client: its pending replies, its activity and its end.

use super::protocol::{ClientProtocol, Reply, ValueOf};
use crate::metrics::InFlightRequest;
use crate::threads::lock;
use crate::upstream::ClientPresence;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::collections::VecDeque;
use std::net::{Shutdown, TcpStream};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

/// A client that has sent a part of a command within this time counts as sending it, slowly.
const SENDING_WINDOW: Duration = Duration::from_millis(700);
/// Above the limit of connections with requests, those without open commands for this long are closed.
pub(super) const SHORT_IDLE: Duration = Duration::from_millis(300);

/// A command without a reply that was written.
pub(super) struct PendingReply<P: ClientProtocol> {
    /// The number of its request; none for a direct reply.
    pub(super) request: Option<u64>,
    /// What the protocol needs in order to write the reply.
    pub(super) context: P::ReplyContext,
    /// The reply, once there is one.
    pub(super) reply: Option<Reply<ValueOf<P>>>,
    /// Counts the request at its end.
    pub(super) in_flight: Option<InFlightRequest>,
}

/// A connection of a client.
pub(super) struct ClientConnection<P: ClientProtocol> {
    pub(super) stream: TcpStream,
    pub(super) state: Mutex<ConnectionState<P>>,
    /// Notified after a reply was written and when a thread of the connection or the connection ends.
    pub(super) progress: Condvar,
}

/// Where a connection comes from.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ConnectionOrigin {
    /// It was accepted.
    Client,
    /// Another process served it before and handed it over.
    OtherProcess,
}

/// The state that the reader, the writer and the watchdog of a connection share.
pub(super) struct ConnectionState<P: ClientProtocol> {
    /// Replies to be written, in the order of commands.
    pub(super) replies: VecDeque<PendingReply<P>>,
    /// A thread writes replies. Stays set once that thread closes the connection.
    pub(super) writer_running: bool,
    /// Further commands may be received.
    pub(super) accepts_commands: bool,
    /// A thread reads from the connection.
    pub(super) reader_running: bool,
    /// The numbers of requests without a reply.
    pub(super) open_requests: Vec<u64>,
    /// The number of commands without a written reply.
    pub(super) unanswered: usize,
    /// Commands that are read from now on are ignored.
    pub(super) closed: bool,
    /// The reader closes the connection once it has read all that was received and no reply is pending.
    pub(super) closing_when_read: bool,
    /// Bytes that are read next may have been received long ago, and the client may have disconnected since.
    pub(super) reading_was_paused: bool,
    /// Another process reads from the connection and writes to it.
    pub(super) handed_over: bool,
    /// A request was received. Commands with a direct reply and malformed ones do not count.
    pub(super) has_requested: bool,
    /// Reads that did not complete the next command.
    pub(super) partial_reads: u32,
    /// When the connection was accepted or the first byte of an incomplete command was received.
    pub(super) incomplete_since: Option<Instant>,
    /// When open requests are abandoned, as a malformed command was received.
    pub(super) give_up_at: Option<Instant>,
    pub(super) opened_at: Instant,
    pub(super) last_activity: Instant,
}

impl<P: ClientProtocol> ConnectionState<P> {
    /// The state of a connection without pending commands.
    pub(super) fn new(origin: ConnectionOrigin) -> Self {
        let adopted = origin == ConnectionOrigin::OtherProcess;
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

    /// Whether replies are pending or being written.
    pub(super) fn has_replies_to_write(&self) -> bool {
        self.writer_running || !self.replies.is_empty()
    }

    /// Whether the client is sending a command and has sent at least two parts of it; floods send one.
    pub(super) fn is_sending(&self) -> bool {
        self.partial_reads > 1 && self.last_activity.elapsed() < SENDING_WINDOW
    }

    /// Whether a command may be received soon: the client is sending one, or has only just connected.
    pub(super) fn command_may_be_coming(&self) -> bool {
        self.is_sending() || (!self.has_requested && self.opened_at.elapsed() < SHORT_IDLE)
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// Counts a command that was read. Returns the number of commands without a written reply, or none if the connection
    /// is closing and the command is ignored.
    pub(super) fn begin_command(&self) -> Option<usize> {
        let mut state = lock(&self.state);
        if state.closed {
            return None;
        }
        state.unanswered += 1;
        state.partial_reads = 0;
        state.incomplete_since = None;
        Some(state.unanswered)
    }

    /// Records that the reply to the oldest command was written. Returns whether further replies may be written.
    pub(super) fn end_command(&self, request: Option<u64>, closing: bool) -> bool {
        let mut state = lock(&self.state);
        if let Some(request) = request {
            state.open_requests.retain(|other| *other != request);
        }
        state.unanswered = state.unanswered.saturating_sub(1);
        state.last_activity = Instant::now();
        if closing {
            self.close_if_settled(&mut state);
        }
        self.progress.notify_all();
        !state.closed || (state.give_up_at.is_some() && state.unanswered > 0)
    }

    /// Has the reader close the connection if no reply is pending; it processes what was received by then.
    ///
    /// Guards against a close between the read of a request and its processing: the client could not know that the request
    /// was never executed.
    pub(super) fn close_if_settled(&self, state: &mut ConnectionState<P>) {
        if state.unanswered == 0 && !state.handed_over {
            state.closing_when_read = true;
            _ = self.stream.shutdown(Shutdown::Read);
        }
    }

    /// Whether the client disconnected while reading was paused. Checked before its next request is accepted.
    pub(super) fn peer_left_while_paused(&self) -> bool {
        let mut state = lock(&self.state);
        let left = std::mem::take(&mut state.reading_was_paused)
            && !state.closing_when_read
            && peer_hung_up(&self.stream);
        state.closed |= left;
        left
    }

    /// Closes the connection if no reply is pending, unless a command may be received soon.
    pub(super) fn close_unless_busy(&self) {
        let mut state = lock(&self.state);
        if !state.command_may_be_coming() {
            self.close_if_settled(&mut state);
        }
    }

    /// Closes the connection if no reply is pending.
    pub(super) fn evict(&self) {
        self.close_if_settled(&mut lock(&self.state));
    }

    /// Closes the connection now; pending replies are dropped. The socket stays open if it was handed over.
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

impl<P: ClientProtocol> ClientPresence for ClientConnection<P> {
    /// While the limiter closes the connection, a disconnect by the client can't be recognized.
    fn has_left(&self) -> bool {
        let closing = lock(&self.state).closing_when_read;
        !closing && peer_hung_up(&self.stream)
    }
}

/// Whether the client has closed its connection, whether or not all that it sent was read.
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
