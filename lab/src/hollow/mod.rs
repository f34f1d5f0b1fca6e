//! The hollow (simulated) limiters of a zone in one process. Each watches the server list over TCP
//! with the real reader (`mossrill::discovery`) and keeps a compact copy of it. If the scenario
//! says so, each also decides randomly drawn requests in a real `mossrill::Engine` and calls the
//! counter with the real codec. Hollow limiters have no client connections.

mod decisions;

use decisions::DecisionThread;

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

/// Time for which a draining server may still receive requests. The reader derives its waits from
/// it.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Interval at which the versions of all limiters are compared with the awaited one.
const VERSION_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Numbers of servers by name, shared by all limiters of the process to save memory.
#[derive(Default)]
struct ServerNumbers(HashMap<Arc<str>, u32>);

impl ServerNumbers {
    fn number(&mut self, name: &Arc<str>) -> u32 {
        let next = self.0.len() as u32;
        *self.0.entry(name.clone()).or_insert(next)
    }
}

/// The server list of one limiter.
#[derive(Default)]
struct LimiterList {
    /// Start time of each server by its number; `None` if it is not listed as ready.
    started_at: Vec<Option<u64>>,
    /// Versions of the list with the Unix time in µs at which each was applied.
    versions: Vec<(u64, u64)>,
}

impl LimiterList {
    fn version(&self) -> u64 {
        self.versions
            .last()
            .map_or(0, |(generation, _)| *generation)
    }

    fn apply(&mut self, update: &EndpointUpdate, numbers: &[u32], at: u64) {
        if update.is_snapshot {
            self.started_at
                .iter_mut()
                .for_each(|started_at| *started_at = None);
        }
        for ((endpoint, _), number) in update.endpoints.iter().zip(numbers) {
            let index = *number as usize;
            if self.started_at.len() <= index {
                self.started_at.resize(index + 1, None);
            }
            self.started_at[index] =
                (endpoint.readiness == Readiness::Ready).then_some(endpoint.started_at);
        }
        self.versions.push((update.generation, at));
    }
}

/// Runs the hollow limiters of a zone until the controller sends [`Command::Finish`].
pub fn run(start: &HollowStart) -> Result<(), LabError> {
    let limiters = start.scenario.limiters_of_zone(start.zone);
    let lateness = Lateness::start()?;
    let lists = watch_lists(start)?;
    let decision_thread = match start.counter {
        Some(port) => Some(DecisionThread::start(start, port)?),
        None => None,
    };
    stand_in::send_reply(&Reply::Ready(Vec::new()))?;
    let (mut start_cpu, mut began) = (0.0, Instant::now());
    for command in stand_in::commands() {
        match command {
            Command::Begin => {
                (start_cpu, began) = (cpu_seconds(None), Instant::now());
                lateness.reset();
                if let Some(thread) = &decision_thread {
                    thread.begin();
                }
            }
            Command::AwaitVersion {
                generation,
                seconds,
            } => {
                let lacking =
                    await_version(&lists, generation, Duration::from_secs(u64::from(seconds)));
                stand_in::send_reply(&Reply::Lacking(lacking))?;
            }
            Command::Finish => break,
            _ => {}
        }
    }
    let (elapsed_s, cpu_s) = (began.elapsed().as_secs_f64(), cpu_seconds(None) - start_cpu);
    let (memory_bytes, late_ticks_ms) = (memory_bytes(None), lateness.p99_and_max_ms());
    let decisions = decision_thread
        .map(DecisionThread::finish)
        .unwrap_or_default();
    let versions = lists
        .iter()
        .map(|list| lock(list).versions.clone())
        .collect();
    stand_in::send_reply(&Reply::Hollow(Box::new(HollowReport {
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

/// Waits until all limiters have this version and returns how many do not have it in time.
fn await_version(lists: &[Arc<Mutex<LimiterList>>], generation: u64, timeout: Duration) -> u32 {
    let deadline = Instant::now() + timeout;
    loop {
        let lacking = lists
            .iter()
            .filter(|list| lock(list).version() < generation)
            .count() as u32;
        if lacking == 0 || Instant::now() >= deadline {
            return lacking;
        }
        std::thread::sleep(VERSION_POLL_INTERVAL);
    }
}

fn watch_lists(start: &HollowStart) -> Result<Vec<Arc<Mutex<LimiterList>>>, LabError> {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, start.discovery));
    let names = Arc::new(Mutex::new(ServerNumbers::default()));
    let fleet_size = Arc::new(AtomicU32::new(start.scenario.sizes.limiters));
    let log = Logger::root(Discard, o!());
    start
        .scenario
        .limiters_of_zone(start.zone)
        .map(|limiter| {
            let list = Arc::new(Mutex::new(LimiterList::default()));
            let (applied, names) = (list.clone(), names.clone());
            let apply = move |update: EndpointUpdate| {
                let numbers: Vec<u32> = {
                    let mut names = lock(&names);
                    update
                        .endpoints
                        .iter()
                        .map(|(endpoint, _)| names.number(&endpoint.id.0))
                        .collect()
                };
                let mut list = lock(&applied);
                list.apply(&update, &numbers, clock::now());
            };
            let seed = start
                .seed
                .wrapping_mul(1_000_003)
                .wrapping_add(u64::from(limiter));
            let wait_settings = (fleet_size.clone(), DRAIN_GRACE, seed);
            discovery::watch(address, 0, wait_settings, apply, log.clone())?;
            Ok(list)
        })
        .collect()
}
