//! The configuration that every limiter has, whatever protocols it uses.

use super::{EndpointUpdate, QuotaLeaseConfig};
use crate::decision::Settings;
use crate::membership::fleet::FleetSettings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The largest number of requests that may be open at once, whatever the settings allow: each may hold a buffer.
pub(super) const MAX_OPEN_REQUESTS: u64 = 1_000;
/// The default and the largest number of file descriptors.
pub(super) const MAX_DESCRIPTORS: u64 = 1_024;

/// The configuration that every limiter has.
pub struct CommonConfig {
    /// Name of the limiter, the same after a restart.
    pub name: String,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address of the admin interface, if there is one.
    pub admin_address: Option<SocketAddr>,
    /// The folder that this process shares with its predecessor and its successor in an upgrade.
    pub common_folder: Option<PathBuf>,
    /// Configuration of the membership protocol, if limiters know each other.
    pub membership: Option<FleetSettings>,
    /// Configuration of quota leases, if units are leased.
    pub quota_leases: Option<QuotaLeaseConfig>,
    /// Names of the request classes, for operators.
    pub class_names: Vec<String>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// File descriptors in all.
    pub max_descriptors: usize,
    /// Requests that may be open at once.
    pub max_open_requests: usize,
    /// Timeouts of connections to upstream servers.
    pub connections: ConnectionSettings,
    /// Settings of the decision module.
    pub settings: Settings,
    /// The endpoint list that is known at the start.
    pub initial_endpoints: EndpointUpdate,
}

/// Timeouts of connections to upstream servers.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// Time after which an upstream server closes an idle connection.
    pub idle_timeout: Duration,
    /// Time within which a connection must be established.
    pub connect_timeout: Duration,
}

/// Bounds the configured number of file descriptors.
pub(super) fn bounded_descriptors(configured: u64) -> usize {
    configured.min(MAX_DESCRIPTORS) as usize
}

/// Bounds the configured number of open requests; at least one may be open.
pub(super) fn bounded_open_requests(configured: u64) -> usize {
    configured.clamp(1, MAX_OPEN_REQUESTS) as usize
}
