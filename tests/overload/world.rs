//! A discrete-event simulation of clients, limiters and upstream servers.

use crate::common::{class, endpoint, settings};
use crate::server::{SimulatedRequest, SimulatedServer, CORES, MEAN_SERVICE_MICROS, MS};
use mossrill::decision::{
    Action, AttemptResult, Endpoint, Event, Idempotency, Limits, Micros, Outcome, Plan, Request,
    RequestClass, Safety, Settings, UpdateScope,
};
use mossrill::Engine;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Latency objective of every request class.
pub const LATENCY_OBJECTIVE: Micros = 900 * MS;

/// Deadline of every request class.
pub const DEADLINE: Micros = 2_500 * MS;

/// Simulated time at which every world begins.
pub const START: Micros = 100_000 * MS;

/// An event of the simulation. An attempt is identified by its request number and its attempt
/// number.
pub enum SimulatedEvent {
    /// A client sends a request. For a retry, `first_sent_at` is when the client first sent it; for
    /// a new request it is 0.
    Send {
        first_sent_at: Micros,
        retries_left: u32,
    },
    /// The timer of a limiter fires.
    LimiterTimer(usize),
    /// A server completes an attempt.
    AttemptCompleted {
        server: usize,
        attempt: (usize, usize),
    },
    /// The timeout of an attempt passes.
    AttemptTimedOut { attempt: (usize, usize) },
    /// The client's timeout for a request passes.
    ClientTimedOut(usize),
    /// A limiter restarts without its state.
    LimiterRestart(usize),
    /// A server restarts and is cold.
    ServerRestart(usize),
}

/// The simulated limiters and servers, the requests of the clients, and the scheduled events.
pub struct World {
    pub now: Micros,
    /// Sequence number of the event that was scheduled last. Simultaneous events are handled in
    /// this order.
    pub sequence: u64,
    pub rng: StdRng,
    /// Time and sequence number of each scheduled event, the earliest first.
    pub queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Scheduled events by sequence number.
    pub scheduled: BTreeMap<u64, SimulatedEvent>,
    pub settings: Settings,
    pub limiters: Vec<Engine>,
    pub servers: Vec<SimulatedServer>,
    pub requests: Vec<SimulatedRequest>,
    /// Factor by which all servers are slower at present.
    pub slowdown: f64,
    /// Load of the first limiter as a multiple of the load of each other limiter.
    pub first_limiter_load: usize,
    /// Number of requests by the second in which the client first sent them, retries not counted.
    pub first_sent: Vec<f64>,
    /// Number of these requests that were answered within the latency objective, counted from when
    /// the client first sent them.
    pub served: Vec<f64>,
}

impl World {
    pub fn new(limiters: u32, servers: usize, seed: u64) -> Self {
        let class = |idempotency| RequestClass {
            latency_objective: LATENCY_OBJECTIVE,
            deadline: DEADLINE,
            priority_weight: 1.0,
            ..class(idempotency)
        };
        let settings = Settings {
            limiters,
            counter: false,
            classes: vec![
                class(Idempotency::Idempotent),
                class(Idempotency::NonIdempotent),
            ],
            plans: vec![Plan {
                rate: 1e6,
                burst: 1e6,
                weight_factor: 1.0,
                ..Plan::default()
            }],
            safety: Safety {
                initial_capacity: 0.16,
                slow_start: 18_000 * MS,
                overload_multiple: 2.5,
                overload_window: 3_000 * MS,
                drain_grace: 250 * MS,
            },
            limits: Limits {
                max_attempts: 4,
                cancel: true,
                max_retry_after: 1_000 * MS,
                ..Limits::default()
            },
            ..settings()
        };
        let mut world = Self {
            now: START,
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            limiters: (0..limiters)
                .map(|_| Engine::new(Settings::default(), 0))
                .collect(),
            servers: (0..servers)
                .map(|_| SimulatedServer {
                    speed: 1.0,
                    ..SimulatedServer::default()
                })
                .collect(),
            requests: Vec::new(),
            settings,
            slowdown: 1.0,
            first_limiter_load: 1,
            first_sent: vec![0.0; 64],
            served: vec![0.0; 64],
        };
        (0..limiters as usize).for_each(|limiter| world.start_limiter(limiter));
        world
    }

    /// Returns the endpoints of the servers in the range, as service discovery lists them.
    pub fn members(&self, servers: std::ops::Range<usize>) -> Vec<Endpoint> {
        servers
            .map(|server| Endpoint {
                started_at: self.servers[server].started_at,
                ..endpoint(&server.to_string(), "z0")
            })
            .collect()
    }

    /// Starts or restarts a limiter, whose engine then knows only the endpoint list.
    pub fn start_limiter(&mut self, limiter: usize) {
        let settings = Settings {
            limiter: limiter as u32,
            ..self.settings.clone()
        };
        let seed = self.rng.random();
        self.limiters[limiter] = Engine::new(settings, seed);
        self.requests
            .iter_mut()
            .filter(|request| request.limiter == limiter)
            .for_each(|request| request.attempts.fill(None));
        let members = self.members(0..self.servers.len());
        self.handle_event(
            limiter,
            Event::EndpointUpdate {
                scope: UpdateScope::Snapshot,
                endpoints: members,
            },
        );
    }

    /// Schedules an event at `delay` from now.
    pub fn schedule(&mut self, delay: Micros, event: SimulatedEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.scheduled.insert(self.sequence, event);
    }

    /// Returns the number of whole seconds from [`START`] to `at`.
    pub fn second(&self, at: Micros) -> usize {
        ((at - START) / (1_000 * MS)) as usize
    }

    /// Simulates `seconds` under a load of `load` times the capacity of the servers, and returns
    /// the fraction of requests that were served in time, by second. All servers are `slowdown.0`
    /// times slower in the seconds `slowdown.1`.
    pub fn run(
        &mut self,
        seconds: usize,
        load: f64,
        slowdown: (f64, std::ops::Range<usize>),
    ) -> Vec<f64> {
        let mean_interval = MEAN_SERVICE_MICROS / (load * (self.servers.len() * CORES) as f64);
        self.schedule(
            0,
            SimulatedEvent::Send {
                first_sent_at: 0,
                retries_left: 3,
            },
        );
        while let Some(Reverse((now, sequence))) = self.queue.pop() {
            self.now = now;
            let second = self.second(now);
            if second > seconds {
                break;
            }
            self.slowdown = if slowdown.1.contains(&second) {
                slowdown.0
            } else {
                1.0
            };
            match self.scheduled.remove(&sequence) {
                Some(SimulatedEvent::Send {
                    first_sent_at,
                    retries_left,
                }) => {
                    if first_sent_at == 0 {
                        let next = mean_interval * self.rng.sample::<f64, _>(Exp1);
                        self.schedule(
                            next as Micros,
                            SimulatedEvent::Send {
                                first_sent_at: 0,
                                retries_left: 3,
                            },
                        );
                        self.first_sent[second] += 1.0;
                    }
                    self.send_request(
                        if first_sent_at == 0 {
                            now
                        } else {
                            first_sent_at
                        },
                        retries_left,
                    );
                }
                Some(SimulatedEvent::LimiterTimer(limiter)) => {
                    self.handle_event(limiter, Event::TimerExpired { token: 0 })
                }
                Some(SimulatedEvent::AttemptCompleted { server, attempt }) => {
                    self.complete_attempt(server, attempt)
                }
                Some(SimulatedEvent::AttemptTimedOut { attempt }) => {
                    self.end_attempt(attempt, Outcome::Timeout)
                }
                Some(SimulatedEvent::ClientTimedOut(number)) => self.time_out_client(number),
                Some(SimulatedEvent::LimiterRestart(limiter)) => self.start_limiter(limiter),
                Some(SimulatedEvent::ServerRestart(server)) => {
                    self.servers[server].started_at = now;
                    let members = self.members(server..server + 1);
                    for limiter in 0..self.limiters.len() {
                        let members = members.clone();
                        self.handle_event(
                            limiter,
                            Event::EndpointUpdate {
                                scope: UpdateScope::Delta,
                                endpoints: members,
                            },
                        );
                    }
                }
                None => {}
            }
        }
        (0..seconds)
            .map(|second| self.served[second] / self.first_sent[second].max(1.0))
            .collect()
    }

    /// Sends a request from a client to a random limiter.
    pub fn send_request(&mut self, first_sent_at: Micros, retries_left: u32) {
        let choice = self
            .rng
            .random_range(0..self.limiters.len() + self.first_limiter_load - 1);
        let limiter = if choice < self.limiters.len() {
            choice
        } else {
            0
        };
        let number = self.requests.len();
        self.requests.push(SimulatedRequest {
            limiter,
            first_sent_at,
            retries_left,
            finished: false,
            attempts: Vec::new(),
        });
        let class = usize::from(self.rng.random_bool(0.4));
        let account_name = format!("c{}", self.rng.random_range(0..400));
        let timeout = DEADLINE
            .saturating_sub(self.now - first_sent_at)
            .min(DEADLINE * 3 / 4);
        let account = account_name.as_str().into();
        self.schedule(timeout, SimulatedEvent::ClientTimedOut(number));
        let id = number.to_string().as_str().into();
        let request = Request {
            id,
            class,
            plan: 0,
            account,
            timeout,
            units: 1.0,
            limiter_count: 2,
            first_limiter: 0,
        };
        self.handle_event(limiter, Event::Request(request));
    }

    /// Passes an event to the engine of a limiter and carries out the actions that result.
    pub fn handle_event(&mut self, limiter: usize, event: Event) {
        let mut actions = Vec::new();
        self.limiters[limiter].on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { delay, .. } => {
                    self.schedule(delay, SimulatedEvent::LimiterTimer(limiter))
                }
                Action::Send {
                    id,
                    server,
                    timeout,
                    ..
                } => {
                    let (number, server) = (
                        id.0.parse().expect("request id is a number"),
                        server.0.parse().expect("server id is a number"),
                    );
                    let attempt: (usize, usize) = (number, self.requests[number].attempts.len());
                    self.requests[number]
                        .attempts
                        .push(Some((server, self.now)));
                    self.schedule(timeout, SimulatedEvent::AttemptTimedOut { attempt });
                    self.servers[server].arrivals.push(self.now);
                    if self.servers[server].waiting.len() >= 40 {
                        self.end_attempt(attempt, Outcome::Rejected);
                    } else {
                        self.servers[server].waiting.push_back(attempt);
                        self.start_queued(server);
                    }
                }
                Action::Cancel { id, attempt } => {
                    self.cancel_attempt(id.0.parse().expect("request id is a number"), attempt)
                }
                Action::Reject { id, retry_after } => {
                    self.retry_or_finish(id.0.parse().expect("request id is a number"), retry_after)
                }
                Action::Fail { id } => {
                    self.retry_or_finish(id.0.parse().expect("request id is a number"), 100 * MS)
                }
                _ => {}
            }
        }
    }

    /// Cancels an attempt: it leaves the server's queue, but continues on the server if it already
    /// runs.
    pub fn cancel_attempt(&mut self, number: usize, attempt: usize) {
        if let Some((server, _)) = self.requests[number].attempts[attempt].take() {
            self.servers[server]
                .waiting
                .retain(|queued| *queued != (number, attempt));
        }
    }

    /// Moves queued attempts of a server to its free cores.
    pub fn start_queued(&mut self, server: usize) {
        while self.servers[server].running.len() < CORES {
            let Some(attempt) = self.servers[server].waiting.pop_front() else {
                return;
            };
            let queue_per_core = self.servers[server].waiting.len() as f64 / CORES as f64;
            let exponential: f64 = Exp1.sample(&mut self.rng);
            let time_factor = self.slowdown / self.servers[server].capacity(self.now);
            let service_micros = MEAN_SERVICE_MICROS
                * time_factor
                * (1.0 + 0.15 * (queue_per_core - 3.0).max(0.0))
                * exponential;
            self.servers[server].running.push(attempt);
            self.schedule(
                service_micros as Micros + MS,
                SimulatedEvent::AttemptCompleted { server, attempt },
            );
        }
    }

    /// Frees the core of a completed attempt, counts its request if served in time, and reports the
    /// outcome.
    pub fn complete_attempt(&mut self, server: usize, attempt: (usize, usize)) {
        self.servers[server]
            .running
            .retain(|other| *other != attempt);
        self.start_queued(server);
        let SimulatedRequest {
            first_sent_at,
            finished,
            ..
        } = self.requests[attempt.0];
        if self.requests[attempt.0].attempts[attempt.1].is_some() && !finished {
            let second = self.second(first_sent_at);
            self.served[second] +=
                f64::from(u8::from(self.now - first_sent_at <= LATENCY_OBJECTIVE));
            self.requests[attempt.0].finished = true;
        }
        self.end_attempt(attempt, Outcome::Ok);
    }

    /// Ends an attempt that is still open and reports its outcome to its limiter.
    pub fn end_attempt(&mut self, (number, attempt): (usize, usize), outcome: Outcome) {
        let Some((server, sent)) = self.requests[number].attempts[attempt] else {
            return;
        };
        self.cancel_attempt(number, attempt);
        let (id, server) = (
            number.to_string().as_str().into(),
            server.to_string().as_str().into(),
        );
        let latency = self.now - sent;
        let (is_final, load) = (self.requests[number].finished, Vec::new());
        let ended = AttemptResult {
            id,
            attempt,
            server,
            outcome,
            latency,
            is_final,
            load,
            settled_units: None,
        };
        self.handle_event(self.requests[number].limiter, Event::AttemptEnded(ended));
    }

    /// Finishes a request without an answer; the client retries it if retries and time are left.
    /// With equal chance the client waits for `retry_after` or for 60 ms.
    pub fn retry_or_finish(&mut self, number: usize, retry_after: Micros) {
        let SimulatedRequest {
            first_sent_at,
            retries_left,
            finished,
            ..
        } = self.requests[number];
        self.requests[number].finished = true;
        let wait = if self.rng.random_bool(0.5) {
            retry_after
        } else {
            60 * MS
        };
        if !finished && retries_left > 0 && self.now + wait < first_sent_at + DEADLINE {
            self.schedule(
                wait,
                SimulatedEvent::Send {
                    first_sent_at,
                    retries_left: retries_left - 1,
                },
            );
        }
    }

    /// Disconnects the client of a request that timed out, and lets it retry.
    pub fn time_out_client(&mut self, number: usize) {
        if !self.requests[number].finished {
            let id = number.to_string().as_str().into();
            self.handle_event(
                self.requests[number].limiter,
                Event::ClientDisconnected { id },
            );
            self.retry_or_finish(number, 100 * MS);
        }
    }
}
