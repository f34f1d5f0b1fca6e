//! What a gateway remembers: plain records. All that is done with them is in `src/policy.rs`.

use super::*;
use std::collections::BTreeMap;

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Micros,
    pub(crate) overdue: bool,
    /// None while it is out.
    pub(crate) outcome: Option<Outcome>,
}

/// A request that is owed an answer.
pub(crate) struct Held {
    pub(crate) request: Request,
    pub(crate) worth: f64,
    /// What it takes of the quota: its units, or a place where a plan caps attempts out alone.
    pub(crate) charge: f64,
    pub(crate) aim_at: Micros,
    pub(crate) deadline: Micros,
    /// Start tag and arrival number: its place in the fair queue.
    pub(crate) tag: (u64, u64),
    pub(crate) attempts: Vec<Attempt>,
    /// Its answer has started to stream.
    pub(crate) streaming: bool,
    /// Its units are leased.
    pub(crate) leased: bool,
}

/// A call of the counter that is out: window, amount, the part of it that is claimed for waiting requests.
pub(crate) struct Call {
    pub(crate) window: u64,
    pub(crate) by: f64,
    pub(crate) claim: f64,
    pub(crate) at: Micros,
}

/// How a customer's last claim fared.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum Fared {
    #[default]
    New,
    Empty,
    Room,
}

/// What the quota says of a waiting request.
pub(crate) enum Verdict {
    Send,
    Wait,
    Turn,
}

/// What is known of a customer.
#[derive(Default)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    pub(crate) spread: u32,
    /// One over the own part of its quota.
    pub(crate) parts: f64,
    /// Finish tag F of its last request.
    pub(crate) finish: f64,
    /// Units elsewhere since its last request here: first term of the hybrid delay.
    pub(crate) elsewhere: f64,
    /// Copy of the customer's one token bucket, fed by own sends and counted rises.
    pub(crate) level: f64,
    pub(crate) filled: Micros,
    /// Own share of the ceiling's store.
    pub(crate) ceiling: f64,
    pub(crate) ceiling_filled: Micros,
    /// Own units not yet told to the counter.
    pub(crate) pending: f64,
    /// Window of the name in use, own units told in it, units elsewhere seen in it.
    pub(crate) window: u64,
    pub(crate) told: f64,
    pub(crate) seen: f64,
    /// The call that is out.
    pub(crate) call: Option<Call>,
    /// Units granted by the counter and not yet sent; the next decision goes without a call, as one failed.
    pub(crate) granted: f64,
    /// Units to be claimed in the next call; what the last rise of the count took from the copy.
    pub(crate) wanted: f64,
    /// Units claimed in calls whose answers were lost.
    pub(crate) doubtful: f64,
    pub(crate) taken: f64,
    pub(crate) blind: bool,
    pub(crate) fared: Fared,
    /// Last call closed in any way; last answer.
    pub(crate) checked: Micros,
    pub(crate) answered: Option<Micros>,
    /// A request waits for a fresh total.
    pub(crate) verify: bool,
    pub(crate) open: u32,
    pub(crate) last_seen: Micros,
    /// Its requests not sent yet.
    pub(crate) waiting: Vec<RequestId>,
}

/// What is known of a server.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) zone: String,
    pub(crate) cell: u64,
    pub(crate) ready: bool,
    /// Listed, and takes nothing new.
    pub(crate) drains: bool,
    /// When it was last ready, if it is not.
    pub(crate) left: Micros,
    pub(crate) weight: f64,
    pub(crate) started: Micros,
    /// Own attempts out: send times.
    pub(crate) out: BTreeMap<(RequestId, usize), Micros>,
    /// Response time against the class's mean over all servers.
    pub(crate) ratio: f64,
    /// By class: part of the attempts that failed, and when it was last heard.
    pub(crate) fails: BTreeMap<usize, (f64, Micros)>,
    pub(crate) judged: Micros,
    /// Part of a send that may go to it while cold.
    pub(crate) cold_store: f64,
    pub(crate) cold_filled: Micros,
}

/// What is known of a class.
#[derive(Default)]
pub(crate) struct Pace {
    pub(crate) mean: f64,
    /// Part of its attempts that fail, over all servers.
    pub(crate) fail: f64,
    /// How often each sixteenth of the class's deadline came as a try's budget, fading.
    pub(crate) budgets: [f64; 16],
    /// Tries seen.
    pub(crate) tries: f64,
}

/// How a request is to end.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum End {
    /// Refused if nothing may have run, else failed.
    Turned,
    /// Closed elsewhere: the host has told the client.
    Told,
}

impl Attempt {
    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|o| !o.never_ran())
    }
}

impl Held {
    /// A request with its worth and charge, its aim and deadline, and its tag.
    pub(crate) fn new(
        request: Request,
        (worth, charge): (f64, f64),
        (aim_at, deadline): (Micros, Micros),
        tag: (u64, u64),
    ) -> Self {
        let attempts = Vec::new();
        Self {
            request,
            worth,
            charge,
            aim_at,
            deadline,
            tag,
            attempts,
            streaming: false,
            leased: false,
        }
    }

    pub(crate) fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}
