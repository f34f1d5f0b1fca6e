//! The requests that have no final answer yet.

use super::messages::{AttemptId, Transport};
use crate::decision::{AccountId, Micros, RequestId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// If the engine gives up a request within this time before its deadline, the cause is taken to be
/// the lack of time rather than a lack of servers, and the request has timed out. In microseconds.
const DEADLINE_MARGIN: Micros = 50_000;

/// A request without a final answer.
pub(super) struct OpenRequest<T: Transport> {
    /// Id of the request in the engine.
    pub(super) id: RequestId,
    /// Id that the client gave to the request, if any.
    pub(super) client_id: Option<RequestId>,
    /// Account that the request is charged to.
    pub(super) account: AccountId,
    /// Receives the answer; `None` once a response is being streamed.
    pub(super) client: Option<T::Client>,
    /// The response that is being streamed to the client, if any. While it is, no further attempts
    /// are started, and no timeout ends the response.
    pub(super) stream: Option<ResponseStream>,
    pub(super) call: Arc<T::Call>,
    pub(super) deadline: Micros,
    /// Number of attempts that the engine has requested so far.
    pub(super) attempts: usize,
    /// Whether an attempt timed out.
    pub(super) attempt_timed_out: bool,
    /// Whether an attempt may have run.
    pub(super) may_have_run: bool,
    pub(super) is_idempotent: bool,
    /// For how long its id must not be forwarded again once it may have run.
    pub(super) repeat_window: Option<Micros>,
}

/// A response that is forwarded as it is received.
#[derive(Clone, Copy)]
pub(super) struct ResponseStream {
    /// Attempt whose response this is.
    pub(super) attempt: AttemptId,
    /// When the first bytes were received.
    pub(super) started: Micros,
}

impl<T: Transport> OpenRequest<T> {
    /// Whether the cause is a lack of time if the request is answered without a value now.
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
    /// Creates an empty set of at most `max_open` requests.
    pub(super) fn new(max_open: usize) -> Self {
        Self {
            by_number: HashMap::new(),
            client_ids: HashSet::new(),
            max_open,
        }
    }

    /// Returns the number of open requests.
    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Whether no request is open.
    pub(super) fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// Whether the maximum number of requests is open.
    pub(super) fn is_full(&self) -> bool {
        self.len() >= self.max_open
    }

    /// Whether the request with this number is open.
    pub(super) fn contains(&self, number: u64) -> bool {
        self.by_number.contains_key(&number)
    }

    /// Returns the open request with this number.
    pub(super) fn get(&self, number: u64) -> Option<&OpenRequest<T>> {
        self.by_number.get(&number)
    }

    /// Returns a mutable reference to the open request with this number.
    pub(super) fn get_mut(&mut self, number: u64) -> Option<&mut OpenRequest<T>> {
        self.by_number.get_mut(&number)
    }

    /// Returns the numbers of the open requests, in no particular order.
    pub(super) fn numbers(&self) -> Vec<u64> {
        self.by_number.keys().copied().collect()
    }

    /// Reserves the id that a client gave to a request, if any. Returns false if an open request
    /// has the same id.
    pub(super) fn reserve_client_id(&mut self, id: Option<&RequestId>) -> bool {
        id.is_none_or(|id| self.client_ids.insert(id.clone()))
    }

    /// Adds a request. Its client id must have been reserved.
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

/// Returns the id of a request in the engine.
pub(super) fn request_id(number: u64) -> RequestId {
    RequestId::from(format!("{number:x}").as_str())
}

/// Returns the number of the request with an id created by [`request_id`], or `u64::MAX` for any
/// other id.
pub(super) fn request_number(id: &RequestId) -> u64 {
    u64::from_str_radix(&id.0, 16).unwrap_or(u64::MAX)
}
