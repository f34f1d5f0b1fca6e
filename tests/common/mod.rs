//! Helpers for tests that feed single events to a decision engine.
#![allow(dead_code)]

use mossrill::decision::*;
use mossrill::Engine;

/// A decision engine with its clock.
pub struct EngineHarness {
    pub engine: Engine,
    /// Current time in µs.
    pub now: Micros,
    /// Actions of the last event.
    pub actions: Vec<Action>,
}

/// Returns a request class of this idempotency.
pub fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: 500_000,
        deadline: 2_000_000,
        idempotency,
        idempotency_window: 1_000_000,
        priority_weight: 1.0,
        late_weight: 0.0,
    }
}

/// Returns the settings of one of two limiters, with a class for each idempotency and three plans:
/// a low rate, a limit of concurrent requests, and a high rate with a ceiling.
pub fn settings() -> Settings {
    Settings {
        limiters: 2,
        zone: "z0".into(),
        tick: 1_000,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed(KeyScope::Zone)),
            class(Idempotency::NonIdempotent),
            class(Idempotency::Keyed(KeyScope::AllServers)),
        ],
        plans: vec![
            Plan {
                rate: 10.0,
                burst: 20.0,
                weight_factor: 1.0,
                over_quota_cost: 1.0,
                ..Plan::default()
            },
            Plan {
                max_concurrent: 4,
                weight_factor: 1.0,
                over_quota_cost: 1.0,
                ..Plan::default()
            },
            Plan {
                rate: 1e6,
                burst: 1e6,
                weight_factor: 1.0,
                ceiling_rate: 4.0,
                ceiling_burst: 8.0,
                ceiling_slack: 1.0,
                ..Plan::default()
            },
        ],
        limits: Limits {
            max_attempts: 3,
            cancel: true,
            hedging: true,
            ..Limits::default()
        },
        safety: Safety {
            drain_grace: 500_000,
            initial_capacity: 0.2,
            slow_start: 10_000_000,
            overload_multiple: 3.0,
            overload_window: 2_000_000,
        },
        counter: true,
        counter_timeout: 50_000,
        ..Settings::default()
    }
}

/// Returns a ready endpoint of an upstream server.
pub fn endpoint(id: &str, zone: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        zone: zone.into(),
        cell: 0,
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at: 0,
    }
}

impl EngineHarness {
    /// Returns an engine that knows `servers` upstream servers, `s0` and on, in zones `z0` and `z1`
    /// by turns.
    pub fn new(settings: Settings, servers: usize) -> Self {
        let mut harness = EngineHarness {
            engine: Engine::new(settings, 7),
            now: 1_000_000,
            actions: Vec::new(),
        };
        let endpoints = (0..servers)
            .map(|n| endpoint(&format!("s{n}"), &format!("z{}", n % 2)))
            .collect();
        harness.handle(Event::EndpointUpdate {
            scope: UpdateScope::Snapshot,
            endpoints,
        });
        harness
    }

    /// Passes an event to the engine and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.engine.on_event(self.now, event, &mut self.actions);
        self.actions.clone()
    }

    /// Advances the clock by `duration` µs with a timer event every 5 ms, and returns all actions.
    pub fn advance(&mut self, duration: Micros) -> Vec<Action> {
        let (end, mut all) = (self.now + duration, Vec::new());
        while self.now < end {
            self.now = (self.now + 5_000).min(end);
            all.extend(self.handle(Event::TimerExpired { token: 0 }));
        }
        all
    }

    /// Passes a request for one unit to the engine and returns its actions.
    pub fn request(&mut self, id: &str, class: usize, plan: usize, account: &str) -> Vec<Action> {
        self.handle(Event::Request(Request {
            id: id.into(),
            class,
            plan,
            account: account.into(),
            timeout: 2_000_000,
            units: 1.0,
            limiter_count: 2,
            first_limiter: 0,
        }))
    }

    /// Ends an attempt after 20 ms with this outcome and returns the engine's actions.
    pub fn end_attempt(
        &mut self,
        id: &str,
        attempt: usize,
        server: &ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptResult {
            id: id.into(),
            attempt,
            server: server.clone(),
            outcome,
            latency: 20_000,
            is_final: outcome == Outcome::Ok,
            load: Vec::new(),
            settled_units: None,
        }))
    }

    /// Answers every counter call in `actions` with this total and outcome, and returns the
    /// engine's actions.
    pub fn answer_counter_calls(
        &mut self,
        actions: &[Action],
        total: f64,
        outcome: Outcome,
    ) -> Vec<Action> {
        let mut all = Vec::new();
        for action in actions {
            if let Action::AddToCounter { key, .. } = action {
                all.extend(self.handle(Event::CounterReply {
                    key: *key,
                    total,
                    outcome,
                }));
            }
        }
        all
    }
}

/// Returns the request and the server of each attempt sent.
pub fn sent_attempts(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let pick = |a: &Action| match a {
        Action::Send { id, server, .. } => Some((id.clone(), server.clone())),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// Returns the number of counter calls.
pub fn counter_call_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::AddToCounter { .. }))
        .count()
}

/// Returns the number of rejected requests.
pub fn rejection_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. }))
        .count()
}

/// Returns the number of failed requests.
pub fn failure_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Fail { .. }))
        .count()
}
