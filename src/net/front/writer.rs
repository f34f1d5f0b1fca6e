//! The thread that writes the answers of a connection, in the order of its commands.

use super::connection::{Link, LinkState, Owed};
use super::protocol::{ClientProtocol, Reply, ValueOf};
use super::reader::LINGER;
use super::Front;
use crate::figures::{InFlightRequest, RequestOutcome};
use crate::limiter::Answer;
use crate::net::{lock, spawn};
use slog::warn;
use std::io::Write;
use std::net::Shutdown;
use std::sync::{Arc, MutexGuard};

impl<P: ClientProtocol> Front<P> {
    /// Has answers written if the next is there, by a thread that is there while there are any.
    ///
    /// Guards against a thread for each connection or request that waits: a system that stops and continues a process, as
    /// for its part of a processor, does so with each of its threads.
    pub(super) fn begin_writing(
        self: &Arc<Self>,
        number: u64,
        link: &Arc<Link<P>>,
        mut state: MutexGuard<LinkState<P>>,
    ) {
        if state.writing || state.queue.front().is_none_or(|owed| owed.reply.is_none()) {
            return;
        }
        state.writing = true;
        drop(state);
        let (front, own) = (self.clone(), link.clone());
        if let Err(fault) = spawn("agent-write", move || front.write(number, &own)) {
            warn!(self.log, "agent connection dropped"; "fault" => %fault);
            self.end(number, link);
        }
    }

    /// Writes answers in order while they are there.
    pub(super) fn write(&self, number: u64, link: &Link<P>) {
        let by_choice = loop {
            let (number, context, reply, tally) = match link.next() {
                Ok(owed) => owed,
                Err(true) => return,
                Err(false) => break false,
            };
            let goes_on = match reply {
                Reply::Answer(answer) => {
                    let end = end(&answer);
                    let written = self.protocol.write(&link.stream, context, answer);
                    tally.filter(|_| written.is_ok()).into_iter().for_each(|tally| tally.finish(end));
                    written
                }
                Reply::Direct { text, last } => (&link.stream).write_all(&text).map(|()| !last),
            };
            match goes_on {
                Ok(true) if link.end(number, self.is_closing()) => {}
                Ok(_) => break true,
                Err(_) => break false,
            }
        };
        if by_choice {
            // The agent is told by the end of sending, and gets a moment to read what it was told.
            _ = link.stream.shutdown(Shutdown::Write);
            let state = lock(&link.state);
            drop(link.answered.wait_timeout_while(state, LINGER, |state| state.reading));
        }
        // Ends the reader too, which tells of what is still open.
        self.end(number, link);
    }
}

impl<P: ClientProtocol> Link<P> {
    /// What is to be written next; none if it is not there, and whether it may be later.
    #[allow(clippy::type_complexity)]
    fn next(&self) -> Result<(u64, P::ReplyContext, Reply<ValueOf<P>>, Option<InFlightRequest>), bool> {
        let mut state = lock(&self.state);
        let later = state.taking || !state.queue.is_empty();
        match state.queue.pop_front() {
            Some(Owed { number, context, reply: Some(reply), tally }) => Ok((number, context, reply, tally)),
            waits => {
                waits.into_iter().for_each(|owed| state.queue.push_front(owed));
                state.writing = !later;
                Err(later)
            }
        }
    }
}

/// How an answer is counted once it is written whole.
fn end<V>(answer: &Answer<V>) -> RequestOutcome {
    match answer {
        Answer::Served(_) => RequestOutcome::Served,
        Answer::Refused { .. } => RequestOutcome::Refused,
        Answer::Failed { .. } => RequestOutcome::Failed,
    }
}
