//! Short-hand for tests that drive a gateway by hand.
#![allow(dead_code)]

use mossrill::decision::*;
use mossrill::Engine;

/// A gateway with its clock and the actions of its last event.
pub struct Bench {
    pub gateway: Engine,
    pub now: Micros,
    pub acts: Vec<Action>,
}

pub fn class(effect: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: 500_000,
        deadline: 2_000_000,
        idempotency: effect,
        idempotency_window: 1_000_000,
        priority_weight: 1.0,
        late_weight: 0.0,
    }
}

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

pub fn member(name: &str, zone: &str) -> Endpoint {
    Endpoint {
        id: name.into(),
        zone: zone.into(),
        cell: 0,
        readiness: Readiness::Ready,
        weight: 1.0,
        started_at: 0,
    }
}

impl Bench {
    pub fn new(settings: Settings, servers: usize) -> Self {
        let mut bench = Bench {
            gateway: Engine::new(settings, 7),
            now: 1_000_000,
            acts: Vec::new(),
        };
        let members = (0..servers)
            .map(|n| member(&format!("s{n}"), &format!("z{}", n % 2)))
            .collect();
        bench.on(Event::EndpointUpdate {
            scope: UpdateScope::Snapshot,
            endpoints: members,
        });
        bench
    }

    pub fn on(&mut self, event: Event) -> Vec<Action> {
        self.acts.clear();
        self.gateway.on_event(self.now, event, &mut self.acts);
        self.acts.clone()
    }

    /// Lets time pass with a timer event each 5 ms; all actions of that time.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let (end, mut all) = (self.now + span, Vec::new());
        while self.now < end {
            self.now = (self.now + 5_000).min(end);
            all.extend(self.on(Event::TimerExpired { token: 0 }));
        }
        all
    }

    pub fn ask(&mut self, id: &str, class: usize, plan: usize, customer: &str) -> Vec<Action> {
        self.on(Event::Request(Request {
            id: id.into(),
            class,
            plan,
            account: customer.into(),
            timeout: 2_000_000,
            units: 1.0,
            limiter_count: 2,
            first_limiter: 0,
        }))
    }

    pub fn end(
        &mut self,
        id: &str,
        attempt: usize,
        server: &ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.on(Event::AttemptEnded(AttemptResult {
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

    /// Answers every call of the counter in these actions with this total.
    pub fn count(&mut self, actions: &[Action], total: f64, outcome: Outcome) -> Vec<Action> {
        let mut all = Vec::new();
        for action in actions {
            if let Action::AddToCounter { key: name, .. } = action {
                all.extend(self.on(Event::CounterReply {
                    key: *name,
                    total,
                    outcome,
                }));
            }
        }
        all
    }
}

pub fn sends(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let pick = |a: &Action| match a {
        Action::Send { id, server, .. } => Some((id.clone(), server.clone())),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

pub fn counts(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::AddToCounter { .. }))
        .count()
}

pub fn refused(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. }))
        .count()
}

pub fn failed(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Fail { .. }))
        .count()
}
