//! What the play of real processes showed.

use crate::audit::AuditResult;
use crate::summary::Summary;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Percentiles of a latency in ms.
#[derive(Debug, Serialize)]
pub struct Latency {
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The largest.
    pub max_ms: f64,
}

impl Latency {
    pub(super) fn of(histogram: &Histogram<u64>) -> Self {
        let at = |part: f64| histogram.value_at_quantile(part) as f64 / 1e3;
        Self {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: histogram.max() as f64 / 1e3,
        }
    }
}

/// What the play of real processes showed.
#[derive(Debug, Serialize)]
pub struct RealResult {
    /// Processes.
    pub limiters: u32,
    /// Requests begun a second.
    pub requests_per_s: f64,
    /// Requests.
    pub requests: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// No connection, or one that broke.
    pub broken: u64,
    /// Latency of served requests from the intended start.
    pub latency: Latency,
    /// The same without the upstream server's own time: what limiter, queues and generator add.
    pub added: Latency,
    /// How late the generator wrote requests.
    pub generator_lag: Latency,
    /// Processor time of a process as a part of a core.
    pub cpu_cores_per_limiter: f64,
    /// Resident memory of a process in bytes at the end.
    pub memory_bytes_per_limiter: f64,
    /// Calls of the counter a process and second.
    pub counter_calls_per_limiter_s: f64,
    /// Bytes to and from the counter a process and second.
    pub counter_bytes_per_limiter_s: f64,
    /// Units beyond quotas, of those served.
    pub audit: AuditResult,
    /// By change of the configuration: seconds until processes had it in force.
    pub configuration_changes: Vec<ConfigurationChange>,
    /// Events that were played.
    pub events: Vec<&'static str>,
    /// Why the machine did not keep up; empty if it did.
    pub fell_behind: Vec<String>,
}

/// A change of the configuration.
#[derive(Debug, Serialize)]
pub struct ConfigurationChange {
    /// Processes that did not have it in time.
    pub missing: usize,
    /// Seconds until the others had it.
    pub delay_s: Summary,
}
