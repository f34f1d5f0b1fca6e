//! Messages of the core: the inputs of its queue, and its requests to the transport.

use super::queue_permits::QueuePermit;
use crate::decision::{
    AccountId, Endpoint, Outcome, QuotaShares, RequestId, ServerId, UpdateScope,
};
use crate::handover::message::HandoverMessage;
use crate::quota_lease::link::AllocatorEvent;
use crate::quota_lease::message::Report;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Identifies an attempt by its request and its position among the attempts of that request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Number of the request.
    pub request: u64,
    /// Index of the attempt among those of its request, from 0.
    pub attempt: usize,
}

/// Time limits of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDeadlines {
    /// The attempt times out if it has not ended by this time.
    pub answer: Instant,
    /// Nothing of the attempt is written from this time on.
    pub write: Instant,
}

/// The final answer of a request.
#[derive(Debug)]
pub enum Answer<V> {
    /// Served with the value of an upstream server.
    Served(V),
    /// Rejected; a retry is harmless.
    Rejected {
        /// Time after which the client should retry; zero if none is suggested.
        retry_after: Duration,
        /// Whether the cause is a lack of time, for example because an attempt timed out.
        timed_out: bool,
    },
    /// Failed. The request may have run.
    Failed {
        /// Whether an attempt, or the request itself, timed out.
        timed_out: bool,
    },
}

/// Connects the core to clients, upstream servers, the counter and allocators. No method may block,
/// as the core must only ever wait for its queue.
pub trait Transport {
    /// Receives the final answer of a request.
    type Client;
    /// A request in the form in which it is sent to an upstream server.
    type Call;
    /// The content of a successful response of an upstream server.
    type Value;
    /// Sends the final answer of a request to its client.
    fn answer(&mut self, client: Self::Client, answer: Answer<Self::Value>);
    /// Starts an attempt for this client. Nothing of the attempt is written once the client has
    /// closed its connection.
    fn start_attempt(
        &mut self,
        attempt: AttemptId,
        server: &ServerId,
        call: &Arc<Self::Call>,
        deadlines: AttemptDeadlines,
        client: &Self::Client,
    );
    /// Cancels an attempt; the rest of its response is dropped. Returns false if nothing of the
    /// attempt was written: it did not run and will not run.
    fn cancel(&mut self, attempt: AttemptId) -> bool;
    /// Cancels an attempt if nothing of it is written yet; otherwise returns false and leaves the
    /// attempt unchanged.
    fn withdraw(&mut self, attempt: AttemptId) -> bool;
    /// Checks the health of an upstream server and requests a load report.
    fn check_health(&mut self, server: &ServerId);
    /// Stops sending attempts to an upstream server, including attempts that were started and are
    /// not written yet.
    fn block_server(&mut self, server: &ServerId);
    /// Sends a message to the other process of an upgrade, if there is one.
    fn notify_peer_process(&mut self, message: HandoverMessage);
    /// Reports how many upstream servers are listed, and how many of them get no new requests.
    fn report_endpoints(&mut self, known: usize, excluded: usize);
    /// Adds an amount to a counter. The total follows in [`Input::CounterReply`] with the number of
    /// this call.
    fn add_to_counter(&mut self, call: u64, key: u64, amount: f64, ttl: Duration);
    /// Sends a report to an allocator of quota leases. Called only if the core has a holder of
    /// leases.
    fn send_lease_report(&mut self, _allocator: u32, _report: Report) {}
    /// Whether any client is connected, so that another request may still arrive.
    fn has_clients(&self) -> bool;
}

/// A request of a client, as passed to the core.
pub struct IncomingRequest<Client, Call> {
    /// Number of the request, unique in this process.
    pub number: u64,
    /// Permit for the core's queue, which is returned when the core takes the request up.
    pub permit: Option<QueuePermit>,
    /// Id that the client gave to the request, if any. Two open requests can't have the same id.
    pub id: Option<RequestId>,
    /// When the last byte of the request was received.
    pub arrived: Instant,
    /// Time for which the client waits, counted from `arrived`.
    pub timeout: Duration,
    /// Index of the request class.
    pub class: usize,
    /// Index of the account's plan.
    pub plan: usize,
    /// Account that the request is charged to.
    pub account: AccountId,
    /// Units that the request takes from the quota.
    pub units: f64,
    /// Number of limiters that receive the account's requests.
    pub limiter_count: u32,
    /// Number of the first of these limiters.
    pub first_limiter: u32,
    /// Receives the final answer.
    pub client: Client,
    /// The request in the form in which it is sent to an upstream server.
    pub call: Call,
}

/// An input in the core's queue.
pub enum Input<T: Transport> {
    /// An update of the endpoint list.
    EndpointUpdate(UpdateScope, Vec<Endpoint>),
    /// A request was completely received.
    Request(IncomingRequest<T::Client, T::Call>),
    /// The client of these requests has disconnected.
    ClientDisconnected(Vec<u64>),
    /// The first bytes of an attempt's value were received; the value is forwarded as it is
    /// received. The attempt ends later, without a value.
    ResponseStarted {
        /// The attempt.
        attempt: AttemptId,
        /// The value, of which more may still be received.
        value: T::Value,
    },
    /// An attempt has ended without being cancelled.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Load report of the server; empty if none was received.
        load: Vec<f64>,
        /// The value, if the outcome is [`Outcome::Ok`].
        value: Option<T::Value>,
    },
    /// A health check has ended.
    HealthChecked {
        /// The upstream server.
        server: ServerId,
        /// Outcome of the check.
        outcome: Outcome,
        /// Duration of the check.
        latency: Duration,
        /// Load report of the server.
        load: Vec<f64>,
    },
    /// A call to the counter has ended.
    CounterReply {
        /// The number given to [`Transport::add_to_counter`].
        call: u64,
        /// Outcome of the call.
        outcome: Outcome,
        /// Total of the counter, if the outcome is [`Outcome::Ok`].
        total: f64,
    },
    /// An event of a connection to an allocator of quota leases.
    Allocator(AllocatorEvent),
    /// The division of the quotas among the limiters has changed.
    QuotaShares(QuotaShares),
    /// A [`Command`](super::Command) was queued in the separate channel; this input wakes the core.
    CommandQueued,
    /// The core is to answer all open requests and end by this time at the latest.
    Shutdown(Instant),
}
