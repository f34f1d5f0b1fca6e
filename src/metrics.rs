//! Metrics for operators. The code that handles an event counts it, and reading the metrics does
//! not involve the core.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// Outcome of a request as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// Answered with a value from an upstream server.
    Served,
    /// Rejected; the client may retry, as a retry is harmless.
    Rejected,
    /// Failed, possibly after an upstream server executed it, or abandoned because the client
    /// disconnected.
    Failed,
}

/// All metrics of one process, starting at 0.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<ClassMetrics>,
    attempts: AtomicU64,
    in_flight: AtomicU64,
    known_servers: AtomicUsize,
    excluded_servers: AtomicUsize,
}

/// Number of finished requests of one class, by outcome.
#[derive(Debug, Default)]
struct ClassMetrics {
    name: String,
    served: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

impl ClassMetrics {
    fn count(&self, outcome: RequestOutcome) {
        let counter = match outcome {
            RequestOutcome::Served => &self.served,
            RequestOutcome::Rejected => &self.rejected,
            RequestOutcome::Failed => &self.failed,
        };
        counter.fetch_add(1, Relaxed);
    }

    fn values(&self) -> [(String, u64); 3] {
        [
            ("served", &self.served),
            ("refused", &self.rejected),
            ("failed", &self.failed),
        ]
        .map(|(outcome, counter)| {
            let name = format!("requests.{}.{outcome}", self.name);
            (name, counter.load(Relaxed))
        })
    }
}

impl Metrics {
    /// Creates metrics for these request classes. Each class is listed before its first request.
    pub fn new(classes: Vec<String>) -> Arc<Self> {
        let classes = classes
            .into_iter()
            .map(|name| ClassMetrics {
                name,
                ..ClassMetrics::default()
            })
            .collect();
        Arc::new(Self {
            classes,
            ..Self::default()
        })
    }

    /// Counts a request of the class with this index as in flight until the returned value is
    /// dropped.
    pub fn begin_request(self: &Arc<Self>, class: usize) -> InFlightRequest {
        self.in_flight.fetch_add(1, Relaxed);
        InFlightRequest {
            metrics: self.clone(),
            class,
            outcome: RequestOutcome::Failed,
        }
    }

    /// Counts an attempt that was completely written to an upstream server.
    pub fn count_attempt(&self) {
        self.attempts.fetch_add(1, Relaxed);
    }

    /// Returns the number of requests that were accepted and whose reply is not written yet.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }

    /// Sets the number of listed upstream servers, and how many of them are excluded from load
    /// balancing.
    pub fn set_server_counts(&self, known: usize, excluded: usize) {
        self.known_servers.store(known, Relaxed);
        self.excluded_servers.store(excluded, Relaxed);
    }

    /// Returns the name and value of each metric, in the order in which the admin interface shows
    /// them.
    pub fn all(&self) -> Vec<(String, u64)> {
        let process_metrics = [
            ("attempts", self.attempts.load(Relaxed)),
            ("in_flight", self.in_flight.load(Relaxed)),
            ("servers_known", self.known_servers.load(Relaxed) as u64),
            (
                "servers_excluded",
                self.excluded_servers.load(Relaxed) as u64,
            ),
        ];
        let process_metrics = process_metrics.map(|(name, value)| (name.to_owned(), value));
        self.classes
            .iter()
            .flat_map(ClassMetrics::values)
            .chain(process_metrics)
            .collect()
    }
}

/// A request in flight. Dropping it counts the request once, as failed unless [`Self::finish`] was
/// called.
///
/// Counting on drop ensures that a request is counted on every code path on which it ends.
#[derive(Debug)]
pub struct InFlightRequest {
    metrics: Arc<Metrics>,
    class: usize,
    outcome: RequestOutcome,
}

impl InFlightRequest {
    /// Counts the request with this outcome, after its reply was completely written.
    pub fn finish(mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if let Some(class) = self.metrics.classes.get(self.class) {
            class.count(self.outcome);
        }
        self.metrics.in_flight.fetch_sub(1, Relaxed);
    }
}
