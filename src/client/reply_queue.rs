//! The pending replies of a connection, in the order of its commands.
//!
//! A client may send hundreds of commands behind one whose answer takes seconds. Each entry is
//! therefore small, the queue's memory is charged to the budget, and an empty queue holds none.

use super::protocol::{ClientProtocol, DirectReply, ValueOf};
use super::request_memory::RequestCharge;
use crate::core::Answer;
use crate::memory::{MemoryBudget, MemoryCharge, MemoryHolder};
use crate::metrics::InFlightRequest;
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of replies that an empty queue keeps room for.
const KEPT_CAPACITY: usize = 8;

/// A command whose reply has not been written yet.
pub(super) struct PendingReply<P: ClientProtocol> {
    /// What the protocol needs in order to write the reply.
    pub(super) context: P::ReplyContext,
    /// Counts the request in the metrics when it ends; none for a direct reply.
    pub(super) in_flight: Option<InFlightRequest>,
    /// What is written.
    pub(super) content: ReplyContent<P>,
}

/// What a pending reply consists of.
pub(super) enum ReplyContent<P: ClientProtocol> {
    /// The reply to a request that was submitted to the core.
    Request(Box<RequestReply<P>>),
    /// The rejection of a request that was never submitted to the core.
    Rejection,
    /// A reply that the front sends without the core.
    Direct(DirectReply),
}

/// The reply to a request that was submitted to the core.
pub(super) struct RequestReply<P: ClientProtocol> {
    /// Number of the request.
    pub(super) number: u64,
    /// The answer; none until it is available.
    pub(super) answer: Option<Answer<ValueOf<P>>>,
    /// Charge for the memory of the request and its answer. None until the answer is available.
    pub(super) memory: Option<RequestCharge>,
}

impl<P: ClientProtocol> PendingReply<P> {
    fn is_ready(&self) -> bool {
        match &self.content {
            ReplyContent::Request(request) => request.answer.is_some(),
            ReplyContent::Rejection | ReplyContent::Direct(_) => true,
        }
    }
}

/// The pending replies of a connection.
pub(super) struct ReplyQueue<P: ClientProtocol> {
    replies: VecDeque<PendingReply<P>>,
    /// Charge for the room of `replies`.
    charge: MemoryCharge,
}

impl<P: ClientProtocol> ReplyQueue<P> {
    /// Returns an empty queue whose memory is charged to `memory`.
    pub(super) fn new(memory: &Arc<MemoryBudget>) -> Self {
        Self {
            replies: VecDeque::new(),
            charge: memory.charge(MemoryHolder::Reply, 0),
        }
    }

    /// Whether no reply is pending.
    pub(super) fn is_empty(&self) -> bool {
        self.replies.is_empty()
    }

    /// Whether the next reply can be written.
    pub(super) fn is_next_ready(&self) -> bool {
        self.replies.front().is_some_and(PendingReply::is_ready)
    }

    /// Adds a reply behind the others.
    pub(super) fn push(&mut self, reply: PendingReply<P>) {
        self.replies.push_back(reply);
        self.update_charge();
    }

    /// Takes the next reply if it can be written.
    pub(super) fn pop_ready(&mut self) -> Option<PendingReply<P>> {
        if !self.is_next_ready() {
            return None;
        }
        let next = self.replies.pop_front();
        self.release_if_empty();
        next
    }

    /// Returns the pending reply to the request with this number.
    pub(super) fn find(&mut self, number: u64) -> Option<&mut RequestReply<P>> {
        self.replies
            .iter_mut()
            .find_map(|pending| match &mut pending.content {
                ReplyContent::Request(request) if request.number == number => {
                    Some(request.as_mut())
                }
                _ => None,
            })
    }

    /// Drops all replies.
    pub(super) fn clear(&mut self) {
        self.replies.clear();
        self.release_if_empty();
    }

    fn release_if_empty(&mut self) {
        if self.replies.is_empty() && self.replies.capacity() > KEPT_CAPACITY {
            self.replies = VecDeque::new();
            self.update_charge();
        }
    }

    fn update_charge(&mut self) {
        let bytes = self.replies.capacity() * size_of::<PendingReply<P>>();
        self.charge.set_bytes(bytes);
    }
}
