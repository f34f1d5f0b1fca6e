//! The messages of the core: what reaches it, and what it wants done outside.

use crate::handover::message::Body;
use crate::interface::*;
use crate::membership::parts::Standing;
use crate::quota_lease::link::LinkEvent;
use crate::quota_lease::message::Report;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Names an attempt: the number of its request, and its place among that request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request's number.
    pub request: u64,
    /// Its place, from 0.
    pub attempt: usize,
}

/// How long an attempt may take.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// Its answer is waited for until then.
    pub ends: Instant,
    /// It is written before this or not at all.
    pub by: Instant,
}

/// The one final answer of a request.
#[derive(Debug)]
pub enum Answer<V> {
    /// Served with a ticket node's value.
    Served(V),
    /// Refused: trying again is harmless.
    Refused {
        /// When to come back; nothing advised if zero.
        after: Duration,
        /// Time ran out on an attempt.
        late: bool,
    },
    /// Failed, promising nothing.
    Failed {
        /// Time ran out.
        late: bool,
    },
}

/// What the core wants done outside. No call may block: the core waits for nothing but its queue.
pub trait Edges {
    /// Where the answer of a request goes.
    type Client;
    /// What is passed on to a ticket node.
    type Call;
    /// What a ticket node serves.
    type Value;
    /// Gives a request its final answer.
    fn answer(&mut self, client: Self::Client, answer: Answer<Self::Value>);
    /// Starts an attempt for this client, of which nothing is written once the client has closed its connection.
    fn start(
        &mut self,
        attempt: AttemptId,
        node: &ServerId,
        call: &Arc<Self::Call>,
        wait: Wait,
        client: &Self::Client,
    );
    /// Gives an attempt up; whatever it still brings is dropped. False if not a byte of it was written: it never
    /// ran and never will.
    fn cancel(&mut self, attempt: AttemptId) -> bool;
    /// Keeps an attempt of which not a byte is written from being written at all; false if it is under way.
    fn withdraw(&mut self, attempt: AttemptId) -> bool;
    /// Asks a ticket node for its load.
    fn probe(&mut self, node: &ServerId);
    /// Nothing more is to go to this ticket node, not even what has been started and is not written yet.
    fn bar(&mut self, node: &ServerId);
    /// The other process of an upgrade is to know this, if there is one.
    fn tell(&mut self, news: Body);
    /// So many ticket nodes are listed, and so many of them avoided.
    fn listed(&mut self, known: usize, excluded: usize);
    /// Adds to a count; `call` comes back with the total.
    fn add(&mut self, call: u64, name: u64, by: f64, ttl: Duration);
    /// Sends a report to an allocator of quota leases. Only a core with leases has any.
    fn report(&mut self, _allocator: u32, _report: Report) {}
    /// An agent is connected, from which a request may be on its way here.
    fn agents(&self) -> bool;
}

/// An agent's request as it reaches the core.
pub struct Incoming<E: Edges> {
    /// Its number, never used twice in this process.
    pub number: u64,
    /// Its name where agents give one; no two open requests have the same.
    pub id: Option<RequestId>,
    /// When its last byte came.
    pub arrived: Instant,
    /// How long the agent waits from then on.
    pub budget: Duration,
    /// Index of its class.
    pub class: usize,
    /// Index of its plan.
    pub plan: usize,
    /// The agent account.
    pub account: CustomerId,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Number of limiters that the account's requests come through.
    pub spread: u32,
    /// Number of the first of them.
    pub first: u32,
    /// Where the answer goes.
    pub client: E::Client,
    /// What is passed on.
    pub call: E::Call,
}

/// What reaches the core.
pub enum Input<E: Edges> {
    /// News of the node list.
    Nodes(Scope, Vec<Member>),
    /// A request has come in whole.
    Request(Incoming<E>),
    /// The agent that sent these requests has gone away.
    Left(Vec<u64>),
    /// The first bytes of an attempt's value have come, and are passed on to whoever gets them. The attempt ends later,
    /// without a value.
    Began {
        /// Which.
        attempt: AttemptId,
        /// What comes.
        value: E::Value,
    },
    /// An attempt has ended by itself.
    Ended {
        /// Which.
        attempt: AttemptId,
        /// How.
        outcome: Outcome,
        /// The node's load, if told.
        load: Vec<f64>,
        /// The value, with [`Outcome::Ok`].
        value: Option<E::Value>,
    },
    /// A probe has ended.
    Probed {
        /// The ticket node.
        node: ServerId,
        /// How.
        outcome: Outcome,
        /// Time it took.
        took: Duration,
        /// The node's load.
        load: Vec<f64>,
    },
    /// A call of the quota counter has ended.
    Counted {
        /// The number given to [`Edges::add`].
        call: u64,
        /// How.
        outcome: Outcome,
        /// The total, with [`Outcome::Ok`].
        total: f64,
    },
    /// A connection to an allocator of quota leases has news.
    Allocator(LinkEvent),
    /// What the fleet's view lets this limiter count on.
    Fleet(Standing),
    /// There is a [`Command`](super::Command).
    CommandWaits,
    /// Answer what is open and come to an end, by this moment at the latest.
    Stop(Instant),
}
