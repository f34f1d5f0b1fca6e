//! Grants: what allocators answer to reports.

use super::columns::{check_columns, check_format, check_units, decode, omit_if_zero, value};
use super::{MessageError, MilliUnits};
use prost::Message;

/// Result of one entry of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// The units are leased.
    Granted = 0,
    /// The bucket does not hold the units that requests wait for. What it does hold is leased; the rest
    /// is not available before the time in `hold_off_ms` has passed.
    Exhausted = 1,
    /// The account belongs to another allocator, or no allocator may grant for it now.
    NotOwner = 2,
}

/// From an allocator to a limiter: the answer to one report, entry by entry in its order.
#[derive(Clone, PartialEq, Message)]
pub struct Grant {
    /// [`FORMAT`](super::FORMAT).
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
    /// The allocator holds its own lease. Otherwise the rest of the answer is invalid.
    #[prost(bool, tag = "6")]
    pub serving: bool,
    /// Bit set of the allocators whose accounts are reassigned to the others, by number.
    #[prost(uint64, tag = "7")]
    pub given_away: u64,
    /// Time slot in which the units are granted; units are returned with its number.
    #[prost(uint64, tag = "8")]
    pub slot: u64,
    /// Duration of the lease in ms, from the first sending of the report.
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
    /// By entry: ms from the arrival of the answer; see [`Verdict::Exhausted`].
    #[prost(uint32, repeated, tag = "13")]
    pub hold_off_ms: Vec<u32>,
}

/// Result of one entry of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantEntry {
    /// Granted, exhausted or not the owner.
    pub verdict: Verdict,
    /// Units that are leased.
    pub units: MilliUnits,
    /// With [`Verdict::Exhausted`]: time in ms before the next request for the account.
    pub hold_off_ms: u32,
}

impl Grant {
    /// Decodes and checks an answer.
    ///
    /// # Errors
    ///
    /// If it can't be decoded or [`check`](Self::check) fails.
    pub fn read(bytes: &[u8]) -> Result<Self, MessageError> {
        let grant: Self = decode(bytes)?;
        grant.check()?;
        Ok(grant)
    }

    /// Checks that the entries fit together.
    ///
    /// # Errors
    ///
    /// If the format, the length of a column, a verdict or a number is out of range.
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

    /// Adds an entry. [`Self::leave_out_zeros`] must not have been called before.
    pub fn push(&mut self, entry: &GrantEntry) {
        self.entries += 1;
        self.verdict.push(entry.verdict as i32);
        self.units.push(entry.units);
        self.hold_off_ms.push(entry.hold_off_ms);
    }

    /// Leaves out the columns that hold only zeros.
    pub fn leave_out_zeros(&mut self) {
        omit_if_zero(&mut self.verdict);
        omit_if_zero(&mut self.units);
        omit_if_zero(&mut self.hold_off_ms);
    }

    /// Returns the entries of an answer that was checked.
    pub fn entries(&self) -> impl Iterator<Item = GrantEntry> + '_ {
        (0..self.entries as usize).map(|index| GrantEntry {
            verdict: Verdict::try_from(value(&self.verdict, index)).unwrap_or(Verdict::NotOwner),
            units: value(&self.units, index),
            hold_off_ms: value(&self.hold_off_ms, index),
        })
    }
}
