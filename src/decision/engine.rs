//! The decision engine of one limiter: a state machine without I/O or clocks.
//!
//! The engine owns the state of all modules. An event is first handled by its module, such as
//! [`admission`](super::admission) for a request, and then [`dispatch`](super::dispatch) sends what
//! may be sent.

use super::account::Account;
use super::concurrency::ConcurrencyLimit;
use super::counter_sync::CounterSync;
use super::fair_queue::FairQueue;
use super::latency::ClassLatency;
use super::quota_shares::QuotaShares;
use super::request::OpenRequest;
use super::retry_budget::RetryBudget;
use super::server::ServerTable;
use super::settings::SECOND;
use super::{AccountId, Action, Event, Micros, RequestId, Settings};
use std::collections::BTreeMap;

/// The decision engine of one limiter.
pub struct Engine {
    pub(crate) settings: Settings,
    pub(super) quota_shares: QuotaShares,
    pub(super) random: fastrand::Rng,
    pub(crate) servers: ServerTable,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    pub(crate) queue: FairQueue,
    pub(crate) accounts: BTreeMap<AccountId, Account>,
    /// Latency and failures by request class.
    pub(crate) latencies: Vec<ClassLatency>,
    pub(crate) concurrency: ConcurrencyLimit,
    pub(super) retry_budget: RetryBudget,
    pub(crate) counter: CounterSync,
    started: bool,
    /// When the averages that are updated once per second were last updated.
    pub(super) last_second: Micros,
    /// Time from which unused accounts are searched for again.
    pub(super) next_eviction_at: Micros,
}

impl Engine {
    /// Creates an engine without servers and accounts. `seed` determines its random choices.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        settings.init_slot_buckets();
        let latencies = settings
            .classes
            .iter()
            .map(|class| ClassLatency::new(class.latency_objective));
        Self {
            quota_shares: QuotaShares::even(settings.limiter, settings.limiters),
            random: fastrand::Rng::with_seed(seed),
            servers: ServerTable::default(),
            requests: BTreeMap::new(),
            queue: FairQueue::default(),
            accounts: BTreeMap::new(),
            latencies: latencies.collect(),
            concurrency: ConcurrencyLimit::default(),
            retry_budget: RetryBudget::default(),
            counter: CounterSync::new(&settings),
            started: false,
            last_second: 0,
            next_eviction_at: 0,
            settings,
        }
    }

    /// Handles one event and appends the actions for the host to `actions`.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if !self.started {
            self.start(now, actions);
        }
        self.handle(now, event, actions);
        self.dispatch(now, actions);
    }

    fn start(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.started = true;
        // A random phase keeps limiters that start together from reporting at the same time.
        self.last_second = now.saturating_sub(self.random.u64(0..SECOND as Micros));
        actions.push(Action::SetTimer {
            delay: self.settings.tick_interval(),
            token: 0,
        });
        if self.settings.polls_discovery {
            actions.push(Action::WatchEndpoints);
        }
    }

    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate { scope, endpoints } => {
                self.update_endpoints(now, scope, endpoints, actions);
            }
            Event::QuotaShares(shares) => self.quota_shares = shares,
            Event::Request(request) => self.admit(now, request, actions),
            Event::ResponseStarted { id } => {
                if let Some(open) = self.requests.get_mut(&id) {
                    open.streaming = true;
                }
            }
            Event::AttemptEnded(result) => self.end_attempt(now, result, actions),
            Event::ClientDisconnected { id } => {
                self.close(&id, actions);
            }
            Event::TimerExpired { .. } => self.on_tick(now, actions),
            Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
            Event::CounterReply {
                key,
                total,
                outcome,
            } => self.on_counter_reply(now, key, total, outcome),
            Event::LeaseReply { id, granted: true } => {
                if let Some(open) = self.requests.get_mut(&id) {
                    open.leased = true;
                }
            }
            Event::LeaseReply { id, granted: false } => self.reject(&id, actions),
        }
    }

    /// Returns the mean latency over all classes, in microseconds.
    pub(super) fn mean_latency(&self) -> f64 {
        self.latencies.iter().map(|class| class.mean).sum::<f64>()
            / self.latencies.len().max(1) as f64
    }

    /// Returns the minimum concurrency limit of this limiter: its share of one attempt per ready
    /// server.
    pub(super) fn min_concurrency(&self, now: Micros) -> f64 {
        self.servers.ready_count() / self.quota_shares.fleet_divisor(now)
    }
}
