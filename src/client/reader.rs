//! The thread that reads commands from a connection.

use super::accept::ACCEPT_RETRY_DELAY;
use super::connection::ClientConnection;
use super::protocol::{ClientProtocol, CloseReason};
use super::session::Session;
use super::watchdog::COMMAND_TIMEOUT;
use super::ClientListener;
use crate::client::interruptible::InterruptibleReader;
use crate::retrying_stream::RetryingStream;
use crate::threads::{lock, spawn};
use slog::warn;
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How long the limiter waits before it closes a connection, so that the client can read its last
/// reply.
pub(super) const CLOSE_LINGER: Duration = Duration::from_millis(300);
/// Maximum number of bytes that are read and ignored after the last accepted command. Ignoring them
/// keeps the last reply from being lost to a connection reset; the bound is needed because some
/// clients send 60 MB.
const MAX_DRAINED_BYTES: usize = 128 * 1024;

/// Size of the buffer for ignored bytes.
const DRAIN_BUFFER_BYTES: usize = 4 * 1024;

/// Why the reader stopped reading commands.
#[derive(PartialEq)]
enum ReadEnd {
    /// No further command is accepted, or the client has disconnected.
    Ended,
    /// Another process now reads from the connection.
    HandedOver,
}

/// How a connection ends after its last command was read.
enum Ending {
    /// The limiter closes the connection, and no reply is pending: it is closed at once.
    Answered,
    /// The limiter closes the connection after a last reply, which was written.
    LastReplyWritten,
    /// The client closes the connection, or replies are pending.
    Other,
}

impl<P: ClientProtocol> ClientListener<P> {
    /// Starts the reader of a connection that has had none. If the system starts no thread, the watchdog
    /// tries again.
    pub(super) fn start_reader(
        self: &Arc<Self>,
        number: u64,
        connection: &Arc<ClientConnection<P>>,
    ) {
        let mut state = lock(&connection.state);
        if state.reader_running || state.read_before_start.is_none() {
            return;
        }
        state.reader_running = true;
        drop(state);
        let front = self.clone();
        let reader_connection = connection.clone();
        let work = move || {
            let unread = lock(&reader_connection.state).read_before_start.take();
            front.run_reader(number, &reader_connection, unread.unwrap_or_default());
        };
        if let Err(error) = spawn("client-read", work) {
            lock(&connection.state).reader_running = false;
            if let Some(suppressed) = self.reader_throttle.permit() {
                warn!(self.log, "no thread for a connection"; "error" => %error, "suppressed" => suppressed);
            }
        }
    }

    /// Reads commands until the connection ends or is handed over, starting with the bytes in
    /// `unread`.
    pub(super) fn run_reader(
        self: &Arc<Self>,
        number: u64,
        connection: &Arc<ClientConnection<P>>,
        unread: Vec<u8>,
    ) {
        let session = Session {
            front: self,
            connection,
            number,
        };
        if self.read_commands(&session, unread) == ReadEnd::HandedOver {
            return self.reader_ended(number, connection);
        }
        // If a command timed out, the watchdog has ended the stream.
        if connection.command_timed_out() && connection.begin_command() {
            session.close_with_reason(CloseReason::TooSlow);
        }
        match connection.stop_accepting() {
            // All received bytes were processed. The client retries later commands elsewhere.
            Ending::Answered => return self.reader_ended(number, connection),
            Ending::LastReplyWritten => {
                connection.wait_until_sent();
                _ = connection.stream.shutdown(Shutdown::Write);
                _ = connection.stream.set_read_timeout(Some(CLOSE_LINGER));
            }
            Ending::Other => {}
        }
        drain(&connection.stream);
        // If draining stopped at its bound, a later disconnect would not be noticed, so open
        // requests are abandoned now.
        self.abandon_requests(connection);
        self.reader_ended(number, connection);
    }

    /// Reads commands until the protocol accepts no further command or the connection is handed
    /// over.
    fn read_commands(&self, session: &Session<P>, mut unread: Vec<u8>) -> ReadEnd {
        let connection = session.connection;
        loop {
            let mut from = InterruptibleReader::new(
                &connection.stream,
                self.read_interrupt.as_ref(),
                &**connection,
                unread,
            );
            unread = self.protocol.read(&mut from, session);
            let interrupted = from.interrupted();
            unread.extend(from.into_unread());
            if !interrupted {
                return ReadEnd::Ended;
            }
            // This process has answered all commands read so far; the other one answers later ones.
            if connection.detach_once_answered() {
                let hand_over = lock(&self.hand_over_to).clone();
                let waited = connection.waited();
                if hand_over.is_some_and(|to| to(&connection.stream, &unread, waited)) {
                    return ReadEnd::HandedOver;
                }
            }
            if !connection.reattach() {
                return ReadEnd::Ended;
            }
            // Guards against a busy loop until this process notices that the other one has ended.
            thread::sleep(ACCEPT_RETRY_DELAY);
        }
    }

    /// Records that the reader has ended. The connection is closed now, or by the writer if replies
    /// are pending.
    pub(super) fn reader_ended(&self, number: u64, connection: &ClientConnection<P>) {
        let mut state = lock(&connection.state);
        state.accepts_commands = false;
        state.reader_running = false;
        // The writer does not wait forever: each request has a reply by its deadline.
        let has_replies = state.has_replies_to_write();
        drop(state);
        connection.progress.notify_all();
        if !has_replies {
            self.close_connection(number, connection);
        }
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// Whether a command was not complete within [`COMMAND_TIMEOUT`].
    fn command_timed_out(&self) -> bool {
        lock(&self.state)
            .incomplete_since
            .is_some_and(|since| since.elapsed() >= COMMAND_TIMEOUT)
    }

    /// Stops accepting commands, so that the writer closes the connection after the pending
    /// replies.
    fn stop_accepting(&self) -> Ending {
        let mut state = lock(&self.state);
        state.accepts_commands = false;
        if state.close_after_reading {
            Ending::Answered
        } else if state.abandon_at.is_some() && !state.has_replies_to_write() {
            Ending::LastReplyWritten
        } else {
            Ending::Other
        }
    }
}

/// Reads and ignores bytes until the end of the stream or the bound. Closing a connection with
/// unread bytes would reset it and lose the last reply.
fn drain(stream: &TcpStream) {
    let mut stream = RetryingStream(stream);
    let mut bytes = [0; DRAIN_BUFFER_BYTES];
    let mut drained = 0;
    while drained <= MAX_DRAINED_BYTES {
        match stream.read(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Ok(0) | Err(_) => break,
            Ok(read) => drained += read,
        }
    }
}
