//! Reads the endpoint list or a change of it, from service discovery or from the key `known`.

use super::reader::Section;
use super::ConfigError;
use crate::decision::{Endpoint, Readiness};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};

/// Placeholder for the address of a removed endpoint, which may be absent.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// A full endpoint list, or a change of it.
#[derive(Debug, Default)]
pub struct EndpointUpdate {
    /// Version number of the list.
    pub generation: u64,
    /// Whether the update contains all endpoints, not only the changed ones.
    pub is_snapshot: bool,
    /// The endpoints, each with its address.
    pub endpoints: Vec<(Endpoint, SocketAddr)>,
}

/// Reads an endpoint list, or a change of it.
///
/// # Errors
///
/// Returns an error that names the key which is missing or has an invalid value.
pub fn read_endpoint_update(value: &Value) -> Result<EndpointUpdate, ConfigError> {
    let update = Section::new(value, "");
    let entries = update.required("instances", "a list", Value::as_array)?;
    Ok(EndpointUpdate {
        generation: update.required("generation", "a whole number", Value::as_u64)?,
        is_snapshot: update.optional("reset", false, "true or false", Value::as_bool)?,
        endpoints: entries
            .iter()
            .map(read_endpoint)
            .collect::<Result<_, _>>()?,
    })
}

fn read_endpoint(value: &Value) -> Result<(Endpoint, SocketAddr), ConfigError> {
    let entry = Section::new(value, "instances[]");
    let readiness = entry.required(
        "lifecycle",
        "in_service, terminating or terminated",
        read_readiness,
    )?;
    let endpoint = Endpoint {
        id: entry.text("instanceId")?.into(),
        zone: entry.text_or("zone", "")?,
        cell: entry.integer_or("cell", 0)?,
        readiness,
        weight: entry.number_or("weight", 1.0)?,
        started_at: entry.integer_or("startedAtMs", 0)?.saturating_mul(1_000),
    };
    let address = match readiness {
        Readiness::Removed => entry.address_or("hostPort", NO_ADDRESS)?,
        _ => entry.address("hostPort")?,
    };
    Ok((endpoint, address))
}

fn read_readiness(value: &Value) -> Option<Readiness> {
    match value.as_str()? {
        "in_service" => Some(Readiness::Ready),
        "terminating" => Some(Readiness::Draining),
        "terminated" => Some(Readiness::Removed),
        _ => None,
    }
}
