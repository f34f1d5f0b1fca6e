//! Since when an allocator has owned an account without interruption.
//!
//! No other allocator has granted units of the account since then, so a bucket that was empty at that
//! time bounds what may be granted now.

use crate::decision::Micros;
use crate::quota_lease::message::AccountKey;
use crate::quota_lease::placement::{self, MAX_ALLOCATORS};

/// The leases of the allocators, by their fleet membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ownership {
    /// Bit set of the allocators whose accounts are reassigned to the others, by number.
    pub given_away: u64,
    /// End of the time for which `given_away` is valid.
    pub given_until: Micros,
    /// End of this allocator's own lease.
    pub until: Micros,
}

/// The latest ownership, and since when each lease and reassignment in it has been valid.
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

    /// Sets the ownership from now on. What had expired before begins anew.
    pub fn set(&mut self, now: Micros, ownership: Ownership) {
        if now >= self.current.until {
            self.lease_since = now;
        }
        let still_valid = if now < self.current.given_until {
            self.current.given_away
        } else {
            0
        };
        let started = ownership.given_away & !still_valid;
        for (number, since) in self.reassigned_since.iter_mut().enumerate() {
            if started >> number & 1 == 1 {
                *since = now;
            }
        }
        self.current = ownership;
    }

    /// Returns whether the allocator holds its own lease.
    pub fn serving(&self, now: Micros) -> bool {
        now < self.current.until
    }

    /// Returns the bit set of the allocators whose accounts are reassigned.
    pub fn reassigned(&self, now: Micros) -> u64 {
        if now < self.current.given_until {
            self.current.given_away
        } else {
            0
        }
    }

    /// Returns since when this allocator has owned the account; `None` if it does not.
    pub fn owned_since(&self, now: Micros, account: AccountKey) -> Option<Micros> {
        if !self.serving(now) {
            return None;
        }
        let reassigned = self.reassigned(now);
        let ahead = placement::ahead_of(account, self.allocators, self.number)?;
        let own = 1u64.checked_shl(self.number)?;
        if ahead & !reassigned != 0 || reassigned & own != 0 {
            return None;
        }
        let latest_reassignment = self
            .reassigned_since
            .iter()
            .enumerate()
            .filter(|(number, _)| ahead >> number & 1 == 1)
            .map(|(_, since)| *since)
            .max();
        latest_reassignment.max(Some(self.lease_since))
    }
}
