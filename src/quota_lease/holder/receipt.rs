//! Receipts: which units a request has taken, so that unused ones can be put back.

use crate::decision::Micros;
use crate::quota_lease::message::{AccountKey, MilliUnits};

/// The grant that units came with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseOrigin {
    pub(super) allocator: u32,
    /// Incarnation of the allocator.
    pub(super) incarnation: u64,
    /// The allocator's time slot.
    pub(super) slot: u64,
    /// End of the lease.
    pub(super) expires: Micros,
}

/// Units that one request has taken.
#[derive(Debug, PartialEq, Eq)]
pub struct Receipt {
    pub(super) account: AccountKey,
    pub(super) parts: Vec<ReceiptPart>,
}

/// Units of one lease, or of the fallback share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReceiptPart {
    /// The grant of the lease; `None` for the fallback share.
    pub(super) origin: Option<LeaseOrigin>,
    pub(super) units: MilliUnits,
}

impl Receipt {
    /// Returns the account whose units were taken.
    pub fn account(&self) -> AccountKey {
        self.account
    }

    /// Returns the units of leases.
    pub fn leased(&self) -> MilliUnits {
        self.units(|part| part.origin.is_some())
    }

    /// Returns the units of the fallback share, which no allocator has granted.
    pub fn beyond(&self) -> MilliUnits {
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
