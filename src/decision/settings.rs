//! Settings of the decision engine.

use super::identifiers::Micros;

/// One second in microseconds.
pub(crate) const SECOND: f64 = 1e6;
/// Number of checks of the waiting requests within the shortest latency objective.
const TICKS_PER_OBJECTIVE: Micros = 64;
/// Shortest time between two checks of the waiting requests.
const MIN_TICK: Micros = 1_000;

/// Whether and where a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run repeatedly without harm.
    #[default]
    Idempotent,
    /// The request has an idempotency key, by which the servers in this scope discard repeats
    /// within the idempotency window.
    Keyed(KeyScope),
    /// The request must not run twice.
    NonIdempotent,
}

/// Set of servers that share the idempotency keys that they have seen.
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
    /// Longest time that a client waits for an answer, over all of its attempts.
    pub deadline: Micros,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Time for which servers discard repeats of a keyed request, from the send of the first
    /// attempt that may have run.
    pub idempotency_window: Micros,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Fraction of the priority weight of an answer that misses the latency objective.
    pub late_weight: f64,
}

/// A plan: the quotas of each of its accounts over all limiters.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Rate of the quota in units per second; 0 if the plan has none.
    pub rate: f64,
    /// Capacity of the token bucket in units.
    pub burst: f64,
    /// Largest number of attempts in flight; 0 if the plan does not limit it.
    pub max_concurrent: u32,
    /// Factor on the priority weight of a request.
    pub weight_factor: f64,
    /// Value of a request beyond the quota, as a fraction of its priority weight.
    pub over_quota_weight: f64,
    /// Cost of a request beyond the quota, as a fraction of its priority weight.
    pub over_quota_cost: f64,
    /// Rate of the hard ceiling in units per second; 0 if the plan has none.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket in units.
    pub ceiling_burst: f64,
    /// Units by which the token bucket of the ceiling may fall below zero.
    pub ceiling_slack: f64,
}

impl Plan {
    /// Whether the plan limits only concurrency. The token bucket then holds concurrency slots.
    pub fn limits_concurrency_only(&self) -> bool {
        self.rate <= 0.0 && self.max_concurrent > 0
    }

    /// Whether the plan has no quota.
    pub(crate) fn is_unlimited(&self) -> bool {
        self.rate <= 0.0 && self.max_concurrent == 0
    }
}

/// Limits and features that the deployment allows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Largest number of attempts per request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether the health of servers may be checked.
    pub health_checks: bool,
    /// Whether limiters may send messages to each other.
    pub peer_messages: bool,
    /// Whether a request may be hedged, that is, have two attempts in flight at once.
    pub hedging: bool,
    /// Longest Retry-After that clients follow; 0 if clients do not receive it.
    pub max_retry_after: Micros,
}

/// Rules on draining and recovering servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Safety {
    /// Time after which no new attempt may be sent to a server that was reported as draining or
    /// removed.
    pub drain_grace: Micros,
    /// Minimum fraction of its capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// Time from its start after which a server is warm.
    pub slow_start: Micros,
    /// Load, as a multiple of its current capacity, that overloads a server in slow start.
    pub overload_multiple: f64,
    /// Time for which that load has to last to overload the server.
    pub overload_window: Micros,
}

/// Deductions from the score of a deployment, as fractions of its requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Deduction for each attempt that crosses zones.
    pub cross_zone: f64,
    /// Deduction for server work that leads to no answer.
    pub waste: f64,
    /// Deduction for each health check.
    pub health_check: f64,
    /// Deduction for each call of the counter.
    pub counter_call: f64,
}

/// Meaning of one value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests in flight.
    InFlight,
    /// Requests in the queue.
    Queue,
    /// Fraction of the CPU cores in use.
    Util,
    /// A value that the engine does not use.
    Other,
}

/// Settings of a decision engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of this limiter, from 0.
    pub limiter: u32,
    /// Total number of limiters.
    pub limiters: u32,
    /// Zone of this limiter.
    pub zone: String,
    /// Shortest time between two batches of events from the host.
    pub tick: Micros,
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Plans of the accounts.
    pub plans: Vec<Plan>,
    /// Limits and features that the deployment allows.
    pub limits: Limits,
    /// Rules on draining and recovering servers.
    pub safety: Safety,
    /// Deductions from the score.
    pub prices: Prices,
    /// Meanings of the values in a load report, in order.
    pub load_fields: Vec<LoadField>,
    /// Whether load reports come only with health checks.
    pub load_by_health_check: bool,
    /// Whether service discovery has to be polled.
    pub polls_discovery: bool,
    /// Whether there is a shared counter.
    pub counter: bool,
    /// Timeout of a call of the counter.
    pub counter_timeout: Micros,
    /// Whether the weights of servers reflect their size.
    pub server_weights: bool,
    /// Whether the units of a request are leased before it is sent. The engine does not call the
    /// counter then.
    pub quota_leases: bool,
    /// Maximum number of accounts whose state is kept; `None` if it is not bounded.
    pub max_accounts: Option<usize>,
}

impl Settings {
    /// Returns the shortest latency objective of all classes, in microseconds.
    pub(super) fn shortest_objective(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(0) as f64
    }

    /// Returns the time between two checks of the waiting requests: a small fraction of the
    /// shortest latency objective.
    pub(super) fn tick_interval(&self) -> Micros {
        let interval = self.shortest_objective() as Micros / TICKS_PER_OBJECTIVE;
        interval.max(self.tick).max(MIN_TICK)
    }

    /// Returns the longest idempotency window of all classes.
    pub(super) fn longest_idempotency_window(&self) -> Micros {
        self.classes
            .iter()
            .map(|class| class.idempotency_window)
            .max()
            .unwrap_or(0)
    }

    /// Returns the weight of a plan in the fair queue: the rate of its quota, or the rate of
    /// requests that its concurrency limit allows if each takes the longest latency objective.
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

    /// Returns the mean priority weight of the classes.
    pub(super) fn mean_class_weight(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.priority_weight)
            .sum::<f64>()
            / self.classes.len().max(1) as f64
    }

    /// Sets the token bucket of plans without a rate to the number of their concurrency slots.
    pub(super) fn init_slot_buckets(&mut self) {
        for plan in self.plans.iter_mut().filter(|plan| plan.rate <= 0.0) {
            plan.burst = f64::from(plan.max_concurrent);
        }
    }
}
