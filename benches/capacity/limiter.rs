//! One limiter: the decision module with a stand-in for all that is round it.

use super::measure::Cost;
use super::shared_counter::SharedCounter;
use super::traffic::{Tenant, Traffic};
use super::world::{members, settings, SECOND, START};
use mossrill::decision::{
    Action, AttemptResult, Event, Micros, Outcome, Request, RequestId, ServerId, UpdateScope,
};
use mossrill::Engine;

/// How long a client waits.
const BUDGET: Micros = 2 * SECOND;
/// How long a server takes, and the counter.
pub const SERVER_TAKES: Micros = 20_000;
pub const COUNTER_TAKES: Micros = 1_000;

/// A limiter with a clock of its own.
pub struct Limiter {
    /// The decision module.
    pub gateway: Engine,
    /// Its clock.
    pub now: Micros,
    requests: u64,
}

/// What the events of one request cost.
#[derive(Default)]
pub struct RequestCost {
    /// All of its events.
    pub whole: Cost,
    /// Its arrival.
    pub arrival: Cost,
    /// Answers of the counter; none if it was not called.
    pub counted: Option<Cost>,
    /// The end of its attempt; none if it was not sent on.
    pub outcome: Option<Cost>,
}

impl Limiter {
    /// A limiter of a fleet that knows so many servers.
    pub fn new(traffic: &Traffic, me: u32, servers: u64, seed: u64) -> Self {
        let settings = settings(me, traffic.limiters, traffic.plans.clone());
        let mut limiter = Self {
            gateway: Engine::new(settings, seed),
            now: START,
            requests: 0,
        };
        limiter.give(Event::EndpointUpdate {
            scope: UpdateScope::Snapshot,
            endpoints: members(servers),
        });
        limiter
    }

    /// Gives one event to the module.
    pub fn give(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.on_event(self.now, event, &mut actions);
        actions
    }

    /// The next request of a tenant.
    pub fn request(&mut self, tenant: &Tenant) -> Request {
        self.requests += 1;
        Request {
            id: format!("r{}", self.requests).as_str().into(),
            class: 0,
            plan: tenant.plan,
            account: tenant.customer.clone(),
            timeout: BUDGET,
            units: 1.0,
            limiter_count: tenant.spread,
            first_limiter: tenant.first,
        }
    }

    /// Carries one request from its arrival to its end, while no other one is open, and tells what its events cost.
    pub fn carry(
        &mut self,
        traffic: &Traffic,
        tenant: usize,
        counter: &mut SharedCounter,
    ) -> RequestCost {
        counter.expect(self.now, tenant);
        let mut cost = RequestCost::default();
        let request = self.request(&traffic.tenants[tenant]);
        let mut actions = self.timed(
            Event::Request(request),
            &mut cost.whole,
            Some(&mut cost.arrival),
        );
        let mut next = 0;
        while let Some(action) = actions.get(next).cloned() {
            next += 1;
            match action {
                Action::AddToCounter {
                    key: name,
                    amount: by,
                    ..
                } => {
                    self.now += COUNTER_TAKES;
                    let event = counted(name, counter.add(self.now, name, by));
                    let part = cost.counted.get_or_insert_default();
                    actions.extend(self.timed(event, &mut cost.whole, Some(part)));
                }
                Action::Send { id, server, .. } => {
                    self.now += SERVER_TAKES;
                    let part = cost.outcome.get_or_insert_default();
                    actions.extend(self.timed(served(id, server), &mut cost.whole, Some(part)));
                }
                _ => {}
            }
        }
        cost
    }

    /// Gives an event and adds what it cost to the whole and to a part.
    fn timed(&mut self, event: Event, whole: &mut Cost, part: Option<&mut Cost>) -> Vec<Action> {
        let mut cost = Cost::default();
        let mut actions = Vec::new();
        let now = self.now;
        cost.time(|| self.gateway.on_event(now, event, &mut actions));
        *whole += cost;
        if let Some(part) = part {
            *part += cost;
        }
        actions
    }
}

/// A call of the counter has ended.
pub fn counted(name: u64, total: Option<f64>) -> Event {
    let outcome = if total.is_some() {
        Outcome::Ok
    } else {
        Outcome::ConnectFailed
    };
    Event::CounterReply {
        key: name,
        total: total.unwrap_or(0.0),
        outcome,
    }
}

/// An attempt was served.
pub fn served(id: RequestId, server: ServerId) -> Event {
    Event::AttemptEnded(AttemptResult {
        id,
        attempt: 0,
        server,
        outcome: Outcome::Ok,
        latency: SERVER_TAKES,
        is_final: true,
        load: Vec::new(),
        settled_units: None,
    })
}
