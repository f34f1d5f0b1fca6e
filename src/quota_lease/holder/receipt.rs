//! Receipts: records of the units that a request has taken, with which unused units can be put back.

use crate::decision::Micros;
use crate::quota_lease::message::{AccountKey, MilliUnits};

/// Identifies the grant that created a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseOrigin {
    /// Number of the allocator that granted the lease.
    pub(super) allocator: u32,
    /// Incarnation of the allocator.
    pub(super) incarnation: u64,
    /// The allocator's time slot in which the units were granted.
    pub(super) slot: u64,
    /// End of the lease.
    pub(super) expires: Micros,
}

/// Record of the units that one request has taken.
#[derive(Debug, PartialEq, Eq)]
pub struct Receipt {
    pub(super) account: AccountKey,
    pub(super) parts: Vec<ReceiptPart>,
}

/// Units that were taken from one lease, or from the fallback share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReceiptPart {
    /// Grant of the lease; `None` for the fallback share.
    pub(super) origin: Option<LeaseOrigin>,
    pub(super) units: MilliUnits,
}

impl Receipt {
    /// Returns the account whose units were taken.
    pub fn account(&self) -> AccountKey {
        self.account
    }

    /// Returns the units that were taken from leases.
    pub fn leased(&self) -> MilliUnits {
        self.units(|part| part.origin.is_some())
    }

    /// Returns the units that were taken from the fallback share, which no allocator has granted.
    pub fn fallback(&self) -> MilliUnits {
        self.units(|part| part.origin.is_none())
    }

    fn units(&self, included: impl Fn(&ReceiptPart) -> bool) -> MilliUnits {
        self.parts
            .iter()
            .filter(|part| included(part))
            .map(|part| part.units)
            .sum()
    }
}
