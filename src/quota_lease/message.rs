//! Messages between limiters and allocators.
//!
//! Entries of a message are columns of equal length: protocol buffers pack a column of numbers without a tag for each. A
//! column that holds only zeros may be left out.

use prost::Message;
use thiserror::Error;

/// Version of the message format.
pub const FORMAT: u32 = 1;
/// Entries of one report at most; what does not fit goes with the next report.
pub const MAX_ENTRIES: usize = 1_024;
/// Encoded size of a message in bytes at most.
pub const MAX_BYTES: usize = 256 * 1_024;
/// Plans of one report at most.
pub const MAX_PLANS: usize = 256;
/// The largest number of units, rate or burst in a message: sums over a whole message stay far from overflow.
pub const MAX_UNITS: MilliUnits = 1_000_000_000_000_000;

/// Units of a quota in thousandths.
pub type MilliUnits = u64;

/// Names an account in messages and in placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey(pub u64);

impl AccountKey {
    /// The key of the account with this name, the same at every limiter.
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let (first, _) = hash.as_bytes().split_at(size_of::<u64>());
        Self(
            first
                .iter()
                .fold(0, |key, byte| key << u8::BITS | u64::from(*byte)),
        )
    }
}

/// Rate and burst of one plan, as the sending limiter's configuration has them.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PlanLimits {
    /// Thousandths of a unit a second.
    #[prost(uint64, tag = "1")]
    pub rate: MilliUnits,
    /// Thousandths of a unit that the bucket holds at most.
    #[prost(uint64, tag = "2")]
    pub burst: MilliUnits,
}

/// From a limiter to an allocator: all accounts for which it wants or returns units.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// [`FORMAT`].
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// Number of the limiter.
    #[prost(uint32, tag = "2")]
    pub limiter: u32,
    /// Drawn at the start of the limiter's process; a later process has a higher one.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Counts the limiter's reports to this allocator, from 1. A report that is sent again keeps its number.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// Incarnation of the allocator as the limiter knows it. Another one carries nothing of the report out; 0 is for any, and
    /// nothing is returned or told of use beyond then.
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
    /// By entry: units used by the fallback part while no allocator answered.
    #[prost(uint64, repeated, tag = "13")]
    pub beyond: Vec<MilliUnits>,
}

/// What became of one entry of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// The units are leased.
    Granted = 0,
    /// The bucket does not hold what requests wait for. What it does hold is leased; the rest is not worth asking for
    /// before the time in `hold_off_ms` has passed.
    Exhausted = 1,
    /// The account belongs to another allocator, or nobody may grant for it now.
    NotOwner = 2,
}

/// From an allocator to a limiter: the answer to one report, entry by entry in its order.
#[derive(Clone, PartialEq, Message)]
pub struct Grant {
    /// [`FORMAT`].
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// Number of the allocator.
    #[prost(uint32, tag = "2")]
    pub allocator: u32,
    /// Incarnation of the allocator.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Incarnation of the limiter whose report is answered.
    #[prost(uint64, tag = "4")]
    pub limiter_incarnation: u64,
    /// Number of the report that is answered.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// The allocator holds its own lease. If not, nothing else of it is to be believed.
    #[prost(bool, tag = "6")]
    pub serving: bool,
    /// Allocators that are given away as this one knows, a bit each by number.
    #[prost(uint64, tag = "7")]
    pub given_away: u64,
    /// Slot of time in which the units are granted; told with units that are returned.
    #[prost(uint64, tag = "8")]
    pub slot: u64,
    /// The units may be used for so many milliseconds from the first sending of the report.
    #[prost(uint32, tag = "9")]
    pub lease_ms: u32,
    /// Number of entries.
    #[prost(uint32, tag = "10")]
    pub entries: u32,
    /// By entry: a [`Verdict`].
    #[prost(enumeration = "Verdict", repeated, tag = "11")]
    pub verdict: Vec<i32>,
    /// By entry: units that are leased.
    #[prost(uint64, repeated, tag = "12")]
    pub units: Vec<MilliUnits>,
    /// By entry: milliseconds from the arrival of the answer; see [`Verdict::Exhausted`].
    #[prost(uint32, repeated, tag = "13")]
    pub hold_off_ms: Vec<u32>,
}

/// Why a message is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Longer than [`MAX_BYTES`].
    #[error("message of {0} bytes, {MAX_BYTES} at most")]
    TooLong(usize),
    /// Not a protocol buffer of this shape, or cut short.
    #[error("message can't be read: {0}")]
    Malformed(String),
    /// Another version of the format.
    #[error("message of format {0}, wanted {FORMAT}")]
    Format(u32),
    /// Too many entries, columns of different lengths, or an index or number that is out of range.
    #[error("entries of the message don't fit together: {0}")]
    Entries(&'static str),
    /// The sender is not a configured member.
    #[error("unknown sender {0}")]
    UnknownSender(u32),
    /// Older than what was heard of this sender before, or not the answer to what was asked last.
    #[error("outdated message with sequence {0}")]
    Outdated(u64),
}

/// How many messages were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// [`MessageError::TooLong`].
    pub too_long: u64,
    /// [`MessageError::Malformed`].
    pub malformed: u64,
    /// [`MessageError::Format`].
    pub format: u64,
    /// [`MessageError::Entries`].
    pub entries: u64,
    /// [`MessageError::UnknownSender`].
    pub unknown_sender: u64,
    /// [`MessageError::Outdated`].
    pub outdated: u64,
}

impl Dropped {
    /// Counts one more message.
    pub fn count(&mut self, reason: &MessageError) {
        let counter = match reason {
            MessageError::TooLong(_) => &mut self.too_long,
            MessageError::Malformed(_) => &mut self.malformed,
            MessageError::Format(_) => &mut self.format,
            MessageError::Entries(_) => &mut self.entries,
            MessageError::UnknownSender(_) => &mut self.unknown_sender,
            MessageError::Outdated(_) => &mut self.outdated,
        };
        *counter = counter.saturating_add(1);
    }
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
    /// Units used by the fallback part.
    pub beyond: MilliUnits,
}

impl ReportEntry {
    /// An entry that asks for nothing.
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
    /// Reads a report and checks that its entries fit together.
    pub fn read(bytes: &[u8]) -> Result<Self, MessageError> {
        let report: Self = decode(bytes)?;
        report.check()?;
        Ok(report)
    }

    /// Do its entries fit together?
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
        let of_plans = self.plans.iter().flat_map(|plan| [plan.rate, plan.burst]);
        let of_entries = [&self.waiting, &self.expected, &self.returned, &self.beyond];
        check_units(of_plans.chain(of_entries.into_iter().flatten().copied()))
    }

    /// Adds an entry; the columns are complete until [`Self::leave_out_zeros`].
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
        leave_out(&mut self.plan);
        leave_out(&mut self.waiting);
        leave_out(&mut self.expected);
        leave_out(&mut self.returned);
        leave_out(&mut self.returned_slot);
        leave_out(&mut self.beyond);
    }

    /// The entries of a report that was checked.
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

/// What became of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantEntry {
    /// Granted, exhausted or not the owner.
    pub verdict: Verdict,
    /// Units that are leased.
    pub units: MilliUnits,
    /// With [`Verdict::Exhausted`]: time to wait before the account is asked for again.
    pub hold_off_ms: u32,
}

impl Grant {
    /// Reads an answer and checks that its entries fit together.
    pub fn read(bytes: &[u8]) -> Result<Self, MessageError> {
        let grant: Self = decode(bytes)?;
        grant.check()?;
        Ok(grant)
    }

    /// Do its entries fit together?
    pub fn check(&self) -> Result<(), MessageError> {
        check_format(self.format)?;
        let columns = [self.verdict.len(), self.units.len(), self.hold_off_ms.len()];
        check_columns(self.entries as usize, &columns)?;
        if self
            .verdict
            .iter()
            .any(|verdict| Verdict::try_from(*verdict).is_err())
        {
            return Err(MessageError::Entries("verdict"));
        }
        check_units(self.units.iter().copied())
    }

    /// Adds an entry; the columns are complete until [`Self::leave_out_zeros`].
    pub fn push(&mut self, entry: &GrantEntry) {
        self.entries += 1;
        self.verdict.push(entry.verdict as i32);
        self.units.push(entry.units);
        self.hold_off_ms.push(entry.hold_off_ms);
    }

    /// Leaves out the columns that hold only zeros.
    pub fn leave_out_zeros(&mut self) {
        leave_out(&mut self.verdict);
        leave_out(&mut self.units);
        leave_out(&mut self.hold_off_ms);
    }

    /// The entries of an answer that was checked.
    pub fn entries(&self) -> impl Iterator<Item = GrantEntry> + '_ {
        (0..self.entries as usize).map(|index| GrantEntry {
            verdict: Verdict::try_from(value(&self.verdict, index)).unwrap_or(Verdict::NotOwner),
            units: value(&self.units, index),
            hold_off_ms: value(&self.hold_off_ms, index),
        })
    }
}

/// The value of an entry; zero in a column that is left out.
fn value<T: Copy + Default>(column: &[T], index: usize) -> T {
    column.get(index).copied().unwrap_or_default()
}

fn leave_out<T: Default + PartialEq>(column: &mut Vec<T>) {
    if column.iter().all(|value| *value == T::default()) {
        column.clear();
    }
}

fn decode<M: Message + Default>(bytes: &[u8]) -> Result<M, MessageError> {
    if bytes.len() > MAX_BYTES {
        return Err(MessageError::TooLong(bytes.len()));
    }
    M::decode(bytes).map_err(|fault| MessageError::Malformed(fault.to_string()))
}

fn check_format(format: u32) -> Result<(), MessageError> {
    match format {
        FORMAT => Ok(()),
        other => Err(MessageError::Format(other)),
    }
}

fn check_columns(entries: usize, columns: &[usize]) -> Result<(), MessageError> {
    if entries > MAX_ENTRIES {
        return Err(MessageError::Entries("too many"));
    }
    if columns
        .iter()
        .any(|length| *length != entries && *length != 0)
    {
        return Err(MessageError::Entries("columns of different lengths"));
    }
    Ok(())
}

fn check_units(mut units: impl Iterator<Item = MilliUnits>) -> Result<(), MessageError> {
    match units.any(|units| units > MAX_UNITS) {
        true => Err(MessageError::Entries("too many units")),
        false => Ok(()),
    }
}
