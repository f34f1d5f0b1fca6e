//! One limiter: the decision module with a simulated clock, servers and counter.

use super::measure::Cost;
use super::shared_counter::SharedCounter;
use super::traffic::{Tenant, Traffic};
use super::world::{endpoints, settings, SECOND, START};
use mossrill::decision::{
    Action, AttemptResult, Event, Micros, Outcome, Request, RequestId, ServerId, UpdateScope,
};
use mossrill::Engine;

/// Time for which a client waits for its response.
const CLIENT_TIMEOUT: Micros = 2 * SECOND;
/// Time that a server takes for a request.
pub const SERVER_LATENCY: Micros = 20_000;
/// Time that the counter takes for a call.
pub const COUNTER_LATENCY: Micros = 1_000;

/// A limiter with its own clock.
pub struct Limiter {
    /// The decision module.
    pub engine: Engine,
    /// Its clock.
    pub now: Micros,
    /// Number of requests so far, from which ids are made.
    requests: u64,
}

/// Cost of the events of one request.
#[derive(Default)]
pub struct RequestCost {
    /// All events.
    pub total: Cost,
    /// The arrival of the request.
    pub arrival: Cost,
    /// The replies of the counter; `None` if it was not called.
    pub counter_replies: Option<Cost>,
    /// The end of the attempt; `None` if the request was not sent to a server.
    pub attempt_end: Option<Cost>,
}

impl Limiter {
    /// Creates a limiter that knows this number of servers.
    pub fn new(traffic: &Traffic, number: u32, servers: u64, seed: u64) -> Self {
        let settings = settings(number, traffic.limiters, traffic.plans.clone());
        let mut limiter = Self {
            engine: Engine::new(settings, seed),
            now: START,
            requests: 0,
        };
        limiter.handle(Event::EndpointUpdate {
            scope: UpdateScope::Snapshot,
            endpoints: endpoints(servers),
        });
        limiter
    }

    /// Gives one event to the decision module and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.engine.on_event(self.now, event, &mut actions);
        actions
    }

    /// Creates the next request of a tenant.
    pub fn request(&mut self, tenant: &Tenant) -> Request {
        self.requests += 1;
        Request {
            id: format!("r{}", self.requests).as_str().into(),
            class: 0,
            plan: tenant.plan,
            account: tenant.account.clone(),
            timeout: CLIENT_TIMEOUT,
            units: 1.0,
            limiter_count: tenant.spread,
            first_limiter: tenant.first,
        }
    }

    /// Runs one request from its arrival to its end, with no other request in flight. Returns the
    /// cost of its events.
    pub fn run_request(
        &mut self,
        traffic: &Traffic,
        tenant: usize,
        counter: &mut SharedCounter,
    ) -> RequestCost {
        counter.register_keys(self.now, tenant);
        let mut cost = RequestCost::default();
        let request = self.request(&traffic.tenants[tenant]);
        let mut actions = self.handle_timed(
            Event::Request(request),
            &mut cost.total,
            Some(&mut cost.arrival),
        );
        let mut next = 0;
        while let Some(action) = actions.get(next).cloned() {
            next += 1;
            match action {
                Action::AddToCounter { key, amount, .. } => {
                    self.now += COUNTER_LATENCY;
                    let event = counter_reply(key, counter.add(self.now, key, amount));
                    let part = cost.counter_replies.get_or_insert_default();
                    actions.extend(self.handle_timed(event, &mut cost.total, Some(part)));
                }
                Action::Send { id, server, .. } => {
                    self.now += SERVER_LATENCY;
                    let part = cost.attempt_end.get_or_insert_default();
                    actions.extend(self.handle_timed(
                        attempt_served(id, server),
                        &mut cost.total,
                        Some(part),
                    ));
                }
                _ => {}
            }
        }
        cost
    }

    /// Gives an event to the decision module, and adds its cost to the total and to a part.
    fn handle_timed(
        &mut self,
        event: Event,
        total: &mut Cost,
        part: Option<&mut Cost>,
    ) -> Vec<Action> {
        let mut cost = Cost::default();
        let mut actions = Vec::new();
        let now = self.now;
        cost.measure(|| self.engine.on_event(now, event, &mut actions));
        *total += cost;
        if let Some(part) = part {
            *part += cost;
        }
        actions
    }
}

/// Returns the event for the end of a counter call; `total` is `None` if the call failed.
pub fn counter_reply(key: u64, total: Option<f64>) -> Event {
    let outcome = if total.is_some() {
        Outcome::Ok
    } else {
        Outcome::ConnectFailed
    };
    Event::CounterReply {
        key,
        total: total.unwrap_or(0.0),
        outcome,
    }
}

/// Returns the event for the successful end of an attempt.
pub fn attempt_served(id: RequestId, server: ServerId) -> Event {
    Event::AttemptEnded(AttemptResult {
        id,
        attempt: 0,
        server,
        outcome: Outcome::Ok,
        latency: SERVER_LATENCY,
        is_final: true,
        load: Vec::new(),
        settled_units: None,
    })
}
