//! Simulated upstream servers and the requests that they process.

use mossrill::decision::Micros;
use std::collections::VecDeque;

pub const MS: Micros = 1_000;

/// Mean service time of a request on one core, in microseconds, as in the ferry division's
/// settings.
pub const MEAN_SERVICE_MICROS: f64 = 100_000.0;

/// Number of cores of a server, each of which processes one request at a time.
pub const CORES: usize = 2;

/// An upstream server with [`CORES`] cores and a bounded queue. Beyond three queued attempts per
/// core, the service time grows with the length of the queue.
#[derive(Default)]
pub struct SimulatedServer {
    /// Attempts that occupy a core, each as request number and attempt number.
    pub running: Vec<(usize, usize)>,
    /// Queued attempts, each as request number and attempt number.
    pub waiting: VecDeque<(usize, usize)>,
    /// Speed as a multiple of that of the other servers.
    pub speed: f64,
    /// Start time; 0 means that the server is warm.
    pub started_at: Micros,
    /// Arrival time of each attempt, rejected ones included.
    pub arrivals: Vec<Micros>,
}

impl SimulatedServer {
    /// Returns the capacity as a fraction of that of a warm server of speed 1: it rises linearly
    /// from 0.16 at the start to its full value after 18 s.
    pub fn capacity(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started_at) as f64 / 18e6;
        self.speed
            * if self.started_at == 0 {
                1.0
            } else {
                (0.16 + 0.84 * age).min(1.0)
            }
    }
}

/// A request from a client to a limiter. Each retry by the client is a request of its own.
pub struct SimulatedRequest {
    pub limiter: usize,
    /// When the client first sent the request; for a retry, when the original was sent.
    pub first_sent_at: Micros,
    /// Number of retries that the client has left.
    pub retries_left: u32,
    /// Whether the request was answered, rejected or failed, or the client's timeout passed.
    pub finished: bool,
    /// Server and send time of each attempt; `None` once the attempt has ended.
    pub attempts: Vec<Option<(usize, Micros)>>,
}
