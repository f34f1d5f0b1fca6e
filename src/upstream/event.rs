//! Events that the upstream pool reports to the limiter.

use crate::core::AttemptId;
use crate::decision::{Outcome, ServerId};
use std::sync::Arc;
use std::time::Duration;

/// An event of an upstream connection.
#[derive(Debug)]
pub enum UpstreamEvent<V> {
    /// The first bytes of a value that is longer than a buffer were received. The later
    /// [`UpstreamEvent::AttemptEnded`] has no value.
    ResponseStarted {
        /// The attempt.
        attempt: AttemptId,
        /// The value, whose remaining bytes are read from the connection.
        value: V,
    },
    /// An attempt has ended, possibly because it was cancelled.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Load report of the server; empty if it sent none.
        load: Vec<f64>,
        /// The value, with [`Outcome::Ok`].
        value: Option<V>,
    },
    /// A health check has ended.
    HealthChecked {
        /// The upstream server.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// How long the check took.
        latency: Duration,
        /// Load report of the server; empty if it sent none.
        load: Vec<f64>,
    },
}

/// Receives the events of an upstream pool, on the thread where each occurs. Must not block.
pub type UpstreamEventSink<V> = Arc<dyn Fn(UpstreamEvent<V>) + Send + Sync>;
