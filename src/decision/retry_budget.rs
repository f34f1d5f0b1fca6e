//! The retry budget: bounds retries to a fraction of the requests, so that they do not amplify an
//! overload.

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Largest number of retries in the budget.
const MAX_RETRIES: f64 = 10.0;

/// Token bucket of retries.
#[derive(Debug)]
pub struct RetryBudget {
    /// Number of retries left.
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
    /// Adds to the budget for the first attempt of a request.
    pub fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Whether the budget allows a retry of this cost.
    pub fn can_afford(&self, cost: f64) -> bool {
        self.retries >= cost
    }

    /// Takes the cost of a retry from the budget.
    pub fn spend(&mut self, cost: f64) {
        self.retries -= cost;
    }
}
