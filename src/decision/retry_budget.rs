//! The retry budget: retries are bounded by a fraction of the requests, so that they feed no overload.

/// Retries that each request earns.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries that may be saved up.
const MAX_RETRIES: f64 = 10.0;

/// The retries that may still be made.
#[derive(Debug)]
pub struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            retries: MAX_RETRIES / 2.0,
        }
    }
}

impl RetryBudget {
    /// A request was sent for the first time.
    pub fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Whether a retry of this cost may be made.
    pub fn can_afford(&self, cost: f64) -> bool {
        self.retries >= cost
    }

    /// A retry of this cost is made.
    pub fn spend(&mut self, cost: f64) {
        self.retries -= cost;
    }
}
