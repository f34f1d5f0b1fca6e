//! A token bucket in whole thousandths of a unit, filled by the time that has passed.

use super::message::MilliUnits;
use crate::decision::Micros;

const MICROS_PER_SECOND: u128 = 1_000_000;
/// Thousandths in one, as for the fallback part of a quota.
const THOUSAND: u128 = 1_000;

/// How fast a bucket fills: `units` in every `span` microseconds. A fraction, so that small parts of small rates stay exact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillRate {
    units: u128,
    span: u128,
}

impl FillRate {
    /// The whole of a rate, in thousandths of a unit a second.
    pub fn whole(rate: MilliUnits) -> Self {
        Self {
            units: u128::from(rate),
            span: MICROS_PER_SECOND,
        }
    }

    /// `thousandths` of a rate, divided by `spread`.
    pub fn part(rate: MilliUnits, thousandths: u32, spread: u32) -> Self {
        let units = u128::from(rate) * u128::from(thousandths);
        Self {
            units,
            span: MICROS_PER_SECOND * THOUSAND * u128::from(spread.max(1)),
        }
    }

    /// Units that come within `elapsed`, rounded down.
    pub fn within(self, elapsed: Micros) -> MilliUnits {
        saturate(self.units.saturating_mul(u128::from(elapsed)) / self.span)
    }

    /// Time in which `units` come, rounded up; none if they never do.
    pub fn time_for(self, units: MilliUnits) -> Option<Micros> {
        if units == 0 {
            return Some(0);
        }
        let span = u128::from(units).saturating_mul(self.span);
        (self.units > 0).then(|| saturate(span.div_ceil(self.units)))
    }
}

fn saturate(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}

/// What a bucket holds, and up to when that has been reckoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    level: i64,
    filled_to: Micros,
}

impl Bucket {
    /// A bucket that was empty at `since`.
    pub fn empty(since: Micros) -> Self {
        Self {
            level: 0,
            filled_to: since,
        }
    }

    /// Adds what came since the last time, at most up to `burst`. Fractions of a thousandth are kept as time.
    pub fn fill(&mut self, now: Micros, rate: FillRate, burst: MilliUnits) {
        let elapsed = now.saturating_sub(self.filled_to);
        let room = burst_level(burst).saturating_sub(self.level);
        if room <= 0 {
            self.level = burst_level(burst);
            self.filled_to = self.filled_to.max(now);
            return;
        }
        let room = room.unsigned_abs();
        let units = rate.within(elapsed).min(room);
        self.level = self.level.saturating_add_unsigned(units);
        self.filled_to = match rate.time_for(units) {
            Some(span) if units < room => self.filled_to.saturating_add(span),
            _ => self.filled_to.max(now),
        };
    }

    /// Forgets the fraction that has come since the last whole thousandth: what follows comes at another rate.
    pub fn change_rate(&mut self, now: Micros) {
        self.filled_to = self.filled_to.max(now);
    }

    /// What may be taken out.
    pub fn available(&self) -> MilliUnits {
        self.level.max(0).unsigned_abs()
    }

    /// Units missing until the bucket holds none and owes none.
    pub fn owed(&self) -> MilliUnits {
        self.level.min(0).unsigned_abs()
    }

    /// Takes out units that are available.
    pub fn take(&mut self, units: MilliUnits) {
        self.level = self.level.saturating_sub_unsigned(units);
    }

    /// Takes out units that are used already: the bucket may owe up to `most`.
    pub fn charge(&mut self, units: MilliUnits, most: MilliUnits) {
        let least = burst_level(most).saturating_neg().min(self.level);
        self.level = self.level.saturating_sub_unsigned(units).max(least);
    }

    /// Puts units in, as long as the level stays at or below `most`; a level above it stays.
    pub fn put(&mut self, units: MilliUnits, most: i64) {
        self.level = self
            .level
            .saturating_add_unsigned(units)
            .min(most.max(self.level));
    }

    /// The time up to which all that came is in the level.
    pub fn filled_to(&self) -> Micros {
        self.filled_to
    }

    /// Does it hold all it can?
    pub fn is_full(&self, burst: MilliUnits) -> bool {
        self.level >= burst_level(burst)
    }
}

/// A burst as a level.
pub fn burst_level(burst: MilliUnits) -> i64 {
    i64::try_from(burst).unwrap_or(i64::MAX)
}
