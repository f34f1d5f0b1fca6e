//! The thread that writes the answers of a connection, in the order of its commands.

use super::connection::{ClientConnection, ConnectionState, PendingReply};
use super::protocol::{ClientProtocol, Reply, ValueOf};
use super::reader::CLOSE_LINGER;
use super::Front;
use crate::core::Answer;
use crate::metrics::{InFlightRequest, RequestOutcome};
use crate::threads::{lock, spawn};
use slog::warn;
use std::io::Write;
use std::net::Shutdown;
use std::sync::{Arc, MutexGuard};

/// What a writer finds at the head of the replies.
enum NextReply<P: ClientProtocol> {
    /// A reply.
    Ready(ReadyReply<P>),
    /// No reply yet; whoever brings one starts a writer.
    Later,
    /// None, and none will come: the writer ends the connection.
    Never,
}

/// A reply that can be written.
struct ReadyReply<P: ClientProtocol> {
    number: u64,
    context: P::ReplyContext,
    reply: Reply<ValueOf<P>>,
    in_flight: Option<InFlightRequest>,
}

impl<P: ClientProtocol> Front<P> {
    /// Has answers written if the next is there, by a thread that is there while there are any.
    ///
    /// Guards against a thread for each connection or request that waits: a system that stops and continues a process, as
    /// for its part of a processor, does so with each of its threads.
    pub(super) fn start_writer(
        self: &Arc<Self>,
        number: u64,
        connection: &Arc<ClientConnection<P>>,
        mut state: MutexGuard<ConnectionState<P>>,
    ) {
        if state.writer_running
            || state
                .replies
                .front()
                .is_none_or(|pending| pending.reply.is_none())
        {
            return;
        }
        state.writer_running = true;
        drop(state);
        let (front, own) = (self.clone(), connection.clone());
        if let Err(fault) = spawn("agent-write", move || front.run_writer(number, &own)) {
            warn!(self.log, "client connection dropped"; "error" => %fault);
            self.close_connection(number, connection);
        }
    }

    /// Writes answers in order while they are there.
    pub(super) fn run_writer(&self, number: u64, connection: &ClientConnection<P>) {
        let by_choice = loop {
            let ReadyReply {
                number,
                context,
                reply,
                in_flight,
            } = match connection.next_reply() {
                NextReply::Ready(ready) => ready,
                NextReply::Later => return,
                NextReply::Never => break false,
            };
            let goes_on = match reply {
                Reply::Answer(answer) => {
                    let outcome = outcome(&answer);
                    let written = self.protocol.write(&connection.stream, context, answer);
                    in_flight
                        .filter(|_| written.is_ok())
                        .into_iter()
                        .for_each(|in_flight| in_flight.finish(outcome));
                    written
                }
                Reply::Direct { text, last } => {
                    (&connection.stream).write_all(&text).map(|()| !last)
                }
            };
            match goes_on {
                Ok(true) if connection.end_command(number, self.is_closing()) => {}
                Ok(_) => break true,
                Err(_) => break false,
            }
        };
        if by_choice {
            // The agent is told by the end of sending, and gets a moment to read what it was told.
            _ = connection.stream.shutdown(Shutdown::Write);
            let state = lock(&connection.state);
            drop(
                connection
                    .progress
                    .wait_timeout_while(state, CLOSE_LINGER, |state| state.reader_running),
            );
        }
        // Ends the reader too, which tells of what is still open.
        self.close_connection(number, connection);
    }
}

impl<P: ClientProtocol> ClientConnection<P> {
    /// The reply to be written next.
    fn next_reply(&self) -> NextReply<P> {
        let mut state = lock(&self.state);
        let later = state.accepts_commands || !state.replies.is_empty();
        match state.replies.pop_front() {
            Some(PendingReply {
                number,
                context,
                reply: Some(reply),
                in_flight,
            }) => NextReply::Ready(ReadyReply {
                number,
                context,
                reply,
                in_flight,
            }),
            not_ready => {
                not_ready
                    .into_iter()
                    .for_each(|pending| state.replies.push_front(pending));
                state.writer_running = !later;
                match later {
                    true => NextReply::Later,
                    false => NextReply::Never,
                }
            }
        }
    }
}

/// How an answer is counted once it is written whole.
fn outcome<V>(answer: &Answer<V>) -> RequestOutcome {
    match answer {
        Answer::Served(_) => RequestOutcome::Served,
        Answer::Rejected { .. } => RequestOutcome::Rejected,
        Answer::Failed { .. } => RequestOutcome::Failed,
    }
}
