//! The messages of the core: inputs of its queue, and requests to its transport.

use crate::decision::{
    AccountId, Endpoint, Outcome, QuotaShares, RequestId, ServerId, UpdateScope,
};
use crate::handover::message::HandoverMessage;
use crate::quota_lease::link::AllocatorEvent;
use crate::quota_lease::message::Report;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Identifies an attempt: the number of its request, and its place among that request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Number of the request.
    pub request: u64,
    /// Number of the attempt, from 0.
    pub attempt: usize,
}

/// Time limits of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// The answer is waited for up to this time.
    pub answer: Instant,
    /// Nothing of the attempt is written from this time on.
    pub write: Instant,
}

/// The final answer of a request.
#[derive(Debug)]
pub enum Answer<V> {
    /// Served with the value of an upstream server.
    Served(V),
    /// Rejected, and harmless to retry.
    Rejected {
        /// When the client should retry; no advice if zero.
        retry_after: Duration,
        /// An attempt timed out.
        timed_out: bool,
    },
    /// Failed. The request may have run.
    Failed {
        /// An attempt, or the request itself, timed out.
        timed_out: bool,
    },
}

/// Carries out what the core asks for. No call may block: the core waits for its queue alone.
pub trait Transport {
    /// Takes the final answer of a request.
    type Client;
    /// A request as it is sent to an upstream server.
    type Call;
    /// What an upstream server serves.
    type Value;
    /// Gives a request its final answer.
    fn answer(&mut self, client: Self::Client, answer: Answer<Self::Value>);
    /// Starts an attempt for this client. Nothing of it is written once the client has closed its
    /// connection.
    fn start_attempt(
        &mut self,
        attempt: AttemptId,
        server: &ServerId,
        call: &Arc<Self::Call>,
        deadlines: AttemptDeadlines,
        client: &Self::Client,
    );
    /// Cancels an attempt; whatever is still received of it is dropped. Returns false if nothing of it
    /// was written: it never ran and never will.
    fn cancel(&mut self, attempt: AttemptId) -> bool;
    /// Cancels an attempt of which nothing is written yet; returns false if something is.
    fn withdraw(&mut self, attempt: AttemptId) -> bool;
    /// Checks the health of an upstream server and asks for its load.
    fn check_health(&mut self, server: &ServerId);
    /// Sends nothing more to an upstream server, not even attempts that were started and are not
    /// written yet.
    fn block_server(&mut self, server: &ServerId);
    /// Sends a message to the other process of an upgrade, if there is one.
    fn notify_peer_process(&mut self, message: HandoverMessage);
    /// Reports how many upstream servers are listed, and how many of them get no requests.
    fn report_endpoints(&mut self, known: usize, excluded: usize);
    /// Adds to a counter. [`Input::CounterReply`] with this call's number has the total.
    fn add_to_counter(&mut self, call: u64, key: u64, amount: f64, ttl: Duration);
    /// Sends a report to an allocator of quota leases. Only a core with leases has any.
    fn send_lease_report(&mut self, _allocator: u32, _report: Report) {}
    /// Whether a client is connected, from which a request may be on its way.
    fn has_clients(&self) -> bool;
}

/// A client's request as it reaches the core.
pub struct IncomingRequest<Client, Call> {
    /// Its number, unique in this process.
    pub number: u64,
    /// Its id, where clients give one; no two open requests may have the same.
    pub id: Option<RequestId>,
    /// When its last byte was received.
    pub arrived: Instant,
    /// Time that the client waits from then on.
    pub timeout: Duration,
    /// Index of its class.
    pub class: usize,
    /// Index of its plan.
    pub plan: usize,
    /// The account that it is charged to.
    pub account: AccountId,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Number of limiters that receive the account's requests.
    pub limiter_count: u32,
    /// Number of the first of these limiters.
    pub first_limiter: u32,
    /// Takes the final answer.
    pub client: Client,
    /// What is sent to an upstream server.
    pub call: Call,
}

/// What the core's queue carries.
pub enum Input<T: Transport> {
    /// An update of the endpoint list.
    EndpointUpdate(UpdateScope, Vec<Endpoint>),
    /// A request was received whole.
    Request(IncomingRequest<T::Client, T::Call>),
    /// The client of these requests has disconnected.
    ClientDisconnected(Vec<u64>),
    /// The first bytes of an attempt's value were received, and are forwarded as they come. The
    /// attempt ends later, without a value.
    ResponseStarted {
        /// The attempt.
        attempt: AttemptId,
        /// Its value.
        value: T::Value,
    },
    /// An attempt has ended by itself.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Load report of the server, if there was one.
        load: Vec<f64>,
        /// The value, with [`Outcome::Ok`].
        value: Option<T::Value>,
    },
    /// A health check has ended.
    HealthChecked {
        /// The upstream server.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// Time that it took.
        latency: Duration,
        /// Load report of the server.
        load: Vec<f64>,
    },
    /// A call of the counter has ended.
    CounterReply {
        /// The number given to [`Transport::add_to_counter`].
        call: u64,
        /// How it ended.
        outcome: Outcome,
        /// The total, with [`Outcome::Ok`].
        total: f64,
    },
    /// A connection to an allocator of quota leases has an event.
    Allocator(AllocatorEvent),
    /// The shares of what all limiters have together have changed.
    QuotaShares(QuotaShares),
    /// A [`Command`](super::Command) is queued.
    CommandQueued,
    /// Answer all open requests and end, by this time at the latest.
    Shutdown(Instant),
}
