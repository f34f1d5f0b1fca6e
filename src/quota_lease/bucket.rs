//! A token bucket that counts whole thousandths of a unit and is refilled by elapsed time.

use super::message::MilliUnits;
use crate::decision::Micros;

const MICROS_PER_SECOND: u128 = 1_000_000;
/// Denominator of a fraction that is given in thousandths.
const THOUSANDTHS_DENOMINATOR: u128 = 1_000;

/// Fill rate of a bucket: `milli_units` thousandths of a unit accrue in each `period` of
/// microseconds. It is kept as a fraction so that small shares of low rates stay exact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillRate {
    milli_units: u128,
    period: u128,
}

impl FillRate {
    /// Returns the fill rate for `rate` thousandths of a unit per second.
    pub fn per_second(rate: MilliUnits) -> Self {
        Self {
            milli_units: u128::from(rate),
            period: MICROS_PER_SECOND,
        }
    }

    /// Returns the fill rate of one of `limiter_count` limiters that share `thousandths` / 1000 of
    /// `rate`, which is in thousandths of a unit per second.
    pub fn share(rate: MilliUnits, thousandths: u32, limiter_count: u32) -> Self {
        let milli_units = u128::from(rate) * u128::from(thousandths);
        Self {
            milli_units,
            period: MICROS_PER_SECOND * THOUSANDTHS_DENOMINATOR * u128::from(limiter_count.max(1)),
        }
    }

    /// Returns the units that accrue within `elapsed`, rounded down to whole thousandths.
    pub fn accrued_within(self, elapsed: Micros) -> MilliUnits {
        saturating_u64(self.milli_units.saturating_mul(u128::from(elapsed)) / self.period)
    }

    /// Returns the time in which `units` accrue, rounded up; `None` if they never accrue because the
    /// rate is 0.
    pub fn time_to_accrue(self, units: MilliUnits) -> Option<Micros> {
        if units == 0 {
            return Some(0);
        }
        let units_times_period = u128::from(units).saturating_mul(self.period);
        if self.milli_units == 0 {
            return None;
        }
        Some(saturating_u64(
            units_times_period.div_ceil(self.milli_units),
        ))
    }
}

fn saturating_u64(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}

/// A token bucket. Its level is negative while units are owed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    /// Thousandths of a unit.
    level: i64,
    /// Time up to which the level includes accrued units.
    filled_until: Micros,
}

impl Bucket {
    /// Returns a bucket that was empty at `since` and fills from then on.
    pub fn empty(since: Micros) -> Self {
        Self {
            level: 0,
            filled_until: since,
        }
    }

    /// Adds the units that have accrued since the last call, up to a level of `burst`. Unless the
    /// bucket becomes full, the time in which a fraction of a thousandth accrued is carried over to
    /// the next call.
    pub fn fill(&mut self, now: Micros, rate: FillRate, burst: MilliUnits) {
        let elapsed = now.saturating_sub(self.filled_until);
        let capacity = burst_level(burst).saturating_sub(self.level);
        if capacity <= 0 {
            self.level = burst_level(burst);
            self.filled_until = self.filled_until.max(now);
            return;
        }
        let capacity = capacity.unsigned_abs();
        let units = rate.accrued_within(elapsed).min(capacity);
        self.level = self.level.saturating_add_unsigned(units);
        self.filled_until = match rate.time_to_accrue(units) {
            Some(time) if units < capacity => self.filled_until.saturating_add(time),
            _ => self.filled_until.max(now),
        };
    }

    /// Discards the fraction of a thousandth that has accrued by `now`. Called when the rate
    /// changes, as the fraction accrued at the previous rate.
    pub fn discard_fraction(&mut self, now: Micros) {
        self.filled_until = self.filled_until.max(now);
    }

    /// Returns the units that can be taken; 0 while units are owed.
    pub fn available(&self) -> MilliUnits {
        self.level.max(0).unsigned_abs()
    }

    /// Returns the units that are owed to the bucket.
    pub fn owed(&self) -> MilliUnits {
        self.level.min(0).unsigned_abs()
    }

    /// Takes units, which must be available.
    pub fn take(&mut self, units: MilliUnits) {
        self.level = self.level.saturating_sub_unsigned(units);
    }

    /// Takes units that were already used, even if they are not available. No more than
    /// `max_debt` units are owed after that, unless more were owed before.
    pub fn charge(&mut self, units: MilliUnits, max_debt: MilliUnits) {
        let lowest = burst_level(max_debt).saturating_neg().min(self.level);
        self.level = self.level.saturating_sub_unsigned(units).max(lowest);
    }

    /// Adds units up to a level of `max_level`. A level that is already higher is not changed.
    pub fn add(&mut self, units: MilliUnits, max_level: i64) {
        self.level = self
            .level
            .saturating_add_unsigned(units)
            .min(max_level.max(self.level));
    }

    /// Returns the time up to which the level includes accrued units.
    pub fn filled_until(&self) -> Micros {
        self.filled_until
    }

    /// Returns whether the level has reached `burst`.
    pub fn is_full(&self, burst: MilliUnits) -> bool {
        self.level >= burst_level(burst)
    }
}

/// Converts a burst to a level, limited to `i64::MAX`.
pub fn burst_level(burst: MilliUnits) -> i64 {
    i64::try_from(burst).unwrap_or(i64::MAX)
}
