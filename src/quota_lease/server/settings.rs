//! Settings of the server of an allocator.

use crate::membership::fleet::FleetSettings;
use crate::quota_lease::frame::Timeouts;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a [`Server`](super::Server).
#[derive(Clone)]
pub struct ServerSettings {
    /// Number of the allocator, from 0.
    pub number: u32,
    /// Number of allocators.
    pub allocators: u32,
    /// Local address that limiters connect to.
    pub listen: SocketAddr,
    /// Number of limiters, which are numbered from 0.
    pub limiters: u32,
    /// Duration of a lease.
    pub lifetime: Duration,
    /// The most accounts in memory.
    pub accounts: usize,
    /// Timeouts after which a connection is closed.
    pub timeouts: Timeouts,
    /// Interval between two lines of figures in the log.
    pub log_interval: Duration,
    /// The most open connections.
    pub connections: usize,
    /// Settings of the member of the fleet of allocators.
    pub fleet: FleetSettings,
}
