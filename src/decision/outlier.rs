//! Outlier detection: how the latency and the failure rate of a server compare with the other
//! servers.

use super::identifiers::Micros;
use super::latency::{ClassLatency, CLASS_GAIN};
use super::Outcome;
use std::collections::BTreeMap;

/// Weight of one answer in the moving averages of a server.
const SERVER_GAIN: f64 = 0.1;
/// Largest weight of one outcome in a failure rate that has no recent outcomes.
const MAX_GAIN: f64 = 0.5;
/// Minimum time constant, in microseconds, with which the learned state of a server decays.
pub(super) const MIN_HEALTH_LIFETIME_MICROS: f64 = 6e6;
/// Weight of a timeout as a failure. It is less than one, as the server may just be slow.
const TIMEOUT_FAILURE: f64 = 0.3;
/// Increase of the cost factor of a server per unit of failure rate above half of the class's usual
/// rate.
const FAILURE_PENALTY: f64 = 30.0;
/// Bound on a latency sample, as a multiple of the class's mean.
const MAX_SAMPLE: f64 = 20.0;

/// Failure rate of a class at a server.
#[derive(Clone, Copy, Debug)]
pub struct FailureRate {
    /// Fraction of the attempts that failed.
    pub(crate) rate: f64,
    /// When the last attempt ended.
    pub(crate) updated_at: Micros,
}

/// Learned latency and failures of one server.
#[derive(Debug)]
pub struct ServerHealth {
    /// Latency relative to the mean of its class.
    pub(crate) relative_latency: f64,
    /// When the latency was last updated.
    pub(crate) latency_updated_at: Micros,
    /// Failure rates by class.
    pub(crate) failures: BTreeMap<usize, FailureRate>,
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self {
            relative_latency: 1.0,
            latency_updated_at: 0,
            failures: BTreeMap::new(),
        }
    }
}

/// Returns the fraction of a value learned at `since` that remains, with `lifetime` in microseconds
/// as the time constant.
fn decay(now: Micros, since: Micros, lifetime: f64) -> f64 {
    (-(now.saturating_sub(since) as f64) / lifetime).exp()
}

impl ServerHealth {
    /// Resets the learned values after a restart of the server's process. Keeps the time of the
    /// last latency update.
    pub fn reset(&mut self) {
        self.relative_latency = 1.0;
        self.failures.clear();
    }

    /// Returns the latency relative to the mean of its class. Without further answers it decays to
    /// 1.
    pub fn latency_at(&self, now: Micros, lifetime: f64) -> f64 {
        1.0 + (self.relative_latency - 1.0) * decay(now, self.latency_updated_at, lifetime)
    }

    /// Returns the factor on the cost of this server for its failures in a class.
    ///
    /// If a class fails at many servers, servers without recent outcomes are penalized too, as the
    /// usual failure rate is assumed for them. Traffic then stays on servers that have answered
    /// recently.
    pub fn penalty(&self, now: Micros, class: usize, usual_rate: f64, lifetime: f64) -> f64 {
        let (rate, _) = self.failure_rate_at(now, class, usual_rate, lifetime);
        1.0 + FAILURE_PENALTY * (rate - usual_rate / 2.0).max(0.0)
    }

    /// Returns the failure rate of a class, which decays to the usual rate without further
    /// outcomes, and the fraction of the learned rate that remains.
    fn failure_rate_at(
        &self,
        now: Micros,
        class: usize,
        usual_rate: f64,
        lifetime: f64,
    ) -> (f64, f64) {
        let Some(failures) = self.failures.get(&class) else {
            return (usual_rate, 0.0);
        };
        let remaining = decay(now, failures.updated_at, lifetime);
        (
            usual_rate + (failures.rate - usual_rate) * remaining,
            remaining,
        )
    }

    /// Updates the latency and failures of this server and of the class from the end of an attempt.
    pub fn record(
        &mut self,
        now: Micros,
        class: usize,
        class_latency: &mut ClassLatency,
        outcome: Outcome,
        latency: f64,
        lifetime: f64,
    ) {
        let sample = (latency / class_latency.mean.max(1.0)).min(MAX_SAMPLE);
        self.relative_latency = self.latency_at(now, lifetime);
        self.latency_updated_at = now;
        let Some(failure) = self.record_latency(class_latency, outcome, sample, latency) else {
            return;
        };
        let (before, remaining) =
            self.failure_rate_at(now, class, class_latency.failure_rate, lifetime);
        let gain = (1.0 - remaining).clamp(SERVER_GAIN, MAX_GAIN);
        let rate = before + gain * (failure - before);
        self.failures.insert(
            class,
            FailureRate {
                rate,
                updated_at: now,
            },
        );
        class_latency.failure_rate += CLASS_GAIN * (failure - class_latency.failure_rate);
    }

    /// Updates the latency averages. Returns the weight of the outcome as a failure, from 0 to 1,
    /// or `None` if the outcome says nothing about the server.
    fn record_latency(
        &mut self,
        class_latency: &mut ClassLatency,
        outcome: Outcome,
        sample: f64,
        latency: f64,
    ) -> Option<f64> {
        match outcome {
            Outcome::Ok => {
                self.relative_latency += SERVER_GAIN * (sample - self.relative_latency);
                class_latency.mean += CLASS_GAIN * (latency - class_latency.mean);
                Some(0.0)
            }
            // The answer would have taken longer than this, so the sample can only raise the
            // averages.
            Outcome::Cancelled | Outcome::Timeout => {
                self.relative_latency += SERVER_GAIN * (sample - self.relative_latency).max(0.0);
                let timed_out = f64::from(u8::from(outcome == Outcome::Timeout));
                class_latency.mean +=
                    timed_out * CLASS_GAIN * (latency - class_latency.mean).max(0.0);
                Some(timed_out * TIMEOUT_FAILURE)
            }
            Outcome::Superseded => None,
            _ => Some(1.0),
        }
    }
}
