//! Many limiters before the same accounts: the decision module, or a plain rule in its place, driven by hand-made time.

use crate::counter::Counter;
use crate::tables::{Cause, Tables, Way};
use crate::world::{Account, Beyond, Kind, MEAN_UNITS, SECOND};
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

/// What decides at each limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Rule {
    /// The decision module.
    Module,
    /// Each limiter keeps to its own part of every quota and asks nobody.
    Part,
    /// All limiters see what is left of a quota at once: the bound that nobody reaches.
    Exact,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Trouble {
    None,
    /// The counter loses seven tenths of its counts, twice.
    Lost,
    /// It bears half a call for each try.
    Half,
    /// Seven in ten limiters are restarted at once.
    Restart,
    /// Each account's busiest limiter changes every 5 s.
    Shift,
    /// The limiters' clocks differ by up to 100 ms.
    Clocks,
}

pub struct Setup {
    pub gateways: usize,
    pub tries: f64,
    pub seconds: f64,
    pub calls_a_try: f64,
    pub trouble: Trouble,
    pub seed: u64,
}

struct Try {
    account: usize,
    gateway: usize,
    units: f64,
    class: usize,
    arrived: Micros,
    gives_up: Micros,
    retries: u32,
    is_retry: bool,
    out: Option<(Micros, ServerId)>,
}

/// What one limiter knows, in truth, of one account.
#[derive(Clone, Copy, Default)]
struct Known {
    answered: Option<Micros>,
    failed: Option<Micros>,
    window: u64,
    /// Units sent on here, and told of these: claims are told ahead.
    sent: f64,
    told: f64,
    /// Units that the others had told by the last answer.
    others: f64,
    /// The rule of own parts: its store.
    store: Option<(f64, f64)>,
    open: u32,
}

enum Happens {
    Asks(usize),
    Tries(Try),
    Timer(usize, u32),
    Done(usize),
    Counted(usize, u32, u64, f64, f64, Outcome),
    Lose,
    Restart,
}

pub struct Fleet {
    rule: Rule,
    setup: Setup,
    now: Micros,
    order: u64,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    what: HashMap<u64, Happens>,
    /// First tries draw from one, all else from the other: what is asked is the same under every rule.
    clients: StdRng,
    rng: StdRng,
    settings: Settings,
    gateways: Vec<(Engine, u32, Micros)>,
    accounts: Vec<Account>,
    names: HashMap<u64, usize>,
    known: HashMap<(usize, usize), Known>,
    tries: Vec<Try>,
    counter: Counter,
    pub tables: Tables,
}

/// Settings as a large fleet has them.
fn settings(gateways: usize) -> Settings {
    let class = |aim, deadline, effect, worth| RequestClass {
        latency_objective: aim,
        deadline,
        idempotency: effect,
        idempotency_window: 7_500_000,
        priority_weight: worth,
        late_weight: 0.0,
    };
    let plan = |rate, burst, open, price| Plan {
        rate,
        burst,
        max_concurrent: open,
        weight_factor: price,
        over_quota_cost: 1.0,
        ..Plan::default()
    };
    Settings {
        limiters: gateways as u32,
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
    pub fn new(rule: Rule, setup: Setup) -> Self {
        let mut clients = StdRng::seed_from_u64(setup.seed);
        let settings = settings(setup.gateways);
        let mut accounts = Vec::new();
        for (plan, part) in [0.24, 0.31, 0.45].into_iter().enumerate() {
            let mut wanted = part * setup.tries * MEAN_UNITS;
            while wanted > 0.0 {
                let account = Account::draw(
                    &mut clients,
                    plan,
                    &settings.plans,
                    setup.gateways,
                    setup.seconds,
                );
                let seen = if account.kind == Kind::Once {
                    4.0 / setup.seconds
                } else {
                    1.0
                };
                wanted -= account.mean_use() * settings.plans[plan].rate * seen;
                accounts.push(account);
            }
        }
        let per_try = if setup.trouble == Trouble::Half {
            0.5
        } else {
            setup.calls_a_try
        };
        let mut fleet = Self {
            rule,
            now: 1_700_000_000_000_000,
            order: 0,
            events: BinaryHeap::new(),
            what: HashMap::new(),
            rng: StdRng::seed_from_u64(setup.seed + 1),
            clients,
            gateways: Vec::new(),
            accounts,
            names: HashMap::new(),
            known: HashMap::new(),
            tries: Vec::new(),
            counter: Counter::new(setup.tries * per_try),
            tables: Tables::default(),
            settings,
            setup,
        };
        for me in 0..fleet.setup.gateways {
            let gateway = fleet.gateway(me, 0);
            let skew = if fleet.setup.trouble == Trouble::Clocks {
                fleet.rng.random_range(0..100_000)
            } else {
                0
            };
            fleet.gateways.push((gateway, 0, skew));
            fleet.start(me);
        }
        fleet
    }

    fn gateway(&self, me: usize, life: u32) -> Engine {
        Engine::new(
            Settings {
                limiter: me as u32,
                ..self.settings.clone()
            },
            (me as u64) << 8 | u64::from(life),
        )
    }

    /// Tells a limiter of its ticket nodes, all of them warm.
    fn start(&mut self, me: usize) {
        let member = |number| Endpoint {
            id: ServerId::from(&*format!("s{number}")),
            zone: String::new(),
            cell: number as u64 / 4,
            readiness: Readiness::Ready,
            weight: 1.0,
            started_at: 0,
        };
        let members = (0..(self.setup.gateways * 2 / 3).max(8))
            .map(member)
            .collect();
        self.give(
            me,
            Event::EndpointUpdate {
                scope: UpdateScope::Snapshot,
                endpoints: members,
            },
        );
    }

    fn at(&mut self, after: f64, happens: Happens) {
        self.order += 1;
        self.events
            .push(Reverse((self.now + after.max(0.0) as Micros, self.order)));
        self.what.insert(self.order, happens);
    }

    /// Plays until nobody asks any more.
    pub fn play(&mut self) {
        let began = self.now;
        let passed = |now: Micros| (now - began) as f64 / SECOND;
        for number in 0..self.accounts.len() {
            let starts = match self.accounts[number].kind {
                Kind::Once => self.accounts[number].ends - 0.5,
                _ => 0.0,
            };
            let account = &mut self.accounts[number];
            _ = account.left(self.now, &self.settings.plans[account.plan]);
            let gap = account.next(
                starts,
                &mut self.clients,
                &self.settings.plans[account.plan],
            );
            self.at((starts + gap) * SECOND, Happens::Asks(number));
        }
        match self.setup.trouble {
            Trouble::Lost => [0.4, 0.7]
                .iter()
                .for_each(|at| self.at(at * self.setup.seconds * SECOND, Happens::Lose)),
            Trouble::Restart => self.at(0.4 * self.setup.seconds * SECOND, Happens::Restart),
            _ => {}
        }
        while let Some(Reverse((now, order))) = self.events.pop() {
            self.now = now;
            if passed(now) > self.setup.seconds + 3.0 {
                break;
            }
            match self.what.remove(&order) {
                Some(Happens::Asks(number)) => self.asks(number, passed(now)),
                Some(Happens::Tries(again)) => self.tries(again),
                Some(Happens::Timer(me, life)) if self.gateways[me].1 == life => {
                    self.give(me, Event::TimerExpired { token: 0 })
                }
                Some(Happens::Done(number)) => self.done(number),
                Some(Happens::Counted(me, life, name, by, total, outcome)) => {
                    self.counted(me, life, name, by, total, outcome);
                }
                Some(Happens::Lose) => self.counter.lose(0.7),
                Some(Happens::Restart) => self.restart(),
                _ => {}
            }
        }
    }

    /// An account's client asks for the first time.
    fn asks(&mut self, number: usize, passed: f64) {
        let (account, plans) = (&mut self.accounts[number], &self.settings.plans);
        if passed > self.setup.seconds.min(account.ends) {
            return;
        }
        let gap = account.next(passed, &mut self.clients, &plans[account.plan]);
        let class = [0, 0, 0, 0, 1, 1, 1, 2, 2, 2][self.clients.random_range(0..10)];
        let units = Account::units(&mut self.clients);
        let waits = self.settings.classes[class].deadline as f64 * [0.77, 1.0, 1.0][class];
        let retries = self.clients.random_range(2..=3);
        let (gives_up, arrived) = (self.now + waits as Micros, self.now);
        self.tables.asked(account, units);
        self.at(gap * SECOND, Happens::Asks(number));
        let (gateway, is_retry, out) = (0, false, None);
        self.tries(Try {
            account: number,
            gateway,
            units,
            class,
            arrived,
            gives_up,
            retries,
            is_retry,
            out,
        });
    }

    fn tries(&mut self, mut new: Try) {
        let shift = if self.setup.trouble == Trouble::Shift {
            (5.0, 5.1)
        } else {
            (5.4, 21.0)
        };
        let now = self.now as f64 / SECOND;
        let account = &mut self.accounts[new.account];
        // A client that comes again mostly does so where it was.
        if !(new.is_retry && self.rng.random_bool(0.55)) {
            new.gateway = account.limiter(now, &mut self.rng, self.setup.gateways, shift);
        }
        new.arrived = self.now;
        let (me, id, name) = (
            new.gateway,
            self.tries.len(),
            format!("{:016x}", new.account),
        );
        let request = Request {
            id: RequestId::from(&*id.to_string()),
            class: new.class,
            plan: account.plan,
            account: AccountId::from(&*name),
            timeout: new.gives_up - self.now,
            units: new.units,
            limiter_count: account.spread as u32,
            first_limiter: account.first as u32,
        };
        self.tables.tries += 1;
        self.tries.push(new);
        self.give(me, Event::Request(request));
    }

    /// Gives one event to what decides at a limiter, and carries out what it says.
    fn give(&mut self, me: usize, event: Event) {
        let mut acts = Vec::new();
        match (self.rule, event) {
            (Rule::Module, event) => {
                let (gateway, _, skew) = &mut self.gateways[me];
                gateway.on_event(self.now + *skew, event, &mut acts);
            }
            (rule, Event::Request(request)) => {
                let number: usize = request.id.0.parse().unwrap_or(0);
                let sends = if rule == Rule::Part {
                    self.own_part(number)
                } else {
                    self.exact(number)
                };
                let (id, server, timeout, by) = (request.id, ServerId::from("s0"), 0, Micros::MAX);
                acts.push(match sends {
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
        let life = self.gateways[me].1;
        for act in acts {
            match act {
                Action::SetTimer { delay: after, .. } => {
                    self.at(after as f64, Happens::Timer(me, life))
                }
                Action::Send { id, server, .. } => self.sent(id.0.parse().unwrap_or(0), server),
                Action::Reject {
                    id,
                    retry_after: after,
                } => self.refused(id.0.parse().unwrap_or(0), after),
                Action::AddToCounter {
                    key: name,
                    amount: by,
                    ..
                } => self.count(me, life, name, by),
                _ => {}
            }
        }
    }

    fn exact(&mut self, number: usize) -> bool {
        let (account, units) = (
            &mut self.accounts[self.tries[number].account],
            self.tries[number].units,
        );
        let plan = &self.settings.plans[account.plan];
        account.left(self.now, plan) >= units
            && (plan.max_concurrent == 0 || account.open < plan.max_concurrent)
    }

    fn own_part(&mut self, number: usize) -> bool {
        let Try {
            account,
            gateway,
            units,
            ..
        } = self.tries[number];
        let (known, account) = (
            self.known.entry((gateway, account)).or_default(),
            &self.accounts[account],
        );
        let plan = &self.settings.plans[account.plan];
        let (now, part) = (self.now as f64 / SECOND, 1.0 / account.spread as f64);
        let (level, filled) = known.store.unwrap_or((plan.burst * part, now));
        let level =
            (level + plan.rate * part * (now - filled)).min((plan.burst * part).max(f64::from(6)));
        let sends = level >= units
            && (plan.max_concurrent == 0
                || known.open < (plan.max_concurrent / account.spread as u32).max(1));
        known.store = Some((level - if sends { units } else { 0.0 }, now));
        sends
    }

    fn sent(&mut self, number: usize, server: ServerId) {
        let now = self.now;
        let Try {
            account,
            gateway,
            units,
            arrived,
            is_retry,
            ..
        } = self.tries[number];
        let plan = &self.settings.plans[self.accounts[account].plan];
        let lacks = units - self.accounts[account].left(now, plan).max(0.0);
        let beyond = self.accounts[account].send(now, units, plan);
        let cause = match beyond {
            Beyond::No => None,
            Beyond::Cap => Some(Cause::Cap),
            Beyond::Rate => Some(self.cause(number, lacks)),
        };
        self.tables.sent(
            &self.accounts[account],
            units,
            now - arrived,
            cause,
            is_retry,
        );
        let known = self.known.entry((gateway, account)).or_default();
        let way = match (known.answered, known.failed) {
            (Some(at), _) if at >= arrived => Way::Asked,
            (_, Some(at)) if at >= arrived => Way::Failed,
            (Some(_), _) => Way::Known,
            (None, _) => Way::Unknown,
        };
        self.tables.knew(way, units, beyond != Beyond::No);
        (known.sent, known.open) = (known.sent + units, known.open + 1);
        self.tries[number].out = Some((now, server));
        let takes = Exp::new(1.0 / 150_000.0).map_or(150_000.0, |e| e.sample(&mut self.rng));
        self.at(takes, Happens::Done(number));
    }

    /// Why a try went beyond its quota, in truth.
    fn cause(&self, number: usize, lacks: f64) -> Cause {
        let Try {
            account,
            gateway,
            arrived,
            ..
        } = self.tries[number];
        let own = self
            .known
            .get(&(gateway, account))
            .copied()
            .unwrap_or_default();
        let (mut untold, mut told) = (0.0, -own.others);
        for place in 0..self.accounts[account].spread {
            let other = (self.accounts[account].first + place) % self.setup.gateways;
            if let Some(known) = self
                .known
                .get(&(other, account))
                .filter(|_| other != gateway)
            {
                untold += (known.sent - known.told).max(0.0);
                told += known.told;
            }
        }
        let plan = &self.settings.plans[self.accounts[account].plan];
        match own.answered {
            _ if own.failed.is_some_and(|at| at >= arrived) => Cause::Unanswered,
            None => Cause::Fresh,
            Some(_) if own.window != self.now / counter_window(plan) => Cause::Edge,
            Some(at) if at < arrived && told >= lacks.min(1.0) => Cause::Unasked,
            _ if untold >= lacks.min(1.0) => Cause::Untold,
            _ => Cause::Overcount,
        }
    }

    fn refused(&mut self, number: usize, after: Micros) {
        let Try {
            account,
            gateway,
            units,
            class,
            gives_up,
            retries,
            ..
        } = self.tries[number];
        let held = &mut self.accounts[account];
        let plan = &self.settings.plans[held.plan];
        let room = held.left(self.now, plan) >= units
            && (plan.max_concurrent == 0 || held.open < plan.max_concurrent);
        let half = held.left(self.now, plan) >= plan.burst / 2.0;
        // Some clients heed when they are to come back; the others come at once or after a short wait.
        let wait = match self.rng.random_range(0..10) {
            0..=4 => after as f64,
            5..=6 => 0.0,
            _ => self.rng.random_range(40_000.0..320_000.0),
        };
        let again = retries > 0 && self.now + (wait as Micros) < gives_up;
        self.tables.refused(held, units, room, half, again);
        if again {
            let (arrived, is_retry, out) = (self.now, true, None);
            let next = Try {
                account,
                gateway,
                units,
                class,
                arrived,
                gives_up,
                retries: retries - 1,
                is_retry,
                out,
            };
            self.at(wait, Happens::Tries(next));
        }
    }

    fn done(&mut self, number: usize) {
        let Try {
            account, gateway, ..
        } = self.tries[number];
        let Some((sent, server)) = self.tries[number].out.take() else {
            return;
        };
        self.accounts[account].open -= 1;
        if let Some(known) = self.known.get_mut(&(gateway, account)) {
            known.open = known.open.saturating_sub(1);
        }
        let id = RequestId::from(&*number.to_string());
        let (took, load) = (self.now - sent, Vec::new());
        let ended = AttemptResult {
            id,
            attempt: 0,
            server,
            outcome: Outcome::Ok,
            latency: took,
            is_final: true,
            load,
            settled_units: None,
        };
        self.give(gateway, Event::AttemptEnded(ended));
    }

    /// Carries a call to the counter and its answer back, half a millisecond each way.
    fn count(&mut self, me: usize, life: u32, name: u64, by: f64) {
        self.tables.calls += 1;
        let (leaves, total) = self.counter.call(self.now + 500, name, by);
        let late = leaves + 500.0 - self.now as f64;
        let (after, total, outcome) = match total {
            None => (1_000.0, 0.0, Outcome::Rejected),
            Some(_) if late > 50_000.0 => (50_000.0, 0.0, Outcome::Timeout),
            Some(total) => (late, total, Outcome::Ok),
        };
        self.tables.called(after, outcome);
        self.at(after, Happens::Counted(me, life, name, by, total, outcome));
    }

    fn counted(&mut self, me: usize, life: u32, name: u64, by: f64, total: f64, outcome: Outcome) {
        if self.gateways[me].1 != life {
            return;
        }
        if let Some(number) = self.account(me, name) {
            let spread = self.accounts[number].spread;
            let first = self.accounts[number].first;
            let others = (0..spread)
                .map(|place| (first + place) % self.setup.gateways)
                .filter(|at| *at != me);
            let told = others
                .filter_map(|at| self.known.get(&(at, number)))
                .map(|known| known.told)
                .sum();
            let window =
                self.now / counter_window(&self.settings.plans[self.accounts[number].plan]);
            let known = self.known.entry((me, number)).or_default();
            match outcome {
                Outcome::Ok => {
                    (known.answered, known.window, known.others) = (Some(self.now), window, told);
                    known.told += by;
                }
                _ => known.failed = Some(self.now),
            }
        }
        self.give(
            me,
            Event::CounterReply {
                key: name,
                total,
                outcome,
            },
        );
    }

    /// The account behind a name on the counter.
    fn account(&mut self, me: usize, name: u64) -> Option<usize> {
        if !self.names.contains_key(&name) {
            let now = self.now + self.gateways[me].2;
            for (number, account) in self.accounts.iter().enumerate() {
                let customer = AccountId::from(&*format!("{number:016x}"));
                let turn = now / counter_window(&self.settings.plans[account.plan]);
                self.names.extend(
                    [turn - 1, turn, turn + 1].map(|turn| (counter_key(&customer, turn), number)),
                );
            }
        }
        self.names.get(&name).copied()
    }

    fn restart(&mut self) {
        for me in 0..self.setup.gateways * 7 / 10 {
            let life = self.gateways[me].1 + 1;
            (self.gateways[me].0, self.gateways[me].1) = (self.gateway(me, life), life);
            for (_, known) in self.known.iter_mut().filter(|((at, _), _)| *at == me) {
                (known.answered, known.told) = (None, known.sent);
            }
            for number in 0..self.tries.len() {
                if self.tries[number].gateway == me && self.tries[number].out.take().is_some() {
                    self.accounts[self.tries[number].account].open -= 1;
                }
            }
            self.start(me);
        }
    }
}
