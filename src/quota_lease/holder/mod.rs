//! The holder of a limiter's leases: takes the units of requests from leases, requests more units
//! from the allocators, and uses a fallback share of the quota while an account's owner does not
//! answer.
//!
//! It is a state machine without I/O and clock. The caller delivers reports and grants, and calls
//! [`Holder::poll`] no later than at [`Holder::next_wake`].

mod accounts;
mod allocators;
mod answers;
mod demand;
mod exchange;
mod fallback;
mod lease_set;
mod leased_account;
mod receipt;
mod reports;
mod requests;
mod settings;
mod types;

use super::message::{
    AccountKey, DroppedMessages, Grant, MessageError, MilliUnits, PlanLimits, Report, Verdict,
    MAX_UNITS,
};
use super::placement::MAX_ALLOCATORS;
use crate::decision::Micros;
use exchange::{Exchange, Step};
use leased_account::{LeasedAccount, ReportDue};
use receipt::LeaseOrigin;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

pub use receipt::Receipt;
pub use settings::HolderSettings;
pub use types::{Answer, HolderFigures, Outcome, Poll, TakeResult, WaiterId};

const MICROS_PER_MILLI: Micros = 1_000;

/// A request that waits for units.
#[derive(Clone, Debug)]
struct Waiter {
    id: WaiterId,
    units: MilliUnits,
    /// The allocator for which a report that requests the units is in flight, if any.
    requested_from: Option<u32>,
    /// Number of times that the units were requested again after an unsuccessful report.
    repeated_requests: u8,
}

/// The state of one limiter's leases.
#[derive(Clone, Debug)]
pub struct Holder {
    settings: HolderSettings,
    accounts: HashMap<AccountKey, LeasedAccount>,
    /// By number of the allocator.
    exchanges: Vec<Exchange>,
    /// Waiting requests of each account that has any, in order of arrival.
    waiters: BTreeMap<AccountKey, VecDeque<Waiter>>,
    /// Number of waiting requests of all accounts.
    waiting: usize,
    /// Accounts with use of the fallback share that has not been reported yet.
    unreported: BTreeSet<AccountKey>,
    /// Times at which accounts are to be checked.
    timers: BTreeSet<(Micros, AccountKey)>,
    /// Bit set of the allocators whose accounts are reassigned, as received with the last answer
    /// from an allocator that held its lease.
    reassigned: u64,
    /// Time at which the fallback share of an account that is not in memory is assumed to have been
    /// empty.
    fallback_empty_since: Micros,
    next_waiter_id: u64,
    dropped: DroppedMessages,
    metrics: HolderFigures,
}

impl Holder {
    /// Returns the holder of a limiter that starts at `now`.
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
            reassigned: 0,
            fallback_empty_since: now,
            next_waiter_id: 0,
            dropped: DroppedMessages::default(),
            metrics: HolderFigures::default(),
        }
    }

    /// Takes units for one request of an account. `limiter_count` is the number of limiters that
    /// receive requests of this account.
    pub fn take(
        &mut self,
        now: Micros,
        key: AccountKey,
        plan: PlanLimits,
        limiter_count: u32,
        units: MilliUnits,
    ) -> TakeResult {
        if units > plan.burst || plan.burst > MAX_UNITS || plan.rate > MAX_UNITS {
            return self.deny(Micros::MAX);
        }
        let settings = self.settings;
        if !self.accounts.contains_key(&key) && !self.make_space(now) {
            return self.deny(settings.report_interval);
        }
        let fallback_empty_since = self.fallback_empty_since;
        let account = self
            .accounts
            .entry(key)
            .or_insert_with(|| LeasedAccount::new(now, plan, limiter_count, fallback_empty_since));
        account.set_limits(now, plan, limiter_count, &settings);
        account.record_demand(now, units, &settings);
        let result = self.take_or_wait(now, key, units);
        let wants_renewal = self
            .accounts
            .get(&key)
            .is_some_and(|account| account.wants_renewal(now, &settings));
        if wants_renewal {
            self.mark_due(key, ReportDue::NextInterval);
        }
        self.set_timer(now, key);
        result
    }

    /// Puts back units that a request has taken but not used.
    pub fn put_back(&mut self, now: Micros, receipt: Receipt) {
        let Some(account) = self.accounts.get_mut(&receipt.account) else {
            return;
        };
        for part in receipt.parts {
            account.put_back(part);
        }
        if account.unreported_fallback == 0 {
            self.unreported.remove(&receipt.account);
        }
        self.set_timer(now, receipt.account);
    }

    /// Processes a grant and returns the answers to requests that no longer wait.
    ///
    /// # Errors
    ///
    /// If the grant is invalid or does not answer the report in flight. The error is counted.
    pub fn on_grant(&mut self, now: Micros, grant: &Grant) -> Result<Vec<Answer>, MessageError> {
        let answered = self
            .answered_report(grant)
            .inspect_err(|reason| self.dropped.count(reason))?;
        let mut answers = Vec::new();
        let addressed_to = answered.report.addressed_to;
        self.update_allocator(now, grant, addressed_to, &mut answers);
        let lease = Micros::from(grant.lease_ms)
            .saturating_mul(MICROS_PER_MILLI)
            .min(self.settings.lease);
        let origin = LeaseOrigin {
            allocator: grant.allocator,
            incarnation: grant.incarnation,
            slot: grant.slot,
            expires: answered.first_sent.saturating_add(lease),
        };
        let is_from_addressee = addressed_to == 0 || addressed_to == grant.incarnation;
        for (requested, granted) in answered.report.entries().zip(grant.entries()) {
            if granted.verdict != Verdict::NotOwner {
                self.on_granted(now, origin, &requested, granted, &mut answers);
            } else if is_from_addressee {
                self.on_not_owner(now, grant.allocator, &requested, &mut answers);
            } else {
                self.on_restart(now, grant.allocator, &requested, &mut answers);
            }
        }
        Ok(answers)
    }

    /// Handles a lost connection to an allocator. The requests that wait for the allocator are
    /// served from the fallback share or denied.
    pub fn on_connection_lost(&mut self, now: Micros, allocator: u32) -> Vec<Answer> {
        let mut answers = Vec::new();
        if (allocator as usize) < self.exchanges.len() {
            self.set_unavailable(now, allocator, &mut answers);
        }
        answers
    }

    /// Returns the reports to send now, and the answers to requests that no longer wait.
    pub fn poll(&mut self, now: Micros) -> Poll {
        let mut poll = Poll::default();
        self.run_timers(now);
        for allocator in 0..self.settings.allocators {
            if self.exchanges[allocator as usize].is_overdue(now, &self.settings) {
                self.set_unavailable(now, allocator, &mut poll.answers);
            }
        }
        let probe_when_idle = self.any_unavailable();
        for allocator in 0..self.settings.allocators {
            if let Some(report) = self.next_report(now, allocator, probe_when_idle) {
                poll.reports.push((allocator, report));
            }
        }
        poll
    }

    /// Returns the report to send to an allocator now, if any.
    fn next_report(
        &mut self,
        now: Micros,
        allocator: u32,
        probe_when_idle: bool,
    ) -> Option<Report> {
        let settings = self.settings;
        let exchange = &mut self.exchanges[allocator as usize];
        match exchange.step(now, probe_when_idle, &settings) {
            Step::Wait => None,
            Step::Retry => exchange.retry(now),
            Step::Probe => Some(self.finish_report(now, allocator, Report::default())),
            Step::Report => {
                let report = self.build_report(now, allocator);
                // A report without entries is sent only if a probe is due, or if accounts are still due
                // because not all of them fitted.
                let exchange = &self.exchanges[allocator as usize];
                let still_due = exchange.next_wake(probe_when_idle, &settings) <= now;
                if !still_due && report.accounts.is_empty() {
                    return None;
                }
                Some(self.finish_report(now, allocator, report))
            }
        }
    }

    /// Returns the earliest time at which [`Self::poll`] has something to do; [`Micros::MAX`] if it has
    /// nothing to do until the next call of another method.
    pub fn next_wake(&self) -> Micros {
        let probe_when_idle = self.any_unavailable();
        let exchanges = self
            .exchanges
            .iter()
            .map(|exchange| exchange.next_wake(probe_when_idle, &self.settings));
        let timer = self.timers.first().map(|(at, _)| *at);
        exchanges.chain(timer).min().unwrap_or(Micros::MAX)
    }

    fn any_unavailable(&self) -> bool {
        self.exchanges
            .iter()
            .any(|exchange| !exchange.is_available())
    }

    /// Returns the metrics since the start of the holder.
    pub fn metrics(&self) -> HolderFigures {
        self.metrics
    }

    /// Returns the number of dropped grants, by reason.
    pub fn dropped(&self) -> DroppedMessages {
        self.dropped
    }

    /// Counts a grant that could not be decoded.
    pub fn count_dropped(&mut self, reason: &MessageError) {
        self.dropped.count(reason);
    }

    /// Returns the number of accounts in memory.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns whether an allocator is considered available.
    pub fn is_available(&self, allocator: u32) -> bool {
        self.exchanges
            .get(allocator as usize)
            .is_some_and(Exchange::is_available)
    }

    /// Returns the size in bytes of the accounts in memory, without the overhead of the maps.
    pub fn account_bytes(&self) -> usize {
        let entry = size_of::<(AccountKey, LeasedAccount)>() + size_of::<(Micros, AccountKey)>();
        self.accounts
            .values()
            .map(|account| entry + account.heap_bytes())
            .sum()
    }

    /// Returns the unused units of an account's leases that have not expired.
    pub fn leased(&self, now: Micros, key: AccountKey) -> MilliUnits {
        self.accounts
            .get(&key)
            .map_or(0, |account| account.leased(now))
    }
}
