//! Interface of a mechanism that enforces quotas, as the simulation of quotas uses it.

use crate::population::DrawnRequest;
use crate::quota_log::QuotaLog;
use crate::quota_network::{NetworkChange, QuotaNetwork};
use mossrill::decision::Micros;

/// A mechanism that enforces quotas, with the state of all limiters and control machines.
pub trait QuotaMechanism {
    /// Handles a request at its limiter.
    fn request(
        &mut self,
        now: Micros,
        network: &QuotaNetwork,
        drawn: DrawnRequest,
        log: &mut QuotaLog,
    );

    /// Returns the time of the next scheduled event, or [`Micros::MAX`] if there is none.
    fn next_event_time(&self) -> Micros;

    /// Carries out the next scheduled event.
    fn step(&mut self, network: &QuotaNetwork, log: &mut QuotaLog);

    /// Applies a change of the network or of the machines.
    fn apply_change(&mut self, now: Micros, network: &QuotaNetwork, change: &NetworkChange);

    /// Returns the mean number of accounts that a limiter holds; 0 if the mechanism does not report
    /// it.
    fn accounts_per_limiter(&self) -> f64;

    /// Returns the mean size in bytes of these accounts, if the mechanism reports it.
    fn account_bytes_per_limiter(&self) -> Option<f64>;
}
