//! The core: carries out what the decision module wants and tells it what became of it.
//!
//! It deals in requests, attempts and outcomes. Whatever speaks to agents, ticket nodes and the quota counter
//! stands behind [`Edges`] and reaches the core through its queue of [`Input`]s alone; the one thread that
//! runs [`Core::run`] owns the module.

mod bans;
mod leases;
mod timers;

pub use timers::Clock;

use crate::fleet::parts::Standing;
use crate::handover::message::{Ban, Body, Bye, Given};
use crate::hush::Hush;
use crate::interface::*;
use crate::quota_lease::holder::Holder;
use crate::quota_lease::link::LinkEvent;
use crate::quota_lease::message::Report;
use crate::Gateway;
use bans::Bans;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use leases::{Leased, Leases};
use slog::{info, warn, Logger};
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};
use timers::Timers;

/// What the module gives up so shortly before its deadline has run out of time, not out of nodes.
const LAST_MOMENTS: Micros = 50_000;
/// The longest time to come back after, where there is no room for a request.
const FULL_ADVICE: Duration = Duration::from_millis(500);

/// Names an attempt: the number of its request, and its place among that request's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request's number.
    pub request: u64,
    /// Its place, from 0.
    pub attempt: usize,
}

/// How long an attempt may take.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// Its answer is waited for until then.
    pub ends: Instant,
    /// It is written before this or not at all.
    pub by: Instant,
}

/// The one final answer of a request.
#[derive(Debug)]
pub enum Answer<V> {
    /// Served with a ticket node's value.
    Served(V),
    /// Refused: trying again is harmless.
    Refused {
        /// When to come back; nothing advised if zero.
        after: Duration,
        /// Time ran out on an attempt.
        late: bool,
    },
    /// Failed, promising nothing.
    Failed {
        /// Time ran out.
        late: bool,
    },
}

/// What the core wants done outside. No call may block: the core waits for nothing but its queue.
pub trait Edges {
    /// Where the answer of a request goes.
    type Client;
    /// What is passed on to a ticket node.
    type Call;
    /// What a ticket node serves.
    type Value;
    /// Gives a request its final answer.
    fn answer(&mut self, client: Self::Client, answer: Answer<Self::Value>);
    /// Starts an attempt.
    fn start(&mut self, attempt: AttemptId, node: &ServerId, call: &Arc<Self::Call>, wait: Wait);
    /// Gives an attempt up; whatever it still brings is dropped. False if not a byte of it was written: it never
    /// ran and never will.
    fn cancel(&mut self, attempt: AttemptId) -> bool;
    /// Keeps an attempt of which not a byte is written from being written at all; false if it is under way.
    fn withdraw(&mut self, attempt: AttemptId) -> bool;
    /// Asks a ticket node for its load.
    fn probe(&mut self, node: &ServerId);
    /// Nothing more is to go to this ticket node, not even what has been started and is not written yet.
    fn bar(&mut self, node: &ServerId);
    /// The other process of an upgrade is to know this, if there is one.
    fn tell(&mut self, news: Body);
    /// So many ticket nodes are listed, and so many of them avoided.
    fn listed(&mut self, known: usize, excluded: usize);
    /// Adds to a count; `call` comes back with the total.
    fn add(&mut self, call: u64, name: u64, by: f64, ttl: Duration);
    /// Sends a report to an allocator of quota leases. Only a core with leases has any.
    fn report(&mut self, _allocator: u32, _report: Report) {}
    /// An agent is connected, from which a request may be on its way here.
    fn agents(&self) -> bool;
}

/// An agent's request as it reaches the core.
pub struct Incoming<E: Edges> {
    /// Its number, never used twice in this process.
    pub number: u64,
    /// Its name where agents give one; no two open requests have the same.
    pub id: Option<RequestId>,
    /// When its last byte came.
    pub arrived: Instant,
    /// How long the agent waits from then on.
    pub budget: Duration,
    /// Index of its class.
    pub class: usize,
    /// Index of its plan.
    pub plan: usize,
    /// The agent account.
    pub account: CustomerId,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Number of limiters that the account's requests come through.
    pub spread: u32,
    /// Number of the first of them.
    pub first: u32,
    /// Where the answer goes.
    pub client: E::Client,
    /// What is passed on.
    pub call: E::Call,
}

/// An operator's word to the core, which looks at these before anything else. It is told false if no such node was
/// ever listed.
#[derive(Clone, Debug)]
pub enum Order {
    /// Take a ticket node out.
    Disable(ServerId, Sender<bool>),
    /// Put it back.
    Enable(ServerId, Sender<bool>),
    /// Give what is known to a successor, and tell of each attempt that ends from now on.
    Give(Sender<Given>),
    /// The successor did not serve.
    TakeBack,
    /// There is no successor any more.
    Alone,
    /// Take what a predecessor knew.
    Take(Given, Sender<()>),
    /// The other process has news.
    Heard(Body),
    /// Everything open is answered or handed over: end.
    Finish,
}

/// What reaches the core.
pub enum Input<E: Edges> {
    /// News of the node list.
    Nodes(Scope, Vec<Member>),
    /// A request has come in whole.
    Request(Incoming<E>),
    /// The agent that sent these requests has gone away.
    Left(Vec<u64>),
    /// The first bytes of an attempt's value have come, and are passed on to whoever gets them. The attempt ends later,
    /// without a value.
    Began {
        /// Which.
        attempt: AttemptId,
        /// What comes.
        value: E::Value,
    },
    /// An attempt has ended by itself.
    Ended {
        /// Which.
        attempt: AttemptId,
        /// How.
        outcome: Outcome,
        /// The node's load, if told.
        load: Vec<f64>,
        /// The value, with [`Outcome::Ok`].
        value: Option<E::Value>,
    },
    /// A probe has ended.
    Probed {
        /// The ticket node.
        node: ServerId,
        /// How.
        outcome: Outcome,
        /// Time it took.
        took: Duration,
        /// The node's load.
        load: Vec<f64>,
    },
    /// A call of the quota counter has ended.
    Counted {
        /// The number given to [`Edges::add`].
        call: u64,
        /// How.
        outcome: Outcome,
        /// The total, with [`Outcome::Ok`].
        total: f64,
    },
    /// A connection to an allocator of quota leases has news.
    Allocator(LinkEvent),
    /// What the fleet's view lets this limiter count on.
    Fleet(Standing),
    /// There is an order.
    Ordered,
    /// Answer what is open and come to an end, by this moment at the latest.
    Stop(Instant),
}

/// Why the core woke by itself.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Attempt(AttemptId),
    Request(u64),
    Count(u64),
    Stop,
}

struct Open<E: Edges> {
    id: RequestId,
    name: Option<RequestId>,
    account: CustomerId,
    /// None once its answer has begun to stream.
    client: Option<E::Client>,
    /// The attempt whose value is on its way to the agent, and since when: nothing is sent any more, and no time-out cuts
    /// it off.
    streams: Option<(AttemptId, Micros)>,
    call: Arc<E::Call>,
    deadline: Micros,
    attempts: usize,
    late: bool,
    may_have_run: bool,
    safe: bool,
}

struct Out {
    node: ServerId,
    account: CustomerId,
    sent: Micros,
}

/// The owner of the decision module.
pub struct Core<E: Edges> {
    gateway: Gateway,
    bans: Bans,
    /// What a successor was given.
    given: Option<Given>,
    /// Attempts of a predecessor that are still out, by account.
    before: HashMap<CustomerId, u32>,
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
    full: Hush,
    twice: Hush,
}

impl<E: Edges> Core<E> {
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
            safe: settings.classes.iter().map(|c| c.effect == Effect::Safe).collect(),
            max_attempts: settings.limits.max_attempts.max(1) as usize,
            advice: FULL_ADVICE.min(Duration::from_micros(settings.limits.max_retry_after)),
            counter_timeout: settings.counter_timeout.max(1_000),
            gateway: Gateway::new(settings, seed),
            bans: Bans::default(),
            given: None,
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
            full: Hush::default(),
            twice: Hush::default(),
        }
    }

    /// Has the units of requests leased by this holder.
    pub fn with_leases(mut self, holder: Holder) -> Self {
        self.leases = Some(Leases::new(self.clock.now(), holder, &self.gateway.cfg.plans));
        self
    }

    /// Runs until it is stopped and everything open is answered.
    pub fn run(mut self, inputs: Receiver<Input<E>>, orders: Receiver<Order>) -> Bye {
        // What has come by the end is still taken.
        while self.goes_on() || !(self.stopped || inputs.is_empty()) {
            let leases_wake = self.leases.as_ref().and_then(Leases::next_wake);
            let input = match self.timers.next().into_iter().chain(leases_wake).min() {
                Some(at) => inputs.recv_deadline(self.clock.moment(at)),
                None => inputs.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            let now = self.clock.now();
            for order in orders.try_iter() {
                self.obey(now, order);
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
        self.gateway.untold()
    }

    /// Sends what the holder of leases reports now, and takes the answers that it does not wait for any longer.
    fn send_reports(&mut self, now: Micros) {
        let Some(leases) = &mut self.leases else { return };
        if let Some((figures, dropped)) = leases.figures_due(now) {
            info!(self.log, "leases"; "figures" => ?figures, "dropped" => ?dropped);
        }
        if !leases.is_due(now) {
            return;
        }
        let (reports, answers) = leases.poll(now);
        reports.into_iter().for_each(|(allocator, report)| self.edges.report(allocator, report));
        self.leased(now, answers);
    }

    fn leased(&mut self, now: Micros, answers: Vec<Leased>) {
        for Leased { id, granted } in answers {
            self.tell(now, Event::Leased { id, granted });
        }
    }

    /// Up to the end of the last connection: a request may come on each that is there. A predecessor hands these over, and
    /// waits for its last calls of the counter too, as what these turn out not to have added goes along.
    fn goes_on(&self) -> bool {
        if self.finishing {
            return !self.open.is_empty() || !self.counts.is_empty();
        }
        let alone = self.stopping && self.given.is_none();
        !self.stopped && (!alone || !self.open.is_empty() || self.edges.agents())
    }

    fn take(&mut self, now: Micros, input: Input<E>) {
        match input {
            Input::Nodes(scope, members) => {
                let known = members.iter().any(|m| m.readiness == Readiness::Ready);
                if scope == Scope::Full {
                    self.bans.missing(&members).iter().for_each(|node| self.edges.bar(node));
                }
                let members = self.bans.news(scope, members);
                self.listed(now, scope, members);
                if known {
                    _ = self.ready.try_send(());
                }
            }
            Input::Request(incoming) => self.admit(now, incoming),
            Input::Left(numbers) => {
                for number in self.waiting_first(numbers) {
                    if let Some(open) = self.close(now, number) {
                        self.tell(now, Event::Gone { id: open.id });
                    }
                }
            }
            Input::Began { attempt, value } => self.began(now, attempt, value),
            Input::Ended { attempt, outcome, load, value } => {
                if let Some(out) = self.take_out(attempt) {
                    self.ended(now, attempt, out, outcome, load, value);
                }
            }
            Input::Probed { node, outcome, took, load } => {
                let took = took.as_micros() as Micros;
                self.tell(now, Event::Probed { server: node, outcome, took, load });
            }
            Input::Counted { call, outcome, total } => {
                if let Some(name) = self.counts.remove(&call) {
                    self.tell(now, Event::Counted { name, total, outcome });
                }
            }
            Input::Allocator(event) => {
                let answers = self.leases.as_mut().map(|leases| leases.hear(now, event)).unwrap_or_default();
                self.leased(now, answers);
            }
            Input::Fleet(standing) => self.tell(now, Event::Fleet(standing)),
            // Looked at already.
            Input::Ordered => {}
            Input::Stop(by) => {
                info!(self.log, "stopping"; "open" => self.open.len());
                self.stopping = true;
                self.timers.set(self.clock.at(by), Due::Stop);
            }
        }
    }

    /// Guards against an order that waits behind a crowd of requests: the operator is owed an answer in a second.
    fn obey(&mut self, now: Micros, order: Order) {
        let (members, told) = match order {
            Order::Disable(node, told) => (self.ban(now, &node, true), told),
            Order::Enable(node, told) => (self.ban(now, &node, false), told),
            Order::Give(to) => {
                let bans = self.bans.all();
                let given = Given { bans, ..self.gateway.give() };
                self.given = Some(given.clone());
                _ = to.try_send(given);
                return;
            }
            Order::TakeBack => return self.given.take().into_iter().for_each(|g| self.gateway.take_back(g)),
            Order::Alone => return self.given = None,
            Order::Take(given, told) => {
                let members = given.bans.iter().flat_map(|ban| self.bans.take(ban)).collect();
                self.listed(now, Scope::Changes, members);
                self.before = self.gateway.take(now, given);
                _ = told.try_send(());
                return;
            }
            Order::Heard(news) => return self.hear(now, news),
            Order::Finish => return self.finishing = true,
        };
        let known = members.is_some();
        self.listed(now, Scope::Changes, members.unwrap_or_default());
        _ = told.try_send(known);
    }

    /// Takes a node out or puts it back, here and at the other process.
    fn ban(&mut self, now: Micros, node: &ServerId, out: bool) -> Option<Vec<Member>> {
        let members = if out { self.bans.disable(node) } else { self.bans.enable(node, now) };
        if members.is_some() {
            self.edges.tell(Body::Ban(Ban { id: node.0.to_string(), out, at: now }));
            self.bar(node, out);
        }
        members
    }

    fn bar(&mut self, node: &ServerId, out: bool) {
        if out {
            self.edges.bar(node);
        }
    }

    fn hear(&mut self, now: Micros, news: Body) {
        match news {
            Body::Ban(ban) => {
                self.bar(&ServerId::from(&*ban.id), ban.out);
                let members = self.bans.take(&ban);
                self.listed(now, Scope::Changes, members);
            }
            Body::Ended(account) => {
                let account = CustomerId::from(&*account);
                if let Some(out) = self.before.get_mut(&account).filter(|out| **out > 0) {
                    *out -= 1;
                    self.gateway.ended_before(&account);
                }
            }
            Body::Bye(bye) => {
                // Whatever it had out has ended with it.
                for (account, out) in std::mem::take(&mut self.before) {
                    (0..out).for_each(|_| self.gateway.ended_before(&account));
                }
                self.gateway.take_untold(bye);
            }
            _ => {}
        }
    }

    /// What waits for a connection to a node that takes nothing new is not sent once it comes up.
    fn listed(&mut self, now: Micros, scope: Scope, members: Vec<Member>) {
        members.iter().filter(|m| m.readiness != Readiness::Ready).for_each(|m| self.edges.bar(&m.id));
        self.tell(now, Event::Members { scope, members });
        let (known, excluded) = self.bans.counts();
        self.edges.listed(known, excluded);
    }

    fn admit(&mut self, now: Micros, incoming: Incoming<E>) {
        let arrived = self.clock.at(incoming.arrived).min(now);
        let deadline = arrived + incoming.budget.as_micros() as Micros;
        // Bounds the memory that requests hold. Nothing has run yet, so the refusal is harmless.
        if self.open.len() >= self.max_open {
            if let Some(more) = self.full.due() {
                warn!(self.log, "too many open requests"; "open" => self.open.len(), "unlogged" => more);
            }
            let answer = Answer::Refused { after: self.advice, late: false };
            return self.edges.answer(incoming.client, answer);
        }
        // Guards against the id of another agent's open request: ticket nodes would take the one for the other.
        if incoming.id.as_ref().is_some_and(|name| !self.names.insert(name.clone())) {
            if let Some(more) = self.twice.due() {
                info!(self.log, "id of an open request"; "unlogged" => more);
            }
            return self.edges.answer(incoming.client, Answer::Failed { late: false });
        }
        let id = RequestId::from(format!("{:x}", incoming.number).as_str());
        let request = Request {
            id: id.clone(),
            class: incoming.class,
            plan: incoming.plan,
            customer: incoming.account.clone(),
            budget: deadline.saturating_sub(now),
            units: incoming.units,
            spread: incoming.spread,
            first: incoming.first,
        };
        let open = Open {
            id,
            name: incoming.id,
            account: incoming.account,
            client: Some(incoming.client),
            streams: None,
            call: Arc::new(incoming.call),
            deadline,
            attempts: 0,
            late: false,
            may_have_run: false,
            safe: self.safe.get(incoming.class).copied().unwrap_or(false),
        };
        self.open.insert(incoming.number, open);
        self.timers.set(deadline, Due::Request(incoming.number));
        self.tell(now, Event::Request(request));
    }

    fn fall_due(&mut self, now: Micros, due: Due) {
        match due {
            Due::Module(token) => self.tell(now, Event::Timer { token }),
            Due::Attempt(attempt) if self.streams(attempt.request).is_some() => {}
            Due::Attempt(attempt) => {
                if let Some(out) = self.take_out(attempt) {
                    let written = self.edges.cancel(attempt);
                    if let Some(open) = self.open.get_mut(&attempt.request) {
                        open.late = true;
                    }
                    // Not a byte of it left: the connection never came up in the time there was.
                    let outcome = if written { Outcome::Timeout } else { Outcome::ConnectFailed };
                    self.ended(now, attempt, out, outcome, Vec::new(), None);
                }
            }
            Due::Request(number) if self.streams(number).is_some() => {}
            Due::Request(number) => self.overdue(now, number),
            Due::Count(call) => {
                if let Some(name) = self.counts.remove(&call) {
                    self.tell(now, Event::Counted { name, total: 0.0, outcome: Outcome::Timeout });
                }
            }
            Due::Stop => {
                let open: Vec<u64> = self.open.keys().copied().collect();
                self.stopped = true;
                if !open.is_empty() {
                    warn!(self.log, "out of time to stop"; "open" => open.len());
                }
                self.waiting_first(open).into_iter().for_each(|number| self.overdue(now, number));
            }
        }
    }

    /// The order in which requests end together: what waits would be sent on in the place that another leaves.
    fn waiting_first(&self, mut numbers: Vec<u64>) -> Vec<u64> {
        let out: HashSet<u64> = self.out.keys().map(|attempt| attempt.request).collect();
        numbers.sort_by_key(|number| out.contains(number));
        numbers
    }

    /// Guards against a module that says nothing: the agent gets its answer at its deadline all the same.
    fn overdue(&mut self, now: Micros, number: u64) {
        let Some(open) = self.close(now, number) else { return };
        warn!(self.log, "unanswered at its deadline"; "request" => &*open.id.0, "attempts" => open.attempts);
        self.answer(open.client, Answer::Failed { late: true });
        self.tell(now, Event::Gone { id: open.id });
    }

    /// Takes a request out of the open ones: its answer is due now, and what is not written for it yet never will be.
    fn close(&mut self, now: Micros, number: u64) -> Option<Open<E>> {
        let open = self.open.remove(&number)?;
        if let Some(leases) = &mut self.leases {
            leases.close(now, &open.id, open.attempts > 0);
        }
        for attempt in 0..open.attempts {
            let attempt = AttemptId { request: number, attempt };
            if self.out.contains_key(&attempt) && self.edges.withdraw(attempt) {
                self.take_out(attempt);
            }
        }
        if let Some(name) = &open.name {
            self.names.remove(name);
        }
        Some(open)
    }

    /// An attempt is no longer out; a successor counts those that were when it took over.
    fn take_out(&mut self, attempt: AttemptId) -> Option<Out> {
        let out = self.out.remove(&attempt)?;
        if self.given.is_some() {
            self.edges.tell(Body::Ended(out.account.0.to_string()));
        }
        Some(out)
    }

    fn streams(&self, number: u64) -> Option<(AttemptId, Micros)> {
        self.open.get(&number)?.streams
    }

    /// Nothing if the answer has begun: where it ends, the agent sees.
    fn answer(&mut self, client: Option<E::Client>, answer: Answer<E::Value>) {
        if let Some(client) = client {
            self.edges.answer(client, answer);
        }
    }

    /// The first bytes that come win. Whatever else is out for the request is given up: its bytes would reach nobody.
    fn began(&mut self, now: Micros, attempt: AttemptId, value: E::Value) {
        if !self.out.contains_key(&attempt) {
            return;
        }
        let Some(open) = self.open.get_mut(&attempt.request) else { return };
        let Some(client) = open.client.take() else { return };
        open.streams = Some((attempt, now));
        let id = open.id.clone();
        self.edges.answer(client, Answer::Served(value));
        self.tell(now, Event::First { id: id.clone() });
        let others = self.out.keys().filter(|other| other.request == attempt.request && **other != attempt);
        for other in others.copied().collect::<Vec<_>>() {
            self.carry_out(now, Action::Cancel { id: id.clone(), attempt: other.attempt });
        }
        // What the cancelled ones leave to be told.
        while let Some(event) = self.events.pop_front() {
            self.tell(now, event);
        }
    }

    /// The first good answer goes to the agent at once; the module hears of every end.
    fn ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        out: Out,
        outcome: Outcome,
        load: Vec<f64>,
        value: Option<E::Value>,
    ) {
        let number = attempt.request;
        // Good or broken off, the agent has what there was. Its pace is that of its first bytes: the rest goes as fast as
        // the agent reads.
        let streams = self.streams(number).filter(|(which, _)| *which == attempt);
        if streams.is_some() {
            self.close(now, number);
        }
        if let (Outcome::Ok, Some(value)) = (outcome, value) {
            if let Some(open) = self.close(now, number) {
                self.answer(open.client, Answer::Served(value));
            }
        }
        let open = self.open.get_mut(&number);
        let last = open.is_none();
        if let Some(open) = open {
            open.may_have_run |= !outcome.never_ran();
        }
        let ended = Ended {
            id: RequestId::from(format!("{number:x}").as_str()),
            attempt: attempt.attempt,
            server: out.node,
            outcome,
            took: streams.map_or(now, |(_, first)| first).saturating_sub(out.sent),
            last,
            load,
            settled: None,
        };
        self.tell(now, Event::Outcome(ended));
    }

    /// Hands an event to the module and carries out its actions, and what follows from these in turn.
    fn tell(&mut self, now: Micros, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.on_event(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, server, timeout, by } => self.send(now, id, server, timeout, by),
            Action::Cancel { id, attempt } => {
                let attempt = AttemptId { request: number(&id), attempt };
                if let Some(out) = self.take_out(attempt) {
                    let written = self.edges.cancel(attempt);
                    self.events.push_back(Event::Outcome(Ended {
                        id,
                        attempt: attempt.attempt,
                        server: out.node,
                        outcome: if written { Outcome::Cancelled } else { Outcome::Moot },
                        took: now.saturating_sub(out.sent),
                        last: !self.open.contains_key(&attempt.request),
                        load: Vec::new(),
                        settled: None,
                    }));
                    if let Some(open) = self.open.get_mut(&attempt.request) {
                        open.may_have_run |= written;
                    }
                }
            }
            Action::Refuse { id, after } => {
                let Some(open) = self.close(now, number(&id)) else { return };
                let late = open.late || now + LAST_MOMENTS >= open.deadline;
                // The rule on refusals binds whoever words them: what may have run is failed, not refused.
                let answer = if open.safe || !open.may_have_run {
                    Answer::Refused { after: Duration::from_micros(after), late }
                } else {
                    Answer::Failed { late }
                };
                self.answer(open.client, answer);
            }
            Action::Fail { id } => {
                let Some(open) = self.close(now, number(&id)) else { return };
                let late = open.late || now + LAST_MOMENTS >= open.deadline;
                self.answer(open.client, Answer::Failed { late });
            }
            Action::Timer { after, token } => self.timers.set(now + after, Due::Module(token)),
            Action::Probe { server } => self.edges.probe(&server),
            // A call that ends after this process has tells nobody.
            Action::Count { name, .. } if self.finishing => {
                let (total, outcome) = (0.0, Outcome::ConnectFailed);
                self.events.push_back(Event::Counted { name, total, outcome });
            }
            Action::Count { name, by, ttl } => {
                self.count_calls += 1;
                self.counts.insert(self.count_calls, name);
                self.timers.set(now + self.counter_timeout, Due::Count(self.count_calls));
                self.edges.add(self.count_calls, name, by, Duration::from_micros(ttl));
            }
            Action::Lease { id, customer, plan, spread, units } => {
                let open = self.open.contains_key(&number(&id));
                let Some(leases) = self.leases.as_mut().filter(|_| open) else { return };
                if let Some(Leased { id, granted }) = leases.take(now, id, &customer, (plan, spread), units) {
                    self.events.push_back(Event::Leased { id, granted });
                }
            }
            // Limiters share nothing but the quota counter, and the node list is watched from the start.
            Action::Tell { .. } | Action::Watch => {}
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, node: ServerId, timeout: Micros, by: Micros) {
        let request = number(&id);
        let Some(open) = self.open.get_mut(&request) else {
            warn!(self.log, "attempt for a closed request"; "request" => &*id.0);
            return;
        };
        let attempt = AttemptId { request, attempt: open.attempts };
        open.attempts += 1;
        let left = open.deadline.saturating_sub(now);
        if left == 0 || open.attempts > self.max_attempts {
            let attempt = attempt.attempt;
            let (outcome, load) = (Outcome::Moot, Vec::new());
            let ended =
                Ended { id, attempt, server: node, outcome, took: 0, last: false, load, settled: None };
            return self.events.push_back(Event::Outcome(ended));
        }
        let ends = now + if timeout == 0 { left } else { timeout.min(left) };
        let wait = Wait { ends: self.clock.moment(ends), by: self.clock.moment(by.min(ends)) };
        self.edges.start(attempt, &node, &open.call, wait);
        self.out.insert(attempt, Out { node, account: open.account.clone(), sent: now });
        self.timers.set(ends, Due::Attempt(attempt));
    }
}

fn number(id: &RequestId) -> u64 {
    u64::from_str_radix(&id.0, 16).unwrap_or(u64::MAX)
}
