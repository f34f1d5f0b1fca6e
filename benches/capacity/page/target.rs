//! The size that the system has to support in two years, and the units of amounts.

use super::{two_digits, Amount};

pub const LIMITERS: f64 = 2_000.0;
pub const SERVERS: f64 = 21_000.0;
pub const SERVICES: f64 = 860.0;
pub const ROUTES: f64 = 10_000.0;
pub const TENANTS: f64 = 75_000.0;
/// Requests per second at each limiter.
pub const REQUESTS_PER_SECOND: f64 = 130.0;
/// Largest latency that may be added to 99 in 100 requests.
pub const ADDED_LATENCY_MICROS: f64 = 4_400.0;
pub const CONFIGURATION_CHANGES_PER_DAY: f64 = 1_400.0;
/// Time within which a change has to be in force everywhere.
pub const CHANGE_IN_FORCE_MICROS: f64 = 6e6;
/// Part of a CPU core that a limiter may use for control tasks.
pub const CONTROL_CORES: f64 = 0.017;
/// Memory that a limiter may use for control tasks.
pub const CONTROL_MEMORY_BYTES: f64 = 128e6;
/// Traffic that a limiter may use for control tasks.
pub const CONTROL_BYTES_PER_SECOND: f64 = 4_000.0;
/// Control machines, over which the quota counter is divided.
pub const CONTROL_MACHINES: f64 = 7.0;
/// Machines restarted or replaced per day, servers and limiters together.
pub const RESTARTS_PER_DAY: f64 = 6_400.0;
pub const ZONE_SERVERS: f64 = 1_600.0;
pub const ZONE_LIMITERS: f64 = 150.0;
pub const DAY_SECONDS: f64 = 86_400.0;

/// Entries of the endpoint list that one restart changes: drained, gone and back. An assumption.
pub const ENTRIES_PER_RESTART: f64 = 3.0;
/// Servers in a rack. An assumption.
pub const RACK_SERVERS: f64 = 40.0;
/// Seconds for which a region is cut off. An assumption.
pub const REGION_CUT_SECONDS: f64 = 300.0;
/// Seconds between two reads of a limiter's metrics.
pub const SCRAPE_SECONDS: f64 = 10.0;
/// Bytes of an account's entry in a batch.
pub const BATCH_ENTRY_BYTES: f64 = 24.0;
/// Bytes of a batch without its entries.
pub const BATCH_HEADER_BYTES: f64 = 64.0;

/// The longest endpoint list that the program accepts, in bytes.
pub const MAX_UPDATE_BYTES: f64 = 4_194_304.0;
/// Seconds for which the program keeps an idle connection to a server.
pub const IDLE_CONNECTION_SECONDS: f64 = 30.0;
/// Time that service discovery takes for one caller; it handles one after another.
pub const DISCOVERY_POLL_MICROS: f64 = 20_000.0;

/// Returns the restarts of servers per day, in proportion to their share of all machines.
pub fn server_restarts() -> f64 {
    RESTARTS_PER_DAY * SERVERS / (SERVERS + LIMITERS)
}

/// Returns the restarts of limiters per day, in proportion to their share of all machines.
pub fn limiter_restarts() -> f64 {
    RESTARTS_PER_DAY * LIMITERS / (SERVERS + LIMITERS)
}

/// Unit of an amount.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    Microseconds,
    Bytes,
    BytesPerSecond,
    Cores,
    CallsPerSecond,
    Limiters,
}

impl Amount {
    /// Formats the amount with its unit.
    pub fn text(self) -> String {
        let Self(value, unit) = self;
        match unit {
            Unit::Microseconds if value >= 1e6 => format!("{} s", two_digits(value / 1e6)),
            Unit::Microseconds if value >= 1e3 => format!("{} ms", two_digits(value / 1e3)),
            Unit::Microseconds => format!("{} us", two_digits(value)),
            Unit::Bytes => bytes(value),
            Unit::BytesPerSecond => format!("{}/s", bytes(value)),
            Unit::Cores => format!("{}% of a core", two_digits(value * 100.0)),
            Unit::CallsPerSecond => format!("{value:.0} calls/s"),
            Unit::Limiters => format!("{value:.0} limiters"),
        }
    }
}

fn bytes(value: f64) -> String {
    match value {
        _ if value >= 1e6 => format!("{} MB", two_digits(value / 1e6)),
        _ if value >= 1e3 => format!("{} KB", two_digits(value / 1e3)),
        _ => format!("{} B", two_digits(value)),
    }
}
