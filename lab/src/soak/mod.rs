//! A soak: limiter processes between peers that fail, while operators signal them and bad clients
//! hold them up. A checker then tests what clients and servers saw against the protocol page.

mod bad_clients;
pub mod checker;
mod clients;
mod limiters;
pub mod peers;
pub mod plan;
pub mod record;
mod slow_clients;
mod wire;
mod world;

use crate::error::LabError;
use checker::{check, Break, Rules};
use plan::{Fault, Plan};
use record::{Event, Record, Reply};
use std::collections::HashSet;
use std::path::PathBuf;
use std::time::Duration;
use world::World;

/// Longest deadline of any class, in milliseconds.
const MAX_DEADLINE_MS: u64 = 1_000;
/// Time for which servers discard repeats of a key, in milliseconds.
const KEY_WINDOW_MS: u64 = 5_000;
/// Time after which nothing may be sent to a draining server, in milliseconds.
const DRAIN_GRACE_MS: u64 = 1_000;
/// What discovery has to tell counts as told after this time at the latest, in milliseconds.
const TOLD_MS: u64 = 6_000;
/// What an open watch has to tell counts as told after this time, in milliseconds.
const WATCH_MS: u64 = 100;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The limiter program.
    pub limiter: PathBuf,
    /// Seed of the run.
    pub seed: u64,
    /// Time in which faults begin.
    pub time: Duration,
    /// Library that disturbs system calls and the wall clock of some processes; none to leave that
    /// out.
    pub interposer: Option<PathBuf>,
}

/// What a run has shown.
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests that clients sent.
    pub requests: usize,
    /// Number of them that were served.
    pub served: usize,
    /// Number of them that were rejected.
    pub rejected: usize,
    /// Number of them that failed.
    pub failed: usize,
    /// Most memory that a limiter held, in KiB.
    pub peak_kib: u64,
    /// The rules that were broken, in the order of time.
    pub breaks: Vec<Break>,
    /// All records.
    pub records: Vec<Record>,
}

impl SoakReport {
    fn new(seed: u64, records: Vec<Record>, rules: &Rules) -> Self {
        let replies = |wanted: Reply| {
            let is_wanted = |record: &&Record| matches!(&record.event, Event::Replied { reply, .. } if *reply == wanted);
            records.iter().filter(is_wanted).count()
        };
        let sent = |record: &&Record| matches!(record.event, Event::Sent { .. });
        let memory = records.iter().filter_map(|record| match record.event {
            Event::Measured { resident_kib, .. } => Some(resident_kib),
            _ => None,
        });
        Self {
            seed,
            requests: records.iter().filter(sent).count(),
            served: replies(Reply::Served),
            rejected: replies(Reply::Rejected),
            failed: replies(Reply::Failed),
            peak_kib: memory.max().unwrap_or(0),
            breaks: check(&records, rules),
            records,
        }
    }

    /// Returns the records that explain a break: those of its request and of the connections that it
    /// was sent on, and all faults and signals.
    pub fn trace(&self, broken: &Break) -> Vec<String> {
        let connections: HashSet<u64> = self
            .records
            .iter()
            .filter_map(|record| match &record.event {
                Event::Sent { connection, id, .. } if Some(id) == broken.id.as_ref() => {
                    Some(*connection)
                }
                _ => None,
            })
            .collect();
        let is_about = |event: &Event| match event {
            Event::Fault { .. }
            | Event::Signal { .. }
            | Event::StartedAnew { .. }
            | Event::Ended { .. } => true,
            Event::Sent { connection, .. }
            | Event::Began { connection, .. }
            | Event::Replied { connection, .. }
            | Event::Unanswered { connection, .. }
            | Event::Left { connection, .. } => connections.contains(connection),
            Event::Arrived { id, .. } | Event::TurnedAway { id, .. } => {
                Some(id) == broken.id.as_ref()
            }
            Event::Drains { .. } | Event::Measured { .. } => false,
        };
        let records = self.records.iter().filter(|record| is_about(&record.event));
        records
            .map(|record| format!("{:9.3} {:?}", record.at as f64 / 1e6, record.event))
            .collect()
    }
}

/// Plays a run and checks it.
///
/// # Errors
///
/// If a process or a stand-in can't be started.
pub fn play(options: &SoakOptions) -> Result<SoakReport, LabError> {
    let plan = Plan::draw(options.seed, options.time);
    let has_slow_news = plan.faults.iter().any(|(_, fault)| {
        matches!(
            fault,
            Fault::SilentDiscovery(_) | Fault::ResetWatches | Fault::Limiter(..)
        )
    });
    let told_ms = if has_slow_news { TOLD_MS } else { WATCH_MS };
    let rules = Rules {
        memory_kib: plan.memory_mib * 1_024,
        descriptors: plan.descriptors,
        drain_grace: (DRAIN_GRACE_MS + told_ms) * 1_000,
        key_window: KEY_WINDOW_MS * 1_000,
        servers_fail: plan.faults.iter().any(|(_, fault)| fault.fails_servers()),
    };
    let world = World::start(options, plan)?;
    let records = world.run(options)?;
    Ok(SoakReport::new(options.seed, records, &rules))
}
