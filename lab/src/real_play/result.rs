//! Results of the real processes of a run.

use crate::audit::AuditResult;
use crate::summary::Summary;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Percentiles and maximum of a latency in ms.
#[derive(Debug, Serialize)]
pub struct Latency {
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

impl Latency {
    pub(super) fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: histogram.max() as f64 / 1e3,
        }
    }
}

/// Results of the real processes of a run.
#[derive(Debug, Serialize)]
pub struct RealResult {
    /// Number of processes.
    pub limiters: u32,
    /// Requests started per second.
    pub requests_per_s: f64,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests served.
    pub served: u64,
    /// Number of requests refused.
    pub refused: u64,
    /// Number of requests that failed.
    pub failed: u64,
    /// Number of requests whose connection could not be opened or broke.
    pub broken: u64,
    /// Latency of served requests from the intended start.
    pub latency: Latency,
    /// The same latency less the service time of the upstream server: what limiter, queues and load
    /// generator add.
    pub added: Latency,
    /// Delay with which the load generator wrote requests.
    pub generator_lag: Latency,
    /// CPU use of a process as a fraction of a core.
    pub cpu_cores_per_limiter: f64,
    /// Resident memory of a process in bytes at the end.
    pub memory_bytes_per_limiter: f64,
    /// Calls to the counter per process and second.
    pub counter_calls_per_limiter_s: f64,
    /// Bytes to and from the counter per process and second.
    pub counter_bytes_per_limiter_s: f64,
    /// Audit of the served units against the quotas.
    pub audit: AuditResult,
    /// Changes of the configuration, with the time until the processes used each.
    pub configuration_changes: Vec<ConfigurationChange>,
    /// Names of the events that were carried out.
    pub events: Vec<&'static str>,
    /// Signs that the machine did not keep up; empty if it did.
    pub fell_behind: Vec<String>,
}

/// A change of the configuration.
#[derive(Debug, Serialize)]
pub struct ConfigurationChange {
    /// Number of processes that did not use it in time.
    pub missing: usize,
    /// Seconds until the other processes used it.
    pub delay_s: Summary,
}
