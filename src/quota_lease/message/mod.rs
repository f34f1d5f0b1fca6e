//! Messages between limiters and allocators.
//!
//! Entries of a message are columns of equal length, as protocol buffers pack a column of numbers
//! without a tag for each. A column that holds only zeros may be left out.

mod columns;
mod error;
mod grant;
mod report;

use prost::Message;

pub use error::{DroppedMessages, MessageError};
pub use grant::{Grant, GrantEntry, Verdict};
pub use report::{Report, ReportEntry};

/// Version of the message format.
pub const FORMAT: u32 = 1;
/// The most entries of one report. Further ones go with the next report.
pub const MAX_ENTRIES: usize = 1_024;
/// The longest encoded message, in bytes.
pub const MAX_BYTES: usize = 256 * 1_024;
/// The most plans of one report.
pub const MAX_PLANS: usize = 256;
/// The largest number of units, rate or burst in a message. Sums over a whole message stay far from
/// overflow.
pub const MAX_UNITS: MilliUnits = 1_000_000_000_000_000;

/// Units of a quota in thousandths.
pub type MilliUnits = u64;

/// Identifies an account in messages and in placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey(pub u64);

impl AccountKey {
    /// Returns the key of the account with this name, the same at every limiter: the first eight bytes
    /// of its BLAKE3 hash, big endian.
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let mut key = [0; size_of::<u64>()];
        key.copy_from_slice(&hash.as_bytes()[..size_of::<u64>()]);
        Self(u64::from_be_bytes(key))
    }
}

/// Rate and burst of one plan in the sending limiter's configuration.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PlanLimits {
    /// Thousandths of a unit a second.
    #[prost(uint64, tag = "1")]
    pub rate: MilliUnits,
    /// Capacity of the token bucket in thousandths of a unit.
    #[prost(uint64, tag = "2")]
    pub burst: MilliUnits,
}
