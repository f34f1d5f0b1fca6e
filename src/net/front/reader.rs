//! The thread that reads from a connection.

use super::accept::ACCEPT_RETRY_DELAY;
use super::connection::ClientConnection;
use super::protocol::{ClientProtocol, CloseReason};
use super::session::Session;
use super::watchdog::COMMAND_TIMEOUT;
use super::Front;
use crate::net::interruptible::InterruptibleReader;
use crate::net::lock;
use std::io::{self, Read};
use std::net::Shutdown;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time for an agent to read its last answer before the connection is closed under it.
pub(super) const CLOSE_LINGER: Duration = Duration::from_millis(300);
/// Read beyond what ended a connection, so that its last words are not lost to a reset; no more than that, as
/// some agents have 60 MB to send.
const MAX_DRAINED: usize = 128 * 1024;

impl<P: ClientProtocol> Front<P> {
    pub(super) fn run_reader(
        self: &Arc<Self>,
        number: u64,
        connection: &Arc<ClientConnection<P>>,
        mut first: Vec<u8>,
    ) {
        let session = Session { front: self, connection, number };
        loop {
            let mut from = InterruptibleReader::new(&connection.stream, self.read_interrupt.as_ref(), first);
            first = self.protocol.read(&mut from, &session);
            let interrupted = from.interrupted();
            first.extend(from.into_unread());
            if !interrupted {
                break;
            }
            // All that was asked on it is answered from here; what comes next is the other's.
            let hand_over =
                connection.detach_when_settled().then(|| lock(&self.hand_over_to).clone()).flatten();
            if hand_over.is_some_and(|hand_over| hand_over(&connection.stream, &first)) {
                return self.reader_ended(number, connection);
            }
            if !connection.reattach() {
                break;
            }
            // Guards against asking again and again while the other's end is not known yet.
            thread::sleep(ACCEPT_RETRY_DELAY);
        }
        if lock(&connection.state).incomplete_since.is_some_and(|since| since.elapsed() >= COMMAND_TIMEOUT) {
            // The watch has ended the reading.
            if connection.begin_command().is_some() {
                session.dismiss(CloseReason::TooSlow);
            }
        }
        let (by_choice, writing, leaving) = {
            let mut state = lock(&connection.state);
            // The writer ends once all that is owed is written.
            state.accepts_commands = false;
            (
                state.give_up_at.is_some(),
                state.writer_running || !state.replies.is_empty(),
                state.closing_when_read,
            )
        };
        if leaving {
            // It has read all that had come. What nobody has read the agent sends again elsewhere.
            return self.reader_ended(number, connection);
        }
        if by_choice && !writing {
            _ = connection.stream.shutdown(Shutdown::Write);
            _ = connection.stream.set_read_timeout(Some(CLOSE_LINGER));
        }
        // Up to the end: to close with bytes unread would reset the connection under its last answer.
        let (mut part, mut drained) = ([0; 4 * 1024], 0);
        while drained <= MAX_DRAINED {
            match (&connection.stream).read(&mut part) {
                Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
                Ok(0) | Err(_) => break,
                Ok(read) => drained += read,
            }
        }
        // Whoever has that much more to say would not be seen to leave behind it.
        self.abandon_requests(connection);
        self.reader_ended(number, connection);
    }

    /// The reader of a connection ends; the writer, if there is one, ends the connection after it.
    pub(super) fn reader_ended(&self, number: u64, connection: &ClientConnection<P>) {
        let mut state = lock(&connection.state);
        (state.accepts_commands, state.reader_running) = (false, false);
        // A request has its answer at its deadline at the latest, and is written then.
        let writes = state.writer_running || !state.replies.is_empty();
        drop(state);
        connection.progress.notify_all();
        if !writes {
            self.close_connection(number, connection);
        }
    }
}
