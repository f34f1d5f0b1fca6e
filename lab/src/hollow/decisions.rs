//! The engines of hollow limiters, driven in real time, and their connections to the counter.

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

/// Answers of the counter are waited for at most so long before the timers are looked at.
const LONGEST_WAIT: Duration = Duration::from_millis(20);

/// The answer to a call: limiter of this process, count, outcome, total.
type Answer = (usize, u64, Outcome, f64);

/// What the gateways of this process decided.
#[derive(Default)]
pub(super) struct Decisions {
    pub(super) counts: DecisionCounts,
    pub(super) units: Vec<TenantUnits>,
}

enum Order {
    Begin,
    Finish(Sender<Decisions>),
}

/// The thread that drives the gateways of this process.
pub(super) struct Deciders {
    orders: Sender<Order>,
}

impl Deciders {
    pub(super) fn start(start: &HollowStart, port: u16) -> Result<Self, LabError> {
        let (orders, taken) = unbounded();
        let (answers, answered) = unbounded();
        let mut driver = Driver::new(start, port, answers);
        let work = move || driver.run(&taken, &answered);
        std::thread::Builder::new().spawn(work)?;
        Ok(Self { orders })
    }

    pub(super) fn begin(&self) {
        _ = self.orders.send(Order::Begin);
    }

    pub(super) fn finish(self) -> Decisions {
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
            HttpCounterProtocol.read(&reading, &mut |outcome, total| {
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
            call_number: 0,
            counter: call.name,
            amount: call.by,
            ttl,
        };
        // Before the call is written, or its answer could come first.
        self.names.send(call.name).is_ok()
            && (&self.stream)
                .write_all(&HttpCounterProtocol.encode(&addition, at))
                .is_ok()
    }
}
