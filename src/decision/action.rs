//! Actions that the decision engine requests from its host.

use super::identifiers::{AccountId, Micros, RequestId, ServerId};

/// An action that the decision engine requests from its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Timeout of the attempt.
        timeout: Micros,
        /// Time by which the attempt must be written, as the idempotency window ends then.
        write_before: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Give the final answer that the request was rejected and is safe to retry.
    Reject {
        /// The request.
        id: RequestId,
        /// Time after which the client should retry; 0 if unspecified.
        retry_after: Micros,
    },
    /// Give the final answer that the request failed. It may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Set a timer.
    SetTimer {
        /// Time until it expires.
        delay: Micros,
        /// Token returned in [`Event::TimerExpired`](super::Event::TimerExpired).
        token: u64,
    },
    /// Check the health of a server.
    CheckHealth {
        /// The server.
        server: ServerId,
    },
    /// Send a message to one limiter or to all of them.
    SendToPeer {
        /// Number of the limiter; `None` for all limiters.
        to: Option<u32>,
        /// The message.
        body: Vec<u8>,
    },
    /// Add to a counter and read its total.
    AddToCounter {
        /// Key of the counter.
        key: u64,
        /// Amount to add; 0 only reads the total.
        amount: f64,
        /// Time for which a new counter is kept.
        ttl: Micros,
    },
    /// Start to watch the endpoint list.
    WatchEndpoints,
    /// Lease the units of a request. The host replies with
    /// [`Event::LeaseReply`](super::Event::LeaseReply), and returns the units of a request that
    /// ends without having been sent.
    RequestLease {
        /// The request.
        id: RequestId,
        /// The account that it is charged to.
        account: AccountId,
        /// Index into [`Settings::plans`](super::Settings::plans).
        plan: usize,
        /// Number of limiters that receive the account's requests.
        limiter_count: u32,
        /// Units that the request takes from the quota.
        units: f64,
    },
}
