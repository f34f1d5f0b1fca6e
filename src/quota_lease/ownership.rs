//! Since when an allocator has owned an account without a break.
//!
//! What it has not granted since then nobody has, so a bucket that was empty at that time bounds what may be granted now.

use super::message::AccountKey;
use super::placement::{self, MAX_ALLOCATORS};
use crate::decision::Micros;

/// What an allocator may count on, as its fleet's leases tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ownership {
    /// Allocators whose accounts are given away to the others, a bit each by number.
    pub given_away: u64,
    /// That is true to this time.
    pub given_until: Micros,
    /// This allocator's own lease lasts to this time.
    pub until: Micros,
}

/// The ownership that was told last, and since when each part of it has been true.
#[derive(Clone, Debug)]
pub struct OwnershipHistory {
    number: u32,
    allocators: u32,
    current: Ownership,
    lease_since: Micros,
    given_since: [Micros; MAX_ALLOCATORS as usize],
}

impl OwnershipHistory {
    /// Of the allocator with this number; it holds no lease yet.
    pub fn new(number: u32, allocators: u32) -> Self {
        let given_since = [0; MAX_ALLOCATORS as usize];
        Self {
            number,
            allocators,
            current: Ownership::default(),
            lease_since: 0,
            given_since,
        }
    }

    /// Takes what is true from now on. What had run out before begins anew.
    pub fn set(&mut self, now: Micros, ownership: Ownership) {
        if now >= self.current.until {
            self.lease_since = now;
        }
        let still = if now < self.current.given_until {
            self.current.given_away
        } else {
            0
        };
        let begun = ownership.given_away & !still;
        for (number, since) in self.given_since.iter_mut().enumerate() {
            if begun >> number & 1 == 1 {
                *since = now;
            }
        }
        self.current = ownership;
    }

    /// Does the allocator hold its own lease?
    pub fn serving(&self, now: Micros) -> bool {
        now < self.current.until
    }

    /// Whose accounts are given away.
    pub fn given_away(&self, now: Micros) -> u64 {
        if now < self.current.given_until {
            self.current.given_away
        } else {
            0
        }
    }

    /// Since when this allocator has owned the account; none if it does not.
    pub fn owned_since(&self, now: Micros, account: AccountKey) -> Option<Micros> {
        if !self.serving(now) {
            return None;
        }
        let given_away = self.given_away(now);
        let before = placement::ahead_of(account, self.allocators, self.number)?;
        let own = 1u64.checked_shl(self.number)?;
        if before & !given_away != 0 || given_away & own != 0 {
            return None;
        }
        let given = self
            .given_since
            .iter()
            .enumerate()
            .filter(|(number, _)| before >> number & 1 == 1);
        given
            .map(|(_, since)| *since)
            .max()
            .max(Some(self.lease_since))
    }
}
