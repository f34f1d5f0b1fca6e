//! Processes the commands of one connection: reserves replies, submits requests and sends direct
//! replies.

use super::connection::ClientConnection;
use super::event::{ClientEvent, ClientRequest};
use super::protocol::{ClientProtocol, CloseReason, DirectReply, ReplySlot, ValueOf};
use super::reply_queue::{PendingReply, ReplyContent, RequestReply};
use super::request_memory::RequestCharge;
use super::watchdog::COMMAND_TIMEOUT;
use super::ClientListener;
use crate::core::{Answer, QueuePermit};
use crate::memory::MemoryBudget;
use crate::metrics::InFlightRequest;
use crate::retrying_stream::RetryingStream;
use crate::threads::lock;
use slog::{info, warn};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of requests of one connection that the core has and whose reply has not been
/// written. Further ones are rejected.
const MAX_OPEN_REQUESTS: usize = 64;
/// Maximum number of commands of one connection whose reply has not been written; the next one is
/// read once a reply was written. Clients may send many commands at once, but not hundreds.
const MAX_UNANSWERED_COMMANDS: usize = 199;
/// If no reply is written for this long while [`MAX_UNANSWERED_COMMANDS`] are unanswered, the
/// connection is closed.
const REPLY_PROGRESS_TIMEOUT: Duration = COMMAND_TIMEOUT;

/// Result of the reservation of a reply for a request.
pub enum ReplyReservation<V> {
    /// The request is to be submitted with this number and slot.
    Reserved {
        /// Number of the request, unique in this process.
        number: u64,
        /// Slot for its reply.
        slot: ReplySlot<V>,
        /// Permit for the core's queue, if the client sends many requests at once.
        permit: Option<QueuePermit>,
    },
    /// The request was rejected, as the limiter has no memory for it or too many requests are open on
    /// its connection. The next one may be read.
    Rejected,
    /// The connection is closing, and the command is to be ignored.
    Closing,
}

/// Receives the commands that a [`ClientProtocol`] reads from one connection.
pub struct Session<'a, P: ClientProtocol> {
    pub(super) front: &'a Arc<ClientListener<P>>,
    pub(super) connection: &'a Arc<ClientConnection<P>>,
    pub(super) number: u64,
}

impl<P: ClientProtocol> Session<'_, P> {
    /// Reserves the next reply for a request of this class, which holds `bytes` until it is
    /// answered.
    pub fn reserve_reply(
        &self,
        context: P::ReplyContext,
        class: usize,
        bytes: usize,
    ) -> ReplyReservation<ValueOf<P>> {
        if !self.accept_request() {
            return ReplyReservation::Closing;
        }
        let permit = self.queue_permit();
        let in_flight = self.front.metrics.begin_request(class);
        if lock(&self.connection.state).open_requests.len() >= MAX_OPEN_REQUESTS {
            self.log_too_many_open();
            return self.reject(context, Some(in_flight));
        }
        let requests = &self.front.request_memory;
        match requests.charge(&self.connection.memory, bytes) {
            Some(memory) => {
                let (number, slot) = self.reserve(context, in_flight, memory);
                ReplyReservation::Reserved {
                    number,
                    slot,
                    permit,
                }
            }
            None => {
                self.log_no_memory();
                self.reject(context, Some(in_flight))
            }
        }
    }

    /// Rejects a request that was not kept, as there is no memory for it. `class` is none if the
    /// request names no configured class.
    pub fn reject_for_memory(
        &self,
        context: P::ReplyContext,
        class: Option<usize>,
    ) -> ReplyReservation<ValueOf<P>> {
        if !self.accept_request() {
            return ReplyReservation::Closing;
        }
        let _permit = self.queue_permit();
        self.log_no_memory();
        let in_flight = class.map(|class| self.front.metrics.begin_request(class));
        self.reject(context, in_flight)
    }

    /// Returns the budget to which bytes that are not a whole request yet are charged.
    pub fn memory(&self) -> &Arc<MemoryBudget> {
        &self.front.memory
    }

    /// Waits for a permit if the client sends many requests at once. None if it does not.
    fn queue_permit(&self) -> Option<QueuePermit> {
        if !lock(&self.connection.state).sends_many() {
            return None;
        }
        let permits = &self.front.queue_permits;
        Some(permits.try_acquire().unwrap_or_else(|| {
            lock(&self.connection.state).note_pause();
            permits.acquire()
        }))
    }

    /// Counts a request that was read. Returns false if it is to be ignored, because the connection
    /// is closing or the client has disconnected.
    fn accept_request(&self) -> bool {
        self.wait_for_room()
            && !self.connection.disconnected_while_paused()
            && self.connection.begin_command()
    }

    /// Waits until few enough commands are unanswered for a further one. Returns false if that takes
    /// too long and the connection is closed.
    fn wait_for_room(&self) -> bool {
        let has_room = self
            .connection
            .wait_for_replies(MAX_UNANSWERED_COMMANDS, REPLY_PROGRESS_TIMEOUT);
        if !has_room && self.connection.begin_command() {
            self.close_with_reason(CloseReason::TooMany);
        }
        has_room
    }

    fn reserve(
        &self,
        context: P::ReplyContext,
        in_flight: InFlightRequest,
        memory: RequestCharge,
    ) -> (u64, ReplySlot<ValueOf<P>>) {
        let number = self.front.next_number.fetch_add(1, Ordering::Relaxed);
        let mut state = lock(&self.connection.state);
        state.has_requested = true;
        state.excess_rejections = state.excess_rejections.saturating_sub(1);
        state.replies.push(PendingReply {
            context,
            in_flight: Some(in_flight),
            content: ReplyContent::Request(Box::new(RequestReply {
                number,
                answer: None,
                memory: None,
            })),
        });
        drop(state);
        (number, self.reply_slot(number, memory))
    }

    /// Rejects a request without the core, whose queue would hold it meanwhile.
    fn reject(
        &self,
        context: P::ReplyContext,
        in_flight: Option<InFlightRequest>,
    ) -> ReplyReservation<ValueOf<P>> {
        let mut state = lock(&self.connection.state);
        state.has_requested = true;
        state.replies.push(PendingReply {
            context,
            in_flight,
            content: ReplyContent::Rejection,
        });
        state.excess_rejections = state.excess_rejections.saturating_add(1);
        self.front.start_writer(self.number, self.connection, state);
        ReplyReservation::Rejected
    }

    /// Returns the slot for the pending reply to this request. The charge is held by the slot, and
    /// then by the reply until it is written.
    fn reply_slot(&self, request: u64, mut memory: RequestCharge) -> ReplySlot<ValueOf<P>> {
        let front = self.front.clone();
        let connection = self.connection.clone();
        let connection_number = self.number;
        let fill = move |answer| {
            if let Answer::Served(value) = &answer {
                memory.cover_reply(P::held_bytes(value));
            }
            let mut state = lock(&connection.state);
            if let Some(pending) = state.replies.find(request) {
                pending.answer = Some(answer);
                pending.memory = Some(memory);
            }
            front.start_writer(connection_number, &connection, state);
        };
        ReplySlot::new(self.connection.clone(), fill)
    }

    /// Sends a reply without the core, in the order of the commands. Returns false if the
    /// connection is closing.
    pub fn reply_directly(&self, context: P::ReplyContext, reply: DirectReply) -> bool {
        self.wait_for_room()
            && self.connection.begin_command()
            && self.write_or_queue(context, reply)
    }

    /// Sends a last reply and closes the connection; `error` is logged. Earlier commands are
    /// answered first; those without an answer at the command timeout are abandoned.
    pub fn reply_and_close(&self, context: P::ReplyContext, text: Vec<u8>, error: &str) {
        if self.connection.begin_command() {
            self.send_last_reply(context, text, error);
        }
    }

    /// Closes the connection after the reply that the protocol has for this reason.
    pub(super) fn close_with_reason(&self, reason: CloseReason) {
        let (context, text) = self.front.protocol.closing_reply(reason);
        self.send_last_reply(context, text, reason.description());
    }

    fn send_last_reply(&self, context: P::ReplyContext, text: Vec<u8>, error: &str) {
        self.log_malformed(error);
        let mut state = lock(&self.connection.state);
        state.closed = true;
        state.abandon_at = Some(state.opened_at + COMMAND_TIMEOUT);
        drop(state);
        self.write_or_queue(context, DirectReply::last(text));
    }

    /// Writes a direct reply at once if no other is pending, else queues it. Returns false if the
    /// connection is closing.
    fn write_or_queue(&self, context: P::ReplyContext, reply: DirectReply) -> bool {
        let closing = self.front.is_closing();
        let mut state = lock(&self.connection.state);
        if !state.writer_running && state.replies.is_empty() {
            drop(state);
            return RetryingStream(&self.connection.stream)
                .write_all(&reply.text)
                .is_ok()
                && self.connection.end_command(None, closing)
                && !reply.last;
        }
        state.replies.push(PendingReply {
            context,
            in_flight: None,
            content: ReplyContent::Direct(reply),
        });
        self.front.start_writer(self.number, self.connection, state);
        true
    }

    /// Records that a read did not complete a command.
    pub fn note_partial_command(&self) {
        let mut state = lock(&self.connection.state);
        state.partial_reads = state.partial_reads.saturating_add(1);
        state.last_activity = Instant::now();
        state.incomplete_since.get_or_insert_with(Instant::now);
    }

    /// Pauses reading from the connection for this long.
    pub fn pause_reading(&self, wait: Duration) {
        lock(&self.connection.state).note_pause();
        thread::sleep(wait);
    }

    /// Counts as failed a request of this class that was never submitted.
    pub fn count_failed(&self, class: usize) {
        drop(self.front.metrics.begin_request(class));
    }

    /// Passes a request to the core.
    pub fn submit(&self, request: ClientRequest<P>) {
        // Both steps are under one lock. A disconnect reported between them would name a request
        // that the core doesn't know.
        let mut state = lock(&self.connection.state);
        state.open_requests.push(request.number);
        let undelivered = (self.front.events)(ClientEvent::Request(request));
        // Dropping an undelivered request sends its reply, which takes the same lock.
        drop(state);
        drop(undelivered);
    }

    /// Whether the limiter has an endpoint list.
    pub fn is_ready(&self) -> bool {
        self.front.is_ready()
    }

    fn log_no_memory(&self) {
        if let Some(suppressed) = self.front.memory_throttle.permit() {
            warn!(self.front.log, "no memory for a request";
                "charged_kib" => self.front.memory.charged() / 1024, "suppressed" => suppressed);
        }
    }

    fn log_too_many_open(&self) {
        if let Some(suppressed) = self.front.open_requests_throttle.permit() {
            info!(self.front.log, "too many open requests on a connection"; "suppressed" => suppressed);
        }
    }

    /// Returns when reading first paused or waited since the last call of [`Self::take_pause`], if it
    /// did.
    pub fn paused_at(&self) -> Option<Instant> {
        lock(&self.connection.state).paused_at
    }

    /// Returns when reading first paused or waited since the last call, if it did. Commands that are
    /// read next may have been received since then.
    pub fn take_pause(&self) -> Option<Instant> {
        lock(&self.connection.state).paused_at.take()
    }

    /// Logs at a limited rate what is wrong with a client's command.
    pub fn log_malformed(&self, error: &str) {
        if let Some(suppressed) = self.front.malformed_throttle.permit() {
            info!(self.front.log, "malformed command"; "error" => error, "suppressed" => suppressed);
        }
    }
}
