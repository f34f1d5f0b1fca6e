//! The thread that reads from a connection.

use super::accept::ACCEPT_RETRY_DELAY;
use super::connection::ClientConnection;
use super::protocol::{ClientProtocol, CloseReason};
use super::session::Session;
use super::watchdog::COMMAND_TIMEOUT;
use super::Front;
use crate::client::interruptible::InterruptibleReader;
use crate::threads::lock;
use std::io::{self, Read};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time for an agent to read its last answer before the connection is closed under it.
pub(super) const CLOSE_LINGER: Duration = Duration::from_millis(300);
/// Read beyond what ended a connection, so that its last words are not lost to a reset; no more than that, as
/// some agents have 60 MB to send.
const MAX_DRAINED: usize = 128 * 1024;

/// How the reading of commands ended.
#[derive(PartialEq)]
enum ReadEnd {
    /// No more is taken from the connection, or the client has gone away.
    Ended,
    /// Another process reads from it now.
    HandedOver,
}

/// How a connection ends once no more is read from it.
enum Ending {
    /// Nothing is owed, and it is closed at once.
    Settled,
    /// The limiter closes it, and its last reply is written.
    LastReplyWritten,
    /// The client ends it, or replies are still to be written.
    Other,
}

impl<P: ClientProtocol> Front<P> {
    /// Reads until the connection ends or is handed over; `first` has been read from it before.
    pub(super) fn run_reader(
        self: &Arc<Self>,
        number: u64,
        connection: &Arc<ClientConnection<P>>,
        first: Vec<u8>,
    ) {
        let session = Session {
            front: self,
            connection,
            number,
        };
        if self.read_commands(&session, first) == ReadEnd::HandedOver {
            return self.reader_ended(number, connection);
        }
        // The watchdog has ended the reading.
        if connection.command_timed_out() && connection.begin_command().is_some() {
            session.dismiss(CloseReason::TooSlow);
        }
        match connection.stop_accepting() {
            // It has read all that had come. What nobody has read the agent sends again elsewhere.
            Ending::Settled => return self.reader_ended(number, connection),
            Ending::LastReplyWritten => {
                _ = connection.stream.shutdown(Shutdown::Write);
                _ = connection.stream.set_read_timeout(Some(CLOSE_LINGER));
            }
            Ending::Other => {}
        }
        drain(&connection.stream);
        // Whoever has that much more to say would not be seen to leave behind it.
        self.abandon_requests(connection);
        self.reader_ended(number, connection);
    }

    /// Reads commands until the protocol takes no more of them, or the connection is another process's.
    fn read_commands(&self, session: &Session<P>, mut first: Vec<u8>) -> ReadEnd {
        let connection = session.connection;
        loop {
            let mut from =
                InterruptibleReader::new(&connection.stream, self.read_interrupt.as_ref(), first);
            first = self.protocol.read(&mut from, session);
            let interrupted = from.interrupted();
            first.extend(from.into_unread());
            if !interrupted {
                return ReadEnd::Ended;
            }
            // All that was asked on it is answered from here; what comes next is the other's.
            let hand_over = connection
                .detach_when_settled()
                .then(|| lock(&self.hand_over_to).clone())
                .flatten();
            if hand_over.is_some_and(|hand_over| hand_over(&connection.stream, &first)) {
                return ReadEnd::HandedOver;
            }
            if !connection.reattach() {
                return ReadEnd::Ended;
            }
            // Guards against asking again and again while the other's end is not known yet.
            thread::sleep(ACCEPT_RETRY_DELAY);
        }
    }

    /// The reader of a connection ends; the writer, if there is one, ends the connection after it.
    pub(super) fn reader_ended(&self, number: u64, connection: &ClientConnection<P>) {
        let mut state = lock(&connection.state);
        (state.accepts_commands, state.reader_running) = (false, false);
        // A request has its answer at its deadline at the latest, and is written then.
        let writes = state.has_replies_to_write();
        drop(state);
        connection.progress.notify_all();
        if !writes {
            self.close_connection(number, connection);
        }
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// Its command is not whole within the time for it.
    fn command_timed_out(&self) -> bool {
        lock(&self.state)
            .incomplete_since
            .is_some_and(|since| since.elapsed() >= COMMAND_TIMEOUT)
    }

    /// Takes no further command: its writer ends once all that is owed is written.
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

/// Reads on to the end: to close with bytes unread would reset the connection under its last answer.
fn drain(mut stream: &TcpStream) {
    let (mut part, mut drained) = ([0; 4 * 1024], 0);
    while drained <= MAX_DRAINED {
        match stream.read(&mut part) {
            Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
            Ok(0) | Err(_) => break,
            Ok(read) => drained += read,
        }
    }
}
