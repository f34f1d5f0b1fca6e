//! Messages between limiters and allocators.
//!
//! The entries of a message are encoded as columns of equal length, because protocol buffers pack a
//! column of numbers without a tag for each number. A column that holds only zeros may be
//! left out.

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
/// Maximum number of entries in one report. Further entries go into the next report.
pub const MAX_ENTRIES: usize = 1_024;
/// Maximum length of an encoded message, in bytes.
pub const MAX_BYTES: usize = 256 * 1_024;
/// Maximum number of plans in one report.
pub const MAX_PLANS: usize = 256;
/// Maximum of each number of units, rate and burst in a message, low enough that sums over a whole
/// message cannot overflow.
pub const MAX_UNITS: MilliUnits = 1_000_000_000_000_000;

/// Quota units in thousandths of a unit.
pub type MilliUnits = u64;

/// Identifies an account in messages and in placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountKey(pub u64);

impl AccountKey {
    /// Returns the key of the account with this name: the first eight bytes of the name's BLAKE3
    /// hash as a big-endian integer. Every limiter computes the same key.
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
    /// Thousandths of a unit per second.
    #[prost(uint64, tag = "1")]
    pub rate: MilliUnits,
    /// Capacity of the token bucket in thousandths of a unit.
    #[prost(uint64, tag = "2")]
    pub burst: MilliUnits,
}
