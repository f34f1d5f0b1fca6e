//! The hollow limiters of a zone in one process: each watches the server list through the real reader
//! (`mossrill::discovery`) over TCP and applies it to a compact list of its own; if wanted, each also decides
//! drawn requests in a real `mossrill::Engine` and calls the counter through its real codec. None has client traffic.

mod decisions;

use decisions::Deciders;

use crate::clock;
use crate::error::LabError;
use crate::messages::{Command, HollowReport, HollowStart, Reply};
use crate::process_figures::{cpu_seconds, memory_bytes, Lateness};
use crate::stand_in;
use mossrill::config::EndpointUpdate;
use mossrill::decision::Readiness;
use mossrill::discovery;
use slog::{o, Discard, Logger};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time in which a server told to be draining may still be sent to; the reader's waits follow it.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Whether all limiters have a version is looked at so often.
const VERSION_POLL: Duration = Duration::from_millis(20);
/// Microseconds of a second.
const SECOND: u64 = 1_000_000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Names of servers, kept once for all limiters of the process.
#[derive(Default)]
struct ServerNames(HashMap<Arc<str>, u32>);

impl ServerNames {
    fn number(&mut self, name: &Arc<str>) -> u32 {
        let next = self.0.len() as u32;
        *self.0.entry(name.clone()).or_insert(next)
    }
}

/// One limiter's server list: by server, the start time it was listed with; none where it is not listed.
#[derive(Default)]
struct OwnList {
    started: Vec<Option<u64>>,
    versions: Vec<(u64, u64)>,
}

impl OwnList {
    fn version(&self) -> u64 {
        self.versions
            .last()
            .map_or(0, |(generation, _)| *generation)
    }

    fn apply(&mut self, news: &EndpointUpdate, numbers: &[u32], at: u64) {
        if news.is_snapshot {
            self.started.iter_mut().for_each(|started| *started = None);
        }
        for ((member, _), number) in news.endpoints.iter().zip(numbers) {
            let place = *number as usize;
            if self.started.len() <= place {
                self.started.resize(place + 1, None);
            }
            self.started[place] =
                (member.readiness == Readiness::Ready).then_some(member.started_at);
        }
        self.versions.push((news.generation, at));
    }
}

/// Runs the hollow limiters of a zone until they are told to finish.
pub fn run(start: &HollowStart) -> Result<(), LabError> {
    let limiters = start.scenario.limiters_of_zone(start.zone);
    let lateness = Lateness::watch()?;
    let lists = watch_lists(start)?;
    let decisions = match start.counter {
        Some(port) => Some(Deciders::start(start, port)?),
        None => None,
    };
    stand_in::reply(&Reply::Ready(Vec::new()))?;
    let (mut start_cpu, mut began) = (0.0, Instant::now());
    for command in stand_in::commands() {
        match command {
            Command::Begin => {
                (start_cpu, began) = (cpu_seconds(None), Instant::now());
                lateness.reset();
                if let Some(decisions) = &decisions {
                    decisions.begin();
                }
            }
            Command::AwaitVersion {
                generation,
                seconds,
            } => {
                let lacking =
                    await_version(&lists, generation, Duration::from_secs(u64::from(seconds)));
                stand_in::reply(&Reply::Lacking(lacking))?;
            }
            Command::Finish => break,
            _ => {}
        }
    }
    let (elapsed_s, cpu_s) = (began.elapsed().as_secs_f64(), cpu_seconds(None) - start_cpu);
    let (memory_bytes, late_ticks_ms) = (memory_bytes(None), lateness.p99_and_worst_ms());
    let decisions = decisions.map(Deciders::finish).unwrap_or_default();
    let versions = lists
        .iter()
        .map(|list| lock(list).versions.clone())
        .collect();
    stand_in::reply(&Reply::Hollow(Box::new(HollowReport {
        limiters: limiters.len() as u32,
        versions,
        cpu_s,
        start_cpu_s: start_cpu,
        elapsed_s,
        memory_bytes,
        late_ticks_ms,
        decisions: decisions.counts,
        units: decisions.units,
    })))
}

/// Waits until all limiters have this version; how many do not have it in time.
fn await_version(lists: &[Arc<Mutex<OwnList>>], generation: u64, within: Duration) -> u32 {
    let until = Instant::now() + within;
    loop {
        let lacking = lists
            .iter()
            .filter(|list| lock(list).version() < generation)
            .count() as u32;
        if lacking == 0 || Instant::now() >= until {
            return lacking;
        }
        std::thread::sleep(VERSION_POLL);
    }
}

fn watch_lists(start: &HollowStart) -> Result<Vec<Arc<Mutex<OwnList>>>, LabError> {
    let from = SocketAddr::from((Ipv4Addr::LOCALHOST, start.discovery));
    let names = Arc::new(Mutex::new(ServerNames::default()));
    let fleet = Arc::new(AtomicU32::new(start.scenario.sizes.limiters));
    let log = Logger::root(Discard, o!());
    start
        .scenario
        .limiters_of_zone(start.zone)
        .map(|limiter| {
            let list = Arc::new(Mutex::new(OwnList::default()));
            let (own, names) = (list.clone(), names.clone());
            let apply = move |news: EndpointUpdate| {
                let numbers: Vec<u32> = {
                    let mut names = lock(&names);
                    news.endpoints
                        .iter()
                        .map(|(member, _)| names.number(&member.id.0))
                        .collect()
                };
                let mut list = lock(&own);
                list.apply(&news, &numbers, clock::now());
            };
            let seed = start
                .seed
                .wrapping_mul(1_000_003)
                .wrapping_add(u64::from(limiter));
            let waits = (fleet.clone(), DRAIN_GRACE, seed);
            discovery::watch(from, 0, waits, apply, log.clone())?;
            Ok(list)
        })
        .collect()
}
