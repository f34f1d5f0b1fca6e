//! Simulation of many limiters that serve the same accounts, in virtual time. At each limiter the
//! decision module or a simple rule in its place decides on the requests.

use crate::counter::Counter;
use crate::tables::{Cause, CounterKnowledge, Results};
use crate::world::{Account, QuotaCheck, UsageProfile, MEAN_UNITS, SECOND};
use mossrill::decision::{counter_key, counter_window};
use mossrill::decision::{
    AccountId, Action, AttemptResult, Endpoint, Event, Idempotency, KeyScope, Limits, Micros,
    Outcome, Plan, Prices, Readiness, Request, RequestClass, RequestId, ServerId, Settings,
    UpdateScope,
};
use mossrill::Engine;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// The rule by which each limiter decides. The report contains the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum DecisionRule {
    /// The decision module.
    Module,
    /// Each limiter enforces a fixed, equal share of every quota and makes no counter calls.
    Part,
    /// All limiters see the exact state of every quota at once, which no real limiter can do: the
    /// upper bound.
    Exact,
}

/// The fault or change of load that is simulated. The report contains the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Disturbance {
    None,
    /// The counter loses seven tenths of its counts, twice.
    Lost,
    /// The counter can handle half a call for each first request.
    Half,
    /// Seven in ten limiters are restarted at once.
    Restart,
    /// Each account's busiest limiter changes every 5 s.
    Shift,
    /// The limiters' clocks differ by up to 100 ms.
    Clocks,
}

/// Sizes, load and disturbance of one run.
pub struct Setup {
    pub limiters: usize,
    /// First requests per second within quotas, over all limiters.
    pub request_rate: f64,
    /// Duration in seconds for which clients send first requests.
    pub seconds: f64,
    /// Capacity of the counter, in calls for each first request.
    pub calls_per_request: f64,
    pub disturbance: Disturbance,
    pub seed: u64,
}

/// A request as it arrives at a limiter: the first one of a client, or a retry.
struct ClientRequest {
    /// Index of the account.
    account: usize,
    /// Index of the limiter.
    limiter: usize,
    units: f64,
    /// Index of the request class.
    class: usize,
    arrived_at: Micros,
    /// Time at which the client stops waiting and retrying.
    gives_up_at: Micros,
    retries_left: u32,
    is_retry: bool,
    /// When the attempt in flight was sent, and to which server.
    open_attempt: Option<(Micros, ServerId)>,
}

/// What happened at one limiter for one account. Shows why requests were sent beyond the quota.
#[derive(Clone, Copy, Default)]
struct AccountHistory {
    /// Time of the last counter call that was answered.
    answered_at: Option<Micros>,
    /// Time of the last counter call that failed.
    failed_at: Option<Micros>,
    /// Counter window in which the last answer arrived.
    answered_window: u64,
    /// Units sent upstream by this limiter.
    units_sent: f64,
    /// Units that this limiter added to the counter. Claims are added before their units are sent.
    units_reported: f64,
    /// Units that the other limiters had added to the counter by the last answer.
    units_reported_elsewhere: f64,
    /// For the rule of fixed shares: the tokens of the limiter's bucket, and the time in seconds of
    /// its last refill.
    share_bucket: Option<(f64, f64)>,
    /// Number of attempts in flight.
    open_attempts: u32,
}

enum SimulationEvent {
    /// The client of this account sends a new request.
    FirstRequest(usize),
    /// A client sends a rejected request again.
    Retry(ClientRequest),
    /// The timer of a limiter expires, unless the limiter has been restarted since the timer was
    /// set.
    Timer { limiter: usize, restarts: u32 },
    /// The attempt of the request with this index ends.
    AttemptEnd(usize),
    /// A counter call ends, as the limiter that made it sees it.
    CallEnd {
        limiter: usize,
        /// Restarts of the limiter before the call; the reply to a call from before the last
        /// restart is dropped.
        restarts: u32,
        key: u64,
        amount: f64,
        /// The new total; 0 if the call failed.
        total: f64,
        outcome: Outcome,
    },
    /// The counter loses part of its counts.
    CounterLoss,
    /// Seven in ten limiters restart.
    Restart,
}

/// All limiters, the clients and the counter.
pub struct Fleet {
    rule: DecisionRule,
    setup: Setup,
    /// Virtual time.
    now: Micros,
    /// Sequence number of the last event that was scheduled.
    last_event: u64,
    /// Times and sequence numbers of pending events; those at the same time happen in the order of
    /// scheduling.
    event_queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Pending events by sequence number.
    events: HashMap<u64, SimulationEvent>,
    /// Random numbers for first requests. All others come from `rng`, so that every rule receives
    /// the same first requests.
    client_rng: StdRng,
    rng: StdRng,
    settings: Settings,
    /// For each limiter: the decision module, the number of restarts, and how far its clock is
    /// ahead.
    limiters: Vec<(Engine, u32, Micros)>,
    accounts: Vec<Account>,
    /// Indexes of accounts by counter key.
    account_by_key: HashMap<u64, usize>,
    /// What happened, by index of the limiter and of the account.
    histories: HashMap<(usize, usize), AccountHistory>,
    /// All requests that have arrived; the index of a request is its id.
    requests: Vec<ClientRequest>,
    counter: Counter,
    pub results: Results,
}

/// Settings of a large fleet.
fn settings(limiters: usize) -> Settings {
    let class = |latency_objective, deadline, idempotency, priority_weight| RequestClass {
        latency_objective,
        deadline,
        idempotency,
        idempotency_window: 7_500_000,
        priority_weight,
        late_weight: 0.0,
    };
    let plan = |rate, burst, max_concurrent, weight_factor| Plan {
        rate,
        burst,
        max_concurrent,
        weight_factor,
        over_quota_cost: 1.0,
        ..Plan::default()
    };
    Settings {
        limiters: limiters as u32,
        tick: 1_000,
        classes: vec![
            class(940_000, 2_950_000, Idempotency::Idempotent, 3.0),
            class(
                1_420_000,
                5_880_000,
                Idempotency::Keyed(KeyScope::Cell),
                3.0,
            ),
            class(1_420_000, 3_530_000, Idempotency::NonIdempotent, 5.0),
        ],
        plans: vec![
            plan(1.5, 12.0, 0, 0.88),
            plan(3.1, 14.0, 2, 1.1),
            plan(18.0, 38.0, 0, 1.6),
        ],
        limits: Limits {
            max_attempts: 4,
            cancel: true,
            max_retry_after: 1_000_000,
            ..Limits::default()
        },
        prices: Prices {
            counter_call: 0.01,
            ..Prices::default()
        },
        counter: true,
        counter_timeout: 50_000,
        ..Settings::default()
    }
}

impl Fleet {
    /// Creates the fleet, and draws accounts of each plan until together they reach the plan's
    /// share of the request rate.
    pub fn new(rule: DecisionRule, setup: Setup) -> Self {
        let mut client_rng = StdRng::seed_from_u64(setup.seed);
        let settings = settings(setup.limiters);
        let mut accounts = Vec::new();
        for (plan, share) in [0.24, 0.31, 0.45].into_iter().enumerate() {
            let mut missing_rate = share * setup.request_rate * MEAN_UNITS;
            while missing_rate > 0.0 {
                let account = Account::draw(
                    &mut client_rng,
                    plan,
                    &settings.plans,
                    setup.limiters,
                    setup.seconds,
                );
                let active_fraction = if account.profile == UsageProfile::Once {
                    4.0 / setup.seconds
                } else {
                    1.0
                };
                missing_rate -= account.mean_usage() * settings.plans[plan].rate * active_fraction;
                accounts.push(account);
            }
        }
        let calls_per_request = if setup.disturbance == Disturbance::Half {
            0.5
        } else {
            setup.calls_per_request
        };
        let mut fleet = Self {
            rule,
            now: 1_700_000_000_000_000,
            last_event: 0,
            event_queue: BinaryHeap::new(),
            events: HashMap::new(),
            rng: StdRng::seed_from_u64(setup.seed + 1),
            client_rng,
            limiters: Vec::new(),
            accounts,
            account_by_key: HashMap::new(),
            histories: HashMap::new(),
            requests: Vec::new(),
            counter: Counter::new(setup.request_rate * calls_per_request),
            results: Results::default(),
            settings,
            setup,
        };
        for limiter in 0..fleet.setup.limiters {
            let engine = fleet.engine(limiter, 0);
            let skew = if fleet.setup.disturbance == Disturbance::Clocks {
                fleet.rng.random_range(0..100_000)
            } else {
                0
            };
            fleet.limiters.push((engine, 0, skew));
            fleet.start(limiter);
        }
        fleet
    }

    /// Returns the decision module of a limiter that has been restarted this number of times.
    fn engine(&self, limiter: usize, restarts: u32) -> Engine {
        Engine::new(
            Settings {
                limiter: limiter as u32,
                ..self.settings.clone()
            },
            (limiter as u64) << 8 | u64::from(restarts),
        )
    }

    /// Gives a limiter its endpoint list; no server is in slow start.
    fn start(&mut self, limiter: usize) {
        let endpoint = |number| Endpoint {
            id: ServerId::from(&*format!("s{number}")),
            zone: String::new(),
            cell: number as u64 / 4,
            readiness: Readiness::Ready,
            weight: 1.0,
            started_at: 0,
        };
        let endpoints = (0..(self.setup.limiters * 2 / 3).max(8))
            .map(endpoint)
            .collect();
        self.handle(
            limiter,
            Event::EndpointUpdate {
                scope: UpdateScope::Snapshot,
                endpoints,
            },
        );
    }

    /// Schedules an event after this time in µs.
    fn schedule(&mut self, after: f64, event: SimulationEvent) {
        self.last_event += 1;
        self.event_queue.push(Reverse((
            self.now + after.max(0.0) as Micros,
            self.last_event,
        )));
        self.events.insert(self.last_event, event);
    }

    /// Runs the simulation until 3 s after the clients stop sending first requests.
    pub fn run(&mut self) {
        let started_at = self.now;
        let elapsed = |now: Micros| (now - started_at) as f64 / SECOND;
        for account_index in 0..self.accounts.len() {
            let starts = match self.accounts[account_index].profile {
                UsageProfile::Once => self.accounts[account_index].ends - 0.5,
                _ => 0.0,
            };
            let account = &mut self.accounts[account_index];
            _ = account.refill(self.now, &self.settings.plans[account.plan]);
            let gap = account.next_gap(
                starts,
                &mut self.client_rng,
                &self.settings.plans[account.plan],
            );
            self.schedule(
                (starts + gap) * SECOND,
                SimulationEvent::FirstRequest(account_index),
            );
        }
        match self.setup.disturbance {
            Disturbance::Lost => [0.4, 0.7].iter().for_each(|at| {
                self.schedule(
                    at * self.setup.seconds * SECOND,
                    SimulationEvent::CounterLoss,
                )
            }),
            Disturbance::Restart => {
                self.schedule(0.4 * self.setup.seconds * SECOND, SimulationEvent::Restart)
            }
            _ => {}
        }
        while let Some(Reverse((now, sequence))) = self.event_queue.pop() {
            self.now = now;
            if elapsed(now) > self.setup.seconds + 3.0 {
                break;
            }
            match self.events.remove(&sequence) {
                Some(SimulationEvent::FirstRequest(account_index)) => {
                    self.first_request(account_index, elapsed(now))
                }
                Some(SimulationEvent::Retry(retry)) => self.arrive(retry),
                Some(SimulationEvent::Timer { limiter, restarts })
                    if self.limiters[limiter].1 == restarts =>
                {
                    self.handle(limiter, Event::TimerExpired { token: 0 })
                }
                Some(SimulationEvent::AttemptEnd(request_index)) => self.end_attempt(request_index),
                Some(SimulationEvent::CallEnd {
                    limiter,
                    restarts,
                    key,
                    amount,
                    total,
                    outcome,
                }) => self.end_call(limiter, restarts, key, amount, total, outcome),
                Some(SimulationEvent::CounterLoss) => self.counter.lose(0.7),
                Some(SimulationEvent::Restart) => self.restart(),
                _ => {}
            }
        }
    }

    /// Sends a new request of an account, and schedules the next one.
    fn first_request(&mut self, account_index: usize, elapsed: f64) {
        let (account, plans) = (&mut self.accounts[account_index], &self.settings.plans);
        if elapsed > self.setup.seconds.min(account.ends) {
            return;
        }
        let gap = account.next_gap(elapsed, &mut self.client_rng, &plans[account.plan]);
        let class = [0, 0, 0, 0, 1, 1, 1, 2, 2, 2][self.client_rng.random_range(0..10)];
        let units = Account::draw_units(&mut self.client_rng);
        let patience = self.settings.classes[class].deadline as f64 * [0.77, 1.0, 1.0][class];
        let retries_left = self.client_rng.random_range(2..=3);
        let (gives_up_at, arrived_at) = (self.now + patience as Micros, self.now);
        self.results.record_request(account, units);
        self.schedule(gap * SECOND, SimulationEvent::FirstRequest(account_index));
        let (limiter, is_retry, open_attempt) = (0, false, None);
        self.arrive(ClientRequest {
            account: account_index,
            limiter,
            units,
            class,
            arrived_at,
            gives_up_at,
            retries_left,
            is_retry,
            open_attempt,
        });
    }

    /// Chooses the limiter of a request or retry, and gives the request to it.
    fn arrive(&mut self, mut new: ClientRequest) {
        let shift = if self.setup.disturbance == Disturbance::Shift {
            (5.0, 5.1)
        } else {
            (5.4, 21.0)
        };
        let now = self.now as f64 / SECOND;
        let account = &mut self.accounts[new.account];
        // 55% of the retries go to the limiter that rejected the request; the others choose anew.
        if !(new.is_retry && self.rng.random_bool(0.55)) {
            new.limiter = account.choose_limiter(now, &mut self.rng, self.setup.limiters, shift);
        }
        new.arrived_at = self.now;
        let (limiter, id, name) = (
            new.limiter,
            self.requests.len(),
            format!("{:016x}", new.account),
        );
        let request = Request {
            id: RequestId::from(&*id.to_string()),
            class: new.class,
            plan: account.plan,
            account: AccountId::from(&*name),
            timeout: new.gives_up_at - self.now,
            units: new.units,
            limiter_count: account.limiter_count as u32,
            first_limiter: account.first_limiter as u32,
        };
        self.results.requests += 1;
        self.requests.push(new);
        self.handle(limiter, Event::Request(request));
    }

    /// Gives an event to the decision module of a limiter, or to the rule in its place, and carries
    /// out its actions.
    fn handle(&mut self, limiter: usize, event: Event) {
        let mut actions = Vec::new();
        match (self.rule, event) {
            (DecisionRule::Module, event) => {
                let (engine, _, skew) = &mut self.limiters[limiter];
                engine.on_event(self.now + *skew, event, &mut actions);
            }
            (rule, Event::Request(request)) => {
                let request_index: usize = request.id.0.parse().unwrap_or(0);
                let sends = if rule == DecisionRule::Part {
                    self.admit_by_share(request_index)
                } else {
                    self.admit_exactly(request_index)
                };
                let (id, server, timeout, by) = (request.id, ServerId::from("s0"), 0, Micros::MAX);
                actions.push(match sends {
                    true => Action::Send {
                        id,
                        server,
                        timeout,
                        write_before: by,
                    },
                    false => Action::Reject {
                        id,
                        retry_after: 300_000,
                    },
                });
            }
            _ => {}
        }
        let restarts = self.limiters[limiter].1;
        for action in actions {
            match action {
                Action::SetTimer { delay, .. } => {
                    self.schedule(delay as f64, SimulationEvent::Timer { limiter, restarts })
                }
                Action::Send { id, server, .. } => self.send(id.0.parse().unwrap_or(0), server),
                Action::Reject { id, retry_after } => {
                    self.reject(id.0.parse().unwrap_or(0), retry_after)
                }
                Action::AddToCounter { key, amount, .. } => {
                    self.call_counter(limiter, restarts, key, amount)
                }
                _ => {}
            }
        }
    }

    /// Whether the exact state of the quota allows the request.
    fn admit_exactly(&mut self, request_index: usize) -> bool {
        let (account, units) = (
            &mut self.accounts[self.requests[request_index].account],
            self.requests[request_index].units,
        );
        let plan = &self.settings.plans[account.plan];
        account.refill(self.now, plan) >= units
            && (plan.max_concurrent == 0 || account.open_attempts < plan.max_concurrent)
    }

    /// Whether the limiter's fixed share of the quota allows the request. Takes its units from the
    /// share's bucket.
    fn admit_by_share(&mut self, request_index: usize) -> bool {
        let ClientRequest {
            account,
            limiter,
            units,
            ..
        } = self.requests[request_index];
        let (history, account) = (
            self.histories.entry((limiter, account)).or_default(),
            &self.accounts[account],
        );
        let plan = &self.settings.plans[account.plan];
        let (now, share) = (self.now as f64 / SECOND, 1.0 / account.limiter_count as f64);
        let (tokens, refilled_at) = history.share_bucket.unwrap_or((plan.burst * share, now));
        let tokens = (tokens + plan.rate * share * (now - refilled_at))
            .min((plan.burst * share).max(f64::from(6)));
        let sends = tokens >= units
            && (plan.max_concurrent == 0
                || history.open_attempts
                    < (plan.max_concurrent / account.limiter_count as u32).max(1));
        history.share_bucket = Some((tokens - if sends { units } else { 0.0 }, now));
        sends
    }

    /// Sends a request upstream, and records whether and why it was beyond the quota.
    fn send(&mut self, request_index: usize, server: ServerId) {
        let now = self.now;
        let ClientRequest {
            account,
            limiter,
            units,
            arrived_at,
            is_retry,
            ..
        } = self.requests[request_index];
        let plan = &self.settings.plans[self.accounts[account].plan];
        let lacking = units - self.accounts[account].refill(now, plan).max(0.0);
        let check = self.accounts[account].record_send(now, units, plan);
        let cause = match check {
            QuotaCheck::Within => None,
            QuotaCheck::OverConcurrency => Some(Cause::ConcurrencyCap),
            QuotaCheck::OverRate => Some(self.cause(request_index, lacking)),
        };
        self.results.record_send(
            &self.accounts[account],
            units,
            now - arrived_at,
            cause,
            is_retry,
        );
        let history = self.histories.entry((limiter, account)).or_default();
        let knowledge = match (history.answered_at, history.failed_at) {
            (Some(at), _) if at >= arrived_at => CounterKnowledge::Asked,
            (_, Some(at)) if at >= arrived_at => CounterKnowledge::Failed,
            (Some(_), _) => CounterKnowledge::Known,
            (None, _) => CounterKnowledge::Unknown,
        };
        self.results
            .record_knowledge(knowledge, units, check != QuotaCheck::Within);
        (history.units_sent, history.open_attempts) =
            (history.units_sent + units, history.open_attempts + 1);
        self.requests[request_index].open_attempt = Some((now, server));
        let latency = Exp::new(1.0 / 150_000.0).map_or(150_000.0, |e| e.sample(&mut self.rng));
        self.schedule(latency, SimulationEvent::AttemptEnd(request_index));
    }

    /// Returns why a request was sent beyond the rate of its quota, when the bucket lacked this
    /// many units.
    fn cause(&self, request_index: usize, lacking: f64) -> Cause {
        let ClientRequest {
            account,
            limiter,
            arrived_at,
            ..
        } = self.requests[request_index];
        let own = self
            .histories
            .get(&(limiter, account))
            .copied()
            .unwrap_or_default();
        let (mut unreported, mut reported) = (0.0, -own.units_reported_elsewhere);
        for place in 0..self.accounts[account].limiter_count {
            let other = (self.accounts[account].first_limiter + place) % self.setup.limiters;
            if let Some(history) = self
                .histories
                .get(&(other, account))
                .filter(|_| other != limiter)
            {
                unreported += (history.units_sent - history.units_reported).max(0.0);
                reported += history.units_reported;
            }
        }
        let plan = &self.settings.plans[self.accounts[account].plan];
        match own.answered_at {
            _ if own.failed_at.is_some_and(|at| at >= arrived_at) => Cause::CallFailed,
            None => Cause::NoTotal,
            Some(_) if own.answered_window != self.now / counter_window(plan) => {
                Cause::EarlierWindow
            }
            Some(at) if at < arrived_at && reported >= lacking.min(1.0) => Cause::NotAsked,
            _ if unreported >= lacking.min(1.0) => Cause::ReportedLate,
            _ => Cause::BucketTooFull,
        }
    }

    /// Rejects a request, which its client may retry.
    fn reject(&mut self, request_index: usize, retry_after: Micros) {
        let ClientRequest {
            account,
            limiter,
            units,
            class,
            gives_up_at,
            retries_left,
            ..
        } = self.requests[request_index];
        let account_state = &mut self.accounts[account];
        let plan = &self.settings.plans[account_state.plan];
        let has_room = account_state.refill(self.now, plan) >= units
            && (plan.max_concurrent == 0 || account_state.open_attempts < plan.max_concurrent);
        let is_half_full = account_state.refill(self.now, plan) >= plan.burst / 2.0;
        // Half of the clients honour `retry_after`; the others retry at once or after a short wait.
        let wait = match self.rng.random_range(0..10) {
            0..=4 => retry_after as f64,
            5..=6 => 0.0,
            _ => self.rng.random_range(40_000.0..320_000.0),
        };
        let is_retried = retries_left > 0 && self.now + (wait as Micros) < gives_up_at;
        self.results
            .record_refusal(account_state, units, has_room, is_half_full, is_retried);
        if is_retried {
            let (arrived_at, is_retry, open_attempt) = (self.now, true, None);
            let retry = ClientRequest {
                account,
                limiter,
                units,
                class,
                arrived_at,
                gives_up_at,
                retries_left: retries_left - 1,
                is_retry,
                open_attempt,
            };
            self.schedule(wait, SimulationEvent::Retry(retry));
        }
    }

    /// Ends the attempt of a request, unless a restart has cut it off.
    fn end_attempt(&mut self, request_index: usize) {
        let ClientRequest {
            account, limiter, ..
        } = self.requests[request_index];
        let Some((sent_at, server)) = self.requests[request_index].open_attempt.take() else {
            return;
        };
        self.accounts[account].open_attempts -= 1;
        if let Some(history) = self.histories.get_mut(&(limiter, account)) {
            history.open_attempts = history.open_attempts.saturating_sub(1);
        }
        let id = RequestId::from(&*request_index.to_string());
        let (latency, load) = (self.now - sent_at, Vec::new());
        let result = AttemptResult {
            id,
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            latency,
            is_final: true,
            load,
            settled_units: None,
        };
        self.handle(limiter, Event::AttemptEnded(result));
    }

    /// Makes a counter call and schedules its end. Each direction takes half a millisecond.
    fn call_counter(&mut self, limiter: usize, restarts: u32, key: u64, amount: f64) {
        self.results.counter_calls += 1;
        let (reply_leaves_at, total) = self.counter.call(self.now + 500, key, amount);
        let duration = reply_leaves_at + 500.0 - self.now as f64;
        let (after, total, outcome) = match total {
            None => (1_000.0, 0.0, Outcome::Rejected),
            Some(_) if duration > 50_000.0 => (50_000.0, 0.0, Outcome::Timeout),
            Some(total) => (duration, total, Outcome::Ok),
        };
        self.results.record_call(after, outcome);
        let end = SimulationEvent::CallEnd {
            limiter,
            restarts,
            key,
            amount,
            total,
            outcome,
        };
        self.schedule(after, end);
    }

    /// Records the end of a counter call, and gives its reply to the limiter.
    fn end_call(
        &mut self,
        limiter: usize,
        restarts: u32,
        key: u64,
        amount: f64,
        total: f64,
        outcome: Outcome,
    ) {
        if self.limiters[limiter].1 != restarts {
            return;
        }
        if let Some(account_index) = self.account_of_key(limiter, key) {
            let count = self.accounts[account_index].limiter_count;
            let first = self.accounts[account_index].first_limiter;
            let others = (0..count)
                .map(|place| (first + place) % self.setup.limiters)
                .filter(|other| *other != limiter);
            let reported_elsewhere = others
                .filter_map(|other| self.histories.get(&(other, account_index)))
                .map(|history| history.units_reported)
                .sum();
            let window =
                self.now / counter_window(&self.settings.plans[self.accounts[account_index].plan]);
            let history = self.histories.entry((limiter, account_index)).or_default();
            match outcome {
                Outcome::Ok => {
                    (
                        history.answered_at,
                        history.answered_window,
                        history.units_reported_elsewhere,
                    ) = (Some(self.now), window, reported_elsewhere);
                    history.units_reported += amount;
                }
                _ => history.failed_at = Some(self.now),
            }
        }
        self.handle(
            limiter,
            Event::CounterReply {
                key,
                total,
                outcome,
            },
        );
    }

    /// Returns the index of the account that is counted under a key. On an unknown key, first adds
    /// the keys of all accounts for the windows before, at and after the limiter's time.
    fn account_of_key(&mut self, limiter: usize, key: u64) -> Option<usize> {
        if !self.account_by_key.contains_key(&key) {
            let now = self.now + self.limiters[limiter].2;
            for (account_index, account) in self.accounts.iter().enumerate() {
                let id = AccountId::from(&*format!("{account_index:016x}"));
                let window = now / counter_window(&self.settings.plans[account.plan]);
                self.account_by_key.extend(
                    [window - 1, window, window + 1]
                        .map(|window| (counter_key(&id, window), account_index)),
                );
            }
        }
        self.account_by_key.get(&key).copied()
    }

    /// Restarts seven in ten limiters. They lose what they know and their attempts in flight.
    fn restart(&mut self) {
        for limiter in 0..self.setup.limiters * 7 / 10 {
            let restarts = self.limiters[limiter].1 + 1;
            (self.limiters[limiter].0, self.limiters[limiter].1) =
                (self.engine(limiter, restarts), restarts);
            for (_, history) in self
                .histories
                .iter_mut()
                .filter(|((at, _), _)| *at == limiter)
            {
                (history.answered_at, history.units_reported) = (None, history.units_sent);
            }
            for request_index in 0..self.requests.len() {
                if self.requests[request_index].limiter == limiter
                    && self.requests[request_index].open_attempt.take().is_some()
                {
                    self.accounts[self.requests[request_index].account].open_attempts -= 1;
                }
            }
            self.start(limiter);
        }
    }
}
