//! What a quota play asks of a mechanism that keeps quotas.

use crate::population::Drawn;
use crate::quota_log::QuotaLog;
use crate::quota_network::{Changed, QuotaNetwork};
use mossrill::decision::Micros;

/// All limiters and control machines with one mechanism between them.
pub trait QuotaMechanism {
    /// Takes a request at its limiter.
    fn request(&mut self, now: Micros, network: &QuotaNetwork, drawn: Drawn, log: &mut QuotaLog);

    /// When there is something to do; [`Micros::MAX`] for never.
    fn next(&self) -> Micros;

    /// Does the next thing that is due.
    fn step(&mut self, network: &QuotaNetwork, log: &mut QuotaLog);

    /// Takes what an event changed.
    fn changed(&mut self, now: Micros, network: &QuotaNetwork, changed: &Changed);

    /// Accounts that a limiter keeps, on average.
    fn accounts_per_limiter(&self) -> f64;

    /// Bytes of them, where the mechanism tells.
    fn account_bytes_per_limiter(&self) -> Option<f64>;
}
