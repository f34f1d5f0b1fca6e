//! The size to be carried in two years, and units of amounts.

use super::{two_digits, Amount};

pub const LIMITERS: f64 = 2_000.0;
pub const SERVERS: f64 = 21_000.0;
pub const SERVICES: f64 = 860.0;
pub const ROUTES: f64 = 10_000.0;
pub const TENANTS: f64 = 75_000.0;
/// Requests a second at each limiter.
pub const REQUESTS: f64 = 130.0;
/// What may be added to a request for 99 in 100, in microseconds.
pub const ADDED: f64 = 4_400.0;
pub const CONFIGURATION_CHANGES_A_DAY: f64 = 1_400.0;
/// Microseconds in which a change is in force everywhere.
pub const IN_FORCE: f64 = 6e6;
/// What a limiter may spend for control: part of a core, bytes of memory, bytes a second.
pub const CONTROL_CORE: f64 = 0.017;
pub const CONTROL_MEMORY: f64 = 128e6;
pub const CONTROL_BYTES: f64 = 4_000.0;
pub const CONTROL_MACHINES: f64 = 7.0;
/// Machines restarted or replaced a day, servers and limiters alike.
pub const RESTARTS_A_DAY: f64 = 6_400.0;
pub const ZONE_SERVERS: f64 = 1_600.0;
pub const ZONE_LIMITERS: f64 = 150.0;
pub const DAY: f64 = 86_400.0;

/// What is assumed and not given: entries of the list that one restart changes (drained, gone, back), servers of a rack,
/// seconds that a region is cut off.
pub const ENTRIES_OF_A_RESTART: f64 = 3.0;
pub const RACK_SERVERS: f64 = 40.0;
pub const CUT_SECONDS: f64 = 300.0;
/// Seconds between two readings of a limiter's figures.
pub const SCRAPE_SECONDS: f64 = 10.0;
/// Bytes of an account's entry in a batch, and of a message round a batch.
pub const BATCH_ENTRY: f64 = 24.0;
pub const BATCH_HEAD: f64 = 64.0;

/// Limits that stand in the program: the longest news of the server list, seconds that an idle connection to a server is
/// kept, microseconds of a turn at service discovery.
pub const LONGEST_NEWS: f64 = 4_194_304.0;
pub const IDLE_SECONDS: f64 = 30.0;
pub const TURN: f64 = 20_000.0;

/// Restarts of servers a day, by their part of all machines.
pub fn server_restarts() -> f64 {
    RESTARTS_A_DAY * SERVERS / (SERVERS + LIMITERS)
}

/// Restarts of limiters a day, by their part of all machines.
pub fn limiter_restarts() -> f64 {
    RESTARTS_A_DAY * LIMITERS / (SERVERS + LIMITERS)
}

/// Units of amounts.
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
    /// The amount in words.
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
