//! Latency and failures of a class of requests, over all servers.

use super::identifiers::Micros;

/// Weight of one answer in the averages of a class.
pub(super) const CLASS_GAIN: f64 = 0.02;
/// Buckets of the histogram of timeouts, each a fraction of the class's deadline.
const TIMEOUT_BUCKETS: usize = 16;
/// Requests as which the first one counts in the histogram of timeouts.
const TIMEOUT_WARMUP: f64 = 8.0;
/// Fraction of the requests that have the usual timeout, at the least, for there to be one.
const USUAL_TIMEOUT_SHARE: f64 = 1.0 / 3.0;
/// Mean latency before the first answer, as a fraction of the latency objective.
const INITIAL_LATENCY: f64 = 0.25;
/// The shortest latency objective that is reckoned with, in microseconds.
const SHORTEST_OBJECTIVE: Micros = 8;

/// Latency and failures of a class.
#[derive(Default)]
pub struct ClassLatency {
    /// Mean latency in microseconds.
    pub(crate) mean: f64,
    /// Fraction of the attempts that fail.
    pub(crate) failure_rate: f64,
    /// Decaying frequency of each sixteenth of the deadline as a request's timeout.
    timeouts: [f64; TIMEOUT_BUCKETS],
    /// Requests received.
    requests: f64,
}

impl ClassLatency {
    /// A class of which nothing is known but its latency objective.
    pub fn new(latency_objective: Micros) -> Self {
        let objective = latency_objective.max(SHORTEST_OBJECTIVE) as f64;
        Self {
            mean: objective * INITIAL_LATENCY,
            ..Self::default()
        }
    }

    /// Time since the client's first attempt, as far as its timeout tells.
    ///
    /// Only the rest of the deadline makes a timeout shorter than the usual one. Nothing is inferred
    /// where no timeout is usual, as where every client has its own.
    pub fn time_since_first_attempt(&mut self, timeout: Micros, deadline: Micros) -> Micros {
        let bucket = ((timeout * TIMEOUT_BUCKETS as u64 / deadline.max(1)) as usize)
            .min(TIMEOUT_BUCKETS - 1);
        self.record_timeout(bucket);
        let usual = self.usual_timeout();
        let is_retry = bucket + 1 < usual && self.timeouts[usual] > USUAL_TIMEOUT_SHARE;
        if is_retry {
            deadline.saturating_sub(timeout)
        } else {
            0
        }
    }

    /// The first requests count more, so that the usual timeout is soon known where there are few.
    fn record_timeout(&mut self, bucket: usize) {
        self.requests += 1.0;
        let gain = (1.0 / (self.requests + TIMEOUT_WARMUP)).max(CLASS_GAIN / 4.0);
        for frequency in &mut self.timeouts {
            *frequency *= 1.0 - gain;
        }
        self.timeouts[bucket] += gain;
    }

    fn usual_timeout(&self) -> usize {
        let by_frequency = |a: &usize, b: &usize| self.timeouts[*a].total_cmp(&self.timeouts[*b]);
        (0..TIMEOUT_BUCKETS).max_by(by_frequency).unwrap_or(0)
    }
}
