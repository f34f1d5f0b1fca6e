//! Calls of the quota counter, and their bytes as they are worded for an HTTP and for a Redis server.

use super::arguments::Plan;
use super::limiter::{counted, served, Limiter, COUNTER_TAKES, SERVER_TAKES};
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

/// Servers, which calls do not depend on.
const SERVERS: u64 = 24;
/// Before anything is counted, traffic runs for this part of the time that is counted.
const WARM_UP_PART: u64 = 2;
/// Between the seeds of two limiters.
const SEED_STEP: u64 = 7_919;

/// What was sent to the counter while it was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sent {
    /// Requests that came in.
    pub requests: u64,
    /// Requests that were sent on to a server.
    pub sent_on: u64,
    /// Calls of the counter.
    pub calls: u64,
    /// Bytes of the calls over HTTP.
    pub http_bytes: u64,
    /// Bytes of the calls of a Redis server.
    pub redis_bytes: u64,
}

/// What happens at one limiter.
enum Happens {
    Arrival,
    Timer,
    Given(Event),
}

/// One limiter under traffic.
struct Simulated {
    limiter: Limiter,
    choice: WeightedIndex<f64>,
    rng: StdRng,
}

/// Some limiters of a fleet under traffic, on one clock.
struct Simulation<'a> {
    traffic: &'a Traffic,
    limiters: Vec<Simulated>,
    counter: SharedCounter<'a>,
    /// Times in order, each with the place of what happens then and of the limiter that it happens to.
    due: BinaryHeap<Reverse<(Micros, usize, usize)>>,
    events: Vec<Option<Happens>>,
    count_from: Micros,
    sent: Sent,
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
            // A limiter that no tenant comes through has nothing to simulate.
            let choice = WeightedIndex::new(traffic.rates_at(*number)).ok()?;
            let limiter = Limiter::new(traffic, *number, SERVERS, seed);
            Some(Simulated {
                limiter,
                choice,
                rng: StdRng::seed_from_u64(seed),
            })
        };
        Self {
            traffic,
            limiters: numbers.iter().filter_map(simulated).collect(),
            counter: SharedCounter::new(traffic, &numbers, seed),
            due: BinaryHeap::new(),
            events: Vec::new(),
            count_from: START,
            sent: Sent::default(),
        }
    }

    fn play(mut self, seconds: u64) -> Sent {
        self.count_from = START + seconds * SECOND / WARM_UP_PART;
        for at in 0..self.limiters.len() {
            self.plan(START, at, Happens::Timer);
            self.plan_arrival(START, at);
        }
        let end = self.count_from + seconds * SECOND;
        while let Some(Reverse((now, event, at))) = self.due.pop() {
            if now >= end {
                break;
            }
            if let Some(happens) = self.events[event].take() {
                self.happen(now, at, happens);
            }
        }
        self.sent
    }

    fn plan(&mut self, time: Micros, at: usize, happens: Happens) {
        self.due.push(Reverse((time, self.events.len(), at)));
        self.events.push(Some(happens));
    }

    fn plan_arrival(&mut self, now: Micros, at: usize) {
        let gaps = Exp::new(REQUESTS_PER_LIMITER).expect("a limiter has requests");
        let gap = gaps.sample(&mut self.limiters[at].rng) * SECOND as f64;
        self.plan(now + gap as Micros, at, Happens::Arrival);
    }

    fn happen(&mut self, now: Micros, at: usize, happens: Happens) {
        let counts = now >= self.count_from;
        let event = match happens {
            Happens::Timer => Event::TimerExpired { token: 0 },
            Happens::Given(event) => event,
            Happens::Arrival => {
                self.plan_arrival(now, at);
                let simulated = &mut self.limiters[at];
                let tenant = simulated.choice.sample(&mut simulated.rng);
                self.counter.expect(now, tenant);
                self.sent.requests += u64::from(counts);
                Event::Request(simulated.limiter.request(&self.traffic.tenants[tenant]))
            }
        };
        let limiter = &mut self.limiters[at].limiter;
        limiter.now = now;
        for action in limiter.give(event) {
            self.act(now, at, counts, action);
        }
    }

    fn act(&mut self, now: Micros, at: usize, counts: bool, action: Action) {
        match action {
            Action::SetTimer { delay: after, .. } => self.plan(now + after, at, Happens::Timer),
            Action::Send { id, server, .. } => {
                self.sent.sent_on += u64::from(counts);
                self.plan(now + SERVER_TAKES, at, Happens::Given(served(id, server)));
            }
            Action::AddToCounter {
                key: name,
                amount: by,
                ttl,
            } => {
                if counts {
                    self.sent.call(name, by, ttl);
                }
                let total = self.counter.add(now + COUNTER_TAKES, name, by);
                self.plan(
                    now + COUNTER_TAKES,
                    at,
                    Happens::Given(counted(name, total)),
                );
            }
            _ => {}
        }
    }
}

impl Sent {
    fn call(&mut self, name: u64, by: f64, ttl: Micros) {
        let to = SocketAddr::from((Ipv4Addr::new(10, 1, 0, 18), 7_070));
        let addition = Addition {
            call_number: 0,
            counter: name,
            amount: by,
            ttl: Duration::from_micros(ttl),
        };
        self.calls += 1;
        self.http_bytes += HttpCounterProtocol.encode(&addition, to).len() as u64;
        self.redis_bytes += RedisCounterProtocol.encode(&addition, to).len() as u64;
    }
}

/// What some limiters of a fleet send to the counter in so many seconds.
///
/// Where tenants press against their quotas all limiters are simulated: the model of the others refuses no claim.
pub fn simulate(shape: Shape, sampled: u64, seconds: u64, seed: u64) -> Sent {
    let traffic = Traffic::new(shape, seed);
    let sampled = if shape.headroom < 1.0 {
        shape.limiters
    } else {
        sampled
    };
    Simulation::new(&traffic, sampled, seed).play(seconds)
}

fn figures(shape: Shape, plan: &Plan, seed: u64) -> Vec<Figure> {
    let sent = simulate(shape, plan.sampled, plan.seconds, seed);
    if sent.requests == 0 || sent.calls == 0 {
        return Vec::new();
    }
    let part = |of: u64, all: u64| of as f64 / all as f64;
    // At 130 requests a second, however many of them chance brought.
    let per_second = |bytes: u64| part(bytes, sent.requests) * REQUESTS_PER_LIMITER;
    vec![
        Figure::new(Quantity::CallsPerRequest, part(sent.calls, sent.requests)),
        Figure::new(
            Quantity::HttpBytesPerCall,
            part(sent.http_bytes, sent.calls),
        ),
        Figure::new(
            Quantity::RedisBytesPerCall,
            part(sent.redis_bytes, sent.calls),
        ),
        Figure::new(Quantity::HttpBytesPerSecond, per_second(sent.http_bytes)),
        Figure::new(Quantity::RedisBytesPerSecond, per_second(sent.redis_bytes)),
        Figure::new(Quantity::NotSent, 1.0 - part(sent.sent_on, sent.requests)),
    ]
}

/// Calls against tenants, limiters and spread, for each skew.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    let mut experiments = Vec::new();
    let (tenants, limiters) = (plan.most_tenants(), plan.most_limiters());
    for skew in &plan.skews {
        let (skew, headroom) = (*skew, plan.headroom);
        experiments.push(Experiment::along(
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
        experiments.push(Experiment::along(
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
        experiments.push(Experiment::along(
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
