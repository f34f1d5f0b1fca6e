//! The concurrency limit: how many attempts a limiter has in flight at once.
//!
//! The limit follows the mean latency relative to the latency objective. It grows while answers are
//! quick and is cut, at most once a mean latency, while they are slow or rejected.

use super::identifiers::Micros;
use super::latency::CLASS_GAIN;

/// Mean latency to which the limit is held, as a fraction of the latency objective. Of an
/// exponential distribution 1/e⁴, or 2%, is beyond the objective then.
pub(super) const TARGET_LATENCY: f64 = 0.25;
/// Requests a server, over all limiters, that the limit grows by in a mean latency.
const GROWTH: f64 = 0.3;
/// The largest weight of one answer in the mean latency.
const LARGEST_GAIN: f64 = 0.1;
/// Time in microseconds over which the mean latency is forgotten where answers are few.
const LATENCY_MEMORY: f64 = 1e6;
/// The largest latency that is averaged, as a multiple of the latency objective.
const LARGEST_SAMPLE: f64 = 2.0;
/// What is left of the limit after one cut, at the least and at the most.
const SMALLEST_CUT_FACTOR: f64 = 0.5;
const LARGEST_CUT_FACTOR: f64 = 0.95;

/// The concurrency limit of one limiter.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    /// Attempts in flight.
    pub(super) in_flight: usize,
    /// Attempts that may be in flight; 0 until a server is known, and a fraction where there are
    /// more limiters than servers.
    pub(crate) limit: f64,
    /// When the limit was last cut; 0 if never.
    pub(crate) last_cut: Micros,
    /// With a limit under one, nothing is sent before this time.
    paused_until: Micros,
    /// Mean latency as a fraction of the latency objective.
    pub(super) relative_latency: f64,
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
    /// Attempts that may be in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether one more attempt may be sent. A limit under one is kept over time: one attempt in
    /// flight, then a pause in proportion.
    pub fn has_capacity(&self, now: Micros) -> bool {
        if self.limit < 1.0 {
            return self.in_flight == 0 && now >= self.paused_until;
        }
        (self.in_flight as f64) < self.limit
    }

    /// Sets the first limit, once servers are known.
    pub fn initialize(&mut self, least: f64) {
        if self.limit == 0.0 {
            self.limit = least.max(1.0);
        }
    }

    /// Pauses after an attempt where the limit is under one. `random`, from 0 to 1, keeps limiters
    /// that were cut together from sending together.
    pub fn pause(&mut self, now: Micros, latency: f64, random: f64) {
        let pause = latency * (1.0 / self.limit - 1.0) * 2.0 * random;
        self.paused_until = now + pause as Micros;
    }

    /// Learns from the latency of an attempt that was answered or timed out.
    pub fn record_latency(&mut self, now: Micros, latency: f64, objective: Micros) {
        let elapsed = now.saturating_sub(self.measured_at) as f64;
        let gain = (1.0 - (-elapsed / LATENCY_MEMORY).exp()).clamp(CLASS_GAIN, LARGEST_GAIN);
        let sample = (latency / objective.max(1) as f64).min(LARGEST_SAMPLE);
        self.relative_latency += gain * (sample - self.relative_latency);
        self.measured_at = now;
    }

    /// Whether the mean latency is above its target.
    pub fn is_overloaded(&self) -> bool {
        self.relative_latency > TARGET_LATENCY
    }

    /// Raises the limit after an answer. `least` is one attempt a server over all limiters. Until
    /// the first cut each answer adds the same, so that the limit grows in proportion to itself.
    pub fn grow(&mut self, least: f64) {
        let divisor = if self.last_cut == 0 {
            self.limit.min(least.max(1.0))
        } else {
            self.limit
        };
        self.limit += GROWTH * least / divisor;
    }

    /// Cuts the limit, at most once a mean latency, by as much as the latency is above its target:
    /// by Little's law that brings it back. Never under `least`, one attempt a server over all limiters.
    ///
    /// Guards against overloads that outlast their cause: servers that held too many requests stay
    /// slow until they are nearly idle.
    pub fn cut(&mut self, now: Micros, mean_latency: f64, least: f64) {
        if (now.saturating_sub(self.last_cut) as f64) < mean_latency {
            return;
        }
        self.last_cut = now;
        let target = TARGET_LATENCY / self.relative_latency.max(TARGET_LATENCY);
        let factor = target.clamp(SMALLEST_CUT_FACTOR, LARGEST_CUT_FACTOR);
        // The attempt that was just answered was in flight too.
        let used = self.limit.min(self.in_flight as f64 + 1.0);
        // A small part of a small limit would not be felt.
        let least_cut = used - GROWTH * used.min(1.0);
        self.limit = (used * factor).min(least_cut).max(least);
        // Only what is measured after this cut may lead to the next.
        self.relative_latency = self.relative_latency.min(TARGET_LATENCY);
    }
}
