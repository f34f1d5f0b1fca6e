//! A limiter's side: takes requests' units out of leases, asks the allocators for more, and falls back to a part of the
//! quota where none answers.
//!
//! Free of I/O and clocks: the host carries reports and answers, and calls [`Holder::poll`] by [`Holder::next_wake`].

mod accounts;
mod answers;
mod owners;
mod reports;
mod requests;
mod settings;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use super::exchange::{Exchange, Step};
pub use super::held::Receipt;
use super::held::{Due, HeldAccount, LeaseOrigin};
pub use super::message::Dropped;
use super::message::{
    AccountKey, Grant, MessageError, MilliUnits, PlanLimits, Report, Verdict, MAX_UNITS,
};
use super::placement::MAX_ALLOCATORS;
use crate::decision::Micros;
pub use settings::{Answer, HolderFigures, HolderSettings, Outcome, Poll, Take, Ticket};

const MICROS_PER_MILLI: Micros = 1_000;

#[derive(Clone, Debug)]
struct Waiter {
    ticket: Ticket,
    units: MilliUnits,
    /// The allocator whose report that is out asks for it.
    asked: Option<u32>,
    reroutes: u8,
}

/// The state of one limiter.
#[derive(Clone, Debug)]
pub struct Holder {
    settings: HolderSettings,
    accounts: HashMap<AccountKey, HeldAccount>,
    exchanges: Vec<Exchange>,
    waiters: BTreeMap<AccountKey, VecDeque<Waiter>>,
    waiting: usize,
    /// Accounts whose use beyond is not reported yet.
    unreported: BTreeSet<AccountKey>,
    timers: BTreeSet<(Micros, AccountKey)>,
    /// As an allocator that held its lease has said last.
    given_away: u64,
    /// The fallback part of an account that is not known was empty at this time.
    parts_since: Micros,
    next_ticket: u64,
    dropped: Dropped,
    figures: HolderFigures,
}

impl Holder {
    /// A limiter that starts now.
    pub fn new(now: Micros, settings: HolderSettings) -> Self {
        let allocators = settings.allocators.min(MAX_ALLOCATORS);
        Self {
            settings: HolderSettings {
                allocators,
                ..settings
            },
            accounts: HashMap::new(),
            exchanges: vec![Exchange::default(); allocators as usize],
            waiters: BTreeMap::new(),
            waiting: 0,
            unreported: BTreeSet::new(),
            timers: BTreeSet::new(),
            given_away: 0,
            parts_since: now,
            next_ticket: 0,
            dropped: Dropped::default(),
            figures: HolderFigures::default(),
        }
    }

    /// Takes the units of one request of an account that comes through `spread` limiters.
    pub fn take(
        &mut self,
        now: Micros,
        key: AccountKey,
        plan: PlanLimits,
        spread: u32,
        units: MilliUnits,
    ) -> Take {
        if units > plan.burst || plan.burst > MAX_UNITS || plan.rate > MAX_UNITS {
            return self.denied(Micros::MAX);
        }
        let settings = self.settings;
        if !self.accounts.contains_key(&key) && !self.make_place(now) {
            return self.denied(settings.interval);
        }
        let new = || HeldAccount::new(now, plan, spread, self.parts_since);
        let account = self.accounts.entry(key).or_insert_with(new);
        account.set_limits(now, plan, spread, &settings);
        account.count_demand(now, units, &settings);
        let take = self.take_or_wait(now, key, units);
        if self
            .accounts
            .get(&key)
            .is_some_and(|account| account.wants_renewal(now, &settings))
        {
            self.mark_due(key, Due::Later);
        }
        self.set_timer(now, key);
        take
    }

    /// Gives back what a request took and did not use.
    pub fn put_back(&mut self, now: Micros, receipt: Receipt) {
        let Some(account) = self.accounts.get_mut(&receipt.account) else {
            return;
        };
        for part in receipt.parts {
            account.put_back(part);
        }
        if account.beyond == 0 {
            self.unreported.remove(&receipt.account);
        }
        self.set_timer(now, receipt.account);
    }

    /// Takes an allocator's answer and says what waiting requests got.
    pub fn on_grant(&mut self, now: Micros, grant: &Grant) -> Result<Vec<Answer>, MessageError> {
        let out = self
            .answered_report(grant)
            .inspect_err(|reason| self.dropped.count(reason))?;
        let mut answers = Vec::new();
        let addressed_to = out.report.addressed_to;
        self.hear(now, grant, addressed_to, &mut answers);
        let lifetime = Micros::from(grant.lease_ms)
            .saturating_mul(MICROS_PER_MILLI)
            .min(self.settings.lease);
        let origin = LeaseOrigin {
            allocator: grant.allocator,
            incarnation: grant.incarnation,
            slot: grant.slot,
            expires: out.first_sent.saturating_add(lifetime),
        };
        for (asked, given) in out.report.entries().zip(grant.entries()) {
            match given.verdict {
                Verdict::NotOwner if addressed_to == 0 || addressed_to == grant.incarnation => {
                    self.on_refusal(now, grant.allocator, &asked, &mut answers);
                }
                Verdict::NotOwner => self.on_restart(now, grant.allocator, &asked, &mut answers),
                _ => self.on_units(now, origin, &asked, given, &mut answers),
            }
        }
        Ok(answers)
    }

    /// The connection to an allocator broke: what waits for it is served from the fallback part.
    pub fn on_lost(&mut self, now: Micros, allocator: u32) -> Vec<Answer> {
        let mut answers = Vec::new();
        if (allocator as usize) < self.exchanges.len() {
            self.lose(now, allocator, &mut answers);
        }
        answers
    }

    /// What is to be sent, and which requests need wait no longer.
    pub fn poll(&mut self, now: Micros) -> Poll {
        let mut poll = Poll::default();
        self.run_timers(now);
        for number in 0..self.settings.allocators {
            if self.exchanges[number as usize].is_overdue(now, &self.settings) {
                self.lose(now, number, &mut poll.answers);
            }
        }
        let ask_for_news = self
            .exchanges
            .iter()
            .any(|exchange| !exchange.is_available());
        for number in 0..self.settings.allocators {
            let settings = self.settings;
            let exchange = &mut self.exchanges[number as usize];
            match exchange.step(now, ask_for_news, &settings) {
                Step::Wait => {}
                Step::Repeat => poll
                    .reports
                    .extend(exchange.repeat(now).map(|report| (number, report))),
                Step::Ask => poll
                    .reports
                    .push((number, self.send(now, number, Report::default()))),
                Step::Report => {
                    let report = self.report(now, number);
                    let asks = self.exchanges[number as usize].wake(ask_for_news, &settings) <= now;
                    if asks || !report.accounts.is_empty() {
                        poll.reports.push((number, self.send(now, number, report)));
                    }
                }
            }
        }
        poll
    }

    /// When [`Self::poll`] has something to do at the earliest; [`Micros::MAX`] for never.
    pub fn next_wake(&self) -> Micros {
        let ask_for_news = self
            .exchanges
            .iter()
            .any(|exchange| !exchange.is_available());
        let exchanges = self
            .exchanges
            .iter()
            .map(|exchange| exchange.wake(ask_for_news, &self.settings));
        let timer = self.timers.first().map(|(at, _)| *at);
        exchanges.chain(timer).min().unwrap_or(Micros::MAX)
    }

    /// Metrics since the start.
    pub fn figures(&self) -> HolderFigures {
        self.figures
    }

    /// Answers that were not taken, by reason.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// Counts a message that could not be read.
    pub fn count_dropped(&mut self, reason: &MessageError) {
        self.dropped.count(reason);
    }

    /// Accounts that it keeps.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Does this allocator answer, as far as is known?
    pub fn is_available(&self, allocator: u32) -> bool {
        self.exchanges
            .get(allocator as usize)
            .is_some_and(Exchange::is_available)
    }

    /// Bytes of the accounts kept, without what the maps add.
    pub fn account_bytes(&self) -> usize {
        let entry = size_of::<(AccountKey, HeldAccount)>() + size_of::<(Micros, AccountKey)>();
        self.accounts
            .values()
            .map(|account| entry + account.heap_bytes())
            .sum()
    }

    /// Units of an account's leases that have not expired.
    pub fn leased(&self, now: Micros, key: AccountKey) -> MilliUnits {
        self.accounts
            .get(&key)
            .map_or(0, |account| account.leased(now))
    }
}
