//! Computes the quota shares of this limiter from the leases and votes of its peers.

use super::bitset;
use super::lease::{PeerLease, RevokedLeases};
use super::majority::{majority_deadlines, WindowVotes};
use crate::decision::{Micros, QuotaShares};
use std::cmp::Reverse;

/// The state of one limiter from which its quota shares are computed. The slices are indexed by
/// limiter.
#[derive(Clone, Copy, Debug)]
pub struct LeaseView<'a> {
    /// Number of this limiter.
    pub limiter: u32,
    /// Fraction of its even share that each limiter keeps in any case, from 0 to 1.
    pub guaranteed: f64,
    /// Whether this limiter believes each limiter alive.
    pub alive: &'a [bool],
    /// The leases between this limiter and each peer. The entry at this limiter's own index is
    /// ignored.
    pub leases: &'a [PeerLease],
    /// The leases that this limiter has voted to revoke.
    pub revoked: &'a RevokedLeases,
}

impl LeaseView<'_> {
    /// Returns the shares that this limiter may use at `now`.
    pub fn quota_shares(&self, now: Micros) -> QuotaShares {
        let mut deadlines = self.revocation_deadlines(now);
        for (deadline, alive) in deadlines.iter_mut().zip(self.alive) {
            if *alive {
                *deadline = None;
            }
        }
        let reassigned_until = deadlines.iter().flatten().min();
        QuotaShares {
            limiter: self.limiter,
            guaranteed: self.guaranteed,
            lease_ends: self.lease_end(),
            reassigned: deadlines.iter().map(Option::is_some).collect(),
            reassigned_until: reassigned_until.copied().unwrap_or(Micros::MAX),
            alive: self.alive.iter().filter(|alive| **alive).count() as u32,
        }
    }

    fn peers(&self) -> impl Iterator<Item = &PeerLease> {
        let own = self.limiter as usize;
        self.leases
            .iter()
            .enumerate()
            .filter(move |(limiter, _)| *limiter != own)
            .map(|(_, lease)| lease)
    }

    /// Returns the time in µs at which this limiter's lease ends; 0 if no majority has ever renewed
    /// it.
    fn lease_end(&self) -> Micros {
        let lease = self.revoked.lease();
        let mut ends: Vec<_> = self
            .peers()
            .filter_map(|peer| peer.renewed_at().map(|at| at + lease))
            .collect();
        // The limiter itself counts as renewing its lease, so half of the fleet, rounded down,
        // completes the majority.
        let needed_peers = self.leases.len() / 2;
        if needed_peers == 0 {
            return Micros::MAX;
        }
        if needed_peers > ends.len() {
            return 0;
        }
        let (_, end, _) = ends.select_nth_unstable_by_key(needed_peers - 1, |end| Reverse(*end));
        *end
    }

    /// Returns for each limiter the time in µs until which a majority has revoked its lease; `None`
    /// if no majority has.
    fn revocation_deadlines(&self, now: Micros) -> Vec<Option<Micros>> {
        let limiters = self.leases.len();
        let majority = limiters / 2 + 1;
        let window = self.revoked.encoding().window(limiters);
        let mut deadlines = Vec::with_capacity(limiters);
        for number in 0..limiters.div_ceil(window) {
            let size = window.min(limiters - number * window);
            let votes = self.valid_votes(now, window, number);
            deadlines.extend(majority_deadlines(majority, size, votes));
        }
        deadlines
    }

    /// Returns the unexpired votes on one window, without those of limiters that revoke no lease in
    /// it.
    fn valid_votes(&self, now: Micros, window: usize, number: usize) -> Vec<WindowVotes<'_>> {
        let lease = self.revoked.lease();
        let own = WindowVotes {
            valid_until: now + lease,
            bits: bitset::window(self.revoked.bits(), window, number),
        };
        self.peers()
            .filter_map(|peer| peer.votes(number))
            .map(|votes| WindowVotes {
                valid_until: votes.voted_at + lease,
                bits: &votes.bits,
            })
            .chain([own])
            .filter(|votes| now < votes.valid_until && !votes.bits.is_empty())
            .collect()
    }
}
