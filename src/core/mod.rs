//! The core: the event loop that owns the decision engine, open requests and attempts.
//!
//! The core handles requests, attempts and outcomes, but no connections. It reaches clients,
//! upstream servers and the counter through [`Transport`], and their events arrive only through its
//! queue of [`Input`]s. The engine is used by a single thread, the one that runs [`Core::run`].

mod actions;
mod attempts;
pub mod bans;
mod commands;
mod counter_calls;
mod deadlines;
mod endpoints;
mod inputs;
mod leases;
mod messages;
mod open_requests;
mod queue_permits;
mod recent_ids;
mod requests;
pub mod start_times;
mod timers;
mod upgrade;

pub use crate::clock::Clock;
pub use commands::{AdminCommand, Command, HandOverCommand};
pub use messages::{Answer, AttemptDeadlines, AttemptId, IncomingRequest, Input, Transport};
pub use queue_permits::{QueuePermit, QueuePermits};

use crate::decision::{Action, Event, Idempotency, KeyScope, Micros, RequestClass, Settings};
use crate::handover::message::FinalReport;
use crate::log_throttle::LogThrottle;
use crate::quota_lease::holder::Holder;
use crate::Engine;
use attempts::RunningAttempts;
use bans::ServerBans;
use counter_calls::CounterCalls;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use deadlines::Deadline;
use leases::Leases;
use open_requests::OpenRequests;
use recent_ids::RecentIds;
use slog::Logger;
use start_times::StartTimes;
use std::collections::VecDeque;
use std::time::Duration;
use timers::Timers;
use upgrade::UpgradeState;

/// Maximum Retry-After of requests that are rejected because too many requests are open.
const MAX_RETRY_AFTER_WHEN_FULL: Duration = Duration::from_millis(500);

/// Returns the Retry-After of requests that are rejected because too many requests are open, or
/// because they need more memory than is left. Zero if clients get none.
pub fn retry_after_when_full(settings: &Settings) -> Duration {
    MAX_RETRY_AFTER_WHEN_FULL.min(Duration::from_micros(settings.limits.max_retry_after))
}

/// Minimum timeout of a counter call, in microseconds.
const MIN_COUNTER_TIMEOUT: Micros = 1_000;

/// Settings and components of a new [`Core`].
pub struct CoreOptions<T: Transport> {
    /// Settings of the engine.
    pub settings: Settings,
    /// Seed of the engine's random numbers.
    pub seed: u64,
    /// Maximum number of open requests; further requests are rejected.
    pub max_open: usize,
    /// Maximum number of ids that are kept so that their requests do not run again.
    pub max_recent_ids: usize,
    /// Carries out the requests of the core to clients, upstream servers and the counter.
    pub transport: T,
    /// Clock that provides the time of events.
    pub clock: Clock,
    /// Receives a message for each endpoint update that contains a ready server. Messages that do
    /// not fit into the channel are dropped, so capacity 1 suffices for a receiver that waits for
    /// the first one.
    pub endpoints_known: Sender<()>,
    /// Holder of quota leases; `None` if units are not leased.
    pub lease_holder: Option<Holder>,
    /// Log for unanswered requests, the shutdown and other events of the core.
    pub log: Logger,
}

/// The event loop around the decision engine.
pub struct Core<T: Transport> {
    engine: Engine,
    transport: T,
    clock: Clock,
    timers: Timers<Deadline>,
    requests: OpenRequests<T>,
    recent_ids: RecentIds,
    attempts: RunningAttempts,
    counter_calls: CounterCalls,
    /// Quota leases; `None` if units are not leased.
    leases: Option<Leases>,
    bans: ServerBans,
    start_times: StartTimes,
    upgrade: UpgradeState,
    phase: Phase,
    rules: RequestRules,
    /// Events that resulted from the engine's actions and that the engine has not processed yet.
    pending_events: VecDeque<Event>,
    /// Buffer for the engine's actions, kept to reuse its allocation.
    actions: Vec<Action>,
    endpoints_known: Sender<()>,
    log: Logger,
    full_throttle: LogThrottle,
    duplicate_id_throttle: LogThrottle,
    repeated_id_throttle: LogThrottle,
}

/// Stage of the core's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// No shutdown was requested.
    Serving,
    /// The core ends once no client is connected and nothing is open.
    Draining,
    /// The shutdown deadline has passed: the core ends once no response is being streamed, and
    /// rejects new requests.
    Stopped,
}

/// Settings that apply to individual requests.
struct RequestRules {
    /// By class index, whether requests are idempotent: a retry after a rejection is then harmless
    /// even if the request may have run.
    idempotent_classes: Vec<bool>,
    /// By class index, for how long an id must not be forwarded again once its request may have
    /// run, in microseconds; `None` where that is harmless.
    repeat_windows: Vec<Option<Micros>>,
    max_attempts: usize,
    /// Retry-After of requests that are rejected because too many requests are open; zero if
    /// clients get none.
    retry_after_when_full: Duration,
}

impl RequestRules {
    fn new(settings: &Settings) -> Self {
        Self {
            idempotent_classes: settings
                .classes
                .iter()
                .map(|class| class.idempotency == Idempotency::Idempotent)
                .collect(),
            repeat_windows: settings.classes.iter().map(repeat_window).collect(),
            max_attempts: settings.limits.max_attempts.max(1) as usize,
            retry_after_when_full: retry_after_when_full(settings),
        }
    }

    /// Whether requests of a class are idempotent; false for an unknown class.
    fn is_idempotent(&self, class: usize) -> bool {
        self.idempotent_classes.get(class).copied().unwrap_or(false)
    }

    /// Returns for how long the id of a request of a class must not be forwarded again.
    fn repeat_window(&self, class: usize) -> Option<Micros> {
        self.repeat_windows.get(class).copied().flatten()
    }
}

/// Returns for how long a request of a class must not be forwarded again once it may have run. Where
/// all servers discard repeats by their key, it may be.
fn repeat_window(class: &RequestClass) -> Option<Micros> {
    match class.idempotency {
        Idempotency::Idempotent | Idempotency::Keyed(KeyScope::AllServers) => None,
        Idempotency::Keyed(KeyScope::Zone | KeyScope::Cell) | Idempotency::NonIdempotent => {
            Some(class.idempotency_window.max(class.deadline))
        }
    }
}

impl<T: Transport> Core<T> {
    /// Creates a core with a new engine, which knows no upstream servers.
    pub fn new(options: CoreOptions<T>) -> Self {
        let rules = RequestRules::new(&options.settings);
        let counter_timeout = options.settings.counter_timeout.max(MIN_COUNTER_TIMEOUT);
        let engine = Engine::new(options.settings, options.seed);
        let leases = options
            .lease_holder
            .map(|holder| Leases::new(options.clock.now(), holder, &engine.settings.plans));
        Self {
            engine,
            transport: options.transport,
            clock: options.clock,
            timers: Timers::new(),
            requests: OpenRequests::new(options.max_open),
            recent_ids: RecentIds::new(options.max_recent_ids),
            attempts: RunningAttempts::default(),
            counter_calls: CounterCalls::new(counter_timeout),
            leases,
            bans: ServerBans::default(),
            start_times: StartTimes::default(),
            upgrade: UpgradeState::default(),
            phase: Phase::Serving,
            rules,
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            endpoints_known: options.endpoints_known,
            log: options.log,
            full_throttle: LogThrottle::default(),
            duplicate_id_throttle: LogThrottle::default(),
            repeated_id_throttle: LogThrottle::default(),
        }
    }

    /// Runs until the core is stopped and all open requests are answered. Returns the units that
    /// were not reported to the counter.
    pub fn run(mut self, inputs: Receiver<Input<T>>, commands: Receiver<Command>) -> FinalReport {
        // Inputs that are still queued when the core could end are handled, unless the shutdown
        // deadline has passed.
        while self.must_continue() || !(self.phase == Phase::Stopped || inputs.is_empty()) {
            let input = match self.next_wake() {
                Some(at) => inputs.recv_deadline(self.clock.instant_of(at)),
                None => inputs.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            let now = self.clock.now();
            for command in commands.try_iter() {
                self.handle_command(now, command);
            }
            match input {
                Ok(input) => self.handle_input(now, input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            while let Some(deadline) = self.timers.pop_expired(now) {
                self.handle_deadline(now, deadline);
            }
            self.send_lease_reports(now);
        }
        self.engine.final_report()
    }

    /// Returns when the next timer expires or the next lease report is due, whichever is earlier.
    fn next_wake(&self) -> Option<Micros> {
        let lease_report = self.leases.as_ref().and_then(Leases::next_wake);
        self.timers
            .next_expiry()
            .into_iter()
            .chain(lease_report)
            .min()
    }

    /// Whether the loop must continue. It runs until the last client connection is closed, as a
    /// request may still arrive on each, and after the shutdown deadline until the last response is
    /// streamed. A predecessor has handed its connections over, but waits
    /// for its last counter calls as well, because units that these calls failed to add are part of
    /// its final report.
    fn must_continue(&self) -> bool {
        if self.upgrade.finishing {
            return !self.requests.is_empty() || !self.counter_calls.is_empty();
        }
        match self.phase {
            Phase::Serving => true,
            Phase::Draining => {
                self.upgrade.state_is_handed_over()
                    || !self.requests.is_empty()
                    || self.transport.has_clients()
            }
            Phase::Stopped => !self.requests.is_empty(),
        }
    }
}
