//! The hollow limiters of a zone in one process: each watches the server list through the real reader
//! (`mossrill::discovery`) over TCP and applies it to a compact list of its own; if wanted, each also decides
//! drawn requests in a real `mossrill::Engine` and calls the counter through its real codec. None has client traffic.

use crate::clock;
use crate::engine_host::{settings, CounterCall, Effects, EngineHost};
use crate::error::LabError;
use crate::messages::{Command, DecisionCounts, HollowReport, HollowStart, Reply, TenantUnits};
use crate::population::{LocalTraffic, Population};
use crate::process_figures::{cpu_seconds, memory_bytes, Lateness};
use crate::stand_in;
use crossbeam_channel::{bounded, unbounded, Receiver, RecvTimeoutError, Sender};
use mossrill::config::EndpointUpdate;
use mossrill::counter::http::QuotaCounter;
use mossrill::counter::{Addition, CounterProtocol};
use mossrill::decision::{Outcome, Readiness};
use mossrill::discovery;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slog::{o, Discard, Logger};
use std::collections::HashMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time in which a server told to be draining may still be sent to; the reader's waits follow it.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Whether all limiters have a version is looked at so often.
const VERSION_POLL: Duration = Duration::from_millis(20);
/// Microseconds of a second.
const SECOND: u64 = 1_000_000;
/// Answers of the counter are waited for at most so long before the timers are looked at.
const LONGEST_WAIT: Duration = Duration::from_millis(20);

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
        if news.full {
            self.started.iter_mut().for_each(|started| *started = None);
        }
        for ((member, _), number) in news.nodes.iter().zip(numbers) {
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
                    news.nodes
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

/// The answer to a call: limiter of this process, count, outcome, total.
type Answer = (usize, u64, Outcome, f64);

/// What the gateways of this process decided.
#[derive(Default)]
struct Decisions {
    counts: DecisionCounts,
    units: Vec<TenantUnits>,
}

enum Order {
    Begin,
    Finish(Sender<Decisions>),
}

/// The thread that drives the gateways of this process.
struct Deciders {
    orders: Sender<Order>,
}

impl Deciders {
    fn start(start: &HollowStart, port: u16) -> Result<Self, LabError> {
        let (orders, taken) = unbounded();
        let (answers, answered) = unbounded();
        let mut driver = Driver::new(start, port, answers);
        let work = move || driver.run(&taken, &answered);
        std::thread::Builder::new().spawn(work)?;
        Ok(Self { orders })
    }

    fn begin(&self) {
        _ = self.orders.send(Order::Begin);
    }

    fn finish(self) -> Decisions {
        let (done, result) = bounded(1);
        _ = self.orders.send(Order::Finish(done));
        result
            .recv_timeout(Duration::from_secs(10))
            .unwrap_or_default()
    }
}

/// One hosted gateway with its traffic and its connection to the counter.
struct Decider {
    host: EngineHost,
    traffic: LocalTraffic,
    next_request: u64,
    calls: Sender<CounterCall>,
}

struct Driver {
    population: Population,
    deciders: Vec<Decider>,
    rng: StdRng,
    /// Units sent on, by second and tenant.
    units: HashMap<(u32, u32), f64>,
    began: Option<u64>,
}

impl Driver {
    fn new(start: &HollowStart, port: u16, answers: Sender<Answer>) -> Self {
        let population = Population::new(&start.scenario, start.seed);
        let now = clock::now();
        let at = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let deciders =
            start
                .scenario
                .limiters_of_zone(start.zone)
                .enumerate()
                .map(|(place, limiter)| {
                    let settings = settings(&population, limiter, start.scenario.sizes.limiters);
                    let seed = start
                        .seed
                        .wrapping_mul(7_919)
                        .wrapping_add(u64::from(limiter));
                    let (calls, wanted) = unbounded();
                    let answers = answers.clone();
                    // Without its thread the limiter's calls are given up, which is counted.
                    _ = stand_in::spawn(move || carry_calls(at, place, &wanted, &answers));
                    Decider {
                        host: EngineHost::new(settings, seed, now),
                        traffic: population.at_limiter(limiter),
                        next_request: u64::MAX,
                        calls,
                    }
                });
        let deciders = deciders.collect();
        let rng = StdRng::seed_from_u64(start.seed ^ u64::from(start.zone) << 32);
        Self {
            population,
            deciders,
            rng,
            units: HashMap::new(),
            began: None,
        }
    }

    fn run(&mut self, orders: &Receiver<Order>, answers: &Receiver<Answer>) {
        loop {
            match orders.try_recv() {
                Ok(Order::Begin) => self.begin(),
                Ok(Order::Finish(done)) => {
                    _ = done.send(self.result());
                    return;
                }
                Err(_) => {}
            }
            let wait =
                Duration::from_micros(self.next().saturating_sub(clock::now())).min(LONGEST_WAIT);
            match answers.recv_timeout(wait) {
                Ok(answer) => self.answered(answer),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.wake();
        }
    }

    fn begin(&mut self) {
        let now = clock::now();
        self.began = Some(now);
        for place in 0..self.deciders.len() {
            self.deciders[place].next_request = now + self.gap(place);
        }
    }

    /// Time to the next request of a limiter: a Poisson stream.
    fn gap(&mut self, place: usize) -> u64 {
        let rate = self.deciders[place].traffic.requests_per_s();
        if rate <= 0.0 {
            return u64::MAX / 2;
        }
        let chance: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        (-chance.ln() / rate * SECOND as f64) as u64
    }

    fn next(&self) -> u64 {
        self.deciders
            .iter()
            .map(|decider| decider.next_request.min(decider.host.next()))
            .min()
            .unwrap_or(0)
    }

    fn answered(&mut self, (place, name, outcome, total): Answer) {
        let mut effects = Effects::default();
        self.deciders[place]
            .host
            .counted(clock::now(), name, outcome, total, &mut effects);
        self.carry_out(place, effects);
    }

    fn wake(&mut self) {
        let now = clock::now();
        for place in 0..self.deciders.len() {
            let mut effects = Effects::default();
            while self.deciders[place].next_request <= now {
                let gap = self.gap(place);
                let decider = &mut self.deciders[place];
                decider.next_request += gap;
                if let Some(tenant) = decider.traffic.draw(&mut self.rng) {
                    let units = self.population.draw_units(&mut self.rng);
                    decider
                        .host
                        .request(now, &self.population, (tenant, units), &mut effects);
                }
            }
            if self.deciders[place].host.next() <= now {
                self.deciders[place].host.wake(now, &mut effects);
            }
            self.carry_out(place, effects);
        }
    }

    fn carry_out(&mut self, place: usize, effects: Effects) {
        let second = clock::now().saturating_sub(self.began.unwrap_or(0)) / SECOND;
        for sent in effects.sent {
            *self
                .units
                .entry((second as u32, sent.tenant as u32))
                .or_default() += sent.units;
        }
        for call in effects.calls {
            _ = self.deciders[place].calls.send(call);
        }
    }

    fn result(&self) -> Decisions {
        let mut counts = DecisionCounts::default();
        self.deciders
            .iter()
            .for_each(|decider| counts.add(&decider.host.counts()));
        let one = |(&(second, tenant), &units): (&(u32, u32), &f64)| TenantUnits {
            second,
            tenant,
            units,
        };
        let mut units: Vec<TenantUnits> = self.units.iter().map(one).collect();
        units.sort_by_key(|sent| (sent.second, sent.tenant));
        Decisions { counts, units }
    }
}

/// Writes a limiter's calls on one connection; a thread beside it reads the answers.
fn carry_calls(
    at: SocketAddr,
    place: usize,
    wanted: &Receiver<CounterCall>,
    answers: &Sender<Answer>,
) {
    let mut connection: Option<CounterConnection> = None;
    for call in wanted {
        let open = connection
            .take()
            .or_else(|| CounterConnection::open(at, place, answers.clone()));
        connection = open.filter(|open| open.write(&call, at));
        if connection.is_none() {
            _ = answers.send((place, call.name, Outcome::ConnectFailed, 0.0));
        }
    }
}

struct CounterConnection {
    stream: TcpStream,
    names: Sender<u64>,
}

impl CounterConnection {
    fn open(at: SocketAddr, place: usize, answers: Sender<Answer>) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_millis(250)).ok()?;
        stream.set_nodelay(true).ok()?;
        let reading = stream.try_clone().ok()?;
        let (names, due) = unbounded();
        let read = move || {
            QuotaCounter.read(&reading, &mut |outcome, total| {
                let name: Option<u64> = due.try_recv().ok();
                name.is_some_and(|name| answers.send((place, name, outcome, total)).is_ok())
            });
        };
        stand_in::spawn(read).ok()?;
        Some(Self { stream, names })
    }

    fn write(&self, call: &CounterCall, at: SocketAddr) -> bool {
        let ttl = Duration::from_micros(call.ttl);
        let addition = Addition {
            call: 0,
            name: call.name,
            by: call.by,
            ttl,
        };
        // Before the call is written, or its answer could come first.
        self.names.send(call.name).is_ok()
            && (&self.stream)
                .write_all(&QuotaCounter.word(&addition, at))
                .is_ok()
    }
}
