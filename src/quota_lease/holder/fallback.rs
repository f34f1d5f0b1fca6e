//! The fallback share: units of an account that a limiter may use without a lease, while the account's
//! owner does not answer.

use super::settings::HolderSettings;
use crate::decision::Micros;
use crate::quota_lease::bucket::{Bucket, FillRate};
use crate::quota_lease::message::{MilliUnits, PlanLimits};
use thiserror::Error;

/// The fallback share is a fraction of the quota in thousandths.
const THOUSAND: u128 = 1_000;

/// The fallback share does not hold the units of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the fallback share does not hold the units")]
pub(super) struct FallbackExhausted {
    /// Time after which it will hold them; `None` if it never will.
    pub(super) retry_after: Option<Micros>,
}

/// Rate and burst of the fallback share of one account at one limiter.
#[derive(Clone, Copy, Debug)]
pub(super) struct FallbackLimits {
    rate: FillRate,
    burst: MilliUnits,
}

impl FallbackLimits {
    /// Returns the share of one of the `limiter_count` limiters that receive the account's requests.
    pub(super) fn new(limits: PlanLimits, limiter_count: u32, settings: &HolderSettings) -> Self {
        let thousandths = settings.fallback_thousandths;
        Self {
            rate: FillRate::share(limits.rate, thousandths, limiter_count),
            burst: fallback_burst(limits.burst, limiter_count, settings),
        }
    }
}

fn fallback_burst(burst: MilliUnits, limiter_count: u32, settings: &HolderSettings) -> MilliUnits {
    if settings.fallback_thousandths == 0 {
        return 0;
    }
    let fraction = u128::from(burst) * u128::from(settings.fallback_thousandths);
    let share = fraction / (THOUSAND * u128::from(limiter_count.max(1)));
    u64::try_from(share)
        .unwrap_or(u64::MAX)
        .max(settings.fallback_min_burst.min(burst))
}

/// The token bucket of one account's fallback share.
#[derive(Clone, Debug)]
pub(super) struct FallbackShare {
    bucket: Bucket,
}

impl FallbackShare {
    /// Returns a share that was empty at `empty_since` or later.
    pub(super) fn new(empty_since: Micros) -> Self {
        Self {
            bucket: Bucket::empty(empty_since),
        }
    }

    /// Adds what has accrued until now.
    pub(super) fn refill(&mut self, now: Micros, limits: FallbackLimits) {
        self.bucket.fill(now, limits.rate, limits.burst);
    }

    /// Prepares for other limits from now on.
    pub(super) fn change_limits(&mut self, now: Micros, previous: FallbackLimits) {
        self.refill(now, previous);
        self.bucket.discard_fraction(now);
    }

    /// Takes the units of a request.
    ///
    /// # Errors
    ///
    /// If the share does not hold as many units.
    pub(super) fn take(
        &mut self,
        now: Micros,
        units: MilliUnits,
        limits: FallbackLimits,
    ) -> Result<(), FallbackExhausted> {
        self.refill(now, limits);
        let available = self.bucket.available();
        if units > available {
            let wait = limits.rate.time_to_accrue(units - available);
            let retry_after = wait.filter(|_| units <= limits.burst);
            return Err(FallbackExhausted { retry_after });
        }
        self.bucket.take(units);
        Ok(())
    }

    /// Takes as many as possible of units that were used of a lease, so that the share holds no more
    /// than this limiter has surely not used of its part of the quota.
    pub(super) fn take_up_to(&mut self, now: Micros, units: MilliUnits, limits: FallbackLimits) {
        self.refill(now, limits);
        self.bucket.take(units.min(self.bucket.available()));
    }

    /// Returns whether the share is full, after a refill.
    pub(super) fn is_full(&mut self, now: Micros, limits: FallbackLimits) -> bool {
        self.refill(now, limits);
        self.bucket.is_full(limits.burst)
    }

    /// Returns when the share will be full, [`Micros::MAX`] for never.
    pub(super) fn full_at(&self, limits: FallbackLimits) -> Micros {
        let missing = limits.burst.saturating_sub(self.bucket.available());
        match limits.rate.time_to_accrue(missing) {
            Some(span) => self.bucket.filled_until().saturating_add(span),
            None => Micros::MAX,
        }
    }
}
