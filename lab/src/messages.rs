//! Messages between the controller and its child processes: one JSON object on each line, over the
//! standard input and output of the child.

use crate::audit::AuditResult;
use crate::scenario::Scenario;
use serde::{Deserialize, Serialize};

/// First message to a child process: the role that it takes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Start {
    /// Serves the server list as service discovery.
    Discovery {
        /// The scenario of the run.
        scenario: Box<Scenario>,
        /// Seed of the run.
        seed: u64,
    },
    /// Serves the shared counter.
    Counter {
        /// Number of zones; each has its own listener.
        zones: u32,
    },
    /// Serves as upstream servers.
    Upstream {
        /// Number of servers.
        servers: u32,
        /// Mean service time of a request in ms.
        mean_ms: f64,
        /// Seed of the random service times.
        seed: u64,
    },
    /// Runs the hollow limiters of a zone.
    Hollow(Box<HollowStart>),
}

/// Parameters of the process that runs the hollow limiters of a zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowStart {
    /// The scenario of the run.
    pub scenario: Scenario,
    /// Seed of the run.
    pub seed: u64,
    /// The zone of the limiters.
    pub zone: u32,
    /// Port of service discovery for this zone.
    pub discovery: u16,
    /// Port of the counter for this zone, if the limiters call it.
    pub counter: Option<u16>,
}

/// Later messages to a child process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Restarts this number of servers of the list.
    ChangeList(u32),
    /// Takes a zone's servers out of service, or puts them back into service.
    SetZone {
        /// The zone.
        zone: u32,
        /// Whether the servers are to be in service.
        in_service: bool,
    },
    /// Stops answering these zones, or resumes.
    Cut {
        /// The zones.
        zones: Vec<u32>,
        /// Whether the zones are cut off.
        silent: bool,
    },
    /// Starts the traffic, if the child has any, and the measurement.
    Begin,
    /// Requests a [`Reply::Load`] with the traffic so far.
    Report,
    /// Waits until all limiters have this version of the list, or the time has passed; the answer
    /// is [`Reply::Lacking`].
    AwaitVersion {
        /// The version.
        generation: u64,
        /// Maximum wait in seconds.
        seconds: u32,
    },
    /// Sends the final report and ends the process.
    Finish,
}

/// Messages from a child process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The child is ready and listens on these ports.
    Ready(Vec<u16>),
    /// A version of the list was published.
    Published {
        /// The version.
        generation: u64,
        /// Unix time of the publication in µs.
        at: u64,
        /// Length of its changes in bytes.
        bytes: usize,
    },
    /// Number of limiters that did not have the awaited version in time.
    Lacking(u32),
    /// Traffic of a stand-in by zone; for upstream servers, by server.
    Load(Vec<ZoneLoad>),
    /// Measurements of the hollow limiters of a zone.
    Hollow(Box<HollowReport>),
}

/// Traffic of a stand-in with one zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ZoneLoad {
    /// Number of connections accepted.
    pub connections: u64,
    /// Number of calls received.
    pub calls: u64,
    /// Bytes received in calls.
    pub bytes_in: u64,
    /// Bytes sent in answers.
    pub bytes_out: u64,
    /// Number of answers with the whole list.
    pub whole_lists: u64,
}

/// Measurements of the hollow limiters of a zone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HollowReport {
    /// Number of limiters.
    pub limiters: u32,
    /// For each limiter, the versions of the list that it applied, with the Unix time of each in
    /// µs.
    pub versions: Vec<Vec<(u64, u64)>>,
    /// CPU time since [`Command::Begin`] in seconds.
    pub cpu_s: f64,
    /// CPU time before [`Command::Begin`] in seconds: process start and first list.
    pub start_cpu_s: f64,
    /// Seconds since [`Command::Begin`].
    pub elapsed_s: f64,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
    /// Lateness of timer ticks of this process in ms: 99th percentile and maximum.
    pub late_ticks_ms: (f64, f64),
    /// Numbers of quota decisions; all 0 if the limiters do not decide requests.
    pub decisions: DecisionCounts,
    /// Units sent upstream, by second and tenant.
    pub units: Vec<TenantUnits>,
}

/// Units of a tenant that were sent upstream within a second.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct TenantUnits {
    /// Number of the second since the traffic began.
    pub second: u32,
    /// Number of the tenant.
    pub tenant: u32,
    /// Number of units.
    pub units: f64,
}

/// Numbers of decisions and counter calls of hollow limiters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecisionCounts {
    /// Requests generated.
    pub requests: u64,
    /// Requests sent upstream.
    pub sent: u64,
    /// Requests refused or failed.
    pub refused: u64,
    /// Requests that were decided only when the answer of a counter call came.
    pub waited: u64,
    /// Requests neither sent upstream nor refused at the end of the run.
    pub undecided: u64,
    /// Calls to the counter.
    pub calls: u64,
    /// Calls that were answered in time.
    pub calls_answered: u64,
    /// Calls that timed out.
    pub calls_lost: u64,
}

impl DecisionCounts {
    /// Adds the numbers of another limiter.
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

/// Decisions of a run and the units that exceeded quotas.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QuotaOutcome {
    /// Numbers of decisions.
    pub decisions: DecisionCounts,
    /// Audit of the units sent upstream against the quotas.
    pub audit: AuditResult,
}
