//! Messages between limiters and allocators.
//!
//! Entries of a message are columns of equal length: protocol buffers pack a column of numbers without a tag for each.

use prost::Message;
use thiserror::Error;

/// Version of the message format.
pub const FORMAT: u32 = 1;
/// Entries of one report at most; what does not fit goes with the next report.
pub const MAX_ENTRIES: usize = 4_096;
/// Encoded size of a message in bytes at most.
pub const MAX_BYTES: usize = 256 * 1_024;

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
        Self(first.iter().fold(0, |key, byte| key << u8::BITS | u64::from(*byte)))
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
    /// Incarnation of the allocator that granted what is returned here; 0 if nothing is returned.
    #[prost(uint64, tag = "5")]
    pub granted_by: u64,
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
    /// By entry: units used by the fallback part while no allocator answered.
    #[prost(uint64, repeated, tag = "12")]
    pub beyond: Vec<MilliUnits>,
}

/// What became of one entry of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// The units are leased.
    Granted = 0,
    /// The bucket is empty: the account has no units before the time in `lifetime_ms` has passed.
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
    /// Allocators that are given away as this one knows, a bit each by number.
    #[prost(uint64, tag = "6")]
    pub given_away: u64,
    /// By entry: a [`Verdict`].
    #[prost(enumeration = "Verdict", repeated, tag = "7")]
    pub verdict: Vec<i32>,
    /// By entry: units that are leased.
    #[prost(uint64, repeated, tag = "8")]
    pub units: Vec<MilliUnits>,
    /// By entry: milliseconds from the arrival of the answer; see [`Verdict`].
    #[prost(uint32, repeated, tag = "9")]
    pub lifetime_ms: Vec<u32>,
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
    /// More than [`MAX_ENTRIES`] entries, columns of different lengths, or an index that is out of range.
    #[error("entries of the message don't fit together: {0}")]
    Entries(&'static str),
    /// The sender is not a configured member.
    #[error("unknown sender {0}")]
    UnknownSender(u32),
}

impl Report {
    /// Reads a report and checks that its entries fit together.
    pub fn read(bytes: &[u8]) -> Result<Self, MessageError> {
        let report: Self = decode(bytes)?;
        check_format(report.format)?;
        let columns =
            [report.waiting.len(), report.expected.len(), report.returned.len(), report.beyond.len()];
        check_columns(report.accounts.len(), &[report.plan.len()])?;
        check_columns(report.accounts.len(), &columns)?;
        if report.plan.iter().any(|plan| *plan as usize >= report.plans.len()) {
            return Err(MessageError::Entries("index of a plan"));
        }
        Ok(report)
    }
}

impl Grant {
    /// Reads an answer and checks that its entries fit together.
    pub fn read(bytes: &[u8]) -> Result<Self, MessageError> {
        let grant: Self = decode(bytes)?;
        check_format(grant.format)?;
        check_columns(grant.verdict.len(), &[grant.units.len(), grant.lifetime_ms.len()])?;
        if grant.verdict.iter().any(|verdict| Verdict::try_from(*verdict).is_err()) {
            return Err(MessageError::Entries("verdict"));
        }
        Ok(grant)
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
    if columns.iter().any(|length| *length != entries) {
        return Err(MessageError::Entries("columns of different lengths"));
    }
    Ok(())
}
