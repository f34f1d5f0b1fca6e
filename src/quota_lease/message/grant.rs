//! Grants: the answers of allocators to reports.

use super::columns::{check_columns, check_format, check_units, decode, omit_if_zero, value};
use super::{MessageError, MilliUnits};
use prost::Message;

/// Whether the units that an entry of a report requests were granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// The units that requests wait for are granted.
    Granted = 0,
    /// The account's bucket does not hold all units that requests wait for. Those that it holds are
    /// granted; the rest is not available before the time in `hold_off_ms` has passed.
    Exhausted = 1,
    /// This allocator does not own the account: another one does, or no allocator may grant its
    /// units now.
    NotOwner = 2,
}

/// Message from an allocator to a limiter that answers one report, with one entry for each entry of the
/// report, in the same order.
#[derive(Clone, PartialEq, Message)]
pub struct Grant {
    /// Version of the message format, [`FORMAT`](super::FORMAT).
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
    /// Sequence number of the report that is answered.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// Whether the allocator holds its own lease from the fleet of allocators. If not, `reassigned` is
    /// to be ignored and nothing is granted.
    #[prost(bool, tag = "6")]
    pub serving: bool,
    /// Bit set, by number, of the allocators whose accounts are reassigned to the other allocators.
    #[prost(uint64, tag = "7")]
    pub reassigned: u64,
    /// Number of the time slot in which the units are granted. Returned units carry this number.
    #[prost(uint64, tag = "8")]
    pub slot: u64,
    /// Duration of the lease in ms, from the time at which the report was first sent.
    #[prost(uint32, tag = "9")]
    pub lease_ms: u32,
    /// Number of entries.
    #[prost(uint32, tag = "10")]
    pub entries: u32,
    /// By entry: the [`Verdict`].
    #[prost(enumeration = "Verdict", repeated, tag = "11")]
    pub verdict: Vec<i32>,
    /// By entry: units that are granted.
    #[prost(uint64, repeated, tag = "12")]
    pub units: Vec<MilliUnits>,
    /// By entry: time in ms, from the arrival of the answer, for which the limiter is to request no
    /// units of the account; see [`Verdict::Exhausted`].
    #[prost(uint32, repeated, tag = "13")]
    pub hold_off_ms: Vec<u32>,
}

/// One entry of a grant: the result of one entry of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantEntry {
    /// Whether the requested units are granted.
    pub verdict: Verdict,
    /// Units that are granted.
    pub units: MilliUnits,
    /// With [`Verdict::Exhausted`]: time in ms for which the limiter is to request no units of the
    /// account.
    pub hold_off_ms: u32,
}

impl Grant {
    /// Decodes and checks a grant.
    ///
    /// # Errors
    ///
    /// If the bytes cannot be decoded or [`check`](Self::check) fails.
    pub fn read(bytes: &[u8]) -> Result<Self, MessageError> {
        let grant: Self = decode(bytes)?;
        grant.check()?;
        Ok(grant)
    }

    /// Checks that the columns have equal lengths and all values are in range.
    ///
    /// # Errors
    ///
    /// If the format is unsupported, columns have different lengths, a verdict is unknown, or a
    /// number of entries or units exceeds its maximum.
    pub fn check(&self) -> Result<(), MessageError> {
        check_format(self.format)?;
        let columns = [self.verdict.len(), self.units.len(), self.hold_off_ms.len()];
        check_columns(self.entries as usize, &columns)?;
        if self
            .verdict
            .iter()
            .any(|verdict| Verdict::try_from(*verdict).is_err())
        {
            return Err(MessageError::Entries("unknown verdict"));
        }
        check_units(self.units.iter().copied())
    }

    /// Adds an entry. Must not be called after [`Self::omit_zero_columns`], which empties columns.
    pub fn push(&mut self, entry: &GrantEntry) {
        self.entries += 1;
        self.verdict.push(entry.verdict as i32);
        self.units.push(entry.units);
        self.hold_off_ms.push(entry.hold_off_ms);
    }

    /// Empties the columns that hold only zeros, so that they are left out of the encoded message.
    pub fn omit_zero_columns(&mut self) {
        omit_if_zero(&mut self.verdict);
        omit_if_zero(&mut self.units);
        omit_if_zero(&mut self.hold_off_ms);
    }

    /// Returns the entries of a grant that has passed [`check`](Self::check).
    pub fn entries(&self) -> impl Iterator<Item = GrantEntry> + '_ {
        (0..self.entries as usize).map(|index| GrantEntry {
            verdict: Verdict::try_from(value(&self.verdict, index)).unwrap_or(Verdict::NotOwner),
            units: value(&self.units, index),
            hold_off_ms: value(&self.hold_off_ms, index),
        })
    }
}
