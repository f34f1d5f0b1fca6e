//! The core: carries out what the decision module wants and tells it what became of it.
//!
//! It deals in requests, attempts and outcomes. Whatever speaks to agents, ticket nodes and the quota counter
//! stands behind [`Transport`] and reaches the core through its queue of [`Input`]s alone; the one thread that
//! runs [`Core::run`] owns the module.

mod actions;
mod attempts;
pub mod bans;
mod commands;
mod deadlines;
mod leases;
mod messages;
mod requests;
mod timers;

pub use commands::{AdminCommand, Command, HandOverCommand};
pub use messages::{Answer, AttemptDeadlines, AttemptId, IncomingRequest, Input, Transport};
pub use timers::Clock;

use crate::decision::{
    AccountId, Action, Event, Idempotency, Micros, Readiness, RequestId, Settings, UpdateScope,
};
use crate::handover::message::{FinalReport, LearnedState};
use crate::log_throttle::LogThrottle;
use crate::quota_lease::holder::Holder;
use crate::Engine;
use attempts::Out;
use bans::Bans;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use deadlines::Due;
use leases::Leases;
use requests::Open;
use slog::{info, Logger};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;
use timers::Timers;

/// The longest time to come back after, where there is no room for a request.
const FULL_ADVICE: Duration = Duration::from_millis(500);

/// The owner of the decision module.
pub struct Core<E: Transport> {
    gateway: Engine,
    bans: Bans,
    /// What a successor was given.
    handed_over_state: Option<LearnedState>,
    /// Attempts of a predecessor that are still out, by account.
    before: HashMap<AccountId, u32>,
    /// A successor serves, and nothing is to begin here.
    finishing: bool,
    edges: E,
    clock: Clock,
    log: Logger,
    /// By class: a refusal is harmless even after it may have run.
    safe: Vec<bool>,
    max_attempts: usize,
    /// When to come back where there is no room for a request; nothing where agents are not told.
    advice: Duration,
    counter_timeout: Micros,
    max_open: usize,
    open: HashMap<u64, Open<E>>,
    /// The names of those that have one.
    names: HashSet<RequestId>,
    out: HashMap<AttemptId, Out>,
    counts: HashMap<u64, u64>,
    count_calls: u64,
    /// None where units are not leased.
    leases: Option<Leases>,
    timers: Timers<Due>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    ready: Sender<()>,
    /// Told to stop once every connection of an agent has ended.
    stopping: bool,
    /// Out of time for that.
    stopped: bool,
    full: LogThrottle,
    twice: LogThrottle,
}

impl<E: Transport> Core<E> {
    /// A core round a new module; `ready` is told once a first node list is known.
    pub fn new(
        settings: Settings,
        seed: u64,
        max_open: usize,
        edges: E,
        clock: Clock,
        ready: Sender<()>,
        log: Logger,
    ) -> Self {
        Self {
            safe: settings
                .classes
                .iter()
                .map(|c| c.idempotency == Idempotency::Idempotent)
                .collect(),
            max_attempts: settings.limits.max_attempts.max(1) as usize,
            advice: FULL_ADVICE.min(Duration::from_micros(settings.limits.max_retry_after)),
            counter_timeout: settings.counter_timeout.max(1_000),
            gateway: Engine::new(settings, seed),
            bans: Bans::default(),
            handed_over_state: None,
            before: HashMap::new(),
            finishing: false,
            edges,
            clock,
            log,
            max_open,
            open: HashMap::new(),
            names: HashSet::new(),
            out: HashMap::new(),
            counts: HashMap::new(),
            count_calls: 0,
            leases: None,
            timers: Timers::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            ready,
            stopping: false,
            stopped: false,
            full: LogThrottle::default(),
            twice: LogThrottle::default(),
        }
    }

    /// Has the units of requests leased by this holder.
    pub fn with_leases(mut self, holder: Holder) -> Self {
        self.leases = Some(Leases::new(
            self.clock.now(),
            holder,
            &self.gateway.settings.plans,
        ));
        self
    }

    /// Runs until it is stopped and everything open is answered.
    pub fn run(mut self, inputs: Receiver<Input<E>>, commands: Receiver<Command>) -> FinalReport {
        // What has come by the end is still taken.
        while self.goes_on() || !(self.stopped || inputs.is_empty()) {
            let leases_wake = self.leases.as_ref().and_then(Leases::next_wake);
            let input = match self.timers.next().into_iter().chain(leases_wake).min() {
                Some(at) => inputs.recv_deadline(self.clock.moment(at)),
                None => inputs.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            let now = self.clock.now();
            for command in commands.try_iter() {
                self.obey(now, command);
            }
            match input {
                Ok(input) => self.take(now, input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            while let Some(due) = self.timers.due(now) {
                self.fall_due(now, due);
            }
            self.send_reports(now);
        }
        self.gateway.unreported_units()
    }

    /// Up to the end of the last connection: a request may come on each that is there. A predecessor hands these over, and
    /// waits for its last calls of the counter too, as what these turn out not to have added goes along.
    fn goes_on(&self) -> bool {
        if self.finishing {
            return !self.open.is_empty() || !self.counts.is_empty();
        }
        let alone = self.stopping && self.handed_over_state.is_none();
        !self.stopped && (!alone || !self.open.is_empty() || self.edges.has_clients())
    }

    fn take(&mut self, now: Micros, input: Input<E>) {
        match input {
            Input::EndpointUpdate(scope, members) => {
                let known = members.iter().any(|m| m.readiness == Readiness::Ready);
                if scope == UpdateScope::Snapshot {
                    self.bans
                        .missing(&members)
                        .iter()
                        .for_each(|node| self.edges.block_server(node));
                }
                let members = self.bans.news(scope, members);
                self.listed(now, scope, members);
                if known {
                    _ = self.ready.try_send(());
                }
            }
            Input::Request(incoming) => self.admit(now, incoming),
            Input::ClientDisconnected(numbers) => {
                for number in self.waiting_first(numbers) {
                    if let Some(open) = self.close(now, number) {
                        self.tell(now, Event::ClientDisconnected { id: open.id });
                    }
                }
            }
            Input::ResponseStarted { attempt, value } => self.began(now, attempt, value),
            Input::AttemptEnded {
                attempt,
                outcome,
                load,
                value,
            } => {
                if let Some(out) = self.take_out(attempt) {
                    self.ended(now, attempt, out, outcome, load, value);
                }
            }
            Input::HealthChecked {
                server: node,
                outcome,
                latency: took,
                load,
            } => {
                let took = took.as_micros() as Micros;
                self.tell(
                    now,
                    Event::HealthChecked {
                        server: node,
                        outcome,
                        latency: took,
                        load,
                    },
                );
            }
            Input::CounterReply {
                call,
                outcome,
                total,
            } => {
                if let Some(name) = self.counts.remove(&call) {
                    self.tell(
                        now,
                        Event::CounterReply {
                            key: name,
                            total,
                            outcome,
                        },
                    );
                }
            }
            Input::Allocator(event) => self.hear_allocator(now, event),
            Input::QuotaShares(standing) => self.tell(now, Event::QuotaShares(standing)),
            // Looked at already.
            Input::CommandQueued => {}
            Input::Shutdown(by) => {
                info!(self.log, "shutting down"; "open" => self.open.len());
                self.stopping = true;
                self.timers.set(self.clock.at(by), Due::Stop);
            }
        }
    }
}
