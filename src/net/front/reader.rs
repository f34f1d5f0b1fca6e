//! The thread that reads from a connection.

use super::accept::ACCEPT_WAIT;
use super::connection::Link;
use super::protocol::{ClientProtocol, CloseReason};
use super::session::Session;
use super::watchdog::PATIENCE;
use super::Front;
use crate::net::interruptible::InterruptibleReader;
use crate::net::lock;
use std::io::{self, Read};
use std::net::Shutdown;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time for an agent to read its last answer before the connection is closed under it.
pub(super) const LINGER: Duration = Duration::from_millis(300);
/// Read beyond what ended a connection, so that its last words are not lost to a reset; no more than that, as
/// some agents have 60 MB to send.
const DRAINED: usize = 128 * 1024;

impl<P: ClientProtocol> Front<P> {
    pub(super) fn read(self: &Arc<Self>, number: u64, link: &Arc<Link<P>>, mut first: Vec<u8>) {
        let session = Session { front: self, link, number };
        loop {
            let mut from = InterruptibleReader::new(&link.stream, self.wake.as_ref(), first);
            first = self.protocol.read(&mut from, &session);
            let interrupted = from.interrupted();
            first.extend(from.into_unread());
            if !interrupted {
                break;
            }
            // All that was asked on it is answered from here; what comes next is the other's.
            let pass = link.settled().then(|| lock(&self.pass).clone()).flatten();
            if pass.is_some_and(|pass| pass(&link.stream, &first)) {
                return self.read_out(number, link);
            }
            if !link.stays() {
                break;
            }
            // Guards against asking again and again while the other's end is not known yet.
            thread::sleep(ACCEPT_WAIT);
        }
        if lock(&link.state).half.is_some_and(|since| since.elapsed() >= PATIENCE) {
            // The watch has ended the reading.
            if link.begin().is_some() {
                session.dismiss(CloseReason::TooSlow);
            }
        }
        let (by_choice, writing, leaving) = {
            let mut state = lock(&link.state);
            // The writer ends once all that is owed is written.
            state.taking = false;
            (state.spoilt.is_some(), state.writing || !state.queue.is_empty(), state.leaving)
        };
        if leaving {
            // It has read all that had come. What nobody has read the agent sends again elsewhere.
            return self.read_out(number, link);
        }
        if by_choice && !writing {
            _ = link.stream.shutdown(Shutdown::Write);
            _ = link.stream.set_read_timeout(Some(LINGER));
        }
        // Up to the end: to close with bytes unread would reset the connection under its last answer.
        let (mut part, mut drained) = ([0; 4 * 1024], 0);
        while drained <= DRAINED {
            match (&link.stream).read(&mut part) {
                Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
                Ok(0) | Err(_) => break,
                Ok(read) => drained += read,
            }
        }
        // Whoever has that much more to say would not be seen to leave behind it.
        self.left(link);
        self.read_out(number, link);
    }

    /// The reader of a connection ends; the writer, if there is one, ends the connection after it.
    pub(super) fn read_out(&self, number: u64, link: &Link<P>) {
        let mut state = lock(&link.state);
        (state.taking, state.reading) = (false, false);
        // A request has its answer at its deadline at the latest, and is written then.
        let writes = state.writing || !state.queue.is_empty();
        drop(state);
        link.answered.notify_all();
        if !writes {
            self.end(number, link);
        }
    }
}
