//! Settings of the allocator's server.

use crate::membership::fleet::FleetSettings;
use crate::quota_lease::frame::Timeouts;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a [`Server`](super::Server).
#[derive(Clone)]
pub struct ServerSettings {
    /// Number of this allocator, from 0.
    pub number: u32,
    /// Number of allocators in the fleet.
    pub allocators: u32,
    /// Local address that limiters connect to.
    pub listen: SocketAddr,
    /// Number of limiters, which are numbered from 0.
    pub limiters: u32,
    /// Duration of a quota lease.
    pub lifetime: Duration,
    /// Maximum number of accounts in memory.
    pub accounts: usize,
    /// Timeouts for reading reports and writing grants. A connection that exceeds one is closed.
    pub timeouts: Timeouts,
    /// Interval at which metrics are logged.
    pub log_interval: Duration,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Settings of this allocator's membership in the fleet of allocators.
    pub fleet: FleetSettings,
}
