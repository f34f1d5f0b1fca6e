//! What the reader of a connection hands its commands to.

use super::connection::{ClientConnection, PendingReply};
use super::event::{ClientEvent, ClientRequest};
use super::protocol::{ClientProtocol, CloseReason, Reply, ReplySlot, ValueOf};
use super::watchdog::COMMAND_TIMEOUT;
use super::Front;
use crate::threads::lock;
use slog::info;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Commands of one connection that wait for their answers; an agent that writes more has gone too far.
const MAX_PIPELINED: usize = 64;

/// What the reader of a connection hands its commands to.
pub struct Session<'a, P: ClientProtocol> {
    pub(super) front: &'a Arc<Front<P>>,
    pub(super) connection: &'a Arc<ClientConnection<P>>,
    pub(super) number: u64,
}

impl<P: ClientProtocol> Session<'_, P> {
    /// Takes the next place in the order of answers for a request of this class; none if the connection is closing,
    /// and what was read is not taken.
    pub fn reserve_reply(
        &self,
        context: P::ReplyContext,
        class: usize,
    ) -> Option<(u64, ReplySlot<ValueOf<P>>)> {
        if self.connection.peer_left_while_paused() {
            return None;
        }
        let number = self.front.next_number.fetch_add(1, Ordering::Relaxed);
        let unanswered = self.connection.begin_command()?;
        let in_flight = Some(self.front.figures.taken(class));
        if unanswered > MAX_PIPELINED {
            self.dismiss(CloseReason::TooMany);
            return None;
        }
        let mut state = lock(&self.connection.state);
        state.has_requested = true;
        state.replies.push_back(PendingReply {
            number,
            context,
            reply: None,
            in_flight,
        });
        drop(state);
        let (front, connection, own) = (self.front.clone(), self.connection.clone(), self.number);
        let fill = move |reply| {
            let mut state = lock(&connection.state);
            if let Some(pending) = state
                .replies
                .iter_mut()
                .find(|pending| pending.number == number)
            {
                pending.reply = Some(reply);
            }
            front.start_writer(own, &connection, state);
        };
        Some((number, ReplySlot::new(self.connection.clone(), fill)))
    }

    /// Replies without asking the core, in the order of commands; false if the connection is closing.
    pub fn reply_directly(&self, context: P::ReplyContext, words: Reply<ValueOf<P>>) -> bool {
        match self.connection.begin_command() {
            None => false,
            Some(unanswered) if unanswered > MAX_PIPELINED => {
                self.dismiss(CloseReason::TooMany);
                false
            }
            Some(_) => self.put(context, words),
        }
    }

    /// Sends the last reply: what comes after can't be told apart or is not wanted. Whatever was asked before is
    /// answered first, but not for longer than an agent may be kept waiting for these.
    pub fn reply_and_close(&self, context: P::ReplyContext, words: Vec<u8>, fault: &str) {
        if self.connection.begin_command().is_some() {
            self.last(context, words, fault);
        }
    }

    pub(super) fn dismiss(&self, why: CloseReason) {
        let (context, words) = self.front.protocol.closing_reply(why);
        self.last(context, words, why.description());
    }

    fn last(&self, context: P::ReplyContext, text: Vec<u8>, fault: &str) {
        self.log_malformed(fault);
        let mut state = lock(&self.connection.state);
        state.closed = true;
        state.give_up_at = Some(state.opened_at + COMMAND_TIMEOUT);
        drop(state);
        self.put(context, Reply::Direct { text, last: true });
    }

    /// With nothing before them, words are written at once.
    fn put(&self, context: P::ReplyContext, words: Reply<ValueOf<P>>) -> bool {
        let closing = self.front.is_closing();
        let mut state = lock(&self.connection.state);
        match words {
            Reply::Direct { text, last } if !state.writer_running && state.replies.is_empty() => {
                drop(state);
                (&self.connection.stream).write_all(&text).is_ok()
                    && self.connection.end_command(0, closing)
                    && !last
            }
            words => {
                state.replies.push_back(PendingReply {
                    number: 0,
                    context,
                    reply: Some(words),
                    in_flight: None,
                });
                self.front.start_writer(self.number, self.connection, state);
                true
            }
        }
    }

    /// More of a command has come, and it is not whole.
    pub fn note_partial_command(&self) {
        let mut state = lock(&self.connection.state);
        (state.partial_reads, state.last_activity) =
            (state.partial_reads.saturating_add(1), Instant::now());
        state.incomplete_since.get_or_insert_with(Instant::now);
    }

    /// Reads nothing for a while.
    pub fn pause_reading(&self, wait: Duration) {
        thread::sleep(wait);
        lock(&self.connection.state).reading_was_paused = true;
    }

    /// A request of this class is answered as failed by the front itself.
    pub fn count_failed(&self, class: usize) {
        drop(self.front.figures.taken(class));
    }

    /// Passes a request to the core.
    pub fn submit(&self, request: ClientRequest<P>) {
        // Under one lock: told between the two that its agent has left, the core would not know the request.
        let mut state = lock(&self.connection.state);
        state.open_requests.push(request.number);
        let unsent = (self.front.events)(ClientEvent::Request(request));
        // A core that has ended takes no request: it comes back, and as it is dropped it answers itself, which takes the
        // same lock.
        drop(state);
        drop(unsent);
    }

    /// The limiter knows a node list.
    pub fn is_ready(&self) -> bool {
        self.front.is_ready()
    }

    /// Logs what is wrong with an agent's input, but not every time.
    pub fn log_malformed(&self, fault: &str) {
        if let Some(more) = self.front.malformed_log.permit() {
            info!(self.front.log, "malformed command"; "error" => fault, "suppressed" => more);
        }
    }
}
