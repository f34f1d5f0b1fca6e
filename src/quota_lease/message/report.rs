//! Reports: the messages of limiters to allocators.

use super::columns::{check_columns, check_format, check_units, decode, omit_if_zero, value};
use super::{AccountKey, MessageError, MilliUnits, PlanLimits, MAX_PLANS};
use prost::Message;

/// Message from a limiter to an allocator: the accounts for which the limiter requests or returns
/// units, or reports use of the fallback share.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Version of the message format, [`FORMAT`](super::FORMAT).
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// Number of the limiter.
    #[prost(uint32, tag = "2")]
    pub limiter: u32,
    /// Incarnation of the limiter: set when its process starts, and higher in each later process.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Sequence number among the limiter's reports to this allocator, from 1. A retry has the number of
    /// the report that it repeats.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Incarnation of the allocator that the report is addressed to, the last one known to the limiter.
    /// Any other incarnation grants nothing for the report. 0 addresses any incarnation; such a report
    /// neither returns units nor reports use of the fallback share.
    #[prost(uint64, tag = "5")]
    pub addressed_to: u64,
    /// Limits of the plans that the entries refer to.
    #[prost(message, repeated, tag = "6")]
    pub plans: Vec<PlanLimits>,
    /// By entry: key of the account.
    #[prost(fixed64, repeated, tag = "7")]
    pub accounts: Vec<u64>,
    /// By entry: index into `plans`.
    #[prost(uint32, repeated, tag = "8")]
    pub plan_index: Vec<u32>,
    /// By entry: units for requests that are waiting for them.
    #[prost(uint64, repeated, tag = "9")]
    pub waiting: Vec<MilliUnits>,
    /// By entry: units for requests that are expected within the duration of a lease.
    #[prost(uint64, repeated, tag = "10")]
    pub expected: Vec<MilliUnits>,
    /// By entry: unused units of an expired lease, which are returned.
    #[prost(uint64, repeated, tag = "11")]
    pub returned: Vec<MilliUnits>,
    /// By entry: time slot in which the returned units were granted.
    #[prost(uint64, repeated, tag = "12")]
    pub returned_slot: Vec<u64>,
    /// By entry: units of the fallback share that requests used.
    #[prost(uint64, repeated, tag = "13")]
    pub fallback_used: Vec<MilliUnits>,
}

/// One entry of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportEntry {
    /// Key of the account.
    pub account: AccountKey,
    /// Limits of the account's plan.
    pub limits: PlanLimits,
    /// Units for requests that are waiting for them.
    pub waiting: MilliUnits,
    /// Units for requests that are expected within the duration of a lease.
    pub expected: MilliUnits,
    /// Unused units of an expired lease, which are returned.
    pub returned: MilliUnits,
    /// Time slot in which the returned units were granted.
    pub returned_slot: u64,
    /// Units of the fallback share that requests used.
    pub fallback_used: MilliUnits,
}

impl ReportEntry {
    /// Returns an entry that neither requests, returns nor reports units.
    pub fn new(account: AccountKey, limits: PlanLimits) -> Self {
        Self {
            account,
            limits,
            waiting: 0,
            expected: 0,
            returned: 0,
            returned_slot: 0,
            fallback_used: 0,
        }
    }
}

impl Report {
    /// Decodes and checks a report.
    ///
    /// # Errors
    ///
    /// If the bytes cannot be decoded or [`check`](Self::check) fails.
    pub fn read(bytes: &[u8]) -> Result<Self, MessageError> {
        let report: Self = decode(bytes)?;
        report.check()?;
        Ok(report)
    }

    /// Checks that the columns have equal lengths and all values are in range.
    ///
    /// # Errors
    ///
    /// If the format is unsupported, columns have different lengths, the index of a plan is out of
    /// range, or a number of entries, plans or units exceeds its maximum.
    pub fn check(&self) -> Result<(), MessageError> {
        check_format(self.format)?;
        let columns = [
            &self.waiting,
            &self.expected,
            &self.returned,
            &self.returned_slot,
            &self.fallback_used,
        ];
        check_columns(self.accounts.len(), &[self.plan_index.len()])?;
        check_columns(self.accounts.len(), &columns.map(Vec::len))?;
        if self.plans.len() > MAX_PLANS {
            return Err(MessageError::Entries("too many plans"));
        }
        if !self.accounts.is_empty() && self.plans.is_empty() {
            return Err(MessageError::Entries("entries without a plan"));
        }
        if self
            .plan_index
            .iter()
            .any(|plan| *plan as usize >= self.plans.len())
        {
            return Err(MessageError::Entries("plan index out of range"));
        }
        let plan_values = self.plans.iter().flat_map(|plan| [plan.rate, plan.burst]);
        let entry_columns = [
            &self.waiting,
            &self.expected,
            &self.returned,
            &self.fallback_used,
        ];
        check_units(plan_values.chain(entry_columns.into_iter().flatten().copied()))
    }

    /// Adds an entry, and its plan if the report does not have it yet. Must not be called after
    /// [`Self::omit_zero_columns`], which empties columns.
    pub fn push(&mut self, entry: &ReportEntry) {
        let existing = self.plans.iter().position(|plan| *plan == entry.limits);
        let plan = existing.unwrap_or_else(|| {
            self.plans.push(entry.limits);
            self.plans.len() - 1
        });
        self.accounts.push(entry.account.0);
        self.plan_index.push(plan as u32);
        self.waiting.push(entry.waiting);
        self.expected.push(entry.expected);
        self.returned.push(entry.returned);
        self.returned_slot.push(entry.returned_slot);
        self.fallback_used.push(entry.fallback_used);
    }

    /// Empties the columns that hold only zeros, so that they are left out of the encoded message.
    pub fn omit_zero_columns(&mut self) {
        omit_if_zero(&mut self.plan_index);
        omit_if_zero(&mut self.waiting);
        omit_if_zero(&mut self.expected);
        omit_if_zero(&mut self.returned);
        omit_if_zero(&mut self.returned_slot);
        omit_if_zero(&mut self.fallback_used);
    }

    /// Returns the entries of a report that has passed [`check`](Self::check).
    pub fn entries(&self) -> impl Iterator<Item = ReportEntry> + '_ {
        self.accounts.iter().enumerate().map(|(index, account)| {
            let plan = value(&self.plan_index, index) as usize;
            ReportEntry {
                account: AccountKey(*account),
                limits: self.plans.get(plan).copied().unwrap_or_default(),
                waiting: value(&self.waiting, index),
                expected: value(&self.expected, index),
                returned: value(&self.returned, index),
                returned_slot: value(&self.returned_slot, index),
                fallback_used: value(&self.fallback_used, index),
            }
        })
    }
}
