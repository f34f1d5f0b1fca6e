//! What a decision engine wants its host to do.

use super::identifiers::{AccountId, Micros, RequestId, ServerId};

/// What a decision engine wants its host to do.
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
        /// Point of time from which on nothing of the attempt may be written: the idempotency window ends then.
        write_before: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: rejected, and harmless to retry.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client should retry; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed. The request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Set a timer.
    SetTimer {
        /// Time until it expires.
        delay: Micros,
        /// Comes back with [`Event::TimerExpired`](super::Event::TimerExpired).
        token: u64,
    },
    /// Check the health of a server.
    CheckHealth {
        /// The server.
        server: ServerId,
    },
    /// Send a message to one limiter or to all.
    SendToPeer {
        /// Number of the limiter; all of them if none.
        to: Option<u32>,
        /// The message.
        body: Vec<u8>,
    },
    /// Add to a counter and read its total.
    AddToCounter {
        /// Key of the counter.
        key: u64,
        /// The amount; 0 to read only.
        amount: f64,
        /// How long a new counter is kept.
        ttl: Micros,
    },
    /// Watch the endpoint list from now on.
    WatchEndpoints,
    /// Lease the units of a request. [`Event::LeaseReply`](super::Event::LeaseReply) follows. The host returns the units of a
    /// request that ends without being sent.
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
