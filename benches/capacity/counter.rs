//! Number of calls to the quota counter, and their bytes as encoded for an HTTP and for a Redis
//! server.

use super::arguments::Plan;
use super::limiter::{attempt_served, counter_reply, Limiter, COUNTER_LATENCY, SERVER_LATENCY};
use super::report::{Axis, Experiment, Figure, Quantity};
use super::shared_counter::SharedCounter;
use super::traffic::{Shape, Traffic, REQUESTS_PER_LIMITER};
use super::world::{SECOND, START};
use mossrill::counter::http::HttpCounterProtocol;
use mossrill::counter::redis::RedisCounterProtocol;
use mossrill::counter::{Addition, CounterProtocol};
use mossrill::decision::{Action, Event, Micros};
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand::rngs::StdRng;
use rand::SeedableRng;
use rand_distr::Exp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Number of servers; counter calls do not depend on it.
const SERVERS: u64 = 24;
/// The traffic before counting starts lasts for the counted time divided by this.
const WARM_UP_DIVISOR: u64 = 2;
/// Difference between the seeds of limiters with consecutive numbers.
const SEED_STEP: u64 = 7_919;

/// Requests, and calls to the counter, in the counted time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CounterTraffic {
    /// Number of requests that arrived.
    pub requests: u64,
    /// Number of requests that were sent to a server.
    pub forwarded: u64,
    /// Number of counter calls.
    pub calls: u64,
    /// Bytes of the calls as HTTP requests.
    pub http_bytes: u64,
    /// Bytes of the calls as Redis commands.
    pub redis_bytes: u64,
}

/// Something that happens at one limiter.
enum SimulationEvent {
    /// A request arrives.
    Arrival,
    /// The limiter's timer expires.
    Timer,
    /// The limiter receives the reply of the counter or of a server.
    Reply(Event),
}

/// One limiter and the traffic that it receives.
struct SimulatedLimiter {
    limiter: Limiter,
    /// Chooses the tenant of a request, weighted by the tenants' rates at this limiter.
    choice: WeightedIndex<f64>,
    rng: StdRng,
}

/// The fully simulated limiters of a fleet, on one clock.
struct Simulation<'a> {
    traffic: &'a Traffic,
    limiters: Vec<SimulatedLimiter>,
    counter: SharedCounter<'a>,
    /// Pending events: the time, the index in `events`, and the index of the limiter.
    event_queue: BinaryHeap<Reverse<(Micros, usize, usize)>>,
    /// All events that were scheduled; `None` once an event has happened.
    events: Vec<Option<SimulationEvent>>,
    /// Time from which requests and calls are counted.
    count_from: Micros,
    counted: CounterTraffic,
}

impl<'a> Simulation<'a> {
    fn new(traffic: &'a Traffic, sampled: u64, seed: u64) -> Self {
        let all = u64::from(traffic.limiters);
        let sampled = sampled.min(all);
        let numbers: Vec<u32> = (0..sampled)
            .map(|place| (place * all / sampled) as u32)
            .collect();
        let simulated = |number: &u32| {
            let seed = seed + SEED_STEP * u64::from(*number);
            // A limiter that receives no requests is not simulated.
            let choice = WeightedIndex::new(traffic.rates_at(*number)).ok()?;
            let limiter = Limiter::new(traffic, *number, SERVERS, seed);
            Some(SimulatedLimiter {
                limiter,
                choice,
                rng: StdRng::seed_from_u64(seed),
            })
        };
        Self {
            traffic,
            limiters: numbers.iter().filter_map(simulated).collect(),
            counter: SharedCounter::new(traffic, &numbers, seed),
            event_queue: BinaryHeap::new(),
            events: Vec::new(),
            count_from: START,
            counted: CounterTraffic::default(),
        }
    }

    /// Runs the traffic for the warm-up time and the given time, and returns what was counted.
    fn run(mut self, seconds: u64) -> CounterTraffic {
        self.count_from = START + seconds * SECOND / WARM_UP_DIVISOR;
        for limiter_index in 0..self.limiters.len() {
            self.schedule(START, limiter_index, SimulationEvent::Timer);
            self.schedule_arrival(START, limiter_index);
        }
        let end = self.count_from + seconds * SECOND;
        while let Some(Reverse((now, number, limiter_index))) = self.event_queue.pop() {
            if now >= end {
                break;
            }
            if let Some(event) = self.events[number].take() {
                self.handle(now, limiter_index, event);
            }
        }
        self.counted
    }

    fn schedule(&mut self, time: Micros, limiter_index: usize, event: SimulationEvent) {
        self.event_queue
            .push(Reverse((time, self.events.len(), limiter_index)));
        self.events.push(Some(event));
    }

    /// Schedules the next request at a limiter, after an exponentially distributed gap.
    fn schedule_arrival(&mut self, now: Micros, limiter_index: usize) {
        let gaps = Exp::new(REQUESTS_PER_LIMITER).expect("the request rate is positive");
        let gap = gaps.sample(&mut self.limiters[limiter_index].rng) * SECOND as f64;
        self.schedule(now + gap as Micros, limiter_index, SimulationEvent::Arrival);
    }

    /// Gives an event to its limiter and carries out the limiter's actions.
    fn handle(&mut self, now: Micros, limiter_index: usize, event: SimulationEvent) {
        let is_counted = now >= self.count_from;
        let event = match event {
            SimulationEvent::Timer => Event::TimerExpired { token: 0 },
            SimulationEvent::Reply(event) => event,
            SimulationEvent::Arrival => {
                self.schedule_arrival(now, limiter_index);
                let simulated = &mut self.limiters[limiter_index];
                let tenant = simulated.choice.sample(&mut simulated.rng);
                self.counter.register_keys(now, tenant);
                self.counted.requests += u64::from(is_counted);
                Event::Request(simulated.limiter.request(&self.traffic.tenants[tenant]))
            }
        };
        let limiter = &mut self.limiters[limiter_index].limiter;
        limiter.now = now;
        for action in limiter.handle(event) {
            self.carry_out(now, limiter_index, is_counted, action);
        }
    }

    fn carry_out(&mut self, now: Micros, limiter_index: usize, is_counted: bool, action: Action) {
        match action {
            Action::SetTimer { delay, .. } => {
                self.schedule(now + delay, limiter_index, SimulationEvent::Timer)
            }
            Action::Send { id, server, .. } => {
                self.counted.forwarded += u64::from(is_counted);
                self.schedule(
                    now + SERVER_LATENCY,
                    limiter_index,
                    SimulationEvent::Reply(attempt_served(id, server)),
                );
            }
            Action::AddToCounter { key, amount, ttl } => {
                if is_counted {
                    self.counted.record_call(key, amount, ttl);
                }
                let total = self.counter.add(now + COUNTER_LATENCY, key, amount);
                self.schedule(
                    now + COUNTER_LATENCY,
                    limiter_index,
                    SimulationEvent::Reply(counter_reply(key, total)),
                );
            }
            _ => {}
        }
    }
}

impl CounterTraffic {
    /// Counts a call, and its bytes in both encodings.
    fn record_call(&mut self, key: u64, amount: f64, ttl: Micros) {
        let address = SocketAddr::from((Ipv4Addr::new(10, 1, 0, 18), 7_070));
        let addition = Addition {
            call_number: 0,
            counter: key,
            amount,
            ttl: Duration::from_micros(ttl),
        };
        self.calls += 1;
        self.http_bytes += HttpCounterProtocol.encode(&addition, address).len() as u64;
        self.redis_bytes += RedisCounterProtocol.encode(&addition, address).len() as u64;
    }
}

/// Simulates traffic and returns what the simulated limiters of a fleet send to the counter in this
/// number of seconds.
///
/// If tenants exceed their quotas, all limiters are simulated, because the model of the others
/// rejects no claim.
pub fn simulate(shape: Shape, sampled: u64, seconds: u64, seed: u64) -> CounterTraffic {
    let traffic = Traffic::new(shape, seed);
    let sampled = if shape.headroom < 1.0 {
        shape.limiters
    } else {
        sampled
    };
    Simulation::new(&traffic, sampled, seed).run(seconds)
}

fn figures(shape: Shape, plan: &Plan, seed: u64) -> Vec<Figure> {
    let sent = simulate(shape, plan.sampled, plan.seconds, seed);
    if sent.requests == 0 || sent.calls == 0 {
        return Vec::new();
    }
    let ratio = |count: u64, base: u64| count as f64 / base as f64;
    // Scaled to the nominal request rate, as the number of requests that arrived is random.
    let per_second = |bytes: u64| ratio(bytes, sent.requests) * REQUESTS_PER_LIMITER;
    vec![
        Figure::new(Quantity::CallsPerRequest, ratio(sent.calls, sent.requests)),
        Figure::new(
            Quantity::HttpBytesPerCall,
            ratio(sent.http_bytes, sent.calls),
        ),
        Figure::new(
            Quantity::RedisBytesPerCall,
            ratio(sent.redis_bytes, sent.calls),
        ),
        Figure::new(Quantity::HttpBytesPerSecond, per_second(sent.http_bytes)),
        Figure::new(Quantity::RedisBytesPerSecond, per_second(sent.redis_bytes)),
        Figure::new(
            Quantity::NotSent,
            1.0 - ratio(sent.forwarded, sent.requests),
        ),
    ]
}

/// Counter calls by tenants, by limiters and by spread, for each skew.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    let mut experiments = Vec::new();
    let (tenants, limiters) = (plan.max_tenants(), plan.max_limiters());
    for skew in &plan.skews {
        let (skew, headroom) = (*skew, plan.headroom);
        experiments.push(Experiment::run(
            format!("counter-by-tenants-zipf-{skew}"),
            format!("{limiters} limiters, tenants through all of them, Zipf {skew}"),
            Axis::Tenants,
            (&plan.tenants, &plan.seeds),
            |tenants, seed| {
                figures(
                    Shape {
                        tenants,
                        limiters,
                        spread: limiters,
                        skew,
                        headroom,
                    },
                    plan,
                    seed,
                )
            },
        ));
        experiments.push(Experiment::run(
            format!("counter-by-limiters-zipf-{skew}"),
            format!("{tenants} tenants through all limiters, Zipf {skew}"),
            Axis::Limiters,
            (&plan.limiters, &plan.seeds),
            |limiters, seed| {
                figures(
                    Shape {
                        tenants,
                        limiters,
                        spread: limiters,
                        skew,
                        headroom,
                    },
                    plan,
                    seed,
                )
            },
        ));
        experiments.push(Experiment::run(
            format!("counter-by-spread-zipf-{skew}"),
            format!("{limiters} limiters, {tenants} tenants, Zipf {skew}"),
            Axis::Spread,
            (&plan.spreads, &plan.seeds),
            |spread, seed| {
                figures(
                    Shape {
                        tenants,
                        limiters,
                        spread,
                        skew,
                        headroom,
                    },
                    plan,
                    seed,
                )
            },
        ));
    }
    experiments
}
