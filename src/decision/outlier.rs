//! Outlier detection: how much slower and less reliable a server is than the others.

use super::identifiers::Micros;
use super::latency::{ClassLatency, CLASS_GAIN};
use super::Outcome;
use std::collections::BTreeMap;

/// Weight of one answer in the averages of a server.
const SERVER_GAIN: f64 = 0.1;
/// The largest weight of one outcome in a failure rate of which little is known.
const LARGEST_GAIN: f64 = 0.5;
/// The shortest time in microseconds in which judgements of a server expire.
pub(super) const JUDGEMENT_LIFETIME: f64 = 6e6;
/// What one timeout counts as a failure: it may be a slow answer.
const TIMEOUT_FAILURE: f64 = 0.3;
/// Factor on the cost of a server for each failure rate above the usual one.
const FAILURE_PENALTY: f64 = 30.0;
/// The largest latency that is averaged, as a multiple of the class's mean.
const LARGEST_SAMPLE: f64 = 20.0;

/// How the attempts of a class fail at a server.
#[derive(Clone, Copy, Debug)]
pub struct FailureRate {
    /// Fraction of the attempts that failed.
    pub(crate) rate: f64,
    /// When the last attempt ended.
    pub(crate) updated_at: Micros,
}

/// What is known of one server's latency and failures.
#[derive(Debug)]
pub struct ServerHealth {
    /// Latency relative to the mean of its class.
    pub(crate) relative_latency: f64,
    /// When the latency was last updated.
    pub(crate) judged_at: Micros,
    /// By class.
    pub(crate) failures: BTreeMap<usize, FailureRate>,
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self {
            relative_latency: 1.0,
            judged_at: 0,
            failures: BTreeMap::new(),
        }
    }
}

/// What is left of a judgement after `lifetime` microseconds have passed so many times.
fn decay(now: Micros, since: Micros, lifetime: f64) -> f64 {
    (-(now.saturating_sub(since) as f64) / lifetime).exp()
}

impl ServerHealth {
    /// Forgets everything but when it was last judged: the server's process is a new one.
    pub fn reset(&mut self) {
        self.relative_latency = 1.0;
        self.failures.clear();
    }

    /// Latency relative to the mean of its class, which it approaches without further answers.
    pub fn latency_at(&self, now: Micros, lifetime: f64) -> f64 {
        1.0 + (self.relative_latency - 1.0) * decay(now, self.judged_at, lifetime)
    }

    /// Factor on the cost of this server for its failures in a class.
    ///
    /// Where a class fails at many servers, those not heard of are doubted too, and traffic keeps to
    /// the servers that answered of late.
    pub fn penalty(&self, now: Micros, class: usize, usual_rate: f64, lifetime: f64) -> f64 {
        let (rate, _) = self.failure_rate_at(now, class, usual_rate, lifetime);
        1.0 + FAILURE_PENALTY * (rate - usual_rate / 2.0).max(0.0)
    }

    /// The failure rate of a class, which approaches the usual one without further outcomes, and how
    /// much is left of what was known.
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
        let left = decay(now, failures.updated_at, lifetime);
        (usual_rate + (failures.rate - usual_rate) * left, left)
    }

    /// Learns from the end of an attempt, for this server and for its class.
    pub fn record(
        &mut self,
        now: Micros,
        class: usize,
        class_latency: &mut ClassLatency,
        outcome: Outcome,
        latency: f64,
        lifetime: f64,
    ) {
        let sample = (latency / class_latency.mean.max(1.0)).min(LARGEST_SAMPLE);
        self.relative_latency = self.latency_at(now, lifetime);
        self.judged_at = now;
        let Some(failure) = self.record_latency(class_latency, outcome, sample, latency) else {
            return;
        };
        let (before, left) = self.failure_rate_at(now, class, class_latency.failure_rate, lifetime);
        let gain = (1.0 - left).clamp(SERVER_GAIN, LARGEST_GAIN);
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

    /// Learns from a latency. Returns as how much of a failure the outcome counts; none if it tells nothing.
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
            // No answer for so long: the latency is at least that.
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
