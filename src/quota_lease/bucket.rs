//! A token bucket in whole thousandths of a unit, refilled by elapsed time.

use super::message::MilliUnits;
use crate::decision::Micros;

const MICROS_PER_SECOND: u128 = 1_000_000;
/// The fallback share is a fraction of the quota in thousandths.
const THOUSAND: u128 = 1_000;

/// Fill rate of a bucket: `units` in every `span` microseconds. It is a fraction, so that small shares
/// of small rates stay exact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillRate {
    units: u128,
    span: u128,
}

impl FillRate {
    /// Returns the fill rate for a rate in thousandths of a unit a second.
    pub fn whole(rate: MilliUnits) -> Self {
        Self {
            units: u128::from(rate),
            span: MICROS_PER_SECOND,
        }
    }

    /// Returns `thousandths` of a rate, divided by `limiter_count`.
    pub fn part(rate: MilliUnits, thousandths: u32, limiter_count: u32) -> Self {
        let units = u128::from(rate) * u128::from(thousandths);
        Self {
            units,
            span: MICROS_PER_SECOND * THOUSAND * u128::from(limiter_count.max(1)),
        }
    }

    /// Returns the units that accrue within `elapsed`, rounded down.
    pub fn within(self, elapsed: Micros) -> MilliUnits {
        saturate(self.units.saturating_mul(u128::from(elapsed)) / self.span)
    }

    /// Returns the time in which `units` accrue, rounded up; `None` if the rate is 0.
    pub fn time_for(self, units: MilliUnits) -> Option<Micros> {
        if units == 0 {
            return Some(0);
        }
        let span = u128::from(units).saturating_mul(self.span);
        if self.units == 0 {
            return None;
        }
        Some(saturate(span.div_ceil(self.units)))
    }
}

fn saturate(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}

/// A token bucket. Its level is negative while it owes units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    level: i64,
    filled_to: Micros,
}

impl Bucket {
    /// Returns a bucket that was empty at `since`.
    pub fn empty(since: Micros) -> Self {
        Self {
            level: 0,
            filled_to: since,
        }
    }

    /// Adds the units that accrued since the last call, up to a level of `burst`. Fractions of a
    /// thousandth are kept as time.
    pub fn fill(&mut self, now: Micros, rate: FillRate, burst: MilliUnits) {
        let elapsed = now.saturating_sub(self.filled_to);
        let capacity = burst_level(burst).saturating_sub(self.level);
        if capacity <= 0 {
            self.level = burst_level(burst);
            self.filled_to = self.filled_to.max(now);
            return;
        }
        let capacity = capacity.unsigned_abs();
        let units = rate.within(elapsed).min(capacity);
        self.level = self.level.saturating_add_unsigned(units);
        self.filled_to = match rate.time_for(units) {
            Some(span) if units < capacity => self.filled_to.saturating_add(span),
            _ => self.filled_to.max(now),
        };
    }

    /// Drops the fraction of a thousandth that has accrued, as the rate changes at `now`.
    pub fn change_rate(&mut self, now: Micros) {
        self.filled_to = self.filled_to.max(now);
    }

    /// Returns the units that can be taken.
    pub fn available(&self) -> MilliUnits {
        self.level.max(0).unsigned_abs()
    }

    /// Returns the units that the bucket owes.
    pub fn owed(&self) -> MilliUnits {
        self.level.min(0).unsigned_abs()
    }

    /// Takes units that are available.
    pub fn take(&mut self, units: MilliUnits) {
        self.level = self.level.saturating_sub_unsigned(units);
    }

    /// Takes units that were used already. The bucket may owe up to `max_debt`.
    pub fn charge(&mut self, units: MilliUnits, max_debt: MilliUnits) {
        let lowest = burst_level(max_debt).saturating_neg().min(self.level);
        self.level = self.level.saturating_sub_unsigned(units).max(lowest);
    }

    /// Adds units up to a level of `max_level`. A higher level stays as it is.
    pub fn put(&mut self, units: MilliUnits, max_level: i64) {
        self.level = self
            .level
            .saturating_add_unsigned(units)
            .min(max_level.max(self.level));
    }

    /// Returns the time up to which the level includes what has accrued.
    pub fn filled_to(&self) -> Micros {
        self.filled_to
    }

    /// Returns whether the level is at the capacity.
    pub fn is_full(&self, burst: MilliUnits) -> bool {
        self.level >= burst_level(burst)
    }
}

/// Converts a burst to a level.
pub fn burst_level(burst: MilliUnits) -> i64 {
    i64::try_from(burst).unwrap_or(i64::MAX)
}
