//! The allocator: grants units from the token buckets of the accounts that it owns.
//!
//! It is a state machine without I/O and clock. `docs/quota-leases.md` derives the bounds on what it
//! grants.

mod account;
mod ownership;

use super::message::{
    AccountKey, DroppedMessages, Grant, GrantEntry, MessageError, Report, ReportEntry, Verdict,
    FORMAT,
};
use crate::decision::Micros;
use account::{Account, GrantRules, SlotClock, LEASE_SLOTS};
use ownership::OwnershipHistory;
use prost::Message;
use std::collections::{HashMap, VecDeque};

pub use ownership::Ownership;

const MICROS_PER_MILLI: Micros = 1_000;
/// Number of accounts checked for removal with each report, in addition to one for each of its entries.
const REMOVAL_CHECKS_PER_REPORT: usize = 8;

const NOT_OWNER: GrantEntry = GrantEntry {
    verdict: Verdict::NotOwner,
    units: 0,
    hold_off_ms: 0,
};

/// Settings of an allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllocatorSettings {
    /// Number of configured limiters, which are numbered from 0. Reports with other numbers are
    /// dropped.
    pub limiters: u32,
    /// Duration of a lease in µs, from the time at which the report was first sent.
    pub lease: Micros,
    /// Divisor of the units that remain after those for waiting requests. At most the quotient is
    /// granted for the expected requests of one limiter.
    pub forecast_divisor: u32,
    /// Maximum time in µs for which a limiter is to request no units of an exhausted account.
    pub max_hold_off: Micros,
    /// Maximum number of accounts in memory. Requests for further accounts are answered with
    /// [`Verdict::Exhausted`].
    pub max_accounts: usize,
}

impl Default for AllocatorSettings {
    fn default() -> Self {
        Self {
            limiters: 2_000,
            lease: 10_000_000,
            forecast_divisor: 4,
            max_hold_off: 5_000_000,
            max_accounts: 200_000,
        }
    }
}

/// The last answer to a limiter. It is sent again if the limiter retries the report.
#[derive(Clone, Debug)]
struct CachedAnswer {
    incarnation: u64,
    sequence: u64,
    /// The encoded [`Grant`].
    bytes: Vec<u8>,
}

/// The state of one allocator.
#[derive(Clone, Debug)]
pub struct Allocator {
    number: u32,
    incarnation: u64,
    settings: AllocatorSettings,
    ownership: OwnershipHistory,
    clock: SlotClock,
    accounts: HashMap<AccountKey, Account>,
    /// All accounts in memory, in the order in which they are checked for removal.
    removal_queue: VecDeque<AccountKey>,
    /// The last answer to each limiter, by the limiter's number.
    cached_answers: HashMap<u32, CachedAnswer>,
    dropped: DroppedMessages,
}

impl Allocator {
    /// Returns allocator `number` of `allocators`, which are numbered from 0. `incarnation` is not
    /// 0 and higher than at each previous start of this allocator.
    pub fn new(
        number: u32,
        allocators: u32,
        incarnation: u64,
        settings: AllocatorSettings,
    ) -> Self {
        Self {
            number,
            incarnation,
            settings,
            ownership: OwnershipHistory::new(number, allocators),
            clock: SlotClock {
                origin: Micros::MAX,
                width: settings.lease.div_ceil(LEASE_SLOTS),
            },
            accounts: HashMap::new(),
            removal_queue: VecDeque::new(),
            cached_answers: HashMap::new(),
            dropped: DroppedMessages::default(),
        }
    }

    /// Sets the leases of the allocators. To be called whenever they change, and well before they
    /// expire.
    pub fn set_ownership(&mut self, now: Micros, ownership: Ownership) {
        self.clock.origin = self.clock.origin.min(now);
        self.ownership.set(now, ownership);
    }

    /// Grants units for a report. A retry of a limiter's last report is answered with the same
    /// grant again.
    ///
    /// # Errors
    ///
    /// If the report is invalid, its sender is unknown, or a later report was already answered. The
    /// error is counted.
    pub fn on_report(&mut self, now: Micros, report: &Report) -> Result<Grant, MessageError> {
        self.answer(now, report)
            .inspect_err(|reason| self.dropped.count(reason))
    }

    /// Returns the number of dropped reports, by reason.
    pub fn dropped(&self) -> DroppedMessages {
        self.dropped
    }

    /// Counts a report that could not be decoded.
    pub fn count_dropped(&mut self, reason: &MessageError) {
        self.dropped.count(reason);
    }

    /// Returns the number of accounts in memory.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the size of the cached answers in bytes.
    pub fn cached_answer_bytes(&self) -> usize {
        self.cached_answers
            .values()
            .map(|answer| answer.bytes.len())
            .sum()
    }

    /// Returns whether the allocator holds its own lease from the fleet of allocators.
    pub fn is_serving(&self, now: Micros) -> bool {
        self.ownership.is_serving(now)
    }

    fn answer(&mut self, now: Micros, report: &Report) -> Result<Grant, MessageError> {
        report.check()?;
        if report.limiter >= self.settings.limiters {
            return Err(MessageError::UnknownSender(report.limiter));
        }
        if let Some(cached) = self.cached_answers.get(&report.limiter) {
            let last = (cached.incarnation, cached.sequence);
            let current = (report.incarnation, report.sequence);
            if current < last {
                return Err(MessageError::Outdated(report.sequence));
            }
            if current == last {
                return Grant::read(&cached.bytes);
            }
        }
        let grant = self.grant_report(now, report);
        let answer = CachedAnswer {
            incarnation: report.incarnation,
            sequence: report.sequence,
            bytes: grant.encode_to_vec(),
        };
        self.cached_answers.insert(report.limiter, answer);
        self.remove_idle(now, REMOVAL_CHECKS_PER_REPORT + report.accounts.len());
        Ok(grant)
    }

    fn grant_report(&mut self, now: Micros, report: &Report) -> Grant {
        let lease_ms = self.settings.lease / MICROS_PER_MILLI;
        let mut grant = Grant {
            format: FORMAT,
            allocator: self.number,
            incarnation: self.incarnation,
            limiter_incarnation: report.incarnation,
            sequence: report.sequence,
            serving: self.ownership.is_serving(now),
            reassigned: self.ownership.reassigned(now),
            slot: self.clock.slot(now),
            lease_ms: u32::try_from(lease_ms).unwrap_or(u32::MAX),
            ..Grant::default()
        };
        for entry in report.entries() {
            grant.push(&self.grant_addressed(now, report.addressed_to, entry));
        }
        grant.omit_zero_columns();
        grant
    }

    /// Grants units for an entry of a report that is addressed to the incarnation `addressed_to`,
    /// or to any incarnation if that is 0.
    fn grant_addressed(
        &mut self,
        now: Micros,
        addressed_to: u64,
        entry: ReportEntry,
    ) -> GrantEntry {
        if addressed_to == 0 {
            // Only the incarnation that granted units may take them back, and use of the fallback
            // share is reported only to a known incarnation.
            let request_only = ReportEntry {
                returned: 0,
                fallback_used: 0,
                ..entry
            };
            return self.grant_entry(now, &request_only);
        }
        if addressed_to != self.incarnation {
            return NOT_OWNER;
        }
        self.grant_entry(now, &entry)
    }

    fn grant_entry(&mut self, now: Micros, entry: &ReportEntry) -> GrantEntry {
        let Some(owned_since) = self.ownership.owned_since(now, entry.account) else {
            return NOT_OWNER;
        };
        let rules = GrantRules {
            forecast_divisor: self.settings.forecast_divisor.into(),
            max_hold_off: self.settings.max_hold_off,
        };
        let clock = self.clock;
        let Some(account) = self.account(now, owned_since, entry) else {
            return exhausted(0, rules.max_hold_off);
        };
        account.refresh(now, clock, entry.limits);
        account.accept_return(now, clock, entry.returned, entry.returned_slot);
        account.charge(entry.fallback_used);
        let granted = account.grant(now, entry, rules);
        match granted.hold_off {
            Some(hold_off) => exhausted(granted.units, hold_off),
            None => GrantEntry {
                verdict: Verdict::Granted,
                units: granted.units,
                hold_off_ms: 0,
            },
        }
    }

    /// Returns the state of an account. The state is created if it is not in memory, and replaced
    /// by a new one if another allocator may have owned the account since it was created. Returns
    /// `None` if there are too many accounts in memory.
    fn account(
        &mut self,
        now: Micros,
        owned_since: Micros,
        entry: &ReportEntry,
    ) -> Option<&mut Account> {
        if !self.accounts.contains_key(&entry.account) {
            if self.accounts.len() >= self.settings.max_accounts {
                self.remove_idle(now, REMOVAL_CHECKS_PER_REPORT);
            }
            if self.accounts.len() >= self.settings.max_accounts {
                return None;
            }
            self.removal_queue.push_back(entry.account);
        }
        let new_account = || Account::open(owned_since, entry.limits);
        let account = self
            .accounts
            .entry(entry.account)
            .or_insert_with(new_account);
        if account.opened_before(owned_since) {
            *account = new_account();
        }
        Some(account)
    }

    /// Checks the next `count` accounts. Removes those that this allocator does not own any more, and
    /// those with a full bucket of which no granted units may still be returned.
    fn remove_idle(&mut self, now: Micros, count: usize) {
        for _ in 0..count.min(self.removal_queue.len()) {
            let Some(key) = self.removal_queue.pop_front() else {
                return;
            };
            let is_owned = self.ownership.owned_since(now, key).is_some();
            let clock = self.clock;
            let removable = self
                .accounts
                .get_mut(&key)
                .is_none_or(|account| !is_owned || account.is_idle(now, clock));
            if removable {
                self.accounts.remove(&key);
            } else {
                self.removal_queue.push_back(key);
            }
        }
    }
}

/// Returns the result for an account that does not have the units that requests wait for.
fn exhausted(units: u64, hold_off: Micros) -> GrantEntry {
    let hold_off_ms = u32::try_from(hold_off.div_ceil(MICROS_PER_MILLI))
        .unwrap_or(u32::MAX)
        .max(1);
    GrantEntry {
        verdict: Verdict::Exhausted,
        units,
        hold_off_ms,
    }
}
