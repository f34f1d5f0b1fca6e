//! Scenario files: the parameters of a run, read from TOML and checked before anything starts.

mod check;
mod event;

pub use event::{Event, TimedEvent};

use serde::{Deserialize, Serialize};
use std::path::Path;

/// Maximum memory of one run on the machine in bytes.
pub const MEMORY_LIMIT_BYTES: u64 = 12 << 30;
/// Maximum number of processes of one run.
pub const PROCESS_LIMIT: u32 = 300;
/// Memory of one entry of the server list at a hollow limiter in bytes.
pub const LIST_ENTRY_BYTES: u64 = 16;
/// Memory in bytes that a limiter allocates for each entry while it reads the whole list. The heap
/// of its thread keeps it afterwards: 30.6 MB per limiter were measured with 21,000 entries.
pub const LIST_READ_BYTES: u64 = 1_460;
/// Memory of a hollow limiter in bytes without list and accounts: threads, buffers, decision
/// engine.
pub const HOLLOW_BASE_BYTES: u64 = 256 << 10;
/// Memory of one account at one hollow limiter in bytes.
pub const ACCOUNT_BYTES: u64 = 700;
/// Memory of one real limiter process in bytes.
pub const REAL_LIMITER_BYTES: u64 = 128 << 20;
/// Number of processes besides limiters: the stand-ins and the controller.
const HARNESS_PROCESSES: u32 = 5;
/// Memory of the stand-ins and the controller in bytes.
const HARNESS_BYTES: u64 = 512 << 20;

/// Why a scenario is refused. Each message names the file, and the key if one is at fault.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file could not be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The file is not TOML, or a key is unknown, missing or of the wrong type.
    #[error("{file}: {error}")]
    Malformed {
        /// The file.
        file: String,
        /// The parse error with line, key and reason.
        error: Box<toml::de::Error>,
    },
    /// A value is invalid.
    #[error("{file}: key \"{key}\": {reason}")]
    Value {
        /// The file.
        file: String,
        /// The key of the invalid value with its path.
        key: String,
        /// Why the value is invalid.
        reason: String,
    },
}

/// A scenario as it is written in its file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, as in reports and predictions.
    pub name: String,
    /// Duration of each play in seconds, after its start or warm-up.
    pub duration_s: u32,
    /// Seeds of the random numbers; the scenario is run once for each.
    pub seeds: Vec<u64>,
    /// Sizes of the system.
    pub sizes: Sizes,
    /// Traffic of the whole fleet.
    pub traffic: Traffic,
    /// Play of hollow limiters that watch the server list over TCP, in real time.
    pub hollow: Option<Hollow>,
    /// Play of the fleet's membership, in virtual time.
    pub membership: Option<Membership>,
    /// Play of real processes under traffic, in real time.
    pub real: Option<Real>,
    /// Play of quotas over all limiters, in virtual time.
    pub quota: Option<Quota>,
    /// Events, sorted by time.
    #[serde(default)]
    pub events: Vec<TimedEvent>,
}

/// Sizes of the system.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Number of hollow limiters.
    pub limiters: u32,
    /// Number of entries of the server list.
    pub servers: u32,
    /// Number of services among which the servers are divided.
    pub services: u32,
    /// Number of zones.
    pub zones: u32,
    /// Number of regions; zones are assigned to them in turn.
    pub regions: u32,
    /// Number of tenants, before `traffic.scale` is applied.
    pub tenants: u32,
    /// Number of routes of the configuration.
    pub routes: u32,
}

/// Traffic of the whole fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Requests per second, before `scale` is applied.
    pub requests_per_s: f64,
    /// Zipf exponent of the tenants' shares.
    pub tenant_skew: f64,
    /// Number of limiters that receive the requests of an account.
    pub spread: u32,
    /// Share of all traffic that comes from one giant tenant; the rest is Zipf-distributed over the
    /// others.
    #[serde(default)]
    pub giant_share: f64,
    /// Number of additional tenants with one request per minute each, before `scale` is applied.
    #[serde(default)]
    pub small_tenants: u32,
    /// Mean number of units of a request.
    pub mean_units: f64,
    /// Fraction of the tenants and of the traffic that is simulated; the number of limiters is not
    /// scaled.
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

/// Parameters of the hollow limiters, which watch the server list over TCP.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hollow {
    /// Whether the limiters also decide generated requests and call the counter stand-in over TCP.
    pub counter: bool,
}

/// Parameters of the play of the fleet's membership in virtual time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// Number of members, at most the limit of the membership state machine.
    pub members: u32,
    /// Fraction of the datagrams that is lost.
    pub loss: f64,
}

/// Parameters of the play of real processes under traffic.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Real {
    /// Number of limiter processes.
    pub limiters: u32,
    /// Number of upstream servers.
    pub servers: u32,
    /// Mean service time of an upstream server in ms.
    pub server_mean_ms: f64,
    /// Requests per second over all processes.
    pub requests_per_s: f64,
    /// Number of accounts in the configuration that is generated for the run.
    pub accounts: u32,
}

/// Parameters of the play of quotas over all limiters in virtual time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Mechanisms that enforce the quotas; each is run on the same traffic in turn.
    pub mechanisms: Vec<Mechanism>,
    /// Number of control machines, which host the counter or the allocators.
    pub control_machines: u32,
    /// Round trip in ms between a limiter and a control machine of its region.
    pub round_trip_ms: f64,
    /// Round trip in ms between a limiter and a control machine of another region.
    pub far_round_trip_ms: f64,
    /// Seconds of traffic before the measurement, so that buckets and leases reach their steady
    /// state.
    pub warm_up_s: u32,
    /// With leases: whether a request without leased units takes units of the fallback share at
    /// once instead of waiting.
    #[serde(default)]
    pub trust: bool,
    /// With leases: minimum number of units that a limiter's fallback share holds.
    #[serde(default)]
    pub fallback_least: f64,
    /// With leases: minimum time in ms between two reports of a holder for which requests wait.
    #[serde(default = "default_spacing_ms")]
    pub spacing_ms: f64,
}

/// Default of `quota.spacing_ms`: the minimum spacing of reports in the default holder settings.
fn default_spacing_ms() -> f64 {
    mossrill::quota_lease::holder::HolderSettings::default().min_report_spacing as f64 / 1e3
}

/// Mechanism that enforces the quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Calls to the shared counter.
    Counter,
    /// Leases of units from allocators on the control machines.
    Leases,
}

/// Reads and checks a scenario file.
pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
    load_with(path, &[])
}

/// Reads a scenario file, applies overrides such as `traffic.spread=32`, and checks the result.
pub fn load_with(path: &Path, overrides: &[String]) -> Result<Scenario, ScenarioError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| ScenarioError::Unreadable {
        file: file.clone(),
        error,
    })?;
    if overrides.is_empty() {
        return parse(&file, &text);
    }
    let malformed = |error| ScenarioError::Malformed {
        file: file.clone(),
        error: Box::new(error),
    };
    let mut table: toml::Table = toml::from_str(&text).map_err(malformed)?;
    for entry in overrides {
        apply_override(&mut table, entry).map_err(|reason| ScenarioError::Value {
            file: file.clone(),
            key: entry.clone(),
            reason,
        })?;
    }
    parse(&file, &table.to_string())
}

/// Sets the value of `path.to.key=value` in a table.
fn apply_override(table: &mut toml::Table, entry: &str) -> Result<(), String> {
    let (path, value) = entry.split_once('=').ok_or("expected KEY=VALUE")?;
    let mut parsed: toml::Table =
        toml::from_str(&format!("value = {value}")).map_err(|error| error.to_string())?;
    let value = parsed.remove("value").ok_or("expected KEY=VALUE")?;
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
        toml::from_str(text).map_err(|error| ScenarioError::Malformed {
            file: file.into(),
            error: Box::new(error),
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
    /// Returns the number of processes of the run: one hollow process for each zone, the real
    /// limiters, the stand-ins and the controller.
    pub fn processes(&self) -> u32 {
        let hollow = if self.hollow.is_some() {
            self.sizes.zones
        } else {
            0
        };
        let real = self.real.as_ref().map_or(0, |real| real.limiters);
        hollow
            .saturating_add(real)
            .saturating_add(HARNESS_PROCESSES)
    }

    /// Returns an upper estimate of the memory of the run in bytes.
    pub fn memory_estimate(&self) -> u64 {
        let sizes = &self.sizes;
        let limiters = u64::from(sizes.limiters);
        let accounts = self.max_accounts_per_limiter() * ACCOUNT_BYTES;
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
            .saturating_add(HARNESS_BYTES)
    }

    /// Returns an upper estimate of the accounts that a limiter holds: those whose requests may
    /// come to it, but no more than it receives requests.
    fn max_accounts_per_limiter(&self) -> u64 {
        let (sizes, traffic) = (&self.sizes, &self.traffic);
        let tenants = (f64::from(sizes.tenants) + f64::from(traffic.small_tenants)) * traffic.scale;
        let spread = f64::from(traffic.spread.min(sizes.limiters));
        let in_sets = tenants * spread / f64::from(sizes.limiters);
        let kept_for_s = 60.0_f64.min(f64::from(self.duration_s));
        let requests =
            traffic.requests_per_s * traffic.scale / f64::from(sizes.limiters) * kept_for_s;
        in_sets.min(requests).ceil() as u64
    }

    /// Returns the zone of a limiter. Each zone has a contiguous range of limiters.
    pub fn zone_of_limiter(&self, limiter: u32) -> u32 {
        (u64::from(limiter) * u64::from(self.sizes.zones) / u64::from(self.sizes.limiters)) as u32
    }

    /// Returns the limiters of a zone.
    pub fn limiters_of_zone(&self, zone: u32) -> std::ops::Range<u32> {
        let start = |zone: u32| {
            let (zone, limiters) = (u64::from(zone), u64::from(self.sizes.limiters));
            (zone * limiters).div_ceil(u64::from(self.sizes.zones)) as u32
        };
        start(zone)..start(zone + 1)
    }

    /// Returns the region of a zone.
    pub fn region_of_zone(&self, zone: u32) -> u32 {
        zone % self.sizes.regions
    }
}
