//! Forecast of the units of an account that this limiter will use within the duration of a lease.

use crate::decision::Micros;
use crate::quota_lease::message::MilliUnits;

/// Binary logarithm of the minimum factor by which the forecast is corrected.
const MIN_CORRECTION_LOG2: i8 = -4;
/// Binary logarithm of the maximum factor by which the forecast is corrected.
const MAX_CORRECTION_LOG2: i8 = 1;
/// Maximum factor by which the use of an account in its first lease duration is extrapolated to a whole
/// lease duration.
const MAX_PROJECTION: f32 = 4.0;
/// Divisor of the duration of a lease. An account that was not used for the quotient has no expected
/// use.
const IDLE_TIME_DIVISOR: Micros = 2;

/// The demand for units of one account, as an exponentially decaying sum of the units used.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    /// Binary logarithm of the factor by which the forecast is corrected. Leases that were used up
    /// early raise it, and leases that expired mostly unused lower it.
    correction_log2: i8,
    /// Decayed sum, at `last_use`, of the units used. The weight of a request falls by the factor e
    /// in each lease duration.
    used: f32,
    first_use: Micros,
    last_use: Micros,
    /// Units of the latest request.
    request_units: MilliUnits,
}

impl Demand {
    /// Returns the demand of an account that is first used at `now`.
    pub(super) fn new(now: Micros) -> Self {
        Self {
            correction_log2: 0,
            used: 0.0,
            first_use: now,
            last_use: now,
            request_units: 0,
        }
    }

    /// Records a request for `units`, of which only `counted` are added to the sum of units used.
    pub(super) fn record(
        &mut self,
        now: Micros,
        units: MilliUnits,
        counted: MilliUnits,
        lease: Micros,
    ) {
        self.used = self.decayed_use(now, lease) + counted as f32;
        self.last_use = now;
        self.request_units = units;
    }

    /// Returns the time of the latest request.
    pub(super) fn last_use(&self) -> Micros {
        self.last_use
    }

    /// Returns the decayed sum, at `now`, of the units used.
    pub(super) fn decayed_use(&self, now: Micros, lease: Micros) -> f32 {
        let elapsed = now.saturating_sub(self.last_use) as f32;
        self.used * (-elapsed / lease.max(1) as f32).exp()
    }

    /// Returns whether the account has been in use for a whole lease duration.
    pub(super) fn is_established(&self, now: Micros, lease: Micros) -> bool {
        now >= self.first_use.saturating_add(lease)
    }

    /// Raises the forecast after the leases were used up early.
    pub(super) fn raise_forecast(&mut self) {
        self.correction_log2 = (self.correction_log2 + 1).min(MAX_CORRECTION_LOG2);
    }

    /// Lowers the forecast after a lease expired mostly unused.
    pub(super) fn lower_forecast(&mut self) {
        self.correction_log2 = (self.correction_log2 - 1).max(MIN_CORRECTION_LOG2);
    }

    /// Returns the units that are expected to be used within a lease duration in addition to the
    /// `waiting` ones: at most `burst`, rounded down to a multiple of the latest request's units.
    pub(super) fn forecast(
        &self,
        now: Micros,
        waiting: MilliUnits,
        burst: MilliUnits,
        lease: Micros,
    ) -> MilliUnits {
        if now >= self.last_use.saturating_add(lease / IDLE_TIME_DIVISOR) {
            return 0;
        }
        let used = f64::from(self.decayed_use(now, lease)) - waiting as f64;
        let projected = used * f64::from(self.projection_factor(now, lease));
        let expected = (projected * f64::from(self.correction_log2).exp2()).min(burst as f64);
        let request = self.request_units.max(1);
        if expected < request as f64 {
            return 0;
        }
        let expected = expected as MilliUnits;
        expected - expected % request
    }

    /// Returns the factor that extrapolates the use so far to a whole lease duration: the
    /// reciprocal of the weight that the time since the first use has in the decaying sum, at most
    /// [`MAX_PROJECTION`].
    fn projection_factor(&self, now: Micros, lease: Micros) -> f32 {
        let age = now.saturating_sub(self.first_use) as f32;
        let weight = 1.0 - (-age / lease.max(1) as f32).exp();
        weight.max(1.0 / MAX_PROJECTION).recip()
    }
}
