//! The requests that have no final answer yet.

use super::messages::{AttemptId, Transport};
use crate::decision::{AccountId, Micros, RequestId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// A request that the engine gives up so shortly before its deadline has timed out; a lack of servers is not
/// the cause. In microseconds.
const DEADLINE_MARGIN: Micros = 50_000;

/// A request without a final answer.
pub(super) struct OpenRequest<T: Transport> {
    /// The id by which the engine knows it.
    pub(super) id: RequestId,
    /// The id that its client gave it, if any.
    pub(super) client_id: Option<RequestId>,
    pub(super) account: AccountId,
    /// Takes the answer; none once a response is being streamed.
    pub(super) client: Option<T::Client>,
    /// The response that is being streamed to the client, if any: no attempt is started any more, and no
    /// timeout cuts it off.
    pub(super) stream: Option<ResponseStream>,
    pub(super) call: Arc<T::Call>,
    pub(super) deadline: Micros,
    /// Number of attempts so far.
    pub(super) attempts: usize,
    /// An attempt timed out.
    pub(super) attempt_timed_out: bool,
    /// An attempt may have run.
    pub(super) may_have_run: bool,
    pub(super) is_idempotent: bool,
}

/// A response that is forwarded as it is received.
#[derive(Clone, Copy)]
pub(super) struct ResponseStream {
    /// The attempt that received it.
    pub(super) attempt: AttemptId,
    /// When its first bytes were received.
    pub(super) started: Micros,
}

impl<T: Transport> OpenRequest<T> {
    /// Whether an answer without a value now is due to a lack of time.
    pub(super) fn is_out_of_time(&self, now: Micros) -> bool {
        self.attempt_timed_out || now + DEADLINE_MARGIN >= self.deadline
    }
}

/// The open requests by number.
pub(super) struct OpenRequests<T: Transport> {
    by_number: HashMap<u64, OpenRequest<T>>,
    client_ids: HashSet<RequestId>,
    max_open: usize,
}

impl<T: Transport> OpenRequests<T> {
    /// No requests; there may be `max_open`.
    pub(super) fn new(max_open: usize) -> Self {
        Self {
            by_number: HashMap::new(),
            client_ids: HashSet::new(),
            max_open,
        }
    }

    /// Number of open requests.
    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Whether no request is open.
    pub(super) fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// Whether no further request may be opened.
    pub(super) fn is_full(&self) -> bool {
        self.len() >= self.max_open
    }

    /// Whether a request is open.
    pub(super) fn contains(&self, number: u64) -> bool {
        self.by_number.contains_key(&number)
    }

    /// An open request.
    pub(super) fn get(&self, number: u64) -> Option<&OpenRequest<T>> {
        self.by_number.get(&number)
    }

    /// An open request, to be changed.
    pub(super) fn get_mut(&mut self, number: u64) -> Option<&mut OpenRequest<T>> {
        self.by_number.get_mut(&number)
    }

    /// Numbers of the open requests, in no order.
    pub(super) fn numbers(&self) -> Vec<u64> {
        self.by_number.keys().copied().collect()
    }

    /// Reserves the id that a client gave to a request; returns false if an open request has the same.
    pub(super) fn reserve_client_id(&mut self, id: Option<&RequestId>) -> bool {
        id.is_none_or(|id| self.client_ids.insert(id.clone()))
    }

    /// Adds a request, whose client id is reserved.
    pub(super) fn insert(&mut self, number: u64, request: OpenRequest<T>) {
        self.by_number.insert(number, request);
    }

    /// Removes a request and the reservation of its client id.
    pub(super) fn remove(&mut self, number: u64) -> Option<OpenRequest<T>> {
        let request = self.by_number.remove(&number)?;
        if let Some(id) = &request.client_id {
            self.client_ids.remove(id);
        }
        Some(request)
    }
}

/// The id by which the engine knows a request.
pub(super) fn request_id(number: u64) -> RequestId {
    RequestId::from(format!("{number:x}").as_str())
}

/// The number of a request in an id of [`request_id`].
pub(super) fn request_number(id: &RequestId) -> u64 {
    u64::from_str_radix(&id.0, 16).unwrap_or(u64::MAX)
}
