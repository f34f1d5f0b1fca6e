//! Determines since when an allocator has owned an account without interruption.
//!
//! No other allocator has granted units of the account since then. A bucket that was empty at that time
//! therefore bounds what may be granted now.

use crate::decision::Micros;
use crate::quota_lease::message::AccountKey;
use crate::quota_lease::placement::{self, MAX_ALLOCATORS};

/// State of the allocators' leases, as determined by the membership of their fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ownership {
    /// Bit set, by number, of the allocators whose accounts are reassigned to the other allocators.
    pub reassigned: u64,
    /// Time until which `reassigned` is valid.
    pub reassigned_until: Micros,
    /// End of this allocator's own lease.
    pub lease_ends: Micros,
}

/// The latest [`Ownership`], and since when the lease and each reassignment in it have been valid
/// without interruption.
#[derive(Clone, Debug)]
pub struct OwnershipHistory {
    number: u32,
    allocators: u32,
    current: Ownership,
    lease_since: Micros,
    reassigned_since: [Micros; MAX_ALLOCATORS as usize],
}

impl OwnershipHistory {
    /// Returns the history of an allocator that holds no lease yet.
    pub fn new(number: u32, allocators: u32) -> Self {
        Self {
            number,
            allocators,
            current: Ownership::default(),
            lease_since: 0,
            reassigned_since: [0; MAX_ALLOCATORS as usize],
        }
    }

    /// Sets the ownership from `now` on. If the lease or a reassignment had expired before `now`, it is
    /// valid only since `now`.
    pub fn set(&mut self, now: Micros, ownership: Ownership) {
        if now >= self.current.lease_ends {
            self.lease_since = now;
        }
        let still_valid = if now < self.current.reassigned_until {
            self.current.reassigned
        } else {
            0
        };
        let started = ownership.reassigned & !still_valid;
        for (number, since) in self.reassigned_since.iter_mut().enumerate() {
            if started >> number & 1 == 1 {
                *since = now;
            }
        }
        self.current = ownership;
    }

    /// Returns whether the allocator holds its own lease.
    pub fn is_serving(&self, now: Micros) -> bool {
        now < self.current.lease_ends
    }

    /// Returns the bit set of the allocators whose accounts are reassigned; empty after it has expired.
    pub fn reassigned(&self, now: Micros) -> u64 {
        if now < self.current.reassigned_until {
            self.current.reassigned
        } else {
            0
        }
    }

    /// Returns since when this allocator has owned the account; `None` if it does not own it. It
    /// owns an account while it holds its own lease, its own accounts are not reassigned, and those
    /// of all allocators with a higher weight for the account are.
    pub fn owned_since(&self, now: Micros, account: AccountKey) -> Option<Micros> {
        if !self.is_serving(now) {
            return None;
        }
        let reassigned = self.reassigned(now);
        let ranked_higher = placement::ahead_of(account, self.allocators, self.number)?;
        let own_bit = 1u64.checked_shl(self.number)?;
        if ranked_higher & !reassigned != 0 || reassigned & own_bit != 0 {
            return None;
        }
        let latest_reassignment = self
            .reassigned_since
            .iter()
            .enumerate()
            .filter(|(number, _)| ranked_higher >> number & 1 == 1)
            .map(|(_, since)| *since)
            .max();
        latest_reassignment.max(Some(self.lease_since))
    }
}
