//! Drives the decision engines of hollow limiters in real time, with their connections to the
//! counter.

use super::SECOND;
use crate::clock;
use crate::engine_host::{settings, CounterCall, Effects, EngineHost};
use crate::error::LabError;
use crate::messages::{DecisionCounts, HollowStart, TenantUnits};
use crate::population::{LocalTraffic, Population};
use crate::stand_in;
use crossbeam_channel::{bounded, unbounded, Receiver, RecvTimeoutError, Sender};
use mossrill::counter::http::HttpCounterProtocol;
use mossrill::counter::{Addition, CounterProtocol};
use mossrill::decision::Outcome;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum wait for an answer of the counter before commands and timers are checked again.
const MAX_WAIT: Duration = Duration::from_millis(20);

/// The answer to a counter call: index of the limiter in this process, key of the count, outcome,
/// total.
type CounterAnswer = (usize, u64, Outcome, f64);

/// Decisions of all limiters of this process.
#[derive(Default)]
pub(super) struct Decisions {
    pub(super) counts: DecisionCounts,
    pub(super) units: Vec<TenantUnits>,
}

/// Command to the thread that drives the limiters.
enum DriverCommand {
    Begin,
    Finish(Sender<Decisions>),
}

/// Handle of the thread that drives the limiters of this process.
pub(super) struct DecisionThread {
    commands: Sender<DriverCommand>,
}

impl DecisionThread {
    pub(super) fn start(start: &HollowStart, port: u16) -> Result<Self, LabError> {
        let (commands, received_commands) = unbounded();
        let (answers, received_answers) = unbounded();
        let mut driver = Driver::new(start, port, answers);
        let drive = move || driver.run(&received_commands, &received_answers);
        std::thread::Builder::new().spawn(drive)?;
        Ok(Self { commands })
    }

    pub(super) fn begin(&self) {
        _ = self.commands.send(DriverCommand::Begin);
    }

    pub(super) fn finish(self) -> Decisions {
        let (reply, result) = bounded(1);
        _ = self.commands.send(DriverCommand::Finish(reply));
        result
            .recv_timeout(Duration::from_secs(10))
            .unwrap_or_default()
    }
}

/// One limiter with its decision engine, its traffic and its connection to the counter.
struct HostedLimiter {
    host: EngineHost,
    traffic: LocalTraffic,
    /// Unix time of the next request in µs.
    next_request: u64,
    calls: Sender<CounterCall>,
}

/// State of the thread that drives the limiters.
struct Driver {
    population: Population,
    limiters: Vec<HostedLimiter>,
    rng: StdRng,
    /// Units sent upstream, by second and tenant.
    units: HashMap<(u32, u32), f64>,
    /// Unix time in µs at which the traffic began.
    began: Option<u64>,
}

impl Driver {
    fn new(start: &HollowStart, port: u16, answers: Sender<CounterAnswer>) -> Self {
        let population = Population::new(&start.scenario, start.seed);
        let now = clock::now();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let limiters =
            start
                .scenario
                .limiters_of_zone(start.zone)
                .enumerate()
                .map(|(index, limiter)| {
                    let settings = settings(&population, limiter, start.scenario.sizes.limiters);
                    let seed = start
                        .seed
                        .wrapping_mul(7_919)
                        .wrapping_add(u64::from(limiter));
                    let (calls, received_calls) = unbounded();
                    let answers = answers.clone();
                    // If the thread cannot be started, the limiter's calls time out and are
                    // counted as lost.
                    _ = stand_in::spawn(move || {
                        run_counter_connection(address, index, &received_calls, &answers)
                    });
                    HostedLimiter {
                        host: EngineHost::new(settings, seed, now),
                        traffic: population.local_traffic(limiter),
                        next_request: u64::MAX,
                        calls,
                    }
                });
        let limiters = limiters.collect();
        let rng = StdRng::seed_from_u64(start.seed ^ u64::from(start.zone) << 32);
        Self {
            population,
            limiters,
            rng,
            units: HashMap::new(),
            began: None,
        }
    }

    fn run(&mut self, commands: &Receiver<DriverCommand>, answers: &Receiver<CounterAnswer>) {
        loop {
            match commands.try_recv() {
                Ok(DriverCommand::Begin) => self.begin(),
                Ok(DriverCommand::Finish(reply)) => {
                    _ = reply.send(self.result());
                    return;
                }
                Err(_) => {}
            }
            let wait =
                Duration::from_micros(self.next_wake().saturating_sub(clock::now())).min(MAX_WAIT);
            match answers.recv_timeout(wait) {
                Ok(answer) => self.on_counter_answer(answer),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.wake();
        }
    }

    fn begin(&mut self) {
        let now = clock::now();
        self.began = Some(now);
        for index in 0..self.limiters.len() {
            self.limiters[index].next_request = now + self.draw_gap(index);
        }
    }

    /// Draws the time in µs until the next request of a limiter; requests are a Poisson process.
    fn draw_gap(&mut self, index: usize) -> u64 {
        let rate = self.limiters[index].traffic.requests_per_s();
        if rate <= 0.0 {
            return u64::MAX / 2;
        }
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        (-uniform.ln() / rate * SECOND as f64) as u64
    }

    /// Returns the time in µs at which the next request or timer is due.
    fn next_wake(&self) -> u64 {
        self.limiters
            .iter()
            .map(|limiter| limiter.next_request.min(limiter.host.next_wake()))
            .min()
            .unwrap_or(0)
    }

    fn on_counter_answer(&mut self, (index, key, outcome, total): CounterAnswer) {
        let mut effects = Effects::default();
        self.limiters[index]
            .host
            .on_counter_reply(clock::now(), key, outcome, total, &mut effects);
        self.apply_effects(index, effects);
    }

    fn wake(&mut self) {
        let now = clock::now();
        for index in 0..self.limiters.len() {
            let mut effects = Effects::default();
            while self.limiters[index].next_request <= now {
                let gap = self.draw_gap(index);
                let limiter = &mut self.limiters[index];
                limiter.next_request += gap;
                if let Some(tenant) = limiter.traffic.draw(&mut self.rng) {
                    let units = self.population.draw_units(&mut self.rng);
                    limiter
                        .host
                        .request(now, &self.population, (tenant, units), &mut effects);
                }
            }
            if self.limiters[index].host.next_wake() <= now {
                self.limiters[index].host.wake(now, &mut effects);
            }
            self.apply_effects(index, effects);
        }
    }

    fn apply_effects(&mut self, index: usize, effects: Effects) {
        let second = clock::now().saturating_sub(self.began.unwrap_or(0)) / SECOND;
        for sent in effects.sent {
            *self
                .units
                .entry((second as u32, sent.tenant as u32))
                .or_default() += sent.units;
        }
        for call in effects.calls {
            _ = self.limiters[index].calls.send(call);
        }
    }

    fn result(&self) -> Decisions {
        let mut counts = DecisionCounts::default();
        self.limiters
            .iter()
            .for_each(|limiter| counts.add(&limiter.host.counts()));
        let to_entry = |(&(second, tenant), &units): (&(u32, u32), &f64)| TenantUnits {
            second,
            tenant,
            units,
        };
        let mut units: Vec<TenantUnits> = self.units.iter().map(to_entry).collect();
        units.sort_by_key(|sent| (sent.second, sent.tenant));
        Decisions { counts, units }
    }
}

/// Writes the calls of a limiter on one connection and opens a new one if it breaks. A second
/// thread reads the answers.
fn run_counter_connection(
    address: SocketAddr,
    index: usize,
    calls: &Receiver<CounterCall>,
    answers: &Sender<CounterAnswer>,
) {
    let mut connection: Option<CounterConnection> = None;
    for call in calls {
        let open = connection
            .take()
            .or_else(|| CounterConnection::open(address, index, answers.clone()));
        connection = open.filter(|open| open.write(&call, address));
        if connection.is_none() {
            _ = answers.send((index, call.key, Outcome::ConnectFailed, 0.0));
        }
    }
}

/// Connection of one limiter to the counter.
struct CounterConnection {
    stream: TcpStream,
    /// Keys of calls whose answers are outstanding, in order.
    pending_keys: Sender<u64>,
}

impl CounterConnection {
    fn open(address: SocketAddr, index: usize, answers: Sender<CounterAnswer>) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(250)).ok()?;
        stream.set_nodelay(true).ok()?;
        let reading = stream.try_clone().ok()?;
        let (pending_keys, answered_keys) = unbounded();
        let read = move || {
            HttpCounterProtocol.read(&reading, &mut |outcome, total| {
                let key: Option<u64> = answered_keys.try_recv().ok();
                key.is_some_and(|key| answers.send((index, key, outcome, total)).is_ok())
            });
        };
        stand_in::spawn(read).ok()?;
        Some(Self {
            stream,
            pending_keys,
        })
    }

    fn write(&self, call: &CounterCall, address: SocketAddr) -> bool {
        let ttl = Duration::from_micros(call.ttl);
        let addition = Addition {
            call_number: 0,
            counter: call.key,
            amount: call.amount,
            ttl,
        };
        // Queued before the call is written, because the answer could otherwise come first.
        self.pending_keys.send(call.key).is_ok()
            && (&self.stream)
                .write_all(&HttpCounterProtocol.encode(&addition, address))
                .is_ok()
    }
}
