//! The thread that writes the replies of a connection, in the order of its commands.

use super::connection::{ClientConnection, ConnectionState, PendingReply};
use super::protocol::{ClientProtocol, Reply, ValueOf};
use super::reader::CLOSE_LINGER;
use super::request_memory::RequestCharge;
use super::ClientListener;
use crate::core::Answer;
use crate::memory::{MemoryHolder, THREAD_BYTES};
use crate::metrics::{InFlightRequest, RequestOutcome};
use crate::retrying_stream::RetryingStream;
use crate::threads::{lock, spawn};
use slog::warn;
use std::io::{self, Write};
use std::net::Shutdown;
use std::sync::{Arc, MutexGuard};

/// The next step of the writer, which depends on the first pending reply.
enum NextReply<P: ClientProtocol> {
    /// The first reply is available: the writer writes it.
    Ready(ReadyReply<P>),
    /// The first reply is not available yet: the writer ends. Another one starts when it is
    /// available.
    NotReady,
    /// No reply is pending and no command will be received: the writer closes the connection.
    NoneLeft,
}

/// A pending reply that is available.
struct ReadyReply<P: ClientProtocol> {
    request: Option<u64>,
    context: P::ReplyContext,
    reply: Reply<ValueOf<P>>,
    in_flight: Option<InFlightRequest>,
    /// Dropped once the reply was written.
    _memory: Option<RequestCharge>,
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
        let next = state.replies.front();
        let is_ready = next.is_some_and(|pending| pending.reply.is_some());
        if state.writer_running || !is_ready {
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
                NextReply::NoneLeft => break,
            };
            let request = ready.request;
            match self.write_reply(connection, ready) {
                Ok(true) if connection.end_command(request, self.is_closing()) => {}
                Ok(_) => {
                    connection.linger();
                    break;
                }
                Err(_) => break,
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
        ready: ReadyReply<P>,
    ) -> io::Result<bool> {
        match ready.reply {
            Reply::Answer(answer) => {
                let outcome = outcome(&answer);
                let keep = self
                    .protocol
                    .write(&connection.stream, ready.context, answer)?;
                if let Some(in_flight) = ready.in_flight {
                    in_flight.finish(outcome);
                }
                Ok(keep)
            }
            Reply::Direct { text, last } => {
                RetryingStream(&connection.stream).write_all(&text)?;
                Ok(!last)
            }
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
        match state.replies.pop_front() {
            Some(PendingReply {
                request,
                context,
                reply: Some(reply),
                in_flight,
                memory,
            }) => NextReply::Ready(ReadyReply {
                request,
                context,
                reply,
                in_flight,
                _memory: memory,
            }),
            Some(unanswered) => {
                state.replies.push_front(unanswered);
                state.writer_running = false;
                NextReply::NotReady
            }
            None if state.accepts_commands => {
                state.writer_running = false;
                NextReply::NotReady
            }
            None => {
                state.writer_running = true;
                NextReply::NoneLeft
            }
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
