//! An allocator: grants units out of the token buckets of the accounts that it owns.
//!
//! Free of I/O and clocks. `docs/quota-leases.md` derives the bounds.

use std::collections::{HashMap, VecDeque};

use prost::Message;

use super::account::{Account, GrantRules, SlotClock, LEASE_SLOTS};
pub use super::message::Dropped;
use super::message::{
    AccountKey, Grant, GrantEntry, MessageError, Report, ReportEntry, Verdict, FORMAT,
};
pub use super::ownership::Ownership;
use super::ownership::OwnershipHistory;
use crate::decision::Micros;

const MICROS_PER_MILLI: Micros = 1_000;
/// Accounts looked at for forgetting with each report, besides one for each entry.
const SWEPT_PER_REPORT: usize = 8;

const NOT_OWNER: GrantEntry = GrantEntry {
    verdict: Verdict::NotOwner,
    units: 0,
    hold_off_ms: 0,
};

/// What an allocator is told at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllocatorSettings {
    /// Limiters that are configured: a report from another number is not taken.
    pub limiters: u32,
    /// How long leased units may be used, from the first sending of the report.
    pub lease: Micros,
    /// One limiter's expected requests get at most one over this of what is left.
    pub forecast_share: u32,
    /// A limiter is held off from an exhausted account for so long at most.
    pub max_hold_off: Micros,
    /// Accounts kept at most. Those that find no place are answered as exhausted.
    pub max_accounts: usize,
}

impl Default for AllocatorSettings {
    fn default() -> Self {
        Self {
            limiters: 2_000,
            lease: 10_000_000,
            forecast_share: 4,
            max_hold_off: 5_000_000,
            max_accounts: 200_000,
        }
    }
}

/// The last answer to a limiter.
#[derive(Clone, Debug)]
struct Kept {
    incarnation: u64,
    sequence: u64,
    answer: Vec<u8>,
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
    /// All accounts, in the order in which they are looked at for forgetting.
    sweep: VecDeque<AccountKey>,
    kept: HashMap<u32, Kept>,
    dropped: Dropped,
}

impl Allocator {
    /// The allocator with this number, of so many. `incarnation` is higher at each start and not 0.
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
            sweep: VecDeque::new(),
            kept: HashMap::new(),
            dropped: Dropped::default(),
        }
    }

    /// Takes what its fleet's leases tell; to be called whenever they change and well before they run out.
    pub fn set_ownership(&mut self, now: Micros, ownership: Ownership) {
        self.clock.origin = self.clock.origin.min(now);
        self.ownership.set(now, ownership);
    }

    /// Carries out a report, or gives the answer again that it gave to it before.
    pub fn on_report(&mut self, now: Micros, report: &Report) -> Result<Grant, MessageError> {
        let answer = self.answer(now, report);
        if let Err(reason) = &answer {
            self.dropped.count(reason);
        }
        answer
    }

    /// Reports that were not taken, by reason.
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

    /// Bytes of the answers that it keeps.
    pub fn kept_bytes(&self) -> usize {
        self.kept.values().map(|kept| kept.answer.len()).sum()
    }

    /// Does it hold its own lease?
    pub fn is_serving(&self, now: Micros) -> bool {
        self.ownership.serving(now)
    }

    fn answer(&mut self, now: Micros, report: &Report) -> Result<Grant, MessageError> {
        report.check()?;
        if report.limiter >= self.settings.limiters {
            return Err(MessageError::UnknownSender(report.limiter));
        }
        if let Some(kept) = self.kept.get(&report.limiter) {
            let last = (kept.incarnation, kept.sequence);
            let this = (report.incarnation, report.sequence);
            if this < last {
                return Err(MessageError::Outdated(report.sequence));
            }
            if this == last {
                return Grant::read(&kept.answer);
            }
        }
        let grant = self.carry_out(now, report);
        let answer = grant.encode_to_vec();
        let kept = Kept {
            incarnation: report.incarnation,
            sequence: report.sequence,
            answer,
        };
        self.kept.insert(report.limiter, kept);
        self.forget_idle(now, SWEPT_PER_REPORT + report.accounts.len());
        Ok(grant)
    }

    fn carry_out(&mut self, now: Micros, report: &Report) -> Grant {
        let lease_ms = self.settings.lease / MICROS_PER_MILLI;
        let mut grant = Grant {
            format: FORMAT,
            allocator: self.number,
            incarnation: self.incarnation,
            limiter_incarnation: report.incarnation,
            sequence: report.sequence,
            serving: self.ownership.serving(now),
            given_away: self.ownership.given_away(now),
            slot: self.clock.slot(now),
            lease_ms: u32::try_from(lease_ms).unwrap_or(u32::MAX),
            ..Grant::default()
        };
        for entry in report.entries() {
            let given = match report.addressed_to {
                0 => self.grant_entry(
                    now,
                    &ReportEntry {
                        returned: 0,
                        beyond: 0,
                        ..entry
                    },
                ),
                incarnation if incarnation == self.incarnation => self.grant_entry(now, &entry),
                _ => NOT_OWNER,
            };
            grant.push(&given);
        }
        grant.leave_out_zeros();
        grant
    }

    fn grant_entry(&mut self, now: Micros, entry: &ReportEntry) -> GrantEntry {
        let Some(owned_since) = self.ownership.owned_since(now, entry.account) else {
            return NOT_OWNER;
        };
        let rules = GrantRules {
            forecast_share: self.settings.forecast_share.into(),
            max_hold_off: self.settings.max_hold_off,
        };
        let clock = self.clock;
        let Some(account) = self.account(now, owned_since, entry) else {
            return exhausted(0, rules.max_hold_off);
        };
        account.refresh(now, clock, entry.limits);
        account.take_back(now, clock, entry.returned, entry.returned_slot);
        account.charge(entry.beyond);
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

    /// The account, opened anew if it is not known or somebody else may have owned it meanwhile. None if there is no place.
    fn account(
        &mut self,
        now: Micros,
        owned_since: Micros,
        entry: &ReportEntry,
    ) -> Option<&mut Account> {
        let known = self.accounts.get(&entry.account);
        if known.is_none() && self.accounts.len() >= self.settings.max_accounts {
            self.forget_idle(now, SWEPT_PER_REPORT);
            if self.accounts.len() >= self.settings.max_accounts {
                return None;
            }
        }
        if !self.accounts.contains_key(&entry.account) {
            self.sweep.push_back(entry.account);
        }
        let new = || Account::open(owned_since, entry.limits);
        let account = self.accounts.entry(entry.account).or_insert_with(new);
        if account.is_older_than(owned_since) {
            *account = new();
        }
        Some(account)
    }

    /// Looks at the next `count` accounts and forgets those that it does not own any more, and those of which nothing is out
    /// and whose bucket is full.
    fn forget_idle(&mut self, now: Micros, count: usize) {
        for _ in 0..count.min(self.sweep.len()) {
            let Some(key) = self.sweep.pop_front() else {
                return;
            };
            let owned = self.ownership.owned_since(now, key).is_some();
            let clock = self.clock;
            let idle = self
                .accounts
                .get_mut(&key)
                .is_none_or(|account| !owned || account.is_idle(now, clock));
            if idle {
                self.accounts.remove(&key);
            } else {
                self.sweep.push_back(key);
            }
        }
    }
}

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
