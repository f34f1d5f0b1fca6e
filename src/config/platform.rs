//! Reads the configuration of a limiter on the platform.

use super::common::{
    bounded_descriptors, bounded_open_requests, MAX_DESCRIPTORS, MAX_OPEN_REQUESTS,
};
use super::decision::check_settings;
use super::endpoints::read_endpoint_update;
use super::membership::{read_membership, Member};
use super::memory::{max_accounts, max_recent_ids, memory_limits, MAX_MEMORY_MIB};
use super::reader::{parse, positive, Section};
use super::{CommonConfig, ConfigError, ConnectionSettings, EndpointUpdate};
use crate::decision::{Micros, Settings};
use crate::simulator::{self, Names};
use serde_json::Value;
use std::net::SocketAddr;

/// Keys, and the environment variables that replace them if they are absent from the file.
const ENVIRONMENT_VARIABLES: [(&str, &str); 4] = [
    ("name", "EDGE_NAME"),
    ("listen", "EDGE_LISTEN"),
    ("discovery", "EDGE_DISCOVERY"),
    ("control", "EDGE_CONTROL"),
];
/// Default time after which upstream servers close idle connections, in microseconds.
const DEFAULT_IDLE_TIMEOUT: Micros = 30_000_000;
/// Default time within which a connection must be established, in microseconds.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;

/// The configuration of a limiter on the platform.
pub struct PlatformConfig {
    /// Configuration that is common to all limiters.
    pub common: CommonConfig,
    /// Address of service discovery.
    pub discovery: SocketAddr,
    /// Address of the quota counter, if the platform has one.
    pub quota_counter: Option<SocketAddr>,
    /// Names of request classes and plans.
    pub names: Names,
    /// Names of the fields of a load report, in the order of the decision engine's settings.
    pub load_fields: Vec<String>,
    /// Maximum number of units of a request.
    pub max_units: f64,
}

/// Reads the configuration of a limiter on the platform. `env` looks up the environment variables
/// that replace absent keys.
///
/// # Errors
///
/// Returns an error that names the first key which is missing or has an invalid value.
pub fn platform(
    text: &str,
    env: impl Fn(&str) -> Option<String>,
) -> Result<PlatformConfig, ConfigError> {
    let mut file = parse(text)?;
    if !file.is_object() {
        return Err(ConfigError::NotAnObject);
    }
    for (key, variable) in ENVIRONMENT_VARIABLES {
        if !file[key].is_null() {
            continue;
        }
        if let Some(text) = env(variable) {
            file[key] = Value::String(text);
        }
    }
    read_platform(&Section::new(&file, ""))
}

fn read_platform(root: &Section<'_>) -> Result<PlatformConfig, ConfigError> {
    let section = root.section("settings");
    let mut settings = read_settings(root)?;
    let machine_limits = root.section("limits");
    let sockets = machine_limits.integer_or("sockets", MAX_DESCRIPTORS)?;
    let memory_mib = machine_limits.number_or("memory_mb", MAX_MEMORY_MIB)?;
    settings.max_accounts = Some(max_accounts(memory_mib));
    let seed = root.optional("seed", 0, "16 hex digits", |value| {
        u64::from_str_radix(value.as_str()?, 16).ok()
    })?;
    let quota_counter = root.optional_address("counter")?;
    check_peers(root, &settings, quota_counter)?;
    let initial_endpoints = read_known_endpoints(root)?;
    let max_open = section
        .section("limits")
        .integer_or("maxOpen", MAX_OPEN_REQUESTS)?;
    let connections = read_connection_settings(&section)?;
    let names = Names::from_settings(section.value);
    Ok(PlatformConfig {
        discovery: root.address("discovery")?,
        quota_counter,
        load_fields: read_load_fields(&section)?,
        max_units: read_max_units(&section)?,
        common: CommonConfig {
            name: root.text("name")?.to_owned(),
            listen: root.address("listen")?,
            admin_address: root.optional_address("control")?,
            upgrade_folder: None,
            membership: read_membership(root, Member::limiter(&settings, seed))?,
            quota_leases: None,
            class_names: names.classes().to_vec(),
            seed,
            max_descriptors: bounded_descriptors(sockets),
            max_open_requests: bounded_open_requests(max_open),
            max_recent_ids: max_recent_ids(memory_mib),
            memory: memory_limits(memory_mib),
            connections,
            settings,
            initial_endpoints,
        },
        names,
    })
}

fn read_connection_settings(settings: &Section<'_>) -> Result<ConnectionSettings, ConfigError> {
    let limits = settings.section("limits");
    Ok(ConnectionSettings {
        idle_timeout: limits.micros_or("connIdle", DEFAULT_IDLE_TIMEOUT)?,
        connect_timeout: limits.micros_or("connectTimeout", DEFAULT_CONNECT_TIMEOUT)?,
    })
}

fn read_max_units(settings: &Section<'_>) -> Result<f64, ConfigError> {
    settings
        .section("specifics")
        .optional("unitsTop", f64::MAX, "a number above 0", positive)
}

fn read_settings(root: &Section<'_>) -> Result<Settings, ConfigError> {
    let value = root.required("settings", "an object", |value| {
        value.is_object().then_some(value)
    })?;
    let settings = simulator::parse_settings(value).map_err(ConfigError::Settings)?;
    check_settings(&settings)?;
    Ok(settings)
}

/// Checks that the addresses of the counter and the fleet are consistent with the settings.
fn check_peers(
    root: &Section<'_>,
    settings: &Settings,
    quota_counter: Option<SocketAddr>,
) -> Result<(), ConfigError> {
    if settings.counter && quota_counter.is_none() {
        return Err(root.wrong_value("counter", "host:port"));
    }
    if root.value["fleet"].is_object() && !settings.limits.peer_messages {
        return Err(ConfigError::Inconsistent {
            key: "fleet",
            reason: "is present, but the settings do not allow messages between limiters",
        });
    }
    Ok(())
}

fn read_known_endpoints(root: &Section<'_>) -> Result<EndpointUpdate, ConfigError> {
    let known = &root.value["known"];
    if known.is_null() {
        return Ok(EndpointUpdate::default());
    }
    read_endpoint_update(known).map_err(|source| ConfigError::InSection {
        key: "known",
        source: Box::new(source),
    })
}

fn read_load_fields(settings: &Section<'_>) -> Result<Vec<String>, ConfigError> {
    let read_names = |value: &Value| {
        value
            .as_array()?
            .iter()
            .map(|field| field.as_str().map(str::to_owned))
            .collect()
    };
    settings
        .section("loadInfo")
        .optional("fields", Vec::new(), "a list of names", read_names)
}
