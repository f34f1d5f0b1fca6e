//! A limiter's side: takes requests' units out of leases, asks the allocators for more, and falls back to a part of the
//! quota where none answers.
//!
//! Free of I/O and clocks: the host carries reports and answers, and calls [`Holder::poll`] by [`Holder::next_wake`].

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use super::exchange::{Exchange, ReportOut, Step};
pub use super::held::Receipt;
use super::held::{Due, HeldAccount, LeaseOrigin};
pub use super::message::Dropped;
use super::message::{
    AccountKey, Grant, GrantEntry, MessageError, MilliUnits, PlanLimits, Report, ReportEntry, Verdict,
    MAX_ENTRIES, MAX_PLANS, MAX_UNITS,
};
use super::placement::{self, MAX_ALLOCATORS};
use crate::interface::Micros;

const MICROS_PER_MILLI: Micros = 1_000;
/// A request that waits follows its account to another owner so often; then it gets the fallback part.
const MAX_REROUTES: u8 = 2;
/// Accounts tried for a place when there is none left.
const EVICTION_TRIES: usize = 32;
/// Entries that one account may need in a report.
const ENTRIES_PER_ACCOUNT: usize = 4;

/// What a limiter is told at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderSettings {
    /// The limiter's number.
    pub limiter: u32,
    /// Drawn at the start of its process; a later process has a higher one.
    pub incarnation: u64,
    /// Allocators, numbered from 0.
    pub allocators: u32,
    /// Lifetime of a lease: what is expected to be used is reckoned for it, and no lease is used for longer.
    pub lease: Micros,
    /// Reports for which no request waits go out once in this time.
    pub interval: Micros,
    /// Reports for which requests wait go out no closer than this.
    pub spacing: Micros,
    /// A report is sent again after this time without an answer.
    pub repeat_after: Micros,
    /// An allocator counts as lost after this time without an answer.
    pub lost_after: Micros,
    /// A lost allocator is asked again after this time.
    pub retry_after: Micros,
    /// Thousandths of the quota that all limiters of an account's spread share while its owner does not answer.
    pub fallback_thousandths: u32,
    /// A limiter's fallback part holds at least this many units, unless there is none. With 0 an account whose part of the
    /// burst is less than a request is not served without its owner.
    pub fallback_least: MilliUnits,
    /// A request that finds no lease does not wait for the owner: it takes units out of the fallback part, which are
    /// reported with the next report. The bound on what goes beyond is that of the fallback, at all times.
    pub trust: bool,
    /// Accounts kept at most.
    pub max_accounts: usize,
    /// Requests that wait at most; further ones are denied.
    pub max_waiting: usize,
}

impl Default for HolderSettings {
    fn default() -> Self {
        Self {
            limiter: 0,
            incarnation: 1,
            allocators: 7,
            lease: 10_000_000,
            interval: 1_000_000,
            spacing: 20_000,
            repeat_after: 400_000,
            lost_after: 1_000_000,
            retry_after: 2_000_000,
            fallback_thousandths: 500,
            fallback_least: 0,
            trust: false,
            max_accounts: 20_000,
            max_waiting: 1_000,
        }
    }
}

/// Names a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What becomes of a request's units at once.
#[derive(Debug, PartialEq, Eq)]
pub enum Take {
    /// They are taken.
    Taken(Receipt),
    /// The allocator is asked; an [`Answer`] with this ticket follows.
    Waiting(Ticket),
    /// There are none.
    Denied {
        /// None before this time has passed; [`Micros::MAX`] if never.
        retry_after: Micros,
    },
}

/// What became of a request that waited.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its units are taken.
    Taken(Receipt),
    /// There are none.
    Denied {
        /// None before this time has passed; [`Micros::MAX`] if never.
        retry_after: Micros,
    },
}

/// Answers a request that waited.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    /// As [`Take::Waiting`] gave it.
    pub ticket: Ticket,
    /// Taken or denied.
    pub outcome: Outcome,
}

/// What is to be done now.
#[derive(Debug, Default, PartialEq)]
pub struct Poll {
    /// Reports to be sent, each to the allocator with this number.
    pub reports: Vec<(u32, Report)>,
    /// Requests that have waited for long enough.
    pub answers: Vec<Answer>,
}

/// Figures since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HolderFigures {
    /// Reports that were sent for the first time.
    pub reports: u64,
    /// Entries in them.
    pub entries: u64,
    /// Units that were granted.
    pub granted: MilliUnits,
    /// Units that were returned.
    pub returned: MilliUnits,
    /// Units that requests took out of leases.
    pub taken: MilliUnits,
    /// Units that requests took out of fallback parts.
    pub beyond: MilliUnits,
    /// Requests that waited for an allocator.
    pub waited: u64,
    /// Requests that were denied.
    pub denied: u64,
}

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
            settings: HolderSettings { allocators, ..settings },
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
        if self.accounts.get(&key).is_some_and(|account| account.wants_renewal(now, &settings)) {
            self.mark_due(key, Due::Later);
        }
        self.set_timer(now, key);
        take
    }

    /// Gives back what a request took and did not use.
    pub fn put_back(&mut self, now: Micros, receipt: Receipt) {
        let Some(account) = self.accounts.get_mut(&receipt.account) else { return };
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
        let out = self.answered_report(grant).inspect_err(|reason| self.dropped.count(reason))?;
        let mut answers = Vec::new();
        let addressed_to = out.report.addressed_to;
        self.hear(now, grant, addressed_to, &mut answers);
        let lifetime = Micros::from(grant.lease_ms).saturating_mul(MICROS_PER_MILLI).min(self.settings.lease);
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
        let ask_for_news = self.exchanges.iter().any(|exchange| !exchange.is_available());
        for number in 0..self.settings.allocators {
            let settings = self.settings;
            let exchange = &mut self.exchanges[number as usize];
            match exchange.step(now, ask_for_news, &settings) {
                Step::Wait => {}
                Step::Repeat => poll.reports.extend(exchange.repeat(now).map(|report| (number, report))),
                Step::Ask => poll.reports.push((number, self.send(now, number, Report::default()))),
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
        let ask_for_news = self.exchanges.iter().any(|exchange| !exchange.is_available());
        let exchanges = self.exchanges.iter().map(|exchange| exchange.wake(ask_for_news, &self.settings));
        let timer = self.timers.first().map(|(at, _)| *at);
        exchanges.chain(timer).min().unwrap_or(Micros::MAX)
    }

    /// Figures since the start.
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
        self.exchanges.get(allocator as usize).is_some_and(Exchange::is_available)
    }

    /// Bytes of the accounts kept, without what the maps add.
    pub fn account_bytes(&self) -> usize {
        let entry = size_of::<(AccountKey, HeldAccount)>() + size_of::<(Micros, AccountKey)>();
        self.accounts.values().map(|account| entry + account.heap_bytes()).sum()
    }
}

/// Requests.
impl Holder {
    fn denied(&mut self, retry_after: Micros) -> Take {
        self.figures.denied += 1;
        Take::Denied { retry_after }
    }

    fn take_or_wait(&mut self, now: Micros, key: AccountKey, units: MilliUnits) -> Take {
        let settings = self.settings;
        let queue = self.waiters.contains_key(&key);
        let Some(account) = self.accounts.get_mut(&key) else { return self.denied(settings.interval) };
        let held_off = account.held_off_until.saturating_sub(now);
        if !queue {
            if let Some(parts) = account.take_leased(now, units, &settings) {
                self.figures.taken += units;
                return Take::Taken(Receipt { account: key, parts });
            }
        }
        if held_off > 0 {
            return self.denied(held_off);
        }
        let available = self.available_owner(key).is_some();
        if available && settings.trust {
            if let Outcome::Taken(receipt) = self.take_beyond(now, key, units) {
                self.mark_due(key, Due::Later);
                return Take::Taken(receipt);
            }
        }
        if !available {
            return match self.take_beyond(now, key, units) {
                Outcome::Taken(receipt) => Take::Taken(receipt),
                Outcome::Denied { retry_after } => self.denied(retry_after),
            };
        }
        self.wait(key, units)
    }

    fn wait(&mut self, key: AccountKey, units: MilliUnits) -> Take {
        if self.waiting >= self.settings.max_waiting {
            return self.denied(self.settings.interval);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting += 1;
        self.figures.waited += 1;
        let waiter = Waiter { ticket, units, asked: None, reroutes: 0 };
        self.waiters.entry(key).or_default().push_back(waiter);
        self.mark_due(key, Due::Now);
        Take::Waiting(ticket)
    }

    fn take_beyond(&mut self, now: Micros, key: AccountKey, units: MilliUnits) -> Outcome {
        let settings = self.settings;
        let Some(account) = self.accounts.get_mut(&key) else {
            return Outcome::Denied { retry_after: settings.interval };
        };
        match account.take_beyond(now, units, &settings) {
            Ok(part) => {
                self.figures.beyond += units;
                self.unreported.insert(key);
                Outcome::Taken(Receipt { account: key, parts: vec![part] })
            }
            Err(wait) => Outcome::Denied { retry_after: wait.unwrap_or(settings.retry_after) },
        }
    }

    fn resolve(&mut self, waiter: &Waiter, outcome: Outcome, answers: &mut Vec<Answer>) {
        if matches!(outcome, Outcome::Denied { .. }) {
            self.figures.denied += 1;
        }
        self.waiting -= 1;
        answers.push(Answer { ticket: waiter.ticket, outcome });
    }

    /// Answers an account's waiting requests, in their order, as long as leases hold enough.
    fn serve_waiters(&mut self, now: Micros, key: AccountKey, answers: &mut Vec<Answer>) {
        let settings = self.settings;
        while let Some(waiter) = self.waiters.get(&key).and_then(|queue| queue.front()).cloned() {
            let account = self.accounts.get_mut(&key);
            let Some(parts) = account.and_then(|account| account.take_leased(now, waiter.units, &settings))
            else {
                return;
            };
            self.figures.taken += waiter.units;
            self.take_waiters(key, |other| other.ticket == waiter.ticket);
            let receipt = Receipt { account: key, parts };
            self.resolve(&waiter, Outcome::Taken(receipt), answers);
        }
    }

    /// Takes the waiters that `chosen` names out of an account's queue.
    fn take_waiters(&mut self, key: AccountKey, chosen: impl Fn(&Waiter) -> bool) -> VecDeque<Waiter> {
        let Some(queue) = self.waiters.remove(&key) else { return VecDeque::new() };
        let (taken, left): (VecDeque<_>, VecDeque<_>) = queue.into_iter().partition(chosen);
        if !left.is_empty() {
            self.waiters.insert(key, left);
        }
        taken
    }

    /// Answers the waiters that `chosen` names from the fallback part.
    fn fall_back(
        &mut self,
        now: Micros,
        key: AccountKey,
        chosen: impl Fn(&Waiter) -> bool,
        answers: &mut Vec<Answer>,
    ) {
        for waiter in self.take_waiters(key, chosen) {
            let outcome = self.take_beyond(now, key, waiter.units);
            self.resolve(&waiter, outcome, answers);
        }
    }
}

/// Answers of allocators.
impl Holder {
    /// The report that a valid answer is about. It is out no more.
    fn answered_report(&mut self, grant: &Grant) -> Result<ReportOut, MessageError> {
        grant.check()?;
        let unknown = MessageError::UnknownSender(grant.allocator);
        let exchange = self.exchanges.get_mut(grant.allocator as usize).ok_or(unknown)?;
        let own = grant.limiter_incarnation == self.settings.incarnation;
        if !own || !exchange.is_out(grant.sequence) || grant.incarnation < exchange.incarnation {
            return Err(MessageError::Outdated(grant.sequence));
        }
        let entries = exchange.out.as_ref().map(|out| out.report.accounts.len());
        if entries != Some(grant.entries as usize) {
            return Err(MessageError::Entries("not as many as were asked for"));
        }
        exchange.incarnation = grant.incarnation;
        exchange.out.take().ok_or(MessageError::Outdated(grant.sequence))
    }

    /// Takes what the answer says of the allocators themselves.
    fn hear(&mut self, now: Micros, grant: &Grant, addressed_to: u64, answers: &mut Vec<Answer>) {
        let number = grant.allocator;
        if !grant.serving {
            self.lose(now, number, answers);
            return;
        }
        let back = !self.is_available(number) || addressed_to != grant.incarnation;
        self.exchanges[number as usize].recover();
        let moved = self.given_away != grant.given_away;
        self.given_away = grant.given_away;
        if moved {
            self.reroute(now, answers);
        }
        if moved || back {
            for key in self.unreported.clone() {
                self.mark_due(key, Due::Later);
            }
        }
    }

    fn on_units(
        &mut self,
        now: Micros,
        origin: LeaseOrigin,
        asked: &ReportEntry,
        given: GrantEntry,
        answers: &mut Vec<Answer>,
    ) {
        let key = asked.account;
        let Some(account) = self.accounts.get_mut(&key) else { return };
        if given.units > 0 {
            account.add_lease(origin, given.units);
            self.figures.granted += given.units;
        }
        let hold_off = Micros::from(given.hold_off_ms) * MICROS_PER_MILLI;
        if hold_off > 0 {
            account.held_off_until = now.saturating_add(hold_off);
        }
        self.serve_waiters(now, key, answers);
        // Those that came after the report wait for the next one, unless that would be in vain.
        let was_asked = |waiter: &Waiter| hold_off > 0 || waiter.asked == Some(origin.allocator);
        for waiter in self.take_waiters(key, was_asked) {
            let retry_after = hold_off.max(self.settings.spacing);
            self.resolve(&waiter, Outcome::Denied { retry_after }, answers);
        }
        self.set_timer(now, key);
    }

    /// The allocator does not own the account. What was used beyond is to be reported to somebody else.
    fn on_refusal(&mut self, now: Micros, allocator: u32, asked: &ReportEntry, answers: &mut Vec<Answer>) {
        let key = asked.account;
        if let Some(account) = self.accounts.get_mut(&key).filter(|_| asked.beyond > 0) {
            account.beyond = account.beyond.saturating_add(asked.beyond);
            self.unreported.insert(key);
        }
        let moved = self.available_owner(key).is_some_and(|owner| owner != allocator);
        self.ask_again(now, allocator, key, moved, answers);
    }

    /// The report was for an earlier process of the allocator, which may have carried it out: what it told of use beyond and
    /// of units returned is not told again.
    fn on_restart(&mut self, now: Micros, allocator: u32, asked: &ReportEntry, answers: &mut Vec<Answer>) {
        let owned = self.available_owner(asked.account).is_some();
        self.ask_again(now, allocator, asked.account, owned, answers);
    }

    /// Requests that an answer left waiting wait for the next report, if that is of use, or get the fallback part.
    fn ask_again(
        &mut self,
        now: Micros,
        allocator: u32,
        key: AccountKey,
        useful: bool,
        answers: &mut Vec<Answer>,
    ) {
        let stays = |waiter: &Waiter| useful && waiter.reroutes < MAX_REROUTES;
        self.fall_back(now, key, |waiter| waiter.asked == Some(allocator) && !stays(waiter), answers);
        for waiter in self.waiters.get_mut(&key).into_iter().flatten() {
            if waiter.asked == Some(allocator) {
                waiter.asked = None;
                waiter.reroutes += 1;
            }
        }
        if self.waiters.contains_key(&key) {
            self.mark_due(key, Due::Now);
        }
        self.set_timer(now, key);
    }
}

/// Allocators that come and go.
impl Holder {
    /// The owner of an account, if it answers.
    fn available_owner(&self, key: AccountKey) -> Option<u32> {
        placement::owner(key, self.settings.allocators, self.given_away)
            .filter(|owner| self.is_available(*owner))
    }

    fn lose(&mut self, now: Micros, allocator: u32, answers: &mut Vec<Answer>) {
        let retry_at = now.saturating_add(self.settings.retry_after);
        self.exchanges[allocator as usize].lose(retry_at);
        for key in self.waiters.keys().copied().collect::<Vec<_>>() {
            let orphaned = self.available_owner(key).is_none();
            let chosen =
                |waiter: &Waiter| waiter.asked == Some(allocator) || orphaned && waiter.asked.is_none();
            self.fall_back(now, key, chosen, answers);
        }
    }

    /// Puts all that is due on the lists of those that own it now.
    fn reroute(&mut self, now: Micros, answers: &mut Vec<Answer>) {
        let due: Vec<_> = self.exchanges.iter_mut().flat_map(Exchange::take_due).collect();
        for key in due {
            let account = self.accounts.get_mut(&key);
            let was = account.map_or(Due::No, |account| std::mem::take(&mut account.due));
            self.mark_due(key, was);
        }
        for key in self.waiters.keys().copied().collect::<Vec<_>>() {
            if self.available_owner(key).is_none() {
                self.fall_back(now, key, |waiter| waiter.asked.is_none(), answers);
            }
        }
    }

    /// Has the next report to the account's owner take it along.
    fn mark_due(&mut self, key: AccountKey, due: Due) {
        let owner = placement::owner(key, self.settings.allocators, self.given_away);
        let (Some(owner), Some(account)) = (owner, self.accounts.get_mut(&key)) else { return };
        if account.due < due {
            account.due = due;
            self.exchanges[owner as usize].add_due(key, due);
        }
    }
}

/// Reports.
impl Holder {
    fn send(&mut self, now: Micros, allocator: u32, mut report: Report) -> Report {
        let exchange = &mut self.exchanges[allocator as usize];
        exchange.address(&mut report, &self.settings);
        report.leave_out_zeros();
        self.figures.reports += 1;
        self.figures.entries += report.accounts.len() as u64;
        exchange.sent(now, report.clone());
        report
    }

    /// All that is due for an allocator, as far as a report holds it.
    fn report(&mut self, now: Micros, allocator: u32) -> Report {
        let mut report = Report::default();
        for key in self.exchanges[allocator as usize].take_due() {
            let full =
                report.accounts.len() + ENTRIES_PER_ACCOUNT > MAX_ENTRIES || report.plans.len() >= MAX_PLANS;
            let Some(account) = self.accounts.get_mut(&key) else { continue };
            let due = std::mem::take(&mut account.due);
            if due == Due::No {
                continue;
            }
            let owner = placement::owner(key, self.settings.allocators, self.given_away);
            if full || owner != Some(allocator) {
                self.mark_due(key, due);
                continue;
            }
            self.add_entries(now, allocator, key, &mut report);
            self.set_timer(now, key);
        }
        report
    }

    fn add_entries(&mut self, now: Micros, allocator: u32, key: AccountKey, report: &mut Report) {
        let settings = self.settings;
        let incarnation = self.exchanges[allocator as usize].incarnation;
        let Some(account) = self.accounts.get_mut(&key) else { return };
        let mut waiting: MilliUnits = 0;
        for waiter in self.waiters.get_mut(&key).into_iter().flatten().filter(|waiter| waiter.asked.is_none())
        {
            if waiting.saturating_add(waiter.units) > MAX_UNITS {
                break;
            }
            waiting += waiter.units;
            waiter.asked = Some(allocator);
        }
        let mut returned = account.take_expired(now, allocator, incarnation);
        account.clean_up(now, &settings);
        let expected = account.expected(now, waiting, &settings);
        let mut entry = ReportEntry { waiting, expected, ..ReportEntry::new(key, account.limits) };
        if incarnation != 0 {
            entry.beyond = std::mem::take(&mut account.beyond);
            self.unreported.remove(&key);
        }
        self.figures.returned += returned.iter().map(|(units, _)| units).sum::<MilliUnits>();
        if let Some((units, slot)) = returned.pop() {
            (entry.returned, entry.returned_slot) = (units, slot);
        }
        // What is returned counts before anything is granted.
        for (units, slot) in returned {
            let more = ReportEntry::new(key, account.limits);
            report.push(&ReportEntry { returned: units, returned_slot: slot, ..more });
        }
        // One that can't tell of use beyond yet, as the allocator's process is not known, asks for nothing and hears of it.
        if entry != ReportEntry::new(key, account.limits) || account.beyond > 0 {
            report.push(&entry);
        }
        // Those that did not fit wait for the next report.
        if self.waiters.get(&key).into_iter().flatten().any(|waiter| waiter.asked.is_none()) {
            self.mark_due(key, Due::Now);
        }
    }
}

/// Accounts and their timers.
impl Holder {
    fn set_timer(&mut self, now: Micros, key: AccountKey) {
        // One that is due already is not put off.
        let Some(account) = self.accounts.get_mut(&key).filter(|account| account.timer > now) else { return };
        let next = account.next_timer(now, &self.settings);
        if next != account.timer {
            self.timers.remove(&(account.timer, key));
            account.timer = next;
            self.timers.insert((next, key));
        }
    }

    fn run_timers(&mut self, now: Micros) {
        while let Some((at, key)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, key));
            self.attend(now, key);
        }
    }

    /// An account's lease is about to expire, or has expired, or the account may be forgotten.
    fn attend(&mut self, now: Micros, key: AccountKey) {
        let settings = self.settings;
        let waits = self.waiters.contains_key(&key);
        let Some(account) = self.accounts.get_mut(&key) else { return };
        account.timer = Micros::MAX;
        account.clean_up(now, &settings);
        if !waits && account.is_idle(now, &settings) {
            self.accounts.remove(&key);
            return;
        }
        if account.has_expired(now) || account.wants_renewal(now, &settings) {
            self.mark_due(key, Due::Later);
        }
        self.set_timer(now, key);
    }

    /// Makes a place for one more account. One whose fallback part is not full may have to go: what is opened after that opens
    /// empty.
    fn make_place(&mut self, now: Micros) -> bool {
        if self.accounts.len() < self.settings.max_accounts {
            return true;
        }
        let tried = self.timers.iter().rev().take(EVICTION_TRIES).map(|(_, key)| *key);
        let unused = |key: &AccountKey| {
            !self.waiters.contains_key(key)
                && self.accounts.get(key).is_some_and(|account| account.is_unused(now))
        };
        let Some(key) = tried.into_iter().find(unused) else { return false };
        if let Some(account) = self.accounts.remove(&key) {
            self.timers.remove(&(account.timer, key));
        }
        self.parts_since = now;
        true
    }
}

/// For tests and figures: the leased units that could be used now.
impl Holder {
    /// Units of an account's leases that have not expired.
    pub fn leased(&self, now: Micros, key: AccountKey) -> MilliUnits {
        self.accounts.get(&key).map_or(0, |account| account.leased(now))
    }
}
