//! What a decision engine is configured with.

use super::identifiers::Micros;

/// Length of the second in which rates are quoted, in microseconds.
pub(crate) const SECOND: f64 = 1e6;
/// Time between two looks at waiting requests, as a fraction of the shortest latency objective.
const TICKS_PER_OBJECTIVE: Micros = 64;
/// The shortest time between two looks at waiting requests.
const SHORTEST_TICK: Micros = 1_000;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again does no harm.
    #[default]
    Idempotent,
    /// It has an idempotency key, by which these servers discard repeats for a while.
    Keyed(KeyScope),
    /// It must not run twice.
    NonIdempotent,
}

/// The servers that share the idempotency keys they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    AllServers,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestClass {
    /// Latency objective: an answer within this time has the full priority weight.
    pub latency_objective: Micros,
    /// The longest a client waits, over all of its attempts.
    pub deadline: Micros,
    /// Whether a request may run again.
    pub idempotency: Idempotency,
    /// How long servers discard repeats of a keyed request, from the send of the first attempt that may have run.
    pub idempotency_window: Micros,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the latency objective still has.
    pub late_weight: f64,
}

/// A plan: quotas of each account over all limiters.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units a second; 0 for a plan without a rate.
    pub rate: f64,
    /// Capacity of the token bucket in units.
    pub burst: f64,
    /// Most attempts in flight at once; 0 for a plan without this limit.
    pub max_concurrent: u32,
    /// Factor on the priority weight.
    pub weight_factor: f64,
    /// Fraction of the priority weight that a request beyond the quota has.
    pub over_quota_weight: f64,
    /// Fraction of the priority weight that a request beyond the quota costs.
    pub over_quota_cost: f64,
    /// Rate of the hard ceiling in units a second; 0 for none.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's token bucket may fall below zero.
    pub ceiling_slack: f64,
}

impl Plan {
    /// Whether the only quota is on concurrency. The token bucket then holds concurrency slots.
    pub fn limits_concurrency_only(&self) -> bool {
        self.rate <= 0.0 && self.max_concurrent > 0
    }

    /// Whether there is no quota at all.
    pub(crate) fn is_unlimited(&self) -> bool {
        self.rate <= 0.0 && self.max_concurrent == 0
    }
}

/// What the deployment allows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether the health of servers may be checked.
    pub health_checks: bool,
    /// Whether limiters may send messages to each other.
    pub peer_messages: bool,
    /// Whether a request may be hedged: have two attempts in flight at once.
    pub hedging: bool,
    /// The longest Retry-After that clients follow; 0 where it does not reach them.
    pub max_retry_after: Micros,
}

/// The rules on draining and recovering servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Safety {
    /// Time after which nothing new may go to a server that was reported as draining or removed.
    pub drain_grace: Micros,
    /// The least fraction of its capacity that a server has as it starts.
    pub initial_capacity: f64,
    /// Time after which a server has warmed up.
    pub slow_start: Micros,
    /// Multiple of its present capacity that overloads a server in slow start.
    pub overload_multiple: f64,
    /// Time for which that multiple has to last.
    pub overload_window: Micros,
}

/// What is deducted from the score of a deployment, as fractions of its requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// For each attempt that crosses zones.
    pub cross_zone: f64,
    /// For work of servers without an answer.
    pub waste: f64,
    /// For each health check.
    pub health_check: f64,
    /// For each call of the counter.
    pub counter_call: f64,
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests in flight.
    InFlight,
    /// Requests in the queue.
    Queue,
    /// Fraction of the cores in use.
    Util,
    /// A figure that is not used here.
    Other,
}

/// All that a decision engine is configured with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of this limiter, from 0.
    pub limiter: u32,
    /// Limiters in all.
    pub limiters: u32,
    /// Zone of this limiter.
    pub zone: String,
    /// Shortest time between two batches of events.
    pub tick: Micros,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// What the deployment allows.
    pub limits: Limits,
    /// The rules on draining and recovering servers.
    pub safety: Safety,
    /// What is deducted from the score.
    pub prices: Prices,
    /// Names of the figures of a load report, in order.
    pub load_fields: Vec<LoadField>,
    /// Load reports come with health checks alone.
    pub load_by_health_check: bool,
    /// Service discovery has to be polled.
    pub polls_discovery: bool,
    /// Whether there is a shared counter.
    pub counter: bool,
    /// Time after which a call of the counter is given up.
    pub counter_timeout: Micros,
    /// Whether the weights of servers tell their size.
    pub server_weights: bool,
    /// Whether the units of a request are leased before it is sent. The counter is not called then.
    pub quota_leases: bool,
}

impl Settings {
    /// The shortest latency objective of all classes in microseconds.
    pub(super) fn shortest_objective(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(0) as f64
    }

    /// Time between two looks at waiting requests: a small part of the shortest latency objective.
    pub(super) fn tick_interval(&self) -> Micros {
        let part = self.shortest_objective() as Micros / TICKS_PER_OBJECTIVE;
        part.max(self.tick).max(SHORTEST_TICK)
    }

    /// The longest idempotency window of all classes.
    pub(super) fn longest_idempotency_window(&self) -> Micros {
        self.classes
            .iter()
            .map(|class| class.idempotency_window)
            .max()
            .unwrap_or(0)
    }

    /// Weight of a plan in the fair queue: the rate of its quota, or its concurrency limit used once a latency objective.
    pub(super) fn fair_weight(&self, plan: usize) -> f64 {
        let plan = &self.plans[plan];
        if plan.rate > 0.0 {
            return plan.rate;
        }
        let objective = self
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .max()
            .unwrap_or(0)
            .max(1) as f64;
        (f64::from(plan.max_concurrent) * SECOND / objective).max(1e-3)
    }

    /// Mean priority weight of the classes.
    pub(super) fn mean_class_weight(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.priority_weight)
            .sum::<f64>()
            / self.classes.len().max(1) as f64
    }

    /// Gives plans with a concurrency limit alone a token bucket of that many slots.
    pub(super) fn fill_slot_buckets(&mut self) {
        for plan in self.plans.iter_mut().filter(|plan| plan.rate <= 0.0) {
            plan.burst = f64::from(plan.max_concurrent);
        }
    }
}
