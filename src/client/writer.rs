//! The thread that writes the replies of a connection, in the order of its commands.

use super::connection::{ClientConnection, ConnectionState};
use super::protocol::{ClientProtocol, ValueOf};
use super::reader::CLOSE_LINGER;
use super::reply_queue::{PendingReply, ReplyContent};
use super::ClientListener;
use crate::core::Answer;
use crate::memory::{MemoryHolder, THREAD_BYTES};
use crate::metrics::RequestOutcome;
use crate::retrying_stream::RetryingStream;
use crate::threads::{lock, spawn};
use slog::warn;
use std::io::{self, ErrorKind, Write};
use std::net::Shutdown;
use std::sync::{Arc, MutexGuard};

/// The next step of the writer, which depends on the first pending reply.
enum NextReply<P: ClientProtocol> {
    /// The first reply is available: the writer writes it.
    Ready(PendingReply<P>),
    /// The first reply is not available yet: the writer ends. Another one starts when it is
    /// available.
    NotReady,
    /// No reply is pending and no command will be received: the writer closes the connection.
    NoneLeft,
}

impl<P: ClientProtocol> ClientListener<P> {
    /// Starts a writer thread if the next reply can be written and no writer runs.
    ///
    /// There is no permanent writer thread for each connection or request, because a system that
    /// suspends and resumes a process, for example to enforce a CPU quota, has to do so with each
    /// of its threads. If the system starts no thread, the watchdog tries again.
    pub(super) fn start_writer(
        self: &Arc<Self>,
        number: u64,
        connection: &Arc<ClientConnection<P>>,
        mut state: MutexGuard<ConnectionState<P>>,
    ) {
        if state.writer_running || !state.replies.is_next_ready() {
            return;
        }
        state.writer_running = true;
        drop(state);
        let front = self.clone();
        let writer_connection = connection.clone();
        let work = move || front.run_writer(number, &writer_connection);
        if let Err(error) = spawn("client-write", work) {
            warn!(self.log, "no thread for a reply"; "error" => %error);
            lock(&connection.state).writer_running = false;
        }
    }

    /// Writes replies in order while the next one is available, and closes the connection after its
    /// last reply.
    pub(super) fn run_writer(&self, number: u64, connection: &ClientConnection<P>) {
        let _memory = self.memory.charge(MemoryHolder::Reply, THREAD_BYTES);
        loop {
            let ready = match connection.next_reply() {
                NextReply::Ready(ready) => ready,
                NextReply::NotReady => return,
                NextReply::NoneLeft => {
                    connection.wait_until_sent();
                    break;
                }
            };
            let request = match &ready.content {
                ReplyContent::Request(request) => Some(request.number),
                ReplyContent::Rejection | ReplyContent::Direct(_) => None,
            };
            match self.write_reply(connection, ready) {
                Ok(true) if connection.end_command(request, self.is_closing()) => {}
                Ok(_) => {
                    connection.wait_until_sent();
                    connection.linger();
                    break;
                }
                // The client has not received earlier replies either.
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    connection.wait_until_sent();
                    break;
                }
            }
        }
        // This also ends the reader, and reports requests that are still open as abandoned.
        self.close_connection(number, connection);
    }

    /// Writes a reply and counts its request. Returns false if the connection is to be closed after
    /// it.
    fn write_reply(
        &self,
        connection: &ClientConnection<P>,
        ready: PendingReply<P>,
    ) -> io::Result<bool> {
        let (answer, _charge) = match ready.content {
            ReplyContent::Direct(reply) => {
                RetryingStream(&connection.stream).write_all(&reply.text)?;
                return Ok(!reply.last);
            }
            ReplyContent::Rejection => (self.rejection(), None),
            ReplyContent::Request(request) => {
                let Some(answer) = request.answer else {
                    return Ok(true);
                };
                (answer, request.memory)
            }
        };
        let outcome = outcome(&answer);
        let keep = self
            .protocol
            .write(&connection.stream, ready.context, answer)?;
        if let Some(in_flight) = ready.in_flight {
            in_flight.finish(outcome);
        }
        Ok(keep)
    }

    /// Returns the answer to a request that was never submitted to the core. Nothing has run, so
    /// the rejection is harmless.
    fn rejection(&self) -> Answer<ValueOf<P>> {
        Answer::Rejected {
            retry_after: self.retry_after_when_full,
            timed_out: false,
        }
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// Shuts down the sending side and waits at most [`CLOSE_LINGER`] for the reader to end, so
    /// that the client can read the last reply before the connection is closed.
    fn linger(&self) {
        _ = self.stream.shutdown(Shutdown::Write);
        let state = lock(&self.state);
        let wait = self
            .progress
            .wait_timeout_while(state, CLOSE_LINGER, |state| state.reader_running);
        drop(wait);
    }

    /// Takes the next reply if it is available. Otherwise records that no writer runs any more, or
    /// that the writer is to close the connection.
    fn next_reply(&self) -> NextReply<P> {
        let mut state = lock(&self.state);
        if let Some(ready) = state.replies.pop_ready() {
            return NextReply::Ready(ready);
        }
        let is_last = state.replies.is_empty() && !state.accepts_commands;
        state.writer_running = is_last;
        if is_last {
            NextReply::NoneLeft
        } else {
            NextReply::NotReady
        }
    }
}

/// Returns how a request with this answer is counted once the answer was written.
fn outcome<V>(answer: &Answer<V>) -> RequestOutcome {
    match answer {
        Answer::Served(_) => RequestOutcome::Served,
        Answer::Rejected { .. } => RequestOutcome::Rejected,
        Answer::Failed { .. } => RequestOutcome::Failed,
    }
}
