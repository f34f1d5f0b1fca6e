//! The leases of one account.

use super::receipt::{LeaseOrigin, ReceiptPart};
use crate::decision::Micros;
use crate::quota_lease::message::MilliUnits;

/// The most leases of one account.
const MAX_LEASES: usize = 4;
/// Unused units of an expired lease are returned within one over this of a lease duration. The
/// allocator rejects later returns.
const RETURN_FRACTION: Micros = 4;
/// A lease is used up early if more than one over this of its duration is left.
const EARLY_FRACTION: Micros = 2;

#[derive(Clone, Debug)]
struct Lease {
    origin: LeaseOrigin,
    /// Units that are not used.
    units: MilliUnits,
    /// Units granted.
    granted: MilliUnits,
}

impl Lease {
    fn is_expired(&self, now: Micros) -> bool {
        now >= self.origin.expires
    }
}

/// Units taken from leases.
#[derive(Debug)]
pub(super) struct TakenUnits {
    pub(super) parts: Vec<ReceiptPart>,
    /// One of the leases was used up long before its end.
    pub(super) used_up_early: bool,
}

/// Units to be returned to the allocator that granted them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReturnedUnits {
    pub(super) units: MilliUnits,
    /// The allocator's time slot of the grant.
    pub(super) slot: u64,
}

/// What was left of expired leases.
#[derive(Debug)]
pub(super) struct ExpiredLeases {
    pub(super) returned: Vec<ReturnedUnits>,
    /// More than half of the units of one of the leases were not used.
    pub(super) mostly_unused: bool,
}

/// The leases of one account, a few at most.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaseSet {
    leases: Vec<Lease>,
}

impl LeaseSet {
    /// Returns the units of leases that have not expired.
    pub(super) fn units(&self, now: Micros) -> MilliUnits {
        self.leases
            .iter()
            .filter(|lease| !lease.is_expired(now))
            .map(|lease| lease.units)
            .sum()
    }

    /// Takes units from leases, first from those that expire first; `None` if they do not hold as many.
    pub(super) fn take(
        &mut self,
        now: Micros,
        units: MilliUnits,
        lease_duration: Micros,
    ) -> Option<TakenUnits> {
        if self.units(now) < units {
            return None;
        }
        let mut parts = Vec::new();
        let mut missing = units;
        let mut used_up_early = false;
        self.leases.sort_by_key(|lease| lease.origin.expires);
        for lease in &mut self.leases {
            if missing == 0 {
                break;
            }
            if lease.is_expired(now) || lease.units == 0 {
                continue;
            }
            let taken = missing.min(lease.units);
            lease.units -= taken;
            missing -= taken;
            parts.push(ReceiptPart {
                origin: Some(lease.origin),
                units: taken,
            });
            let remaining_time = lease.origin.expires - now;
            used_up_early |= lease.units == 0 && remaining_time > lease_duration / EARLY_FRACTION;
        }
        Some(TakenUnits {
            parts,
            used_up_early,
        })
    }

    /// Puts units back into the lease that they were taken from. If it is no longer there, they are
    /// added as one, and returned to the allocator if it has expired.
    pub(super) fn put_back(&mut self, origin: LeaseOrigin, units: MilliUnits) {
        match self.leases.iter_mut().find(|lease| lease.origin == origin) {
            Some(lease) => lease.units = lease.units.saturating_add(units),
            None => self.add(origin, units),
        }
    }

    /// Adds granted units. If there are too many leases, they join the last one of the same allocator
    /// process that expires no later, or replace the lease that expires first.
    pub(super) fn add(&mut self, origin: LeaseOrigin, units: MilliUnits) {
        let lease = Lease {
            origin,
            units,
            granted: units,
        };
        if self.leases.len() < MAX_LEASES {
            self.leases.push(lease);
            return;
        }
        self.leases.sort_by_key(|lease| lease.origin.expires);
        let joinable = |other: &&mut Lease| {
            other.origin.allocator == origin.allocator
                && other.origin.incarnation == origin.incarnation
                && other.origin.expires <= origin.expires
        };
        match self.leases.iter_mut().rev().find(joinable) {
            Some(last) => {
                last.units = last.units.saturating_add(units);
                last.granted = last.granted.saturating_add(units);
            }
            None => self.leases[0] = lease,
        }
    }

    /// Removes leases that are used up, and those that expired too long ago to be returned.
    pub(super) fn remove_finished(&mut self, now: Micros, lease_duration: Micros) {
        let return_time = lease_duration / RETURN_FRACTION;
        self.leases.retain(|lease| {
            lease.units > 0 && now < lease.origin.expires.saturating_add(return_time)
        });
    }

    /// Returns whether an expired lease has unused units.
    pub(super) fn has_expired(&self, now: Micros) -> bool {
        self.leases
            .iter()
            .any(|lease| lease.units > 0 && lease.is_expired(now))
    }

    /// Returns whether no lease has unused units.
    pub(super) fn is_used_up(&self) -> bool {
        self.leases.iter().all(|lease| lease.units == 0)
    }

    /// Removes the expired leases and returns the unused units that this process of the allocator
    /// granted. Those that another one granted are lost.
    pub(super) fn take_expired(
        &mut self,
        now: Micros,
        allocator: u32,
        incarnation: u64,
    ) -> ExpiredLeases {
        let (expired, valid): (Vec<_>, Vec<_>) = std::mem::take(&mut self.leases)
            .into_iter()
            .partition(|lease| lease.is_expired(now));
        self.leases = valid;
        let mostly_unused = expired.iter().any(|lease| lease.units > lease.granted / 2);
        let returned = expired
            .iter()
            .filter(|lease| lease.units > 0)
            .map(|lease| (lease, lease.origin))
            .filter(|(_, origin)| origin.allocator == allocator)
            .filter(|(_, origin)| origin.incarnation == incarnation)
            .map(|(lease, origin)| ReturnedUnits {
                units: lease.units,
                slot: origin.slot,
            })
            .collect();
        ExpiredLeases {
            returned,
            mostly_unused,
        }
    }

    /// Returns the next time at which a lease is to be renewed, `renewal_time` before its end, or to be
    /// returned, or can't be returned any more; `None` without unused units.
    pub(super) fn next_deadline(
        &self,
        now: Micros,
        renewal_time: Micros,
        lease_duration: Micros,
    ) -> Option<Micros> {
        let deadline = |lease: &Lease| {
            let expires = lease.origin.expires;
            let deadlines = [
                expires.saturating_sub(renewal_time),
                expires,
                expires + lease_duration / RETURN_FRACTION,
            ];
            deadlines.into_iter().find(|deadline| *deadline > now)
        };
        self.leases
            .iter()
            .filter(|lease| lease.units > 0)
            .filter_map(deadline)
            .min()
    }

    /// Returns the bytes on the heap.
    pub(super) fn heap_bytes(&self) -> usize {
        self.leases.capacity() * size_of::<Lease>()
    }
}
