//! The section `store`: where the limiters with an OpenAPI front share their counts.

use super::reader::Section;
use super::{ConfigError, QuotaLeaseConfig};
use serde_json::Value;
use std::net::SocketAddr;

/// The kinds of stores, as errors name them.
const KINDS: &str = "none, redis, quota-counter or leases";

/// Where the limiters share their counts.
#[derive(Clone, Copy, Debug)]
pub enum StoreConfig {
    /// Nowhere: the limiter is alone, or each keeps its share of every quota.
    None,
    /// A Redis server.
    Redis(SocketAddr),
    /// The platform's quota counter.
    HttpCounterProtocol(SocketAddr),
    /// Allocators of quota leases.
    Leases,
}

impl StoreConfig {
    /// Whether limiters add to a common counter.
    pub(super) fn has_counter(self) -> bool {
        matches!(self, Self::Redis(_) | Self::HttpCounterProtocol(_))
    }
}

/// The section `store`.
pub(super) struct Store {
    /// The kind of store, with its address.
    pub(super) store: StoreConfig,
    /// Configuration of quota leases, for a store of that kind.
    pub(super) leases: Option<QuotaLeaseConfig>,
}

/// Reads the key `store` of the file of the limiter with this number.
pub(super) fn read_store(root: &Section<'_>, limiter: u32) -> Result<Store, ConfigError> {
    let section = root.section("store");
    let kind = section.optional("kind", "none", KINDS, Value::as_str)?;
    let store = match kind {
        "none" => StoreConfig::None,
        "redis" => StoreConfig::Redis(section.address("address")?),
        "quota-counter" => StoreConfig::HttpCounterProtocol(section.address("address")?),
        "leases" => {
            let leases = QuotaLeaseConfig::from_store(section.value, limiter)?;
            return Ok(Store {
                store: StoreConfig::Leases,
                leases: Some(leases),
            });
        }
        _ => return Err(section.wrong("kind", KINDS)),
    };
    Ok(Store {
        store,
        leases: None,
    })
}
