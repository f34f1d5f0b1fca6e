//! Scenario files: what a run plays, read from TOML and checked before anything starts.

mod check;
mod event;

pub use event::{Event, TimedEvent};

use serde::{Deserialize, Serialize};
use std::path::Path;

/// Memory that one run may take on the machine.
pub const MEMORY_LIMIT_BYTES: u64 = 12 << 30;
/// Processes that one run may start.
pub const PROCESS_LIMIT: u32 = 300;
/// Memory of one entry of the server list at a hollow limiter.
pub const LIST_ENTRY_BYTES: u64 = 16;
/// Memory that a limiter takes for each entry while it reads the whole list, and that its thread's heap keeps afterwards:
/// 30.6 MB a limiter were measured with 21,000 entries.
pub const LIST_READ_BYTES: u64 = 1_460;
/// Memory of a hollow limiter apart from list and accounts: threads, buffers, its gateway.
pub const HOLLOW_BASE_BYTES: u64 = 256 << 10;
/// Memory of one account at one hollow limiter.
pub const ACCOUNT_BYTES: u64 = 700;
/// Memory of one real limiter process.
pub const REAL_LIMITER_BYTES: u64 = 128 << 20;
/// Stand-ins and the controller itself.
const OWN_PROCESSES: u32 = 5;
const OWN_BYTES: u64 = 512 << 20;

/// Why a scenario is refused. Each fault names the file, and the key where there is one.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("{file}: {fault}")]
    Unreadable {
        /// The file.
        file: String,
        /// What the system said.
        fault: std::io::Error,
    },
    /// The file is not TOML, or a key is unknown, missing or of the wrong type.
    #[error("{file}: {fault}")]
    Malformed {
        /// The file.
        file: String,
        /// Line, key and reason.
        fault: Box<toml::de::Error>,
    },
    /// A value can't be played.
    #[error("{file}: key \"{key}\": {reason}")]
    Value {
        /// The file.
        file: String,
        /// The faulty key with its path.
        key: String,
        /// Why.
        reason: String,
    },
}

/// A run as it is written in a scenario file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, for reports.
    pub name: String,
    /// How long the plays last after their start.
    pub duration_s: u32,
    /// Seeds of the random numbers; every seed is one run.
    pub seeds: Vec<u64>,
    /// Sizes of the system.
    pub sizes: Sizes,
    /// Traffic of the whole fleet.
    pub traffic: Traffic,
    /// Hollow limiters that watch the server list over TCP, in real time.
    pub hollow: Option<Hollow>,
    /// The fleet's membership, in virtual time.
    pub membership: Option<Membership>,
    /// Real processes under traffic, in real time.
    pub real: Option<Real>,
    /// Quotas over all limiters, in virtual time.
    pub quota: Option<Quota>,
    /// What happens, by time.
    #[serde(default)]
    pub events: Vec<TimedEvent>,
}

/// Sizes of the system.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Hollow limiters.
    pub limiters: u32,
    /// Entries of the server list.
    pub servers: u32,
    /// Services among which the servers are divided.
    pub services: u32,
    /// Zones.
    pub zones: u32,
    /// Regions; zones are dealt out among them.
    pub regions: u32,
    /// Tenants, before `traffic.scale`.
    pub tenants: u32,
    /// Routes of the configuration.
    pub routes: u32,
}

/// Traffic of the whole fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Requests a second, before `scale`.
    pub requests_per_s: f64,
    /// Zipf exponent of the tenants' shares.
    pub tenant_skew: f64,
    /// Number of limiters that an account's requests come through.
    pub spread: u32,
    /// Share of all traffic that one tenant has on its own; the others share the rest by Zipf.
    #[serde(default)]
    pub giant_share: f64,
    /// Further tenants with one request a minute each, before `scale`.
    #[serde(default)]
    pub small_tenants: u32,
    /// Mean units of a request.
    pub mean_units: f64,
    /// Part of tenants and traffic that is played: a system with this part of both, and with all limiters.
    pub scale: f64,
    /// Quota of a tenant as a multiple of its mean demand.
    #[serde(default = "default_headroom")]
    pub quota_headroom: f64,
    /// Share of tenants whose quota is half of their demand.
    #[serde(default = "default_over_quota_share")]
    pub over_quota_share: f64,
}

fn default_headroom() -> f64 {
    1.5
}

fn default_over_quota_share() -> f64 {
    0.1
}

/// Hollow limiters that watch the server list over TCP.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hollow {
    /// They also decide drawn requests and call the counter stand-in over TCP.
    pub counter: bool,
}

/// The fleet's membership in virtual time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// Members that are played; the state machine has its own upper limit.
    pub members: u32,
    /// Part of the datagrams that is lost.
    pub loss: f64,
}

/// Real processes under traffic.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Real {
    /// Processes.
    pub limiters: u32,
    /// Upstream servers.
    pub servers: u32,
    /// Mean time that an upstream server takes.
    pub server_mean_ms: f64,
    /// Requests a second over all processes.
    pub requests_per_s: f64,
    /// Accounts of the file made for the run.
    pub accounts: u32,
}

/// Quotas over all limiters in virtual time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// What keeps the quotas; every mechanism listed is played on the same traffic in turn.
    pub mechanisms: Vec<Mechanism>,
    /// Machines set aside for control.
    pub control_machines: u32,
    /// Round trip between a limiter and a control machine of its region.
    pub round_trip_ms: f64,
    /// Round trip to a control machine of another region.
    pub far_round_trip_ms: f64,
    /// Seconds of traffic before the play, so that buckets and leases are as in steady state.
    pub warm_up_s: u32,
    /// With leases: a request that finds none takes units of the fallback part at once, in place of waiting.
    #[serde(default)]
    pub trust: bool,
    /// With leases: the least number of units that a limiter's fallback part holds.
    #[serde(default)]
    pub fallback_least: f64,
    /// With leases: reports for which requests wait go out no closer than this.
    #[serde(default = "default_spacing_ms")]
    pub spacing_ms: f64,
}

/// Closest reports, in milliseconds, where a scenario says nothing: as the holder has it.
fn default_spacing_ms() -> f64 {
    mossrill::quota_lease::holder::HolderSettings::default().spacing as f64 / 1e3
}

/// What keeps the quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Calls of the shared counter.
    Counter,
    /// Leases of units from the control machines.
    Leases,
}

/// Reads and checks a scenario file.
pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
    load_with(path, &[])
}

/// Reads a scenario file, puts values in place of its own (`traffic.spread=32`), and checks it.
pub fn load_with(path: &Path, overrides: &[String]) -> Result<Scenario, ScenarioError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|fault| ScenarioError::Unreadable {
        file: file.clone(),
        fault,
    })?;
    if overrides.is_empty() {
        return parse(&file, &text);
    }
    let malformed = |fault| ScenarioError::Malformed {
        file: file.clone(),
        fault: Box::new(fault),
    };
    let mut table: toml::Table = toml::from_str(&text).map_err(malformed)?;
    for entry in overrides {
        set(&mut table, entry).map_err(|reason| ScenarioError::Value {
            file: file.clone(),
            key: entry.clone(),
            reason,
        })?;
    }
    parse(&file, &table.to_string())
}

/// Puts `path.to.key=value` into a table.
fn set(table: &mut toml::Table, entry: &str) -> Result<(), String> {
    let (path, value) = entry.split_once('=').ok_or("wanted KEY=VALUE")?;
    let mut parsed: toml::Table =
        toml::from_str(&format!("value = {value}")).map_err(|fault| fault.to_string())?;
    let value = parsed.remove("value").ok_or("wanted KEY=VALUE")?;
    let mut keys: Vec<&str> = path.split('.').collect();
    let last = keys.pop().unwrap_or_default().to_owned();
    let mut inner = table;
    for key in keys {
        let next = inner.get_mut(key).and_then(toml::Value::as_table_mut);
        inner = next.ok_or_else(|| format!("there is no section \"{key}\""))?;
    }
    inner.insert(last, value);
    Ok(())
}

/// Reads and checks the text of a scenario file.
pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
    let mut scenario: Scenario =
        toml::from_str(text).map_err(|fault| ScenarioError::Malformed {
            file: file.into(),
            fault: Box::new(fault),
        })?;
    check::check(&scenario).map_err(|refused| ScenarioError::Value {
        file: file.into(),
        key: refused.key,
        reason: refused.reason,
    })?;
    scenario.events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    Ok(scenario)
}

impl Scenario {
    /// Processes of the run: one hollow process for each zone, the real ones, and the stand-ins.
    pub fn processes(&self) -> u32 {
        let hollow = if self.hollow.is_some() {
            self.sizes.zones
        } else {
            0
        };
        let real = self.real.as_ref().map_or(0, |real| real.limiters);
        hollow.saturating_add(real).saturating_add(OWN_PROCESSES)
    }

    /// Memory that the run takes at most, in bytes.
    pub fn memory_estimate(&self) -> u64 {
        let sizes = &self.sizes;
        let limiters = u64::from(sizes.limiters);
        let accounts = self.accounts_seen_by_a_limiter() * ACCOUNT_BYTES;
        let list = u64::from(sizes.servers) * LIST_ENTRY_BYTES;
        let counter = self.hollow.as_ref().is_some_and(|hollow| hollow.counter);
        let each = list + HOLLOW_BASE_BYTES + if counter { accounts } else { 0 };
        let read = u64::from(sizes.servers) * LIST_READ_BYTES;
        let hollow = if self.hollow.is_some() {
            limiters.saturating_mul(each + read)
        } else {
            0
        };
        let quota = if self.quota.is_some() {
            limiters.saturating_mul(accounts)
        } else {
            0
        };
        let real = self
            .real
            .as_ref()
            .map_or(0, |real| u64::from(real.limiters) * REAL_LIMITER_BYTES);
        hollow
            .max(quota)
            .saturating_add(real)
            .saturating_add(OWN_BYTES)
    }

    /// Accounts that a limiter may come to know: those of its sets, and not more than it sees requests.
    fn accounts_seen_by_a_limiter(&self) -> u64 {
        let (sizes, traffic) = (&self.sizes, &self.traffic);
        let tenants = (f64::from(sizes.tenants) + f64::from(traffic.small_tenants)) * traffic.scale;
        let spread = f64::from(traffic.spread.min(sizes.limiters));
        let in_sets = tenants * spread / f64::from(sizes.limiters);
        let kept_for_s = 60.0_f64.min(f64::from(self.duration_s));
        let requests =
            traffic.requests_per_s * traffic.scale / f64::from(sizes.limiters) * kept_for_s;
        in_sets.min(requests).ceil() as u64
    }

    /// The zone of a limiter. Limiters are dealt out in blocks, so that each zone has its own range.
    pub fn zone_of_limiter(&self, limiter: u32) -> u32 {
        (u64::from(limiter) * u64::from(self.sizes.zones) / u64::from(self.sizes.limiters)) as u32
    }

    /// The limiters of a zone.
    pub fn limiters_of_zone(&self, zone: u32) -> std::ops::Range<u32> {
        let start = |zone: u32| {
            let (zone, limiters) = (u64::from(zone), u64::from(self.sizes.limiters));
            (zone * limiters).div_ceil(u64::from(self.sizes.zones)) as u32
        };
        start(zone)..start(zone + 1)
    }

    /// The region of a zone.
    pub fn region_of_zone(&self, zone: u32) -> u32 {
        zone % self.sizes.regions
    }
}
