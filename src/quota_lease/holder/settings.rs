//! Settings of a holder.

use crate::decision::Micros;
use crate::quota_lease::message::MilliUnits;

/// Settings of a [`Holder`](super::Holder). Times are in µs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderSettings {
    /// The limiter's number.
    pub limiter: u32,
    /// Incarnation of the limiter: fixed at the start of its process, higher in a later one.
    pub incarnation: u64,
    /// Number of allocators, which are numbered from 0.
    pub allocators: u32,
    /// The longest duration of a lease. Expected use is forecast for the same time.
    pub lease: Micros,
    /// Interval of the reports for which no request waits.
    pub interval: Micros,
    /// Shortest time between two reports to an allocator.
    pub spacing: Micros,
    /// Time without an answer after which a report is retried.
    pub repeat_after: Micros,
    /// Time without an answer after which an allocator counts as unavailable.
    pub lost_after: Micros,
    /// Time after which a report is sent to an unavailable allocator again.
    pub retry_after: Micros,
    /// Thousandths of the quota that the limiters which receive an account's requests share while its
    /// owner does not answer.
    pub fallback_thousandths: u32,
    /// Least burst of a limiter's fallback share, if there is a fallback. With 0, an account whose share
    /// of the burst is less than a request is not served without its owner.
    pub fallback_least: MilliUnits,
    /// A request without a lease does not wait for the owner but takes units from the fallback share,
    /// which the next report includes. The bound on the units that exceed the quota is then that of the
    /// fallback at all times.
    pub trust: bool,
    /// The most accounts in memory.
    pub max_accounts: usize,
    /// The most requests that wait. Further ones are denied.
    pub max_waiting: usize,
}

impl Default for HolderSettings {
    fn default() -> Self {
        Self {
            limiter: 0,
            incarnation: 1,
            allocators: 7,
            lease: 10_000_000,
            interval: 1_000_000,
            spacing: 20_000,
            repeat_after: 400_000,
            lost_after: 1_000_000,
            retry_after: 2_000_000,
            fallback_thousandths: 500,
            fallback_least: 0,
            trust: false,
            max_accounts: 20_000,
            max_waiting: 1_000,
        }
    }
}
