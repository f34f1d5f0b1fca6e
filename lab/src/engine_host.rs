//! Hosts one real decision engine (`mossrill::Engine`) for randomly drawn requests. It does no I/O
//! and reads no clock: the caller passes the time in and carries out the counter calls. Its
//! upstream servers are simulated and answer after a fixed time.

use crate::messages::DecisionCounts;
use crate::population::Population;
use mossrill::decision::{
    AccountId, Action, AttemptResult, Endpoint, Event, Idempotency, Limits, Micros, Outcome, Plan,
    Prices, Readiness, Request, RequestClass, RequestId, Safety, ServerId, Settings, UpdateScope,
};
use mossrill::Engine;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Number of simulated upstream servers: few, because these runs do not test the choice among them.
const SERVER_COUNT: u32 = 24;
/// Time in µs after which a simulated server answers.
const ANSWER_TIME: Micros = 1_000;
/// Latency objective of all requests in µs.
const LATENCY_OBJECTIVE: Micros = 2_000_000;
/// Deadline of all requests in µs after their arrival, and the time for which clients wait.
const DEADLINE: Micros = 4_000_000;
/// Timeout of a counter call in µs.
pub const CALL_TIMEOUT: Micros = 50_000;

/// A call to the counter.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    /// Key of the count.
    pub key: u64,
    /// Amount to add.
    pub amount: f64,
    /// Time in µs after which a new key expires.
    pub ttl: Micros,
}

/// A request that was sent upstream.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// Number of the tenant.
    pub tenant: usize,
    /// Units of the request.
    pub units: f64,
    /// Time in µs for which it waited for the answer of a counter call; `None` if it did not wait.
    pub waited: Option<Micros>,
}

/// Effects of one or more events, for the caller to carry out.
#[derive(Default)]
pub struct Effects {
    /// Counter calls to make.
    pub calls: Vec<CounterCall>,
    /// Requests sent upstream.
    pub sent: Vec<SentRequest>,
    /// Requests refused or failed; for each, the time in µs for which it waited for the answer of a
    /// counter call.
    pub refused: Vec<Option<Micros>>,
}

/// A scheduled event.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    Answer { request: u64, attempt: usize },
    CallTimeout { key: u64, call: u64 },
}

/// A request that has not ended.
struct OpenRequest {
    tenant: usize,
    units: f64,
    /// Time of arrival in µs.
    arrived: Micros,
    /// Server of each attempt so far.
    attempts: Vec<ServerId>,
}

/// What caused a decision: the answer of a counter call, or anything else.
#[derive(Clone, Copy, PartialEq)]
enum Cause {
    CounterAnswer,
    Other,
}

/// One decision engine with its timers, its open requests and its counter calls.
pub struct EngineHost {
    engine: Engine,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    sequence: u64,
    open: HashMap<u64, OpenRequest>,
    requests: u64,
    /// Outstanding counter calls: number of the latest call by key.
    calls: HashMap<u64, u64>,
    actions: Vec<Action>,
    counts: DecisionCounts,
}

/// Returns the settings of a hosted engine.
pub fn settings(population: &Population, limiter: u32, limiters: u32) -> Settings {
    let class = RequestClass {
        latency_objective: LATENCY_OBJECTIVE,
        deadline: DEADLINE,
        idempotency: Idempotency::Idempotent,
        idempotency_window: 0,
        priority_weight: 1.0,
        late_weight: 0.0,
    };
    let plans = population.plans.iter().map(|plan| Plan {
        rate: plan.rate,
        burst: plan.burst,
        weight_factor: 1.0,
        over_quota_cost: 1.0,
        ..Plan::default()
    });
    Settings {
        limiter,
        limiters,
        tick: 2_000,
        classes: vec![class],
        plans: plans.collect(),
        limits: Limits {
            max_attempts: 2,
            cancel: true,
            hedging: true,
            ..Limits::default()
        },
        safety: Safety {
            drain_grace: 1_000_000,
            initial_capacity: 0.2,
            ..Safety::default()
        },
        prices: Prices {
            counter_call: 0.01,
            waste: 0.05,
            ..Prices::default()
        },
        counter: true,
        counter_timeout: CALL_TIMEOUT,
        ..Settings::default()
    }
}

impl EngineHost {
    /// Creates an engine that knows its upstream servers and has no other state.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut host = Self {
            engine: Engine::new(settings, seed),
            due: BinaryHeap::new(),
            sequence: 0,
            open: HashMap::new(),
            requests: 0,
            calls: HashMap::new(),
            actions: Vec::new(),
            counts: DecisionCounts::default(),
        };
        let endpoints = (0..SERVER_COUNT).map(server).collect();
        let event = Event::EndpointUpdate {
            scope: UpdateScope::Snapshot,
            endpoints,
        };
        host.on_event(now, event, Cause::Other, &mut Effects::default());
        host
    }

    /// Returns the time in µs at which [`Self::wake`] is due, or [`Micros::MAX`] for never.
    pub fn next_wake(&self) -> Micros {
        self.due.peek().map_or(Micros::MAX, |Reverse((at, ..))| *at)
    }

    /// Returns the numbers of decisions and calls so far.
    pub fn counts(&self) -> DecisionCounts {
        let undecided = self
            .open
            .values()
            .filter(|open| open.attempts.is_empty())
            .count() as u64;
        DecisionCounts {
            undecided,
            ..self.counts
        }
    }

    /// Passes a request of a tenant to the engine.
    pub fn request(
        &mut self,
        now: Micros,
        population: &Population,
        (tenant, units): (usize, f64),
        effects: &mut Effects,
    ) {
        let traffic = &population.tenants[tenant];
        self.requests += 1;
        self.counts.requests += 1;
        let number = self.requests;
        self.open.insert(
            number,
            OpenRequest {
                tenant,
                units,
                arrived: now,
                attempts: Vec::new(),
            },
        );
        let request = Request {
            id: RequestId(number.to_string().into()),
            class: 0,
            plan: traffic.plan,
            account: AccountId(tenant.to_string().into()),
            timeout: DEADLINE,
            units,
            limiter_count: traffic.spread,
            first_limiter: traffic.first,
        };
        self.on_event(now, Event::Request(request), Cause::Other, effects);
    }

    /// Passes the answer to a counter call to the engine. Ignores it if the call has timed out.
    pub fn on_counter_reply(
        &mut self,
        now: Micros,
        key: u64,
        outcome: Outcome,
        total: f64,
        effects: &mut Effects,
    ) {
        if self.calls.remove(&key).is_some() {
            self.counts.calls_answered += u64::from(outcome == Outcome::Ok);
            self.on_event(
                now,
                Event::CounterReply {
                    key,
                    total,
                    outcome,
                },
                Cause::CounterAnswer,
                effects,
            );
        }
    }

    /// Carries out all scheduled events that are due.
    pub fn wake(&mut self, now: Micros, effects: &mut Effects) {
        while self.next_wake() <= now {
            let Some(Reverse((_, _, due))) = self.due.pop() else {
                return;
            };
            match due {
                Due::Timer(token) => {
                    self.on_event(now, Event::TimerExpired { token }, Cause::Other, effects)
                }
                Due::Answer { request, attempt } => {
                    self.on_server_answer(now, request, attempt, effects)
                }
                Due::CallTimeout { key, call } => {
                    if self.calls.get(&key) == Some(&call) {
                        self.counts.calls_lost += 1;
                        self.on_counter_reply(now, key, Outcome::Timeout, 0.0, effects);
                    }
                }
            }
        }
    }

    fn on_server_answer(
        &mut self,
        now: Micros,
        request: u64,
        attempt: usize,
        effects: &mut Effects,
    ) {
        let Some(open) = self.open.remove(&request) else {
            return;
        };
        let ended = AttemptResult {
            id: RequestId(request.to_string().into()),
            attempt,
            server: open.attempts[attempt].clone(),
            outcome: Outcome::Ok,
            latency: ANSWER_TIME,
            is_final: true,
            load: Vec::new(),
            settled_units: None,
        };
        self.on_event(now, Event::AttemptEnded(ended), Cause::Other, effects);
    }

    fn on_event(&mut self, now: Micros, event: Event, cause: Cause, effects: &mut Effects) {
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.on_event(now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(now, action, cause, effects);
        }
        self.actions = actions;
    }

    fn apply_action(&mut self, now: Micros, action: Action, cause: Cause, effects: &mut Effects) {
        match action {
            Action::Send { id, server, .. } => self.send(now, &id, server, cause, effects),
            Action::Reject { id, .. } | Action::Fail { id } => {
                self.refuse(now, &id, cause, effects)
            }
            Action::SetTimer { delay, token } => self.schedule(now + delay, Due::Timer(token)),
            Action::AddToCounter { key, amount, ttl } => {
                self.call(now, CounterCall { key, amount, ttl }, effects)
            }
            // Never returned, because these settings do not enable quota leases.
            Action::RequestLease { .. } => {}
            Action::Cancel { .. }
            | Action::CheckHealth { .. }
            | Action::SendToPeer { .. }
            | Action::WatchEndpoints => {}
        }
    }

    fn send(
        &mut self,
        now: Micros,
        id: &RequestId,
        server: ServerId,
        cause: Cause,
        effects: &mut Effects,
    ) {
        let Some((number, open)) = number(id).and_then(|n| Some((n, self.open.get_mut(&n)?)))
        else {
            return;
        };
        let attempt = open.attempts.len();
        open.attempts.push(server);
        if attempt == 0 {
            let waited = (cause == Cause::CounterAnswer).then(|| now - open.arrived);
            effects.sent.push(SentRequest {
                tenant: open.tenant,
                units: open.units,
                waited,
            });
            self.counts.sent += 1;
            self.counts.waited += u64::from(waited.is_some());
        }
        self.schedule(
            now + ANSWER_TIME,
            Due::Answer {
                request: number,
                attempt,
            },
        );
    }

    fn refuse(&mut self, now: Micros, id: &RequestId, cause: Cause, effects: &mut Effects) {
        let Some(open) = number(id).and_then(|number| self.open.remove(&number)) else {
            return;
        };
        let waited = (cause == Cause::CounterAnswer).then(|| now - open.arrived);
        effects.refused.push(waited);
        self.counts.refused += 1;
        self.counts.waited += u64::from(waited.is_some());
    }

    fn call(&mut self, now: Micros, call: CounterCall, effects: &mut Effects) {
        self.counts.calls += 1;
        self.calls.insert(call.key, self.counts.calls);
        self.schedule(
            now + CALL_TIMEOUT,
            Due::CallTimeout {
                key: call.key,
                call: self.counts.calls,
            },
        );
        effects.calls.push(call);
    }

    fn schedule(&mut self, at: Micros, due: Due) {
        self.sequence += 1;
        self.due.push(Reverse((at, self.sequence, due)));
    }
}

fn number(id: &RequestId) -> Option<u64> {
    id.0.parse().ok()
}

fn server(number: u32) -> Endpoint {
    Endpoint {
        id: ServerId(format!("s{number}").into()),
        zone: String::new(),
        cell: 0,
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at: 0,
    }
}
