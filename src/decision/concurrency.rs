//! The concurrency limit: the number of attempts that a limiter may have in flight.
//!
//! The limit is adapted to the mean latency relative to the latency objective. It grows while
//! attempts are answered quickly. While they are slow or rejected it is cut, at most once per mean
//! latency.

use super::identifiers::Micros;
use super::latency::CLASS_GAIN;

/// Target of the mean latency as a fraction of the latency objective. If latencies are
/// exponentially distributed, 1/e⁴ of them, or 2%, then exceed the objective.
pub(super) const TARGET_LATENCY: f64 = 0.25;
/// Growth of the limit per mean latency, in requests per server over all limiters.
const GROWTH: f64 = 0.3;
/// Largest weight of one answer in the mean latency.
const MAX_GAIN: f64 = 0.1;
/// Time constant, in microseconds, with which the mean latency decays if answers are rare.
const LATENCY_TIME_CONSTANT_MICROS: f64 = 1e6;
/// Bound on a latency sample, as a multiple of the latency objective.
const MAX_SAMPLE: f64 = 2.0;
/// Smallest and largest factor by which one cut multiplies the limit.
const MIN_CUT_FACTOR: f64 = 0.5;
const MAX_CUT_FACTOR: f64 = 0.95;

/// The concurrency limit of one limiter.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    /// Number of attempts in flight.
    pub(super) in_flight: usize,
    /// Number of attempts that may be in flight; 0 until a server is known, and less than one if
    /// there are more limiters than servers.
    pub(crate) limit: f64,
    /// When the limit was last cut; 0 if never.
    pub(crate) last_cut: Micros,
    /// With a limit below one, no attempt is sent before this time.
    paused_until: Micros,
    /// Mean latency as a fraction of the latency objective.
    pub(super) relative_latency: f64,
    /// When the mean latency was last updated.
    measured_at: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            in_flight: 0,
            limit: 0.0,
            last_cut: 0,
            paused_until: 0,
            relative_latency: TARGET_LATENCY / 2.0,
            measured_at: 0,
        }
    }
}

impl ConcurrencyLimit {
    /// Returns the number of attempts that may be in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether one more attempt may be sent. A limit below one holds on average over time: one
    /// attempt in flight, followed by a pause.
    pub fn has_capacity(&self, now: Micros) -> bool {
        if self.limit < 1.0 {
            return self.in_flight == 0 && now >= self.paused_until;
        }
        (self.in_flight as f64) < self.limit
    }

    /// Sets the initial limit once servers are known, to `min_limit` or one attempt if that is more.
    pub fn initialize(&mut self, min_limit: f64) {
        if self.limit == 0.0 {
            self.limit = min_limit.max(1.0);
        }
    }

    /// Starts the pause after an attempt at a limit below one. `random`, from 0 to 1, spreads the
    /// sends of limiters whose limits were cut at the same time.
    pub fn pause(&mut self, now: Micros, latency: f64, random: f64) {
        let pause = latency * (1.0 / self.limit - 1.0) * 2.0 * random;
        self.paused_until = now + pause as Micros;
    }

    /// Updates the mean latency with that of an attempt that was answered or timed out.
    pub fn record_latency(&mut self, now: Micros, latency: f64, objective: Micros) {
        let elapsed = now.saturating_sub(self.measured_at) as f64;
        let gain =
            (1.0 - (-elapsed / LATENCY_TIME_CONSTANT_MICROS).exp()).clamp(CLASS_GAIN, MAX_GAIN);
        let sample = (latency / objective.max(1) as f64).min(MAX_SAMPLE);
        self.relative_latency += gain * (sample - self.relative_latency);
        self.measured_at = now;
    }

    /// Whether the mean latency is above its target.
    pub fn is_overloaded(&self) -> bool {
        self.relative_latency > TARGET_LATENCY
    }

    /// Raises the limit after an answer. `min_limit` is this limiter's share of one attempt per ready
    /// server. Until the first cut each answer adds the same amount, so that the limit grows
    /// exponentially.
    pub fn grow(&mut self, min_limit: f64) {
        let divisor = if self.last_cut == 0 {
            self.limit.min(min_limit.max(1.0))
        } else {
            self.limit
        };
        self.limit += GROWTH * min_limit / divisor;
    }

    /// Cuts the limit, at most once per mean latency, in proportion to how far the latency is above
    /// its target: by Little's law this brings the latency back to the target. The limit does not
    /// fall below `min_limit`, this limiter's share of one attempt per ready server.
    ///
    /// Without the cut an overload would outlast its cause, as servers that held too many requests
    /// stay slow until they are nearly idle.
    pub fn cut(&mut self, now: Micros, mean_latency: f64, min_limit: f64) {
        if (now.saturating_sub(self.last_cut) as f64) < mean_latency {
            return;
        }
        self.last_cut = now;
        let target = TARGET_LATENCY / self.relative_latency.max(TARGET_LATENCY);
        let factor = target.clamp(MIN_CUT_FACTOR, MAX_CUT_FACTOR);
        // The attempt that has just ended is no longer counted in `in_flight`.
        let in_use = self.limit.min(self.in_flight as f64 + 1.0);
        // For a small limit the factor alone would cut too little to have an effect.
        let max_after_cut = in_use - GROWTH * in_use.min(1.0);
        self.limit = (in_use * factor).min(max_after_cut).max(min_limit);
        // Only latencies measured after this cut may cause the next one.
        self.relative_latency = self.relative_latency.min(TARGET_LATENCY);
    }
}
