//! The types through which a host and a [`crate::Gateway`] speak: settings and events in, actions out.
//!
//! Nothing here decides anything, and nothing here knows how events travel.

use crate::membership::parts::Standing;
use std::sync::Arc;

/// A span or a point of time in microseconds.
pub type Micros = u64;

macro_rules! word {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub Arc<str>);

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    };
}
word!(
    /// Names one try of a client.
    RequestId
);
word!(
    /// Names a back-end server; stays the same over restarts of its process.
    ServerId
);
word!(
    /// Names a customer.
    CustomerId
);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Repeats do no harm.
    #[default]
    Safe,
    /// Servers of one group drop repeats for a while.
    Keyed(Group),
    /// Must not run twice.
    Unsafe,
}

/// The servers that share which keys they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer within this time earns its full worth.
    pub aim: Micros,
    /// The longest a client waits over all of its tries.
    pub deadline: Micros,
    /// May it run again?
    pub effect: Effect,
    /// For keyed classes: how long repeats are dropped, from the send of the first attempt that may have run.
    pub window: Micros,
    /// Worth of one request.
    pub worth: f64,
    /// Part of the worth that an answer after the aim still earns.
    pub late_worth: f64,
}

/// A plan: quotas per customer over all gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units a second; 0 for a plan without a rate.
    pub rate: f64,
    /// Units that the store holds at most.
    pub burst: f64,
    /// Attempts out at once; 0 for a plan without such a cap.
    pub open: u32,
    /// Multiplier on worth.
    pub price: f64,
    /// Part of the worth earned beyond the quota.
    pub over_worth: f64,
    /// Part of the worth charged beyond the quota.
    pub over_cost: f64,
    /// Rate of the hard ceiling; 0 for none.
    pub ceiling_rate: f64,
    /// Store of the hard ceiling.
    pub ceiling_burst: f64,
    /// Units by which that store may fall below nought.
    pub ceiling_slack: f64,
}

impl Plan {
    /// Does it cap attempts out alone, with no quota of units? What an attempt takes is a place then.
    pub fn places(&self) -> bool {
        self.rate <= 0.0 && self.open > 0
    }
}

/// What the site allows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// May attempts be cancelled?
    pub cancel: bool,
    /// May servers be probed?
    pub probes: bool,
    /// May gateways send each other messages?
    pub peers: bool,
    /// May one request have two attempts out at once?
    pub second_copies: bool,
    /// Longest advice to come back later that clients follow; 0 where advice does not reach them.
    pub max_retry_after: Micros,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Safety {
    /// Time after which nothing new may go to a server told to be draining or gone.
    pub drain_grace: Micros,
    /// A server starts with this part of its capacity at least.
    pub cold_share: f64,
    /// And is warm after this time at most.
    pub warm_within: Micros,
    /// Multiple of its present capacity that topples a cold server.
    pub fall_multiple: f64,
    /// When it is sent for so long.
    pub fall: Micros,
}

/// What costs points.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// For each attempt that crosses zones.
    pub cross_zone: f64,
    /// For work that served no answer.
    pub waste: f64,
    /// For each probe.
    pub probe: f64,
    /// For each call of the counter.
    pub count: f64,
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests held.
    InFlight,
    /// Requests waiting.
    Queue,
    /// Part of the cores in use.
    Util,
    /// One that this library does not use.
    Other,
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// This gateway's number.
    pub me: u32,
    /// Gateways in all.
    pub gateways: u32,
    /// This gateway's zone.
    pub zone: String,
    /// Shortest time between two batches of events.
    pub tick: Micros,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// What the site allows.
    pub limits: Limits,
    /// Figures of the rules.
    pub safety: Safety,
    /// What costs points.
    pub prices: Prices,
    /// Names of the figures of a load report, in order.
    pub load_fields: Vec<LoadField>,
    /// Load comes with probes alone.
    pub load_by_probe: bool,
    /// The server list must be asked for.
    pub must_ask: bool,
    /// May the counter be called?
    pub counter: bool,
    /// Time after which a call of the counter is given up.
    pub counter_timeout: Micros,
    /// Do server weights say something about size?
    pub weights: bool,
    /// Are the units of each request leased before it is sent? The counter is not called then.
    pub leased: bool,
}

/// State of a server as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Takes work.
    Ready,
    /// Finishes its work; takes nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// May it be sent to?
    pub readiness: Readiness,
    /// Its size, for comparison.
    pub weight: f64,
    /// When its process started; 0 for long ago.
    pub started: Micros,
}

/// What a news of the server list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Changed entries alone.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as last kept; may be old.
    Kept,
    /// A call failed; the list stands.
    Failed,
}

/// How an attempt, a probe or a call of the counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Does this outcome prove that the attempt never ran?
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }
}

/// A try of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::plans`].
    pub plan: usize,
    /// Whose it is.
    pub customer: CustomerId,
    /// Time until the client gives this try up.
    pub budget: Micros,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Number of gateways that the customer's requests come through.
    pub spread: u32,
    /// Number of the first of them.
    pub first: u32,
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: usize,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub took: Micros,
    /// The request is finished; no answer is owed any more.
    pub last: bool,
    /// The server's load, in the order of [`Settings::load_fields`]; may be empty.
    pub load: Vec<f64>,
    /// Units that the request turned out to count, where they are settled afterwards.
    pub settled: Option<f64>,
}

/// What happens to a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the server list.
    Members {
        /// What the entries are.
        scope: Scope,
        /// The entries.
        members: Vec<Member>,
    },
    /// What is known of the other gateways, and so this one's parts of what all share, has changed.
    Fleet(Standing),
    /// A client's try has come in.
    Request(Request),
    /// A streamed answer has started; no time-out or deadline runs from here on.
    First {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended.
    Outcome(Ended),
    /// The client has left.
    Gone {
        /// The request.
        id: RequestId,
    },
    /// A timer is due.
    Timer {
        /// The word that it was set with.
        token: u64,
    },
    /// A probe has ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the probe.
        took: Micros,
        /// The server's load, as in [`Ended`].
        load: Vec<f64>,
    },
    /// A message from another gateway.
    Peer {
        /// Its number.
        from: u32,
        /// The message.
        body: Vec<u8>,
    },
    /// A call of the counter has ended.
    Counted {
        /// The name of the count.
        name: u64,
        /// Its total, valid with [`Outcome::Ok`].
        total: f64,
        /// How it ended.
        outcome: Outcome,
    },
    /// The answer to [`Action::Lease`].
    Leased {
        /// The request.
        id: RequestId,
        /// Its units are leased. If not, there are none for it.
        granted: bool,
    },
}

/// What a gateway wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Time-out of the attempt.
        timeout: Micros,
        /// Nothing of it is written from this moment on: what is repeated may have run, and counts as new then.
        by: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// Advice when to come back; 0 for none.
        after: Micros,
    },
    /// Final answer: failed, promising nothing.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Wake me.
    Timer {
        /// In so long.
        after: Micros,
        /// With this word.
        token: u64,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Send a message to one gateway or to all.
    Tell {
        /// Its number; all if none.
        to: Option<u32>,
        /// The message.
        body: Vec<u8>,
    },
    /// Add to a named count.
    Count {
        /// Its name.
        name: u64,
        /// The amount.
        by: f64,
        /// How long a new name is kept.
        ttl: Micros,
    },
    /// Ask for news of the server list from here on.
    Watch,
    /// Lease the units of a request. The answer is an [`Event::Leased`]; units of a request that ends without being sent
    /// are given back by the host.
    Lease {
        /// The request.
        id: RequestId,
        /// Whose it is.
        customer: CustomerId,
        /// Index into [`Settings::plans`].
        plan: usize,
        /// Number of gateways that the customer's requests come through.
        spread: u32,
        /// Units that it takes from the quota.
        units: f64,
    },
}
