//! The thread that reads from a connection.

use super::accept::ACCEPT_RETRY_DELAY;
use super::connection::ClientConnection;
use super::protocol::{ClientProtocol, CloseReason};
use super::session::Session;
use super::watchdog::COMMAND_TIMEOUT;
use super::ClientListener;
use crate::client::interruptible::InterruptibleReader;
use crate::threads::lock;
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The time that a client has for reading its last reply before the connection is closed.
pub(super) const CLOSE_LINGER: Duration = Duration::from_millis(300);
/// The most bytes that are read and ignored after the command that ended a connection, so that the last reply is not lost
/// to a reset; some clients would send 60 MB.
const MAX_DRAINED_BYTES: usize = 128 * 1024;

/// Bytes that are ignored at a time.
const DRAIN_PIECE_BYTES: usize = 4 * 1024;

/// How the reading of commands ended.
#[derive(PartialEq)]
enum ReadEnd {
    /// No further command is accepted, or the client has disconnected.
    Ended,
    /// Another process reads from it now.
    HandedOver,
}

/// How a connection ends after its last read.
enum Ending {
    /// No reply is pending: it is closed at once.
    Settled,
    /// The limiter closes it, and its last reply was written.
    LastReplyWritten,
    /// The client closes it, or replies are pending.
    Other,
}

impl<P: ClientProtocol> ClientListener<P> {
    /// Reads commands until the connection ends or is handed over, beginning with the bytes in `unread`.
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
        // The watchdog shuts down the connection after that time.
        if connection.command_timed_out() && connection.begin_command().is_some() {
            session.dismiss(CloseReason::TooSlow);
        }
        match connection.stop_accepting() {
            // All that was received has been processed. The client retries later commands elsewhere.
            Ending::Settled => return self.reader_ended(number, connection),
            Ending::LastReplyWritten => {
                _ = connection.stream.shutdown(Shutdown::Write);
                _ = connection.stream.set_read_timeout(Some(CLOSE_LINGER));
            }
            Ending::Other => {}
        }
        drain(&connection.stream);
        // After this many bytes, a disconnect behind them would not be noticed.
        self.abandon_requests(connection);
        self.reader_ended(number, connection);
    }

    /// Reads commands until the protocol accepts no more or the connection is handed over.
    fn read_commands(&self, session: &Session<P>, mut unread: Vec<u8>) -> ReadEnd {
        let connection = session.connection;
        loop {
            let mut from =
                InterruptibleReader::new(&connection.stream, self.read_interrupt.as_ref(), unread);
            unread = self.protocol.read(&mut from, session);
            let interrupted = from.interrupted();
            unread.extend(from.into_unread());
            if !interrupted {
                return ReadEnd::Ended;
            }
            // Commands up to here are answered by this process, later ones by the other.
            if connection.detach_when_settled() {
                let hand_over = lock(&self.hand_over_to).clone();
                if hand_over.is_some_and(|hand_over| hand_over(&connection.stream, &unread)) {
                    return ReadEnd::HandedOver;
                }
            }
            if !connection.reattach() {
                return ReadEnd::Ended;
            }
            // Guards against a busy loop until this process learns that the other one has ended.
            thread::sleep(ACCEPT_RETRY_DELAY);
        }
    }

    /// Records the end of the reader. The connection is closed, by the writer if replies are pending.
    pub(super) fn reader_ended(&self, number: u64, connection: &ClientConnection<P>) {
        let mut state = lock(&connection.state);
        state.accepts_commands = false;
        state.reader_running = false;
        // Each request has a reply by its deadline.
        let has_replies = state.has_replies_to_write();
        drop(state);
        connection.progress.notify_all();
        if !has_replies {
            self.close_connection(number, connection);
        }
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// Whether a command was not complete in time.
    fn command_timed_out(&self) -> bool {
        lock(&self.state)
            .incomplete_since
            .is_some_and(|since| since.elapsed() >= COMMAND_TIMEOUT)
    }

    /// Stops accepting commands: the writer ends after the pending replies.
    fn stop_accepting(&self) -> Ending {
        let mut state = lock(&self.state);
        state.accepts_commands = false;
        if state.closing_when_read {
            Ending::Settled
        } else if state.give_up_at.is_some() && !state.has_replies_to_write() {
            Ending::LastReplyWritten
        } else {
            Ending::Other
        }
    }
}

/// Reads and ignores bytes up to the end: a close with unread bytes resets the connection, and its last reply is lost.
fn drain(mut stream: &TcpStream) {
    let mut bytes = [0; DRAIN_PIECE_BYTES];
    let mut drained = 0;
    while drained <= MAX_DRAINED_BYTES {
        match stream.read(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Ok(0) | Err(_) => break,
            Ok(read) => drained += read,
        }
    }
}
