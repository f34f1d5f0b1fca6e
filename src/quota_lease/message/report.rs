//! Reports: what limiters send to allocators.

use super::columns::{check_columns, check_format, check_units, decode, omit_if_zero, value};
use super::{AccountKey, MessageError, MilliUnits, PlanLimits, MAX_PLANS};
use prost::Message;

/// From a limiter to an allocator: the accounts for which it requests or returns units.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// [`FORMAT`](super::FORMAT).
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// Number of the limiter.
    #[prost(uint32, tag = "2")]
    pub limiter: u32,
    /// Incarnation of the limiter: fixed at the start of its process, higher in a later one.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Sequence number of the limiter's reports to this allocator, from 1. A retry keeps its number.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Incarnation of the allocator as the limiter knows it; another incarnation grants nothing for the
    /// report. 0 addresses any, and such a report neither returns units nor reports use of the fallback
    /// share.
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
    pub plan: Vec<u32>,
    /// By entry: units for requests that wait for them.
    #[prost(uint64, repeated, tag = "9")]
    pub waiting: Vec<MilliUnits>,
    /// By entry: units for requests that are expected within a lease's lifetime.
    #[prost(uint64, repeated, tag = "10")]
    pub expected: Vec<MilliUnits>,
    /// By entry: units of an expired lease that were not used.
    #[prost(uint64, repeated, tag = "11")]
    pub returned: Vec<MilliUnits>,
    /// By entry: slot of the grant that the returned units came with.
    #[prost(uint64, repeated, tag = "12")]
    pub returned_slot: Vec<u64>,
    /// By entry: units that requests used of the fallback share.
    #[prost(uint64, repeated, tag = "13")]
    pub beyond: Vec<MilliUnits>,
}

/// One entry of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportEntry {
    /// The account.
    pub account: AccountKey,
    /// Its plan.
    pub limits: PlanLimits,
    /// Units for requests that wait.
    pub waiting: MilliUnits,
    /// Units for requests that are expected.
    pub expected: MilliUnits,
    /// Units that were not used.
    pub returned: MilliUnits,
    /// Slot in which they were granted.
    pub returned_slot: u64,
    /// Units that requests used of the fallback share.
    pub beyond: MilliUnits,
}

impl ReportEntry {
    /// Returns an entry that requests nothing.
    pub fn new(account: AccountKey, limits: PlanLimits) -> Self {
        Self {
            account,
            limits,
            waiting: 0,
            expected: 0,
            returned: 0,
            returned_slot: 0,
            beyond: 0,
        }
    }
}

impl Report {
    /// Decodes and checks a report.
    ///
    /// # Errors
    ///
    /// If it can't be decoded or [`check`](Self::check) fails.
    pub fn read(bytes: &[u8]) -> Result<Self, MessageError> {
        let report: Self = decode(bytes)?;
        report.check()?;
        Ok(report)
    }

    /// Checks that the entries fit together.
    ///
    /// # Errors
    ///
    /// If the format, the length of a column, the index of a plan or a number is out of range.
    pub fn check(&self) -> Result<(), MessageError> {
        check_format(self.format)?;
        let columns = [
            &self.waiting,
            &self.expected,
            &self.returned,
            &self.returned_slot,
            &self.beyond,
        ];
        check_columns(self.accounts.len(), &[self.plan.len()])?;
        check_columns(self.accounts.len(), &columns.map(Vec::len))?;
        if self.plans.len() > MAX_PLANS {
            return Err(MessageError::Entries("too many plans"));
        }
        if !self.accounts.is_empty() && self.plans.is_empty() {
            return Err(MessageError::Entries("no plan"));
        }
        if self
            .plan
            .iter()
            .any(|plan| *plan as usize >= self.plans.len())
        {
            return Err(MessageError::Entries("index of a plan"));
        }
        let plan_values = self.plans.iter().flat_map(|plan| [plan.rate, plan.burst]);
        let entry_columns = [&self.waiting, &self.expected, &self.returned, &self.beyond];
        check_units(plan_values.chain(entry_columns.into_iter().flatten().copied()))
    }

    /// Adds an entry. [`Self::leave_out_zeros`] must not have been called before.
    pub fn push(&mut self, entry: &ReportEntry) {
        let known = self.plans.iter().position(|plan| *plan == entry.limits);
        let plan = known.unwrap_or_else(|| {
            self.plans.push(entry.limits);
            self.plans.len() - 1
        });
        self.accounts.push(entry.account.0);
        self.plan.push(plan as u32);
        self.waiting.push(entry.waiting);
        self.expected.push(entry.expected);
        self.returned.push(entry.returned);
        self.returned_slot.push(entry.returned_slot);
        self.beyond.push(entry.beyond);
    }

    /// Leaves out the columns that hold only zeros.
    pub fn leave_out_zeros(&mut self) {
        omit_if_zero(&mut self.plan);
        omit_if_zero(&mut self.waiting);
        omit_if_zero(&mut self.expected);
        omit_if_zero(&mut self.returned);
        omit_if_zero(&mut self.returned_slot);
        omit_if_zero(&mut self.beyond);
    }

    /// Returns the entries of a report that was checked.
    pub fn entries(&self) -> impl Iterator<Item = ReportEntry> + '_ {
        self.accounts.iter().enumerate().map(|(index, account)| {
            let plan = value(&self.plan, index) as usize;
            ReportEntry {
                account: AccountKey(*account),
                limits: self.plans.get(plan).copied().unwrap_or_default(),
                waiting: value(&self.waiting, index),
                expected: value(&self.expected, index),
                returned: value(&self.returned, index),
                returned_slot: value(&self.returned_slot, index),
                beyond: value(&self.beyond, index),
            }
        })
    }
}
