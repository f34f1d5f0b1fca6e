//! The core: the event loop that owns the decision engine, open requests and attempts.
//!
//! It deals in requests, attempts and outcomes. Connections to clients, upstream servers and the counter are
//! behind [`Transport`] and reach the core through its queue of [`Input`]s alone; the one thread that runs
//! [`Core::run`] owns the engine.

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
mod requests;
mod timers;
mod upgrade;

pub use crate::clock::Clock;
pub use commands::{AdminCommand, Command, HandOverCommand};
pub use messages::{Answer, AttemptDeadlines, AttemptId, IncomingRequest, Input, Transport};

use crate::decision::{Action, Event, Idempotency, Micros, Settings};
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
use slog::Logger;
use std::collections::VecDeque;
use std::time::Duration;
use timers::Timers;
use upgrade::UpgradeState;

/// Longest Retry-After of requests that are rejected because too many are open.
const MAX_RETRY_AFTER_WHEN_FULL: Duration = Duration::from_millis(500);
/// Shortest timeout of a counter call, in microseconds.
const MIN_COUNTER_TIMEOUT: Micros = 1_000;

/// What a core is made of.
pub struct CoreOptions<T: Transport> {
    /// Settings of the engine.
    pub settings: Settings,
    /// Seed of the engine's random numbers.
    pub seed: u64,
    /// Most requests that are open at a time; more are rejected.
    pub max_open: usize,
    /// Carries out what the core asks for.
    pub transport: T,
    /// The clock of the engine.
    pub clock: Clock,
    /// Receives a message whenever an endpoint update names a ready server; for the first one capacity 1 is
    /// enough.
    pub endpoints_known: Sender<()>,
    /// Holder of quota leases; none where units are not leased.
    pub lease_holder: Option<Holder>,
    /// Where requests without an answer and the shutdown are logged.
    pub log: Logger,
}

/// The event loop round the decision engine.
pub struct Core<T: Transport> {
    engine: Engine,
    transport: T,
    clock: Clock,
    timers: Timers<Deadline>,
    requests: OpenRequests<T>,
    attempts: RunningAttempts,
    counter_calls: CounterCalls,
    /// None where units are not leased.
    leases: Option<Leases>,
    bans: ServerBans,
    upgrade: UpgradeState,
    phase: Phase,
    rules: RequestRules,
    /// Events for the engine that follow from its actions.
    pending_events: VecDeque<Event>,
    /// Buffer of the engine's actions, kept for its capacity.
    actions: Vec<Action>,
    endpoints_known: Sender<()>,
    log: Logger,
    full_log: LogThrottle,
    duplicate_id_log: LogThrottle,
}

/// How far the shutdown of the core is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// No shutdown was requested.
    Serving,
    /// The core ends once no client is connected and nothing is open.
    Draining,
    /// The time for that is over.
    Stopped,
}

/// What the settings say about single requests.
struct RequestRules {
    /// By class: a rejection is harmless even after the request may have run.
    idempotent_classes: Vec<bool>,
    max_attempts: usize,
    /// Retry-After of requests that are rejected because too many are open; zero for no advice.
    retry_after_when_full: Duration,
}

impl RequestRules {
    fn new(settings: &Settings) -> Self {
        let max_retry_after = Duration::from_micros(settings.limits.max_retry_after);
        Self {
            idempotent_classes: settings
                .classes
                .iter()
                .map(|class| class.idempotency == Idempotency::Idempotent)
                .collect(),
            max_attempts: settings.limits.max_attempts.max(1) as usize,
            retry_after_when_full: MAX_RETRY_AFTER_WHEN_FULL.min(max_retry_after),
        }
    }

    /// Whether requests of a class are idempotent; those of an unknown class are not.
    fn is_idempotent(&self, class: usize) -> bool {
        self.idempotent_classes.get(class).copied().unwrap_or(false)
    }
}

impl<T: Transport> Core<T> {
    /// A core with a new engine, which knows no upstream server.
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
            attempts: RunningAttempts::default(),
            counter_calls: CounterCalls::new(counter_timeout),
            leases,
            bans: ServerBans::default(),
            upgrade: UpgradeState::default(),
            phase: Phase::Serving,
            rules,
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            endpoints_known: options.endpoints_known,
            log: options.log,
            full_log: LogThrottle::default(),
            duplicate_id_log: LogThrottle::default(),
        }
    }

    /// Runs until the core is stopped and all open requests are answered. Returns the units that the counter
    /// does not know of yet.
    pub fn run(mut self, inputs: Receiver<Input<T>>, commands: Receiver<Command>) -> FinalReport {
        // Inputs that were queued by the end are still handled.
        while self.goes_on() || !(self.phase == Phase::Stopped || inputs.is_empty()) {
            let input = match self.next_wake() {
                Some(at) => inputs.recv_deadline(self.clock.moment(at)),
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
            while let Some(deadline) = self.timers.due(now) {
                self.handle_deadline(now, deadline);
            }
            self.send_lease_reports(now);
        }
        self.engine.unreported_units()
    }

    /// When the next timer expires or the next lease report is due.
    fn next_wake(&self) -> Option<Micros> {
        let lease_report = self.leases.as_ref().and_then(Leases::next_wake);
        self.timers.next().into_iter().chain(lease_report).min()
    }

    /// Whether the loop goes on: until the last connection has ended, as each may carry a request. A
    /// predecessor hands its connections over, and waits for its last counter calls as well: units that these
    /// turn out not to have added are part of its final report.
    fn goes_on(&self) -> bool {
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
            Phase::Stopped => false,
        }
    }
}
