//! The configuration that is common to all limiters, independent of the protocols that they use.

use super::{EndpointUpdate, QuotaLeaseConfig};
use crate::decision::Settings;
use crate::membership::fleet::FleetSettings;
use crate::memory::MemoryLimits;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Maximum number of requests that may be open at once. Larger configured values are reduced to it,
/// as each open request may hold a buffer.
pub(super) const MAX_OPEN_REQUESTS: u64 = 1_000;
/// Default and maximum number of file descriptors.
pub(super) const MAX_DESCRIPTORS: u64 = 1_024;
/// The configuration that is common to all limiters.
pub struct CommonConfig {
    /// Name of the limiter. It stays the same over restarts.
    pub name: String,
    /// Address that the limiter accepts client connections on.
    pub listen: SocketAddr,
    /// Address of the admin interface, if it is enabled.
    pub admin_address: Option<SocketAddr>,
    /// Folder that this process shares with its predecessor and its successor in upgrades. Without
    /// it, no process can take over from this one.
    pub upgrade_folder: Option<PathBuf>,
    /// Configuration of the membership protocol, if the limiter is a member of a fleet.
    pub membership: Option<FleetSettings>,
    /// Configuration of quota leases, if the limiter uses them.
    pub quota_leases: Option<QuotaLeaseConfig>,
    /// Names of the request classes, as operators see them in metrics.
    pub class_names: Vec<String>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// Maximum number of requests that may be open at once.
    pub max_open_requests: usize,
    /// Maximum number of ids that are kept so that their requests do not run again.
    pub max_recent_ids: usize,
    /// How the memory limit of the process is divided.
    pub memory: MemoryLimits,
    /// Timeouts of connections to upstream servers.
    pub connections: ConnectionSettings,
    /// Settings of the decision engine.
    pub settings: Settings,
    /// Endpoint list that is used from the start, before any update.
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

/// Limits the configured number of file descriptors to [`MAX_DESCRIPTORS`].
pub(super) fn bounded_descriptors(configured: u64) -> usize {
    configured.min(MAX_DESCRIPTORS) as usize
}

/// Limits the configured number of open requests to the range from 1 to [`MAX_OPEN_REQUESTS`].
pub(super) fn bounded_open_requests(configured: u64) -> usize {
    configured.clamp(1, MAX_OPEN_REQUESTS) as usize
}
