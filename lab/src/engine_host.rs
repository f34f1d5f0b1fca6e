//! Hosts one real decision module (`mossrill::Engine`) on drawn requests: no input or output of its own, time comes
//! in. Its servers answer after a fixed time; its counter calls go out to whoever drives it.

use crate::messages::DecisionCounts;
use crate::population::Population;
use mossrill::decision::{
    AccountId, Action, AttemptResult, Endpoint, Event, Idempotency, Limits, Micros, Outcome, Plan,
    Prices, Readiness, Request, RequestClass, RequestId, Safety, ServerId, Settings, UpdateScope,
};
use mossrill::Engine;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Servers of a hosted gateway: few, as the choice among them is not what is played here.
const SERVERS: u32 = 24;
/// Time in µs in which a server of a hosted gateway answers.
const ANSWER_TIME: Micros = 1_000;
/// An answer within this time is in time.
const AIM: Micros = 2_000_000;
/// And a client waits so long.
const DEADLINE: Micros = 4_000_000;
/// A call of the counter is given up after this time.
pub const CALL_TIMEOUT: Micros = 50_000;

/// A call of the counter.
#[derive(Clone, Copy, Debug)]
pub struct CounterCall {
    /// The count.
    pub name: u64,
    /// The amount.
    pub by: f64,
    /// How long a new name lives, in µs.
    pub ttl: Micros,
}

/// Units of a request that was sent on.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Whose.
    pub tenant: usize,
    /// How many.
    pub units: f64,
    /// Time for which it waited for the answer of a call; none if it did not.
    pub waited: Option<Micros>,
}

/// What came of one event.
#[derive(Default)]
pub struct Effects {
    /// Calls to be made.
    pub calls: Vec<CounterCall>,
    /// Requests sent on.
    pub sent: Vec<Sent>,
    /// Requests refused: the time for which each waited for the answer of a call.
    pub refused: Vec<Option<Micros>>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    Answer { request: u64, attempt: usize },
    CallTimeout { name: u64, call: u64 },
}

struct Open {
    tenant: usize,
    units: f64,
    arrived: Micros,
    /// Servers of its attempts.
    attempts: Vec<ServerId>,
}

/// What made the module decide.
#[derive(Clone, Copy, PartialEq)]
enum Cause {
    CounterAnswer,
    Other,
}

/// One gateway with its timers, its open requests and its calls.
pub struct EngineHost {
    gateway: Engine,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    order: u64,
    open: HashMap<u64, Open>,
    requests: u64,
    /// Calls that are out, by name, each with its number.
    calls: HashMap<u64, u64>,
    actions: Vec<Action>,
    counts: DecisionCounts,
}

/// Settings of a hosted gateway.
pub fn settings(population: &Population, limiter: u32, limiters: u32) -> Settings {
    let class = RequestClass {
        latency_objective: AIM,
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
    /// A gateway that knows its servers and nothing else.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut host = Self {
            gateway: Engine::new(settings, seed),
            due: BinaryHeap::new(),
            order: 0,
            open: HashMap::new(),
            requests: 0,
            calls: HashMap::new(),
            actions: Vec::new(),
            counts: DecisionCounts::default(),
        };
        let members = (0..SERVERS).map(server).collect();
        let event = Event::EndpointUpdate {
            scope: UpdateScope::Snapshot,
            endpoints: members,
        };
        host.take(now, event, Cause::Other, &mut Effects::default());
        host
    }

    /// When it is to be woken.
    pub fn next(&self) -> Micros {
        self.due.peek().map_or(Micros::MAX, |Reverse((at, ..))| *at)
    }

    /// What was decided so far.
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

    /// Takes a request.
    pub fn request(
        &mut self,
        now: Micros,
        population: &Population,
        (tenant, units): (usize, f64),
        effects: &mut Effects,
    ) {
        let shape = &population.tenants[tenant];
        self.requests += 1;
        self.counts.requests += 1;
        let number = self.requests;
        self.open.insert(
            number,
            Open {
                tenant,
                units,
                arrived: now,
                attempts: Vec::new(),
            },
        );
        let request = Request {
            id: RequestId(number.to_string().into()),
            class: 0,
            plan: shape.plan,
            account: AccountId(tenant.to_string().into()),
            timeout: DEADLINE,
            units,
            limiter_count: shape.spread,
            first_limiter: shape.first,
        };
        self.take(now, Event::Request(request), Cause::Other, effects);
    }

    /// Takes the answer to a call; one that was given up is passed over.
    pub fn counted(
        &mut self,
        now: Micros,
        name: u64,
        outcome: Outcome,
        total: f64,
        effects: &mut Effects,
    ) {
        if self.calls.remove(&name).is_some() {
            self.counts.calls_answered += u64::from(outcome == Outcome::Ok);
            self.take(
                now,
                Event::CounterReply {
                    key: name,
                    total,
                    outcome,
                },
                Cause::CounterAnswer,
                effects,
            );
        }
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, effects: &mut Effects) {
        while self.next() <= now {
            let Some(Reverse((_, _, due))) = self.due.pop() else {
                return;
            };
            match due {
                Due::Timer(token) => {
                    self.take(now, Event::TimerExpired { token }, Cause::Other, effects)
                }
                Due::Answer { request, attempt } => self.answered(now, request, attempt, effects),
                Due::CallTimeout { name, call } => {
                    if self.calls.get(&name) == Some(&call) {
                        self.counts.calls_lost += 1;
                        self.counted(now, name, Outcome::Timeout, 0.0, effects);
                    }
                }
            }
        }
    }

    fn answered(&mut self, now: Micros, request: u64, attempt: usize, effects: &mut Effects) {
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
        self.take(now, Event::AttemptEnded(ended), Cause::Other, effects);
    }

    fn take(&mut self, now: Micros, event: Event, cause: Cause, effects: &mut Effects) {
        let mut actions = std::mem::take(&mut self.actions);
        self.gateway.on_event(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action, cause, effects);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, now: Micros, action: Action, cause: Cause, effects: &mut Effects) {
        match action {
            Action::Send { id, server, .. } => self.send(now, &id, server, cause, effects),
            Action::Reject { id, .. } | Action::Fail { id } => {
                self.refuse(now, &id, cause, effects)
            }
            Action::SetTimer {
                delay: after,
                token,
            } => self.at(now + after, Due::Timer(token)),
            Action::AddToCounter {
                key: name,
                amount: by,
                ttl,
            } => self.call(now, CounterCall { name, by, ttl }, effects),
            // Asked for only where the settings say that units are leased, which these never do.
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
            effects.sent.push(Sent {
                tenant: open.tenant,
                units: open.units,
                waited,
            });
            self.counts.sent += 1;
            self.counts.waited += u64::from(waited.is_some());
        }
        self.at(
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
        self.calls.insert(call.name, self.counts.calls);
        self.at(
            now + CALL_TIMEOUT,
            Due::CallTimeout {
                name: call.name,
                call: self.counts.calls,
            },
        );
        effects.calls.push(call);
    }

    fn at(&mut self, at: Micros, due: Due) {
        self.order += 1;
        self.due.push(Reverse((at, self.order, due)));
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
