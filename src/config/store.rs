//! Reads the section `store`: the store through which limiters with an OpenAPI front share the use
//! of quotas.

use super::reader::Section;
use super::{ConfigError, QuotaLeaseConfig};
use serde_json::Value;
use std::net::SocketAddr;

/// Description of the kinds of stores in error messages.
const KINDS: &str = "none, redis, quota-counter or leases";

/// The store through which limiters share the use of quotas.
#[derive(Clone, Copy, Debug)]
pub enum StoreConfig {
    /// No store: the limiter is the only one, or each limiter uses its fixed share of every quota.
    None,
    /// A Redis server.
    Redis(SocketAddr),
    /// The platform's quota counter.
    HttpCounterProtocol(SocketAddr),
    /// Allocators of quota leases.
    Leases,
}

impl StoreConfig {
    /// Whether the store is a counter that all limiters add to.
    pub(super) fn has_counter(self) -> bool {
        matches!(self, Self::Redis(_) | Self::HttpCounterProtocol(_))
    }
}

/// The content of the section `store`.
pub(super) struct StoreSection {
    /// Kind and address of the store.
    pub(super) store: StoreConfig,
    /// Configuration of quota leases, if the store is [`StoreConfig::Leases`].
    pub(super) leases: Option<QuotaLeaseConfig>,
}

/// Reads the section `store` from the file of the limiter with this number.
pub(super) fn read_store(root: &Section<'_>, limiter: u32) -> Result<StoreSection, ConfigError> {
    let section = root.section("store");
    let kind = section.optional("kind", "none", KINDS, Value::as_str)?;
    let store = match kind {
        "none" => StoreConfig::None,
        "redis" => StoreConfig::Redis(section.address("address")?),
        "quota-counter" => StoreConfig::HttpCounterProtocol(section.address("address")?),
        "leases" => {
            let leases = QuotaLeaseConfig::from_store(section.value, limiter)?;
            return Ok(StoreSection {
                store: StoreConfig::Leases,
                leases: Some(leases),
            });
        }
        _ => return Err(section.wrong_value("kind", KINDS)),
    };
    Ok(StoreSection {
        store,
        leases: None,
    })
}
