//! Settings of the holder.

use crate::decision::Micros;
use crate::quota_lease::message::MilliUnits;

/// Settings of a [`Holder`](super::Holder). Times are in µs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderSettings {
    /// Number of the limiter.
    pub limiter: u32,
    /// Incarnation of the limiter: set when its process starts, and higher in each later process.
    pub incarnation: u64,
    /// Number of allocators, which are numbered from 0.
    pub allocators: u32,
    /// Maximum duration of a lease. An account's expected use is forecast for the same duration.
    pub lease: Micros,
    /// Interval of reports that are not for waiting requests.
    pub report_interval: Micros,
    /// Minimum time between two reports to the same allocator.
    pub min_report_spacing: Micros,
    /// Time after the last sending of a report at which it is retried if it is not answered.
    pub retry_report_after: Micros,
    /// Time after the first sending of a report at which its allocator is considered unavailable if the
    /// report is not answered.
    pub unavailable_after: Micros,
    /// Time after which a report is sent to an unavailable allocator again, to probe it. It is also the
    /// interval at which available allocators are probed while another one is unavailable.
    pub probe_after: Micros,
    /// Thousandths of an account's quota that the limiters which receive its requests share while its
    /// owner does not answer. 0 disables the fallback.
    pub fallback_thousandths: u32,
    /// Minimum burst of a limiter's fallback share, unless the fallback is disabled. With 0, a
    /// request for more units than the limiter's share of the burst is not served while the owner
    /// does not answer.
    pub fallback_min_burst: MilliUnits,
    /// Whether a request that finds too few leased units takes them from the fallback share, if
    /// that holds enough, instead of waiting for the owner. The next report includes this use. The
    /// number of units that may exceed the quota is then at all times bounded as it otherwise is
    /// during fallback.
    pub use_fallback_first: bool,
    /// Maximum number of accounts in memory.
    pub max_accounts: usize,
    /// Maximum number of waiting requests. Further requests that would have to wait are denied.
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
