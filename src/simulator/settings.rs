//! Parser of the settings of an instance in the form that the simulator sends.

use super::reader::Section;
use super::ParseError;
use crate::decision::{
    Idempotency, KeyScope, Limits, LoadField, Micros, Plan, Prices, RequestClass, Safety, Settings,
};
use serde_json::Value;

/// Path of the settings, as errors name it.
const ROOT_PATH: &str = "facts";

/// Reads the settings of an instance. Unknown keys are ignored. The value of an absent key is 0,
/// false or empty.
///
/// # Errors
///
/// Returns an error that names the key whose value is invalid.
pub fn parse_settings(value: &Value) -> Result<Settings, ParseError> {
    let root = Section::new(value, ROOT_PATH.to_owned());
    let limits = root.section("limits");
    let load = root.section("loadInfo");
    let specifics = root.section("specifics");
    let load_fields = load.optional("fields", Vec::new(), "a list of names", read_load_fields)?;
    let max_retry_after = read_max_retry_after(&limits)?;
    Ok(Settings {
        limiter: root.integer("me")? as u32,
        limiters: root.integer("balancers")? as u32,
        zone: root.text("az")?.to_owned(),
        tick: root.integer("tick")?,
        classes: read_entries(&root, "classes", read_class)?,
        plans: read_entries(&root, "tariffs", read_plan)?,
        limits: read_limits(&limits, max_retry_after)?,
        safety: read_safety(&root.section("safety"))?,
        prices: read_prices(&root.section("prices"), &specifics)?,
        load_fields,
        load_by_health_check: load.text("source")? == "pull",
        polls_discovery: root.text("discovery")? == "ask",
        counter: specifics.flag("mayCount")?,
        counter_timeout: specifics.integer("counterTimeout")?,
        server_weights: !matches!(root.text("weightSource")?, "" | "silent"),
        quota_leases: false,
        max_accounts: None,
    })
}

fn read_entries<T>(
    root: &Section<'_>,
    key: &str,
    read: impl Fn(&Section<'_>) -> Result<T, ParseError>,
) -> Result<Vec<T>, ParseError> {
    root.entries(key)?.iter().map(read).collect()
}

fn read_load_fields(value: &Value) -> Option<Vec<LoadField>> {
    value.as_array()?.iter().map(read_load_field).collect()
}

fn read_load_field(value: &Value) -> Option<LoadField> {
    Some(match value.as_str()? {
        "inflight" => LoadField::InFlight,
        "queue" => LoadField::Queue,
        "util" => LoadField::Util,
        _ => LoadField::Other,
    })
}

/// Reads the maximum Retry-After in microseconds; 0 if no Retry-After is sent to clients.
fn read_max_retry_after(limits: &Section<'_>) -> Result<Micros, ParseError> {
    if limits.flag("retryAfter")? {
        limits.integer("maxRetryAfter")
    } else {
        Ok(0)
    }
}

fn read_limits(limits: &Section<'_>, max_retry_after: Micros) -> Result<Limits, ParseError> {
    Ok(Limits {
        max_attempts: limits.integer("maxAttempts")? as u32,
        cancel: limits.flag("mayCancel")?,
        health_checks: limits.flag("mayProbe")?,
        peer_messages: limits.flag("peers")?,
        hedging: limits.flag("secondCopies")?,
        max_retry_after,
    })
}

fn read_safety(safety: &Section<'_>) -> Result<Safety, ParseError> {
    Ok(Safety {
        drain_grace: safety.integer("drainGrace")?,
        initial_capacity: safety.number("coldShare")?,
        slow_start: safety.integer("warmWithin")?,
        overload_multiple: safety.number("fallMultiple")?,
        overload_window: safety.integer("fall")?,
    })
}

fn read_prices(prices: &Section<'_>, specifics: &Section<'_>) -> Result<Prices, ParseError> {
    Ok(Prices {
        cross_zone: prices.number("crossZone")?,
        waste: prices.number("waste")?,
        health_check: prices.number("probe")?,
        counter_call: specifics.number("countFee")?,
    })
}

fn read_class(class: &Section<'_>) -> Result<RequestClass, ParseError> {
    let idempotency = read_idempotency(class)?;
    Ok(RequestClass {
        latency_objective: class.integer("slo")?,
        deadline: class.integer("deadline")?,
        idempotency,
        idempotency_window: class.integer("memorySpan")?,
        priority_weight: class.number("importance")?,
        late_weight: class.number("lateWorth")?,
    })
}

fn read_idempotency(class: &Section<'_>) -> Result<Idempotency, ParseError> {
    let scope = match class.text("group")? {
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        _ => KeyScope::AllServers,
    };
    match class.text("semantics")? {
        "read_like" => Ok(Idempotency::Idempotent),
        "idempotency_key" => Ok(Idempotency::Keyed(scope)),
        "non_idempotent" => Ok(Idempotency::NonIdempotent),
        other => Err(ParseError::UnknownIdempotency {
            key: class.path_of("semantics"),
            found: other.to_owned(),
        }),
    }
}

fn read_plan(plan: &Section<'_>) -> Result<Plan, ParseError> {
    Ok(Plan {
        rate: plan.number("refill")?,
        burst: plan.number("peakUnits")?,
        max_concurrent: plan.integer("parallel")? as u32,
        weight_factor: plan.number("worthFactor")?,
        over_quota_weight: plan.number("excessWorth")?,
        over_quota_cost: plan.number("excessCost")?,
        ceiling_rate: plan.number("hardRate")?,
        ceiling_burst: plan.number("ceilingBurst")?,
        ceiling_slack: plan.number("capSlack")?,
    })
}
