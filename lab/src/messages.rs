//! What the controller and its child processes say to each other: one JSON object a line, over standard input and
//! output.

use crate::audit::AuditResult;
use crate::scenario::Scenario;
use serde::{Deserialize, Serialize};

/// What a child is told first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Start {
    /// Serve the server list.
    Discovery {
        /// The run.
        scenario: Box<Scenario>,
        /// Its seed.
        seed: u64,
    },
    /// Serve counts.
    Counter {
        /// Number of zones; each has an address of its own.
        zones: u32,
    },
    /// Be upstream servers.
    Upstream {
        /// How many.
        servers: u32,
        /// Mean time of an answer.
        mean_ms: f64,
        /// For random numbers.
        seed: u64,
    },
    /// Be the hollow limiters of a zone.
    Hollow(Box<HollowStart>),
}

/// What the hollow limiters of a zone are told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowStart {
    /// The run.
    pub scenario: Scenario,
    /// Its seed.
    pub seed: u64,
    /// Their zone.
    pub zone: u32,
    /// Port of discovery for this zone.
    pub discovery: u16,
    /// Port of the counter for this zone, if it is called.
    pub counter: Option<u16>,
}

/// What a child is told later.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Restart so many servers of the list.
    ChangeList(u32),
    /// Take a zone's servers out of the list, or put them back.
    SetZone {
        /// The zone.
        zone: u32,
        /// Back in service.
        in_service: bool,
    },
    /// Say nothing to these zones from now on, or speak to them again.
    Cut {
        /// The zones.
        zones: Vec<u32>,
        /// Whether they are cut off.
        silent: bool,
    },
    /// Traffic begins, or measurement does.
    Begin,
    /// Say what was carried so far.
    Report,
    /// Say when all limiters have this version of the list, or that they do not after so many seconds.
    AwaitVersion {
        /// The version.
        generation: u64,
        /// Seconds that are waited at most.
        seconds: u32,
    },
    /// Report and end.
    Finish,
}

/// What a child says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// It serves on these ports.
    Ready(Vec<u16>),
    /// A version of the list is there since this time in µs.
    Published {
        /// The version.
        generation: u64,
        /// Unix time in µs.
        at: u64,
        /// Bytes of its changes.
        bytes: usize,
    },
    /// Limiters that lack the version that was waited for.
    Lacking(u32),
    /// What a stand-in carried.
    Load(Vec<ZoneLoad>),
    /// What the hollow limiters of a zone saw.
    Hollow(Box<HollowReport>),
}

/// What a stand-in carried for one zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ZoneLoad {
    /// Connections taken.
    pub connections: u64,
    /// Calls taken.
    pub calls: u64,
    /// Bytes of calls.
    pub bytes_in: u64,
    /// Bytes of answers.
    pub bytes_out: u64,
    /// Answers that were the whole list.
    pub whole_lists: u64,
}

/// What the hollow limiters of a zone saw.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HollowReport {
    /// Limiters.
    pub limiters: u32,
    /// By limiter: each version of the list with the time at which it was applied.
    pub versions: Vec<Vec<(u64, u64)>>,
    /// Processor time since the beginning, in seconds.
    pub cpu_s: f64,
    /// Processor time up to the beginning: start and first list.
    pub start_cpu_s: f64,
    /// Seconds since the beginning.
    pub elapsed_s: f64,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
    /// Lateness of this process's own ticks in ms: 99th percentile and worst.
    pub late_ticks_ms: (f64, f64),
    /// Quota decisions, if any were made.
    pub decisions: DecisionCounts,
    /// Units sent on, by second and tenant.
    pub units: Vec<TenantUnits>,
}

/// Units of a tenant that were sent on within a second.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct TenantUnits {
    /// Seconds since the beginning.
    pub second: u32,
    /// Whose.
    pub tenant: u32,
    /// How many.
    pub units: f64,
}

/// Decisions of hollow limiters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecisionCounts {
    /// Requests drawn.
    pub requests: u64,
    /// Sent on.
    pub sent: u64,
    /// Refused or failed.
    pub refused: u64,
    /// Decided only by the answer of a control call.
    pub waited: u64,
    /// Neither sent on nor refused when the play ended.
    pub undecided: u64,
    /// Calls of the counter.
    pub calls: u64,
    /// Calls whose answer was taken.
    pub calls_answered: u64,
    /// Calls that were given up.
    pub calls_lost: u64,
}

impl DecisionCounts {
    /// Adds another limiter's.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.sent += other.sent;
        self.refused += other.refused;
        self.waited += other.waited;
        self.undecided += other.undecided;
        self.calls += other.calls;
        self.calls_answered += other.calls_answered;
        self.calls_lost += other.calls_lost;
    }
}

/// What was decided and what of it was beyond quotas.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QuotaOutcome {
    /// Decisions.
    pub decisions: DecisionCounts,
    /// Units beyond quotas.
    pub audit: AuditResult,
}
