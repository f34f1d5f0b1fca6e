//! Quota shares: each limiter's part of a quota while there is no total of the counter.

use super::identifiers::Micros;

/// The quota shares as this limiter knows them.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaShares {
    /// Number of this limiter.
    pub limiter: u32,
    /// Fraction of an even share that each limiter always keeps. The rest of the share is leased.
    pub guaranteed: f64,
    /// End of the lease on the rest of this limiter's share.
    pub lease_ends: Micros,
    /// For each limiter, whether the leased part of its share is divided among the others.
    pub reassigned: Vec<bool>,
    /// Time until which `reassigned` is valid.
    pub reassigned_until: Micros,
    /// Number of limiters believed to be alive, including this one.
    pub alive: u32,
}

impl Default for QuotaShares {
    fn default() -> Self {
        Self::even(0, 1)
    }
}

impl QuotaShares {
    /// Creates even shares that never expire, for limiters without a view of the membership.
    pub fn even(limiter: u32, limiters: u32) -> Self {
        Self {
            limiter,
            guaranteed: 1.0,
            lease_ends: Micros::MAX,
            reassigned: vec![false; limiters.max(1) as usize],
            reassigned_until: Micros::MAX,
            alive: limiters,
        }
    }

    /// Returns this limiter's share, from 0 to 1, of a quota that the limiters in `set` have
    /// together, or `None` if this limiter is not in `set`.
    pub fn share(&self, now: Micros, set: impl Iterator<Item = u32> + Clone) -> Option<f64> {
        if !set.clone().any(|limiter| limiter == self.limiter) {
            return None;
        }
        let all = set.clone().count() as f64;
        let holders = set
            .filter(|limiter| !self.is_reassigned(now, *limiter))
            .count() as f64;
        let leased = if now < self.lease_ends {
            (1.0 - self.guaranteed) / holders
        } else {
            0.0
        };
        Some(self.guaranteed / all + leased)
    }

    fn is_reassigned(&self, now: Micros, limiter: u32) -> bool {
        now < self.reassigned_until && self.reassigned[limiter as usize]
    }

    /// Returns the reciprocal of this limiter's share of the quota of an account whose requests are
    /// received by `limiter_count` limiters, starting with number `first_limiter`.
    pub fn account_divisor(&self, now: Micros, first_limiter: u32, limiter_count: u32) -> f64 {
        let size = self.reassigned.len() as u32;
        if self.guaranteed >= 1.0 {
            return f64::from(limiter_count.max(1));
        }
        let limiter_count = limiter_count.clamp(1, size);
        let set = (0..limiter_count).map(|offset| (first_limiter % size + offset) % size);
        match self.share(now, set).filter(|_| limiter_count > 1) {
            Some(share) => 1.0 / share,
            None => f64::from(limiter_count),
        }
    }

    /// Returns the reciprocal of this limiter's share of what all limiters have together.
    pub fn fleet_divisor(&self, now: Micros) -> f64 {
        let limiters = 0..self.reassigned.len() as u32;
        match self.share(now, limiters).filter(|_| self.guaranteed < 1.0) {
            Some(share) => 1.0 / share,
            None => self.reassigned.len() as f64,
        }
    }
}
