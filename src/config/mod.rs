//! The one place where configuration is read, checked and given defaults. Faults name the key.

use crate::decision::{Endpoint, Limits, Micros, Plan, Prices, Readiness, Safety, Settings};
use crate::membership::datagram::{version, Key as FleetKey, MOST_LIMITERS};
use crate::membership::link::Place;
use crate::membership::released::Encoding;
use crate::membership::view::Setup;
use crate::openapi::description::Description;
use crate::quota_lease::config::LimiterLeases;
use crate::simulator::{self, Names};
use serde_json::Value;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4, ToSocketAddrs};
use std::path::PathBuf;
use std::time::Duration;

/// What is wrong, in words that name the key.
pub type Fault = String;

/// What a limiter on the platform is told at its start.
pub struct Platform {
    /// What every limiter is told.
    pub common: Common,
    /// Where the node list is served.
    pub node_list: SocketAddr,
    /// Where the quota counter is; none where there is none.
    pub quota_counter: Option<SocketAddr>,
    /// Names of classes and plans.
    pub names: Names,
    /// Names of the figures of a load report, in the module's order.
    pub load_fields: Vec<String>,
    /// Units that a request may count at most.
    pub most_units: f64,
}

/// What every limiter is told, whatever it speaks.
pub struct Common {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where agents connect.
    pub listen: SocketAddr,
    /// Where operators call; none where they don't.
    pub control: Option<SocketAddr>,
    /// The folder that this process has in common with the one that it replaces or that replaces it.
    pub common_folder: Option<PathBuf>,
    /// The limiter's place in its fleet, if limiters are to know each other.
    pub fleet: Option<Place>,
    /// Where units are leased, if they are.
    pub leases: Option<LimiterLeases>,
    /// Names of the classes, for operators.
    pub class_names: Vec<String>,
    /// For random numbers.
    pub seed: u64,
    /// Open files and sockets in all.
    pub descriptors: usize,
    /// Requests held open at most.
    pub max_open: usize,
    /// How connections are kept.
    pub links: Links,
    /// What the decision module is told.
    pub settings: Settings,
    /// The node list as last held.
    pub known: EndpointUpdate,
}

/// How connections to ticket nodes are kept.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// A node closes a connection that was idle for so long.
    pub idle: Duration,
    /// A connection that is not up by then has failed.
    pub connect: Duration,
}

/// News of the node list.
#[derive(Debug, Default)]
pub struct EndpointUpdate {
    /// The list's version.
    pub generation: u64,
    /// The whole list, not changes alone.
    pub full: bool,
    /// Entries, each with the node's address.
    pub nodes: Vec<(Endpoint, SocketAddr)>,
}

/// Requests held open at most, whatever the settings allow: each may hold a buffer.
const MOST_OPEN: usize = 1_000;

/// A value of the configuration with its path.
#[derive(Clone, Copy)]
pub struct Key<'a> {
    value: &'a Value,
    path: &'a str,
}

impl<'a> Key<'a> {
    /// A value that was found at `path`.
    pub fn new(value: &'a Value, path: &'a str) -> Self {
        Self { value, path }
    }

    fn bad(&self, key: &str, want: &str) -> Fault {
        let dot = if self.path.is_empty() { "" } else { "." };
        match &self.value[key] {
            Value::Null => format!("key \"{}{dot}{key}\" is missing, wanted {want}", self.path),
            value => format!("key \"{}{dot}{key}\" is {value}, wanted {want}", self.path),
        }
    }

    /// Reads a key that must be there.
    pub fn must<T>(
        &self,
        key: &str,
        want: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, Fault> {
        read(&self.value[key]).ok_or_else(|| self.bad(key, want))
    }

    /// Reads a key that has a default.
    pub fn or<T>(
        &self,
        key: &str,
        absent: T,
        want: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, Fault> {
        match &self.value[key] {
            Value::Null => Ok(absent),
            value => read(value).ok_or_else(|| self.bad(key, want)),
        }
    }

    /// Text that must be there.
    pub fn text(&self, key: &str) -> Result<&'a str, Fault> {
        self.must(key, "text", Value::as_str)
    }

    /// A whole number with a default.
    fn whole(&self, key: &str, absent: u64) -> Result<u64, Fault> {
        self.or(key, absent, "a whole number", Value::as_u64)
    }

    /// The entries of a list that must not be empty.
    fn entries<T>(
        &self,
        key: &str,
        read: impl Fn(Key<'a>) -> Result<T, Fault>,
    ) -> Result<Vec<T>, Fault> {
        let list = self.must(key, "a list that is not empty", |v| {
            v.as_array().filter(|l| !l.is_empty())
        })?;
        let entry = |(at, value)| {
            read(Key { value, path: "" })
                .map_err(|fault| format!("key \"{key}\", entry {at}: {fault}"))
        };
        list.iter().enumerate().map(entry).collect()
    }

    /// A span of microseconds with a default.
    fn span(&self, key: &str, absent: Micros) -> Result<Duration, Fault> {
        self.or(key, absent, "microseconds", Value::as_u64)
            .map(Duration::from_micros)
    }

    /// Where operators call, if they do.
    fn control(&self) -> Result<Option<SocketAddr>, Fault> {
        self.or("control", None, "host:port", |v| {
            address(v.as_str()?).map(Some)
        })
    }

    /// An address that must be there.
    pub fn address(&self, key: &str) -> Result<SocketAddr, Fault> {
        self.must(key, "host:port", |v| address(v.as_str()?))
    }
}

/// Reads `host:port`.
pub fn address(text: &str) -> Option<SocketAddr> {
    text.parse()
        .ok()
        .or_else(|| text.to_socket_addrs().ok()?.next())
}

/// Reads what the platform gives a limiter. `env` looks up the variables that stand in for keys.
pub fn platform(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Platform, Fault> {
    let mut value: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
    if !value.is_object() {
        return Err("not a JSON object".into());
    }
    for (key, variable) in [
        ("name", "EDGE_NAME"),
        ("listen", "EDGE_LISTEN"),
        ("discovery", "EDGE_DISCOVERY"),
        ("control", "EDGE_CONTROL"),
    ] {
        if let (true, Some(text)) = (value[key].is_null(), env(variable)) {
            value[key] = Value::String(text);
        }
    }
    let root = Key::new(&value, "");
    let facts = root.must("settings", "an object", |v| v.is_object().then_some(v))?;
    let settings = simulator::settings(facts).map_err(|e| format!("key \"settings\": {e}"))?;
    check(&settings)?;
    let part = |key: &str| facts.get(key).unwrap_or(&Value::Null);
    let limits = Key::new(part("limits"), "settings.limits");
    let load = Key::new(part("loadInfo"), "settings.loadInfo");
    let specifics = Key::new(part("specifics"), "settings.specifics");
    let above = |v: &Value| v.as_f64().filter(|n| *n > 0.0);
    let fields = |v: &Value| {
        v.as_array()?
            .iter()
            .map(|f| f.as_str().map(str::to_owned))
            .collect()
    };
    let sockets = Key::new(&value["limits"], "limits").or(
        "sockets",
        1_024,
        "a whole number",
        Value::as_u64,
    )?;
    let seed = root.or("seed", 0, "16 hex digits", |v| {
        u64::from_str_radix(v.as_str()?, 16).ok()
    })?;
    let quota_counter = root.or("counter", None, "host:port", |v| {
        address(v.as_str()?).map(Some)
    })?;
    if settings.counter && quota_counter.is_none() {
        return Err("key \"counter\" is missing, wanted host:port".into());
    }
    if value["fleet"].is_object() && !settings.limits.peer_messages {
        return Err(
            "key \"fleet\" is there, and the settings allow no talk between limiters".into(),
        );
    }
    let known = match &value["known"] {
        Value::Null => EndpointUpdate::default(),
        known => endpoint_update(known).map_err(|e| format!("key \"known\": {e}"))?,
    };
    let max_open =
        limits.or("maxOpen", MOST_OPEN as u64, "a whole number", Value::as_u64)? as usize;
    let links = Links {
        idle: limits.span("connIdle", 30_000_000)?,
        connect: limits.span("connectTimeout", 250_000)?,
    };
    let names = Names::from_settings(facts);
    Ok(Platform {
        node_list: root.address("discovery")?,
        quota_counter,
        names: names.clone(),
        load_fields: load.or("fields", Vec::new(), "a list of names", fields)?,
        most_units: specifics.or("unitsTop", f64::MAX, "a number above 0", above)?,
        common: Common {
            name: root.text("name")?.to_owned(),
            listen: root.address("listen")?,
            control: root.control()?,
            common_folder: None,
            fleet: fleet(&root, (settings.limiter, settings.limiters), seed)?,
            leases: None,
            class_names: names.classes().to_vec(),
            seed,
            descriptors: (sockets as usize).min(1_024),
            max_open: max_open.clamp(1, MOST_OPEN),
            links,
            settings,
            known,
        },
    })
}

/// What a limiter with an OpenAPI front is told by its file.
pub struct OpenApi {
    /// What every limiter is told.
    pub common: Common,
    /// Routes, classes and units.
    pub description: Description,
    /// The header that names the agent account.
    pub account_header: String,
    /// The agent accounts.
    pub accounts: HashMap<String, Account>,
    /// Where counts are shared.
    pub store: Store,
}

/// An agent account.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    /// Index of its plan.
    pub plan: usize,
    /// Number of limiters that its requests come through.
    pub spread: u32,
    /// Number of the first of them.
    pub first: u32,
}

/// Where the limiters share their counts.
#[derive(Clone, Copy, Debug)]
pub enum Store {
    /// Nowhere: the limiter is alone, or each keeps its part of every quota.
    None,
    /// A Redis server.
    Redis(SocketAddr),
    /// The platform's quota counter.
    QuotaCounter(SocketAddr),
    /// Allocators of quota leases.
    Leases,
}

/// Reads the file of an OpenAPI front. `read` fetches the description, by a name relative to that file.
pub fn openapi(
    text: &str,
    read: impl Fn(&str) -> Result<String, String>,
) -> Result<OpenApi, Fault> {
    let value: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
    let root = Key::new(&value, "");
    let name = root.text("description")?;
    let description = read(name).map_err(|e| format!("key \"description\": {name}: {e}"))?;
    let description = Description::read(&description)
        .map_err(|faults| format!("key \"description\": {name}: {}", faults.join("; ")))?;
    let among = Key::new(&value["limiters"], "limiters");
    let (me, gateways) = (among.whole("me", 0)? as u32, among.whole("all", 1)? as u32);
    let (plan_names, plans): (Vec<&str>, Vec<Plan>) =
        root.entries("plans", plan)?.into_iter().unzip();
    let account = |key: Key<'_>| {
        let plan = key.text("plan")?;
        let found = plan_names.iter().position(|name| *name == plan);
        let account = Account {
            plan: found.ok_or_else(|| key.bad("plan", "the name of one of the plans"))?,
            spread: key.whole("spread", u64::from(gateways))? as u32,
            first: key.whole("first", 0)? as u32,
        };
        Ok((key.text("name")?.to_owned(), account))
    };
    let accounts = root.entries("accounts", account)?.into_iter().collect();
    let nodes = root.entries("ticket_nodes", |key| {
        let member = Endpoint {
            id: key.text("name")?.into(),
            zone: key.or("zone", "", "text", Value::as_str)?.to_owned(),
            cell: key.whole("cell", 0)?,
            readiness: Readiness::Ready,
            weight: key.or("weight", 1.0, "a number", Value::as_f64)?,
            started_at: 0,
        };
        Ok((member, key.address("address")?))
    })?;
    let store_key = Key::new(&value["store"], "store");
    const KINDS: &str = "none, redis, quota-counter or leases";
    let (store, leases) = match store_key.or("kind", "none", KINDS, Value::as_str)? {
        "none" => (Store::None, None),
        "redis" => (Store::Redis(store_key.address("address")?), None),
        "quota-counter" => (Store::QuotaCounter(store_key.address("address")?), None),
        "leases" => (
            Store::Leases,
            Some(LimiterLeases::from_store(&value["store"], me)?),
        ),
        _ => return Err(store_key.bad("kind", KINDS)),
    };
    let limits = Key::new(&value["limits"], "limits");
    let settings = Settings {
        limiter: me,
        limiters: gateways,
        zone: root.or("zone", "", "text", Value::as_str)?.to_owned(),
        tick: 2_000,
        classes: description.classes.clone(),
        plans,
        limits: Limits {
            max_attempts: limits.whole("max_attempts", 4)? as u32,
            cancel: true,
            health_checks: false,
            peer_messages: false,
            hedging: true,
            max_retry_after: limits.whole("max_retry_after_ms", 1_000)? * 1_000,
        },
        safety: Safety {
            drain_grace: 1_000_000,
            initial_capacity: 0.2,
            slow_start: 13_000_000,
            overload_multiple: 4.0,
            overload_window: 3_000_000,
        },
        prices: Prices {
            waste: 0.05,
            counter_call: 0.01,
            ..Prices::default()
        },
        counter: matches!(store, Store::Redis(_) | Store::QuotaCounter(_)),
        quota_leases: leases.is_some(),
        counter_timeout: store_key.whole("timeout_ms", 50)?.max(1) * 1_000,
        server_weights: true,
        ..Settings::default()
    };
    check(&settings)?;
    let seed = root.whole("seed", u64::from(std::process::id()))?;
    let links = Links {
        idle: Duration::from_millis(limits.whole("idle_ms", 30_000)?),
        connect: Duration::from_millis(limits.whole("connect_ms", 250)?.max(1)),
    };
    Ok(OpenApi {
        common: Common {
            name: root
                .or("name", "openapi", "text", Value::as_str)?
                .to_owned(),
            listen: root.address("listen")?,
            control: root.control()?,
            common_folder: None,
            fleet: fleet(&root, (settings.limiter, settings.limiters), seed)?,
            leases,
            class_names: description.class_names.clone(),
            seed,
            descriptors: (limits.whole("sockets", 1_024)? as usize).min(1_024),
            max_open: (limits.whole("max_open", MOST_OPEN as u64)? as usize).clamp(1, MOST_OPEN),
            links,
            settings,
            known: EndpointUpdate {
                generation: 0,
                full: true,
                nodes,
            },
        },
        account_header: root
            .or("account_header", "X-Agent-Account", "text", Value::as_str)?
            .to_owned(),
        accounts,
        description,
        store,
    })
}

/// The limiter's place in its fleet. Every key is known, so that a slip of the pen is not a default.
pub(crate) fn fleet(
    root: &Key<'_>,
    (me, size): (u32, u32),
    seed: u64,
) -> Result<Option<Place>, Fault> {
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
    let value = &root.value["fleet"];
    if value.is_null() {
        return Ok(None);
    }
    let key = Key::new(value, "fleet");
    let words = value
        .as_object()
        .ok_or_else(|| root.bad("fleet", "an object"))?;
    if let Some(word) = words.keys().find(|word| !KEYS.contains(&word.as_str())) {
        return Err(format!("key \"fleet.{word}\" is not known"));
    }
    if size > MOST_LIMITERS {
        return Err(format!(
            "key \"fleet\": {size} limiters, {MOST_LIMITERS} at the most"
        ));
    }
    let v4 = |v: &Value| match address(v.as_str()?)? {
        SocketAddr::V4(at) => Some(at),
        SocketAddr::V6(_) => None,
    };
    let within = |key: &Key<'_>, name: &str, absent: u64, least: u64, most: u64| {
        let want = format!("a whole number from {least} to {most}");
        key.or(name, absent, &want, |v| {
            v.as_u64().filter(|n| (least..=most).contains(n))
        })
    };
    let listen = key.must("listen", "an IPv4 host:port", v4)?;
    let own = key.or("address", listen, "an IPv4 host:port", v4)?;
    if own.port() == 0 || own.ip().is_unspecified() {
        return Err(key.bad(
            "address",
            "the host:port at which other limiters reach this one",
        ));
    }
    let mut seeds: Vec<(u32, SocketAddrV4)> = Vec::new();
    for (at, entry) in key
        .must("seeds", "a list", Value::as_array)?
        .iter()
        .enumerate()
    {
        let path = format!("fleet.seeds[{at}]");
        let entry = Key::new(entry, &path);
        let top = u64::from(size) - 1;
        let want = format!("the number of a limiter, from 0 to {top}");
        let who = entry.must("limiter", &want, |v| v.as_u64().filter(|n| *n <= top))? as u32;
        let address = entry.must("address", "an IPv4 host:port", |v| {
            v4(v).filter(|at| at.port() > 0)
        })?;
        if seeds.iter().any(|(other, _)| *other == who) {
            return Err(entry.bad("limiter", "a number that no other seed has"));
        }
        if seeds.iter().any(|(_, other)| *other == address) {
            return Err(entry.bad("address", "an address that no other seed has"));
        }
        seeds.push((who, address));
    }
    if !seeds.contains(&(me, own)) {
        return Err(format!(
            "key \"fleet.seeds\" lacks this limiter, number {me} at {own}"
        ));
    }
    let secret = key.must("key", "32 hex digits or more", |v| {
        let text = v
            .as_str()
            .filter(|t| t.len() >= 32 && t.len() % 2 == 0 && t.is_ascii())?;
        (0..text.len())
            .step_by(2)
            .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
            .collect()
    });
    let secret: Vec<u8> = match secret {
        Ok(secret) => secret,
        // Not shown, whatever is wrong with it.
        Err(_) => return Err("key \"fleet.key\" is missing or not 32 hex digits or more".into()),
    };
    let share = |v: &Value| v.as_f64().filter(|n| (0.05..=0.95).contains(n));
    let name = |v: &'_ Value| {
        v.as_str()
            .filter(|n| (1..=16).contains(&n.len()))
            .map(str::to_owned)
    };
    Ok(Some(Place {
        setup: Setup {
            me,
            size,
            encoding: Encoding::of(size),
            fleet: key.must("name", "text of 1 to 16 bytes", name)?,
            address: own,
            version: version(env!("CARGO_PKG_VERSION")),
            seeds,
            period: within(&key, "period_ms", 300, 50, 10_000)? * 1_000,
            out_per_s: within(&key, "out_per_s", 40, 10, 1_000)? as u32,
            in_per_s: within(&key, "in_per_s", 40, 10, 1_000)? as u32,
            forget: within(&key, "forget_s", 60, 5, 86_400)? * 1_000_000,
            kept: key.or("kept", 0.5, "a number from 0.05 to 0.95", share)?,
        },
        listen: listen.into(),
        key: FleetKey::new(&secret),
        seed,
    }))
}

fn plan(key: Key<'_>) -> Result<(&str, Plan), Fault> {
    let above = |v: &Value| v.as_f64().filter(|n| *n > 0.0);
    let plan = Plan {
        rate: key.must("rate", "units a second, above 0", above)?,
        burst: key.must("burst", "units, above 0", above)?,
        max_concurrent: key.whole("open", 0)? as u32,
        weight_factor: key.or("price", 1.0, "a number", Value::as_f64)?,
        over_quota_cost: 1.0,
        ..Plan::default()
    };
    Ok((key.text("name")?, plan))
}

/// What the module divides by or indexes with must make sense before it sees it.
pub fn check(settings: &Settings) -> Result<(), Fault> {
    if settings.limiters == 0 || settings.limiter >= settings.limiters {
        return Err(format!(
            "key \"settings.me\" is {}, of {} limiters",
            settings.limiter, settings.limiters
        ));
    }
    for (what, empty) in [
        ("classes", settings.classes.is_empty()),
        ("tariffs", settings.plans.is_empty()),
    ] {
        if empty {
            return Err(format!(
                "key \"settings.{what}\" is missing or empty, wanted a list"
            ));
        }
    }
    if settings
        .classes
        .iter()
        .any(|c| c.deadline == 0 || c.latency_objective == 0)
    {
        return Err("key \"settings.classes\": \"slo\" and \"deadline\" must be above 0".into());
    }
    let wrong = |v: f64| !v.is_finite() || v < 0.0;
    if settings
        .plans
        .iter()
        .any(|p| wrong(p.rate) || wrong(p.burst) || wrong(p.weight_factor))
    {
        return Err("key \"settings.tariffs\": rates and stores must not be negative".into());
    }
    Ok(())
}

/// Reads the node list, or changes of it.
pub fn endpoint_update(value: &Value) -> Result<EndpointUpdate, Fault> {
    let key = Key::new(value, "");
    let entries = key.must("instances", "a list", Value::as_array)?;
    Ok(EndpointUpdate {
        generation: key.must("generation", "a whole number", Value::as_u64)?,
        full: key.or("reset", false, "true or false", Value::as_bool)?,
        nodes: entries.iter().map(node).collect::<Result<_, _>>()?,
    })
}

fn node(value: &Value) -> Result<(Endpoint, SocketAddr), Fault> {
    let key = Key::new(value, "instances[]");
    let readiness = key.must(
        "lifecycle",
        "in_service, terminating or terminated",
        |v| match v.as_str()? {
            "in_service" => Some(Readiness::Ready),
            "terminating" => Some(Readiness::Draining),
            "terminated" => Some(Readiness::Removed),
            _ => None,
        },
    )?;
    let member = Endpoint {
        id: key.text("instanceId")?.into(),
        zone: key.or("zone", "", "text", Value::as_str)?.to_owned(),
        cell: key.or("cell", 0, "a whole number", Value::as_u64)?,
        readiness,
        weight: key.or("weight", 1.0, "a number", Value::as_f64)?,
        started_at: key
            .or("startedAtMs", 0, "a whole number", Value::as_u64)?
            .saturating_mul(1_000),
    };
    // An entry that only says that a node is gone may do without an address.
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    let address = match readiness {
        Readiness::Removed => key.or("hostPort", nowhere, "host:port", |v| address(v.as_str()?))?,
        _ => key.address("hostPort")?,
    };
    Ok((member, address))
}
