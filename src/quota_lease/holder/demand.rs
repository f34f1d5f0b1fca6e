//! Forecasts how many units of an account this limiter will use within the duration of a lease.

use crate::decision::Micros;
use crate::quota_lease::message::MilliUnits;

/// Binary logarithm of the least factor of the forecast.
const MIN_BOOST: i8 = -4;
/// Binary logarithm of the largest factor of the forecast.
const MAX_BOOST: i8 = 1;
/// In an account's first lease duration its use is projected to a whole one, at most by this factor.
const MAX_PROJECTION: f32 = 4.0;
/// An account that was not used for one over this of a lease duration has no expected use.
const IDLE_FRACTION: Micros = 2;

/// The use of one account, as an exponentially decaying sum.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    /// Binary logarithm of the factor by which experience corrects the forecast.
    boost: i8,
    /// Units used until `last_use`. A request's weight falls by the factor e in each lease duration.
    used: f32,
    first_use: Micros,
    last_use: Micros,
    /// Units of the last request.
    request_units: MilliUnits,
}

impl Demand {
    /// Returns the demand of an account that is first used now.
    pub(super) fn new(now: Micros) -> Self {
        Self {
            boost: 0,
            used: 0.0,
            first_use: now,
            last_use: now,
            request_units: 0,
        }
    }

    /// Records a request, of whose units `counted` add to the demand.
    pub(super) fn record(
        &mut self,
        now: Micros,
        units: MilliUnits,
        counted: MilliUnits,
        lease: Micros,
    ) {
        self.used = self.decayed(now, lease) + counted as f32;
        self.last_use = now;
        self.request_units = units;
    }

    /// Returns the time of the last request.
    pub(super) fn last_use(&self) -> Micros {
        self.last_use
    }

    /// Returns the decayed sum of the units used.
    pub(super) fn decayed(&self, now: Micros, lease: Micros) -> f32 {
        let elapsed = now.saturating_sub(self.last_use) as f32;
        self.used * (-elapsed / lease.max(1) as f32).exp()
    }

    /// Returns whether a whole lease duration of use is known.
    pub(super) fn is_established(&self, now: Micros, lease: Micros) -> bool {
        now >= self.first_use.saturating_add(lease)
    }

    /// Raises the forecast after the leases were used up early.
    pub(super) fn raise_forecast(&mut self) {
        self.boost = (self.boost + 1).min(MAX_BOOST);
    }

    /// Lowers the forecast after a lease expired mostly unused.
    pub(super) fn lower_forecast(&mut self) {
        self.boost = (self.boost - 1).max(MIN_BOOST);
    }

    /// Returns the expected use within a lease duration, besides `waiting` units, in whole requests and
    /// up to `burst`.
    pub(super) fn forecast(
        &self,
        now: Micros,
        waiting: MilliUnits,
        burst: MilliUnits,
        lease: Micros,
    ) -> MilliUnits {
        if now >= self.last_use.saturating_add(lease / IDLE_FRACTION) {
            return 0;
        }
        let used = f64::from(self.decayed(now, lease)) - waiting as f64;
        let projected = used * f64::from(self.projection(now, lease));
        let expected = (projected * f64::from(self.boost).exp2()).min(burst as f64);
        let request = self.request_units.max(1);
        if expected < request as f64 {
            return 0;
        }
        let expected = expected as MilliUnits;
        expected - expected % request
    }

    /// Returns one over the weight, in the decaying sum, of the time since the first use.
    fn projection(&self, now: Micros, lease: Micros) -> f32 {
        let age = now.saturating_sub(self.first_use) as f32;
        let weight = 1.0 - (-age / lease.max(1) as f32).exp();
        weight.max(1.0 / MAX_PROJECTION).recip()
    }
}
