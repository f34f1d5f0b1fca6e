//! The fallback share: units of an account's quota that a limiter may use without a lease while the
//! account's owner does not answer.

use super::settings::HolderSettings;
use crate::decision::Micros;
use crate::quota_lease::bucket::{Bucket, FillRate};
use crate::quota_lease::message::{MilliUnits, PlanLimits};
use thiserror::Error;

/// Denominator of a fraction that is given in thousandths.
const THOUSANDTHS_DENOMINATOR: u128 = 1_000;

/// Error of a request for more units than the fallback share holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the fallback share holds too few units for the request")]
pub(super) struct FallbackExhausted {
    /// Time in µs until the share will hold the units; `None` if it never will.
    pub(super) retry_after: Option<Micros>,
}

/// Rate and burst of the fallback share of one account at one limiter.
#[derive(Clone, Copy, Debug)]
pub(super) struct FallbackLimits {
    rate: FillRate,
    burst: MilliUnits,
}

impl FallbackLimits {
    /// Returns the limits for each of the `limiter_count` limiters that receive the account's requests.
    pub(super) fn new(limits: PlanLimits, limiter_count: u32, settings: &HolderSettings) -> Self {
        let thousandths = settings.fallback_thousandths;
        Self {
            rate: FillRate::share(limits.rate, thousandths, limiter_count),
            burst: fallback_burst(limits.burst, limiter_count, settings),
        }
    }
}

/// Returns the burst of the fallback share at each of `limiter_count` limiters.
fn fallback_burst(burst: MilliUnits, limiter_count: u32, settings: &HolderSettings) -> MilliUnits {
    if settings.fallback_thousandths == 0 {
        return 0;
    }
    let fraction = u128::from(burst) * u128::from(settings.fallback_thousandths);
    let share = fraction / (THOUSANDTHS_DENOMINATOR * u128::from(limiter_count.max(1)));
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
    /// Returns a share that was empty at `empty_since` and fills from then on.
    pub(super) fn new(empty_since: Micros) -> Self {
        Self {
            bucket: Bucket::empty(empty_since),
        }
    }

    /// Adds the units that have accrued until `now`.
    pub(super) fn refill(&mut self, now: Micros, limits: FallbackLimits) {
        self.bucket.fill(now, limits.rate, limits.burst);
    }

    /// Ends the validity of the `previous` limits at `now`: adds the units that accrued at their rate.
    pub(super) fn change_limits(&mut self, now: Micros, previous: FallbackLimits) {
        self.refill(now, previous);
        self.bucket.discard_fraction(now);
    }

    /// Takes the units of a request.
    ///
    /// # Errors
    ///
    /// If the share holds too few units.
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

    /// Takes units that were used from a lease, as far as the share holds them. The share then
    /// never holds more units than this limiter has certainly left unused of its part of the quota.
    pub(super) fn deduct_leased(&mut self, now: Micros, units: MilliUnits, limits: FallbackLimits) {
        self.refill(now, limits);
        self.bucket.take(units.min(self.bucket.available()));
    }

    /// Returns whether the share is full after adding the units that have accrued until `now`.
    pub(super) fn is_full(&mut self, now: Micros, limits: FallbackLimits) -> bool {
        self.refill(now, limits);
        self.bucket.is_full(limits.burst)
    }

    /// Returns the time at which the share will be full; [`Micros::MAX`] if it never will be.
    pub(super) fn full_at(&self, limits: FallbackLimits) -> Micros {
        let missing = limits.burst.saturating_sub(self.bucket.available());
        match limits.rate.time_to_accrue(missing) {
            Some(span) => self.bucket.filled_until().saturating_add(span),
            None => Micros::MAX,
        }
    }
}
