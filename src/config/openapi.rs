//! Reads the configuration of a limiter with an OpenAPI front.

use super::accounts::{read_accounts, read_plan, AccountConfig, NamedPlan};
use super::common::{
    bounded_descriptors, bounded_open_requests, MAX_DESCRIPTORS, MAX_OPEN_REQUESTS,
};
use super::decision::check_settings;
use super::membership::{read_membership, Member};
use super::memory::{max_recent_ids, memory_limits, MAX_MEMORY_MIB};
use super::reader::{parse, Section};
use super::store::{read_store, StoreConfig, StoreSection};
use super::{CommonConfig, ConfigError, ConnectionSettings, EndpointUpdate, QuotaLeaseConfig};
use crate::decision::{Endpoint, Limits, Micros, Prices, Readiness, Safety, Settings};
use crate::openapi::description::Description;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two ticks of the decision engine, in microseconds.
const TICK: Micros = 2_000;
/// Default name of the header that contains the account.
const DEFAULT_ACCOUNT_HEADER: &str = "X-Agent-Account";
/// Safety rules of the decision engine. They are not configurable.
const SAFETY: Safety = Safety {
    drain_grace: 1_000_000,
    initial_capacity: 0.2,
    slow_start: 13_000_000,
    overload_multiple: 4.0,
    overload_window: 3_000_000,
};

/// The configuration of a limiter with an OpenAPI front.
pub struct OpenApiConfig {
    /// Configuration that is common to all limiters.
    pub common: CommonConfig,
    /// Routes, request classes and units, from the OpenAPI description.
    pub description: Description,
    /// Name of the header that contains the account.
    pub account_header: String,
    /// Accounts by name.
    pub accounts: HashMap<String, AccountConfig>,
    /// Store through which limiters share the use of quotas.
    pub store: StoreConfig,
}

/// Reads the configuration of a limiter with an OpenAPI front. `read` reads the OpenAPI
/// description; its argument is a path relative to the folder of the configuration file.
///
/// # Errors
///
/// Returns an error that names the first key which is missing or has an invalid value. For the
/// OpenAPI description, the error lists all errors in it.
pub fn openapi(
    text: &str,
    read: impl Fn(&str) -> Result<String, String>,
) -> Result<OpenApiConfig, ConfigError> {
    let file = parse(text)?;
    let root = Section::new(&file, "");
    let description = read_description(&root, read)?;
    let limiters = read_limiters(&root)?;
    let plans = root.entries("plans", read_plan)?;
    let accounts = read_accounts(&root, &plans, limiters.count)?;
    let endpoints = root.entries("ticket_nodes", read_endpoint)?;
    let store = read_store(&root, limiters.number)?;
    let settings = read_settings(&root, limiters, &description, plans, &store)?;
    check_settings(&settings)?;
    let common = read_common(&root, settings, store.leases, &description, endpoints)?;
    Ok(OpenApiConfig {
        common,
        account_header: root.text_or("account_header", DEFAULT_ACCOUNT_HEADER)?,
        accounts,
        description,
        store: store.store,
    })
}

fn read_description(
    root: &Section<'_>,
    read: impl Fn(&str) -> Result<String, String>,
) -> Result<Description, ConfigError> {
    let file = root.text("description")?;
    let text = read(file).map_err(|reason| ConfigError::DescriptionUnreadable {
        file: file.to_owned(),
        reason,
    })?;
    Description::read(&text).map_err(|source| ConfigError::Description {
        file: file.to_owned(),
        source,
    })
}

/// The limiters that share the quotas.
#[derive(Clone, Copy)]
struct Limiters {
    /// Number of this limiter, from 0.
    number: u32,
    /// Total number of limiters.
    count: u32,
}

fn read_limiters(root: &Section<'_>) -> Result<Limiters, ConfigError> {
    let section = root.section("limiters");
    Ok(Limiters {
        number: section.integer_or("me", 0)? as u32,
        count: section.integer_or("all", 1)? as u32,
    })
}

fn read_endpoint(entry: Section<'_>) -> Result<(Endpoint, SocketAddr), ConfigError> {
    let endpoint = Endpoint {
        id: entry.text("name")?.into(),
        zone: entry.text_or("zone", "")?,
        cell: entry.integer_or("cell", 0)?,
        readiness: Readiness::Ready,
        weight: entry.number_or("weight", 1.0)?,
        started_at: 0,
    };
    Ok((endpoint, entry.address("address")?))
}

fn read_settings(
    root: &Section<'_>,
    limiters: Limiters,
    description: &Description,
    plans: Vec<NamedPlan<'_>>,
    store: &StoreSection,
) -> Result<Settings, ConfigError> {
    let limits = root.section("limits");
    Ok(Settings {
        limiter: limiters.number,
        limiters: limiters.count,
        zone: root.text_or("zone", "")?,
        tick: TICK,
        classes: description.classes.clone(),
        plans: plans.into_iter().map(|named| named.plan).collect(),
        limits: Limits {
            max_attempts: limits.integer_or("max_attempts", 4)? as u32,
            cancel: true,
            health_checks: false,
            peer_messages: false,
            hedging: true,
            max_retry_after: limits.integer_or("max_retry_after_ms", 1_000)? * 1_000,
        },
        safety: SAFETY,
        prices: Prices {
            waste: 0.05,
            counter_call: 0.01,
            ..Prices::default()
        },
        counter: store.store.has_counter(),
        quota_leases: store.leases.is_some(),
        counter_timeout: root.section("store").integer_or("timeout_ms", 50)?.max(1) * 1_000,
        server_weights: true,
        ..Settings::default()
    })
}

fn read_common(
    root: &Section<'_>,
    settings: Settings,
    leases: Option<QuotaLeaseConfig>,
    description: &Description,
    endpoints: Vec<(Endpoint, SocketAddr)>,
) -> Result<CommonConfig, ConfigError> {
    let limits = root.section("limits");
    let memory_mib = limits.number_or("memory_mb", MAX_MEMORY_MIB)?;
    let seed = root.integer_or("seed", u64::from(std::process::id()))?;
    let connections = ConnectionSettings {
        idle_timeout: Duration::from_millis(limits.integer_or("idle_ms", 30_000)?),
        connect_timeout: Duration::from_millis(limits.integer_or("connect_ms", 250)?.max(1)),
    };
    Ok(CommonConfig {
        name: root.text_or("name", "openapi")?,
        listen: root.address("listen")?,
        admin_address: root.optional_address("control")?,
        upgrade_folder: None,
        membership: read_membership(root, Member::limiter(&settings, seed))?,
        quota_leases: leases,
        class_names: description.class_names.clone(),
        seed,
        max_descriptors: bounded_descriptors(limits.integer_or("sockets", MAX_DESCRIPTORS)?),
        max_open_requests: bounded_open_requests(limits.integer_or("max_open", MAX_OPEN_REQUESTS)?),
        max_recent_ids: max_recent_ids(memory_mib),
        memory: memory_limits(memory_mib),
        connections,
        settings,
        initial_endpoints: EndpointUpdate {
            generation: 0,
            is_snapshot: true,
            endpoints,
        },
    })
}
