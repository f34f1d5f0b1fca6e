//! Reads the section `fleet`, which makes a limiter or an allocator a member of a fleet.

use super::reader::{parse_address, Section};
use super::ConfigError;
use crate::decision::Settings;
use crate::membership::datagram::MAX_LIMITERS;
use crate::membership::fleet::FleetSettings;
use crate::membership::format::Encoding;
use crate::membership::key::Key;
use crate::membership::version;
use crate::membership::view::ViewSettings;
use serde_json::Value;
use std::net::{SocketAddr, SocketAddrV4};

/// The keys of the section. Other keys are errors, so that a misspelled key does not silently get
/// its default.
const KEYS: [&str; 10] = [
    "name",
    "key",
    "listen",
    "address",
    "seeds",
    "period_ms",
    "out_per_s",
    "in_per_s",
    "forget_s",
    "kept",
];
/// Description of an address in error messages.
const IPV4_ADDRESS: &str = "an IPv4 host:port";
/// Minimum number of hexadecimal digits of the fleet's key.
const MIN_KEY_DIGITS: usize = 32;
/// Maximum length of the name of a fleet, in bytes.
const MAX_NAME_BYTES: usize = 16;

/// Identity of the process that reads the section.
#[derive(Clone, Copy)]
pub(super) struct Member {
    /// Number of the process in the fleet, from 0.
    pub(super) number: u32,
    /// Number of processes in the fleet.
    pub(super) fleet_size: u32,
    /// Seed of the random number generator of the membership protocol.
    pub(super) seed: u64,
}

impl Member {
    /// Creates the identity of the limiter with these settings.
    pub(super) fn limiter(settings: &Settings, seed: u64) -> Self {
        Self {
            number: settings.limiter,
            fleet_size: settings.limiters,
            seed,
        }
    }
}

/// Reads the key `fleet` of a file. Returns none if it is absent.
pub(super) fn read_membership(
    root: &Section<'_>,
    member: Member,
) -> Result<Option<FleetSettings>, ConfigError> {
    let section = root.section("fleet");
    if section.value.is_null() {
        return Ok(None);
    }
    check_keys(root, &section)?;
    if member.fleet_size > MAX_LIMITERS {
        return Err(ConfigError::FleetTooLarge {
            limiters: member.fleet_size,
            maximum: MAX_LIMITERS,
        });
    }
    let listen = section.required("listen", IPV4_ADDRESS, read_ipv4_address)?;
    let address = read_advertised_address(&section, listen)?;
    let seeds = read_seeds(&section, member.fleet_size)?;
    if !seeds.contains(&(member.number, address)) {
        return Err(ConfigError::SeedMissing {
            limiter: member.number,
            address,
        });
    }
    let key = Key::new(&read_key(&section)?);
    Ok(Some(FleetSettings {
        view: ViewSettings {
            limiter: member.number,
            limiters: member.fleet_size,
            encoding: Encoding::of(member.fleet_size),
            fleet: section.required("name", "text of 1 to 16 bytes", read_name)?,
            address,
            version: version::encode(env!("CARGO_PKG_VERSION")),
            seeds,
            protocol_period: section.integer_within("period_ms", 300, 50..=10_000)? * 1_000,
            max_sent_per_second: section.integer_within("out_per_s", 40, 10..=1_000)? as u32,
            max_received_per_second: section.integer_within("in_per_s", 40, 10..=1_000)? as u32,
            forget_after: section.integer_within("forget_s", 60, 5..=86_400)? * 1_000_000,
            guaranteed_share: section.optional(
                "kept",
                0.5,
                "a number from 0.05 to 0.95",
                read_guaranteed_share,
            )?,
        },
        listen: listen.into(),
        key,
        seed: member.seed,
    }))
}

fn check_keys(root: &Section<'_>, section: &Section<'_>) -> Result<(), ConfigError> {
    let Some(entries) = section.value.as_object() else {
        return Err(root.wrong_value("fleet", "an object"));
    };
    match entries.keys().find(|key| !KEYS.contains(&key.as_str())) {
        Some(key) => Err(ConfigError::UnknownKey {
            key: format!("fleet.{key}"),
        }),
        None => Ok(()),
    }
}

/// Reads the address at which other members reach this process.
fn read_advertised_address(
    section: &Section<'_>,
    listen: SocketAddrV4,
) -> Result<SocketAddrV4, ConfigError> {
    let address = section.optional("address", listen, IPV4_ADDRESS, read_ipv4_address)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(section.wrong_value(
            "address",
            "the host:port at which other limiters reach this one",
        ));
    }
    Ok(address)
}

/// Reads the list of seeds. Each number and each address may occur only once.
fn read_seeds(
    section: &Section<'_>,
    fleet_size: u32,
) -> Result<Vec<(u32, SocketAddrV4)>, ConfigError> {
    let last = u64::from(fleet_size) - 1;
    let wanted_number = format!("the number of a limiter, from 0 to {last}");
    let entries = section.required("seeds", "a list", Value::as_array)?;
    let mut seeds: Vec<(u32, SocketAddrV4)> = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        let entry = Section::new(entry, format!("fleet.seeds[{index}]"));
        let number = entry.required("limiter", &wanted_number, |value| {
            value.as_u64().filter(|number| *number <= last)
        })? as u32;
        let address = entry.required("address", IPV4_ADDRESS, |value| {
            read_ipv4_address(value).filter(|address| address.port() > 0)
        })?;
        if seeds.iter().any(|(other, _)| *other == number) {
            return Err(entry.wrong_value("limiter", "a number that no other seed has"));
        }
        if seeds.iter().any(|(_, other)| *other == address) {
            return Err(entry.wrong_value("address", "an address that no other seed has"));
        }
        seeds.push((number, address));
    }
    Ok(seeds)
}

/// Reads the fleet's key. Errors do not contain the value.
fn read_key(section: &Section<'_>) -> Result<Vec<u8>, ConfigError> {
    parse_hexadecimal(&section.value["key"]).ok_or(ConfigError::WrongSecret {
        key: "fleet.key",
        wanted: "32 hex digits or more",
    })
}

fn parse_hexadecimal(value: &Value) -> Option<Vec<u8>> {
    let text = value.as_str()?;
    if text.len() < MIN_KEY_DIGITS || text.len() % 2 != 0 || !text.is_ascii() {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok())
        .collect()
}

fn read_ipv4_address(value: &Value) -> Option<SocketAddrV4> {
    match parse_address(value.as_str()?)? {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    }
}

fn read_name(value: &Value) -> Option<String> {
    let name = value.as_str()?;
    (1..=MAX_NAME_BYTES)
        .contains(&name.len())
        .then(|| name.to_owned())
}

fn read_guaranteed_share(value: &Value) -> Option<f64> {
    value.as_f64().filter(|share| (0.05..=0.95).contains(share))
}
