//! Latency, failures and timeouts of a request class over all servers.

use super::identifiers::Micros;

/// Weight of one answer in the moving averages of a class.
pub(super) const CLASS_GAIN: f64 = 0.02;
/// Number of buckets in the histogram of timeouts, which divide the class's deadline evenly.
const TIMEOUT_BUCKETS: usize = 16;
/// Added to the number of requests in the weight of a timeout, so that the first requests do not
/// dominate the histogram.
const TIMEOUT_WARMUP_REQUESTS: f64 = 8.0;
/// A timeout counts as usual only if more than this fraction of the requests have it.
const USUAL_TIMEOUT_SHARE: f64 = 1.0 / 3.0;
/// Mean latency before the first answer, as a fraction of the latency objective.
const INITIAL_LATENCY: f64 = 0.25;
/// Lower bound on a latency objective in the initial mean latency.
const MIN_OBJECTIVE: Micros = 8;

/// Latency, failures and timeouts of a class.
#[derive(Default)]
pub struct ClassLatency {
    /// Mean latency in microseconds.
    pub(crate) mean: f64,
    /// Fraction of the attempts that fail.
    pub(crate) failure_rate: f64,
    /// Moving average of how often a request's timeout falls into each sixteenth of the deadline.
    timeouts: [f64; TIMEOUT_BUCKETS],
    /// Number of requests received.
    requests: f64,
}

impl ClassLatency {
    /// Creates the state of a class before its first request.
    pub fn new(latency_objective: Micros) -> Self {
        let objective = latency_objective.max(MIN_OBJECTIVE) as f64;
        Self {
            mean: objective * INITIAL_LATENCY,
            ..Self::default()
        }
    }

    /// Infers the time since the client's first attempt from the timeout of a request.
    ///
    /// A timeout shorter than the usual one is taken to be the rest of the deadline, and the
    /// request to be a retry. Returns 0 if no timeout is usual, for example because each client
    /// uses its own.
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

    /// Adds a timeout to the histogram. The first requests have a higher weight, so that the usual
    /// timeout of a class with few requests is soon known.
    fn record_timeout(&mut self, bucket: usize) {
        self.requests += 1.0;
        let gain = (1.0 / (self.requests + TIMEOUT_WARMUP_REQUESTS)).max(CLASS_GAIN / 4.0);
        for frequency in &mut self.timeouts {
            *frequency *= 1.0 - gain;
        }
        self.timeouts[bucket] += gain;
    }

    /// Returns the most frequent bucket.
    fn usual_timeout(&self) -> usize {
        let by_frequency = |a: &usize, b: &usize| self.timeouts[*a].total_cmp(&self.timeouts[*b]);
        (0..TIMEOUT_BUCKETS).max_by(by_frequency).unwrap_or(0)
    }
}
