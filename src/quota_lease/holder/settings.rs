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
    pub report_interval: Micros,
    /// Shortest time between two reports to an allocator.
    pub min_report_spacing: Micros,
    /// Time without an answer after which a report is retried.
    pub retry_report_after: Micros,
    /// Time without an answer after which an allocator counts as unavailable.
    pub unavailable_after: Micros,
    /// Time after which a report is sent to an unavailable allocator again.
    pub probe_after: Micros,
    /// Thousandths of the quota that the limiters which receive an account's requests share while its
    /// owner does not answer.
    pub fallback_thousandths: u32,
    /// Least burst of a limiter's fallback share, if there is a fallback. With 0, an account whose share
    /// of the burst is less than a request is not served without its owner.
    pub fallback_min_burst: MilliUnits,
    /// A request without a lease does not wait for the owner but takes units from the fallback share,
    /// which the next report includes. The bound on the units that exceed the quota is then that of the
    /// fallback at all times.
    pub use_fallback_first: bool,
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
            report_interval: 1_000_000,
            min_report_spacing: 20_000,
            retry_report_after: 400_000,
            unavailable_after: 1_000_000,
            probe_after: 2_000_000,
            fallback_thousandths: 500,
            fallback_min_burst: 0,
            use_fallback_first: false,
            max_accounts: 20_000,
            max_waiting: 1_000,
        }
    }
}
