//! The leases that a holder has for one account.

use super::receipt::{LeaseOrigin, ReceiptPart};
use crate::decision::Micros;
use crate::quota_lease::message::MilliUnits;

/// Maximum number of leases of one account.
const MAX_LEASES: usize = 4;
/// Divisor of a lease's duration. Unused units are returned within the quotient after the end of a
/// lease; the allocator rejects later returns.
const RETURN_TIME_DIVISOR: Micros = 4;
/// Divisor of a lease's duration. A lease is used up early if more than the quotient is left until
/// its end.
const EARLY_USE_DIVISOR: Micros = 2;

#[derive(Clone, Debug)]
struct Lease {
    origin: LeaseOrigin,
    /// Units that have not been used.
    units: MilliUnits,
    /// Units that were granted.
    granted: MilliUnits,
}

impl Lease {
    fn is_expired(&self, now: Micros) -> bool {
        now >= self.origin.expires
    }
}

/// Units that were taken from leases.
#[derive(Debug)]
pub(super) struct TakenUnits {
    pub(super) parts: Vec<ReceiptPart>,
    /// Whether one of the leases was used up long before its end.
    pub(super) used_up_early: bool,
}

/// Units to be returned to the allocator that granted them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReturnedUnits {
    pub(super) units: MilliUnits,
    /// The allocator's time slot in which the units were granted.
    pub(super) slot: u64,
}

/// Unused units of expired leases.
#[derive(Debug)]
pub(super) struct ExpiredLeases {
    /// Units to be returned, by lease.
    pub(super) returned: Vec<ReturnedUnits>,
    /// Whether more than half of the units of one of the leases were not used.
    pub(super) mostly_unused: bool,
}

/// The leases of one account, at most [`MAX_LEASES`].
#[derive(Clone, Debug, Default)]
pub(super) struct LeaseSet {
    leases: Vec<Lease>,
}

impl LeaseSet {
    /// Returns the unused units of leases that have not expired.
    pub(super) fn units(&self, now: Micros) -> MilliUnits {
        self.leases
            .iter()
            .filter(|lease| !lease.is_expired(now))
            .map(|lease| lease.units)
            .sum()
    }

    /// Takes units from leases, in the order in which they expire. Takes nothing and returns `None`
    /// if the leases hold too few units.
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
            used_up_early |=
                lease.units == 0 && remaining_time > lease_duration / EARLY_USE_DIVISOR;
        }
        Some(TakenUnits {
            parts,
            used_up_early,
        })
    }

    /// Puts units back into the lease that they were taken from. If that lease has been removed,
    /// the units are added as a new lease; if its end has passed, they are returned to the
    /// allocator.
    pub(super) fn put_back(&mut self, origin: LeaseOrigin, units: MilliUnits) {
        match self.leases.iter_mut().find(|lease| lease.origin == origin) {
            Some(lease) => lease.units = lease.units.saturating_add(units),
            None => self.add(origin, units),
        }
    }

    /// Adds a lease. If there are too many leases, its units are added to the last lease from the
    /// same incarnation of the allocator that expires no later than it; if there is none, it
    /// replaces the lease that expires first.
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
        let is_mergeable = |other: &&mut Lease| {
            other.origin.allocator == origin.allocator
                && other.origin.incarnation == origin.incarnation
                && other.origin.expires <= origin.expires
        };
        match self.leases.iter_mut().rev().find(is_mergeable) {
            Some(last) => {
                last.units = last.units.saturating_add(units);
                last.granted = last.granted.saturating_add(units);
            }
            None => self.leases[0] = lease,
        }
    }

    /// Removes leases that are used up, and those whose units can no longer be returned because
    /// they expired too long ago.
    pub(super) fn remove_finished(&mut self, now: Micros, lease_duration: Micros) {
        let return_time = lease_duration / RETURN_TIME_DIVISOR;
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

    /// Removes the expired leases and returns the unused units that the given incarnation of the
    /// allocator granted. Units that another allocator or incarnation granted are lost.
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

    /// Returns the next time after `now` at which a lease is to be renewed (`renewal_time` before
    /// its end), is to be returned (at its end), or can no longer be returned. Returns `None` if
    /// there are no unused units.
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
                expires + lease_duration / RETURN_TIME_DIVISOR,
            ];
            deadlines.into_iter().find(|deadline| *deadline > now)
        };
        self.leases
            .iter()
            .filter(|lease| lease.units > 0)
            .filter_map(deadline)
            .min()
    }

    /// Returns the number of bytes that the leases occupy on the heap.
    pub(super) fn heap_bytes(&self) -> usize {
        self.leases.capacity() * size_of::<Lease>()
    }
}
