//! The connection of a client: its pending replies, its activity and how it is closed.

use super::interruptible::StreamEnd;
use super::protocol::ClientProtocol;
use super::reply_queue::ReplyQueue;
use super::request_memory::ConnectionMemory;
use super::socket_state::{peer_disconnected, wait_until_sent};
use crate::memory::{MemoryBudget, MemoryCharge, THREAD_BYTES};
use crate::protocol::buffers::SMALL_BUFFER_BYTES;
use crate::retrying_stream::PEER_STALL_TIMEOUT;
use crate::threads::lock;
use crate::upstream::ClientPresence;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Memory that a connection holds while its client sends nothing, in bytes: its reader, a small
/// buffer, and its state, which [`THREAD_BYTES`] has room for.
pub(super) const CONNECTION_BYTES: usize = THREAD_BYTES + SMALL_BUFFER_BYTES;
/// A client that sent part of an incomplete command within this time counts as still sending it.
const SENDING_WINDOW: Duration = Duration::from_millis(700);
/// Idle time after which a connection that has sent requests may be closed if there are too many of
/// them. Also the time after its opening within which a connection is expected to send its first
/// request.
pub(super) const MIN_IDLE_TIME: Duration = Duration::from_millis(300);
/// A client with this many open requests on a connection counts as one that sends many at once.
const MANY_OPEN_REQUESTS: usize = 16;
/// Interval at which a stream that the limiter has ended is read again.
const READ_AGAIN_INTERVAL: Duration = Duration::from_millis(10);

/// A connection of a client.
pub(super) struct ClientConnection<P: ClientProtocol> {
    pub(super) stream: TcpStream,
    /// Charge for [`CONNECTION_BYTES`].
    pub(super) _charge: MemoryCharge,
    /// The memory that its unanswered requests hold.
    pub(super) memory: Arc<ConnectionMemory>,
    pub(super) state: Mutex<ConnectionState<P>>,
    /// Locked while a thread waits until all replies are sent.
    pub(super) sent_wait: Mutex<()>,
    /// Notified when a reply was written, when the reader has ended and when the connection is
    /// closed.
    pub(super) progress: Condvar,
}

/// Where a connection comes from.
pub(super) enum ConnectionOrigin {
    /// It was accepted by this process.
    Client,
    /// Another process served it before and handed it over.
    OtherProcess {
        /// The bytes that the other process has read but not processed.
        read: Vec<u8>,
    },
}

/// The state that the reader, the writer and the watchdog of a connection share.
pub(super) struct ConnectionState<P: ClientProtocol> {
    /// Pending replies, in the order of the commands.
    pub(super) replies: ReplyQueue<P>,
    /// Whether a thread writes replies. Stays set once that thread is to close the connection.
    pub(super) writer_running: bool,
    /// Whether further commands may be received.
    pub(super) accepts_commands: bool,
    /// Whether a thread reads from the connection or is about to.
    pub(super) reader_running: bool,
    /// The bytes that the reader begins with, before those of the stream; none once it has begun.
    pub(super) read_before_start: Option<Vec<u8>>,
    /// Numbers of the requests whose reply has not been written.
    pub(super) open_requests: Vec<u64>,
    /// Number of commands whose reply has not been written.
    pub(super) unanswered: usize,
    /// Whether commands that are read from now on are ignored.
    pub(super) closed: bool,
    /// Whether the reader closes the connection once it has processed all bytes that were received.
    pub(super) close_after_reading: bool,
    /// Whether reading was paused: the bytes that are read next may have been received long ago,
    /// and the client may have disconnected since.
    pub(super) reading_was_paused: bool,
    /// When reading first paused or waited since the reader was last told of that; none if it did not.
    pub(super) paused_at: Option<Instant>,
    /// Number of requests that were rejected without the core, beyond those that were accepted.
    pub(super) excess_rejections: u32,
    /// Whether another process reads from the connection and writes to it.
    pub(super) handed_over: bool,
    /// Whether a request was received. Commands with a direct reply and malformed commands do not
    /// count.
    pub(super) has_requested: bool,
    /// Number of reads since the last complete command; none of them completed the next command.
    pub(super) partial_reads: u32,
    /// When the connection was accepted or, after its first command, when the first byte of an
    /// incomplete command was received. None between commands.
    pub(super) incomplete_since: Option<Instant>,
    /// When open requests are abandoned; set when the limiter closes the connection after a last
    /// reply, as to a malformed command.
    pub(super) abandon_at: Option<Instant>,
    /// When the connection was accepted, or taken over from another process.
    pub(super) opened_at: Instant,
    /// When a reply was last written; initially `opened_at`.
    pub(super) replied_at: Instant,
    /// When part of a command was last read, a reply was last written or found not to be sent yet, or
    /// a hand-over last failed; initially `opened_at`.
    pub(super) last_activity: Instant,
}

impl<P: ClientProtocol> ConnectionState<P> {
    /// Returns the state of a connection without pending commands, whose replies are charged to
    /// `memory`. Bytes may have arrived on it since `earliest_arrival`.
    pub(super) fn new(
        origin: ConnectionOrigin,
        earliest_arrival: Instant,
        memory: &Arc<MemoryBudget>,
    ) -> Self {
        let (adopted, read) = match origin {
            ConnectionOrigin::Client => (false, Vec::new()),
            ConnectionOrigin::OtherProcess { read } => (true, read),
        };
        let now = Instant::now();
        Self {
            replies: ReplyQueue::new(memory),
            writer_running: false,
            accepts_commands: true,
            reader_running: false,
            read_before_start: Some(read),
            open_requests: Vec::new(),
            unanswered: 0,
            closed: false,
            close_after_reading: false,
            reading_was_paused: true,
            paused_at: Some(earliest_arrival),
            excess_rejections: 0,
            handed_over: false,
            has_requested: adopted,
            partial_reads: 0,
            incomplete_since: (!adopted).then_some(now),
            abandon_at: None,
            opened_at: now,
            replied_at: now,
            last_activity: now,
        }
    }

    /// Records that reading pauses or waits from now on.
    pub(super) fn note_pause(&mut self) {
        self.reading_was_paused = true;
        self.paused_at.get_or_insert_with(Instant::now);
    }

    /// Whether the client sends many requests at once.
    pub(super) fn sends_many(&self) -> bool {
        self.open_requests.len() >= MANY_OPEN_REQUESTS || self.excess_rejections > 0
    }

    /// Whether replies are pending or being written.
    pub(super) fn has_replies_to_write(&self) -> bool {
        self.writer_running || !self.replies.is_empty()
    }

    /// Whether the client is sending a command and has sent at least two parts of it. Connections
    /// of a flood send at most one part.
    pub(super) fn is_sending(&self) -> bool {
        self.partial_reads > 1 && self.last_activity.elapsed() < SENDING_WINDOW
    }

    /// Whether a command may be received soon: the client is sending one, or has only just
    /// connected.
    pub(super) fn may_receive_command_soon(&self) -> bool {
        self.is_sending() || (!self.has_requested && self.opened_at.elapsed() < MIN_IDLE_TIME)
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// Counts a command that was read. Returns false if the connection is closing and the command is
    /// ignored.
    pub(super) fn begin_command(&self) -> bool {
        let mut state = lock(&self.state);
        if state.closed {
            return false;
        }
        state.unanswered += 1;
        state.partial_reads = 0;
        state.incomplete_since = None;
        true
    }

    /// Waits until fewer than `max_unanswered` commands are unanswered or the connection is closing.
    /// Returns false if that is not so within `timeout`.
    ///
    /// Guards against a client that sends without an end, and makes one wait that sends more than
    /// the limiter holds: the bytes stay in the socket.
    pub(super) fn wait_for_replies(&self, max_unanswered: usize, timeout: Duration) -> bool {
        let mut state = lock(&self.state);
        if state.unanswered < max_unanswered {
            return true;
        }
        // The command that was read last is complete.
        state.partial_reads = 0;
        state.incomplete_since = None;
        state.note_pause();
        let is_full =
            |state: &mut ConnectionState<P>| state.unanswered >= max_unanswered && !state.closed;
        let (_state, wait) = self
            .progress
            .wait_timeout_while(state, timeout, is_full)
            .unwrap_or_else(PoisonError::into_inner);
        !wait.timed_out()
    }

    /// Records that the reply to the oldest unanswered command was written. If `closing` is set,
    /// the connection is closed once no reply is pending. Returns whether further replies may be
    /// written.
    pub(super) fn end_command(&self, request: Option<u64>, closing: bool) -> bool {
        let mut state = lock(&self.state);
        if let Some(request) = request {
            state.open_requests.retain(|other| *other != request);
        }
        state.unanswered = state.unanswered.saturating_sub(1);
        state.replied_at = Instant::now();
        state.last_activity = state.replied_at;
        if closing {
            self.close_if_answered(&mut state);
        }
        self.progress.notify_all();
        !state.closed || (state.abandon_at.is_some() && state.unanswered > 0)
    }

    /// If no reply is pending and all are sent, ends the stream for the reader, which closes the
    /// connection after it has processed all bytes received so far. Returns whether it does.
    ///
    /// Guards against closing the connection between the read of a request and its processing: the
    /// client could not know that the request was never executed. Also guards against the loss of a
    /// reply that a slow client still reads: what it sends after the close would reset the
    /// connection, and the system would discard what it has not sent.
    pub(super) fn close_if_answered(&self, state: &mut ConnectionState<P>) -> bool {
        if state.unanswered > 0 || state.handed_over {
            return false;
        }
        if !self.wait_replies_sent(state.replied_at, Duration::ZERO) {
            state.last_activity = Instant::now();
            return false;
        }
        state.close_after_reading = true;
        _ = self.stream.shutdown(Shutdown::Read);
        true
    }

    /// Whether a reply was written and is not sent yet, and the client may still receive it.
    pub(super) fn has_unsent_reply(&self) -> bool {
        let replied_at = lock(&self.state).replied_at;
        !self.wait_replies_sent(replied_at, Duration::ZERO)
    }

    /// Waits until all replies are sent or the client has taken too long to receive them, before the
    /// connection is closed. No other thread writes meanwhile.
    pub(super) fn wait_until_sent(&self) {
        let replied_at = lock(&self.state).replied_at;
        self.wait_replies_sent(replied_at, PEER_STALL_TIMEOUT);
    }

    /// Waits at most `timeout` until the replies, the last of which was written at `replied_at`, are
    /// sent or the client has taken too long. Returns false if neither is so.
    fn wait_replies_sent(&self, replied_at: Instant, timeout: Duration) -> bool {
        let left = PEER_STALL_TIMEOUT.saturating_sub(replied_at.elapsed());
        // A second wait at the same time would end the first one too early.
        let Ok(_only_wait) = self.sent_wait.try_lock() else {
            return left.is_zero();
        };
        left.is_zero() || wait_until_sent(&self.stream, timeout.min(left)) || timeout >= left
    }

    /// Whether the client disconnected while reading was paused; if so, the connection ignores
    /// further commands. Checked before the next request is accepted.
    pub(super) fn disconnected_while_paused(&self) -> bool {
        let mut state = lock(&self.state);
        let left = std::mem::take(&mut state.reading_was_paused)
            && !state.close_after_reading
            && peer_disconnected(&self.stream);
        state.closed |= left;
        left
    }

    /// Closes the connection if no reply is pending, unless a command may be received soon.
    pub(super) fn close_unless_busy(&self) {
        let mut state = lock(&self.state);
        if !state.may_receive_command_soon() {
            self.close_if_answered(&mut state);
        }
    }

    /// Closes the connection if no reply is pending and all are sent. Returns whether it does.
    pub(super) fn evict(&self) -> bool {
        self.close_if_answered(&mut lock(&self.state))
    }

    /// Closes the connection now; pending replies are dropped. The socket stays open if it was
    /// handed over.
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

impl<P: ClientProtocol> StreamEnd for ClientConnection<P> {
    /// Returns true while the limiter closes the connection and has not sent all replies.
    ///
    /// Guards against the loss of commands behind one that crossed the end of the stream: their client
    /// waits for the reply to that one, and can't know that they were not read.
    fn reads_on(&self) -> bool {
        let state = lock(&self.state);
        if !state.close_after_reading || state.closed {
            return false;
        }
        let has_unsent = || !self.wait_replies_sent(state.replied_at, Duration::ZERO);
        if state.unanswered == 0 && !has_unsent() {
            return false;
        }
        drop(self.progress.wait_timeout(state, READ_AGAIN_INTERVAL));
        true
    }
}

impl<P: ClientProtocol> ClientPresence for ClientConnection<P> {
    /// Returns false while the limiter closes the connection: a disconnect by the client can't be
    /// recognized then.
    fn has_disconnected(&self) -> bool {
        let closing = lock(&self.state).close_after_reading;
        !closing && peer_disconnected(&self.stream)
    }
}
