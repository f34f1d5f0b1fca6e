//! Validation of a scenario before anything starts.

use super::{
    Event, Membership, Quota, Real, Scenario, TimedEvent, Traffic, MEMORY_LIMIT_BYTES,
    PROCESS_LIMIT,
};

/// An invalid value of a scenario.
pub(super) struct RefusedValue {
    /// Key of the value with its path.
    pub(super) key: String,
    /// Why the value is invalid.
    pub(super) reason: String,
}

type Checked = Result<(), RefusedValue>;

fn refuse(key: impl Into<String>, reason: impl Into<String>) -> Checked {
    Err(RefusedValue {
        key: key.into(),
        reason: reason.into(),
    })
}

/// Refuses the first of these values that is not above 0.
fn check_positive(values: &[(&str, f64)]) -> Checked {
    match values
        .iter()
        .find(|(_, value)| !value.is_finite() || *value <= 0.0)
    {
        Some((key, _)) => refuse(*key, "must be above 0"),
        None => Ok(()),
    }
}

/// Refuses the first of these counts that is 0.
fn check_counts(counts: &[(&str, u32)]) -> Checked {
    match counts.iter().find(|(_, count)| *count == 0) {
        Some((key, _)) => refuse(*key, "must be above 0"),
        None => Ok(()),
    }
}

pub(super) fn check(scenario: &Scenario) -> Checked {
    check_sizes(scenario)?;
    check_traffic(&scenario.traffic)?;
    check_plays(scenario)?;
    for (number, timed) in scenario.events.iter().enumerate() {
        check_event(scenario, number, timed)?;
    }
    check_machine(scenario)
}

fn check_sizes(scenario: &Scenario) -> Checked {
    let sizes = &scenario.sizes;
    check_counts(&[
        ("duration_s", scenario.duration_s),
        ("sizes.limiters", sizes.limiters),
        ("sizes.servers", sizes.servers),
        ("sizes.services", sizes.services),
        ("sizes.zones", sizes.zones),
        ("sizes.regions", sizes.regions),
        ("sizes.tenants", sizes.tenants),
        ("sizes.routes", sizes.routes),
    ])?;
    if scenario.seeds.is_empty() {
        return refuse("seeds", "must have at least one seed");
    }
    if sizes.zones > sizes.limiters {
        return refuse("sizes.zones", "more zones than limiters");
    }
    if sizes.regions > sizes.zones {
        return refuse("sizes.regions", "more regions than zones");
    }
    if sizes.services > sizes.servers {
        return refuse("sizes.services", "more services than servers");
    }
    Ok(())
}

fn check_traffic(traffic: &Traffic) -> Checked {
    check_positive(&[
        ("traffic.requests_per_s", traffic.requests_per_s),
        ("traffic.tenant_skew", traffic.tenant_skew),
        ("traffic.mean_units", traffic.mean_units),
        ("traffic.scale", traffic.scale),
        ("traffic.quota_headroom", traffic.quota_headroom),
    ])?;
    if traffic.mean_units < 1.0 {
        return refuse("traffic.mean_units", "must be at least 1");
    }
    if traffic.scale > 1.0 {
        return refuse("traffic.scale", "must be at most 1");
    }
    if traffic.spread == 0 {
        return refuse("traffic.spread", "must be above 0");
    }
    for (key, share) in [
        ("traffic.giant_share", traffic.giant_share),
        ("traffic.over_quota_share", traffic.over_quota_share),
    ] {
        if !(0.0..1.0).contains(&share) {
            return refuse(key, "must be from 0 to below 1");
        }
    }
    Ok(())
}

fn check_plays(scenario: &Scenario) -> Checked {
    if let Some(membership) = &scenario.membership {
        check_membership(membership)?;
    }
    if let Some(real) = &scenario.real {
        check_real(real)?;
    }
    if let Some(quota) = &scenario.quota {
        check_quota(quota)?;
    }
    let has_play = scenario.hollow.is_some()
        || scenario.membership.is_some()
        || scenario.real.is_some()
        || scenario.quota.is_some();
    if !has_play {
        return refuse(
            "hollow",
            "at least one of hollow, membership, real and quota must be present",
        );
    }
    Ok(())
}

fn check_membership(membership: &Membership) -> Checked {
    if membership.members < 2 {
        return refuse("membership.members", "must be at least 2");
    }
    let limit = mossrill::membership::datagram::MAX_LIMITERS;
    if membership.members > limit {
        return refuse(
            "membership.members",
            format!("the membership supports at most {limit} members"),
        );
    }
    if !(0.0..1.0).contains(&membership.loss) {
        return refuse("membership.loss", "must be from 0 to below 1");
    }
    Ok(())
}

fn check_real(real: &Real) -> Checked {
    check_counts(&[
        ("real.limiters", real.limiters),
        ("real.servers", real.servers),
        ("real.accounts", real.accounts),
    ])?;
    check_positive(&[
        ("real.server_mean_ms", real.server_mean_ms),
        ("real.requests_per_s", real.requests_per_s),
    ])
}

fn check_quota(quota: &Quota) -> Checked {
    if quota.control_machines == 0 {
        return refuse("quota.control_machines", "must be above 0");
    }
    if quota.mechanisms.is_empty() {
        return refuse("quota.mechanisms", "must have at least one mechanism");
    }
    check_positive(&[
        ("quota.round_trip_ms", quota.round_trip_ms),
        ("quota.far_round_trip_ms", quota.far_round_trip_ms),
        ("quota.spacing_ms", quota.spacing_ms),
    ])?;
    if !quota.fallback_least.is_finite() || quota.fallback_least < 0.0 {
        return refuse("quota.fallback_least", "must be 0 or above");
    }
    Ok(())
}

fn check_event(scenario: &Scenario, number: usize, timed: &TimedEvent) -> Checked {
    let key = |name: &str| format!("events[{number}].{name}");
    let within = 0.0..=f64::from(scenario.duration_s);
    if !within.contains(&timed.at_s) {
        return refuse(key("at_s"), "must be within the run's duration");
    }
    check_event_amount(scenario, &timed.event, &format!("events[{number}]"))?;
    let sizes = &scenario.sizes;
    let machines = scenario
        .quota
        .as_ref()
        .map_or(0, |quota| quota.control_machines);
    let (name, value, limit) = match &timed.event {
        Event::ZoneLost { zone } | Event::ZoneBack { zone } => ("zone", *zone, sizes.zones),
        Event::RegionCut { region } | Event::RegionHealed { region } => {
            ("region", *region, sizes.regions)
        }
        Event::ControlMachineLost { machine } | Event::ControlMachineBack { machine } => {
            ("machine", *machine, machines)
        }
        Event::LimiterPaused { limiter, .. } => ("limiter", *limiter, sizes.limiters),
        Event::ListChanges { .. } | Event::ConfigurationChanged { .. } | Event::HalfRestarted => {
            return Ok(());
        }
    };
    if value >= limit {
        let event = timed.event.name();
        return refuse(
            key(&format!("event.{event}.{name}")),
            format!("is {value}, there are {limit}"),
        );
    }
    Ok(())
}

/// Refuses invalid durations, counts and intervals of an event.
fn check_event_amount(scenario: &Scenario, event: &Event, prefix: &str) -> Checked {
    match event {
        Event::LimiterPaused { seconds, .. } if !seconds.is_finite() || *seconds <= 0.0 => refuse(
            format!("{prefix}.event.limiter-paused.seconds"),
            "must be above 0",
        ),
        Event::ListChanges { count } if *count == 0 || *count > scenario.sizes.servers => refuse(
            format!("{prefix}.event.list-changes.count"),
            "must be from 1 to sizes.servers",
        ),
        Event::ConfigurationChanged { every_s: 0 } => refuse(
            format!("{prefix}.event.configuration-changed.every_s"),
            "must be above 0",
        ),
        _ => Ok(()),
    }
}

/// Refuses a scenario whose upper estimate of processes or memory exceeds the limits of the
/// machine.
fn check_machine(scenario: &Scenario) -> Checked {
    let processes = scenario.processes();
    if processes > PROCESS_LIMIT {
        return refuse(
            "sizes.zones",
            format!("needs {processes} processes with real.limiters, the limit is {PROCESS_LIMIT}"),
        );
    }
    let memory = scenario.memory_estimate();
    if memory > MEMORY_LIMIT_BYTES {
        let (estimate_mb, limit_mb) = (memory >> 20, MEMORY_LIMIT_BYTES >> 20);
        return refuse(
            "sizes.limiters",
            format!("needs about {estimate_mb} MB of memory, the limit is {limit_mb} MB"),
        );
    }
    Ok(())
}
