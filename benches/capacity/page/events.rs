//! Cost of single events. Bytes are shown as the time that their transfer takes at the rate allowed
//! for control traffic.

use super::run::{PageError, Reading, Run};
use super::target::{
    server_restarts, Unit, ADDED_LATENCY_MICROS, CHANGE_IN_FORCE_MICROS, CONTROL_BYTES_PER_SECOND,
    CONTROL_MEMORY_BYTES, DAY_SECONDS, DISCOVERY_POLL_MICROS, ENTRIES_PER_RESTART, RACK_SERVERS,
    REGION_CUT_SECONDS, ROUTES, SERVERS, TENANTS, ZONE_LIMITERS, ZONE_SERVERS,
};
use super::{Amount, Line};

const MICROS_PER_SECOND: f64 = 1e6;
/// Number of limiters in half a zone.
const HALF_ZONE_LIMITERS: f64 = ZONE_LIMITERS / 2.0;
/// Number of changed entries when half a zone's servers restart.
const HALF_ZONE_ENTRIES: f64 = ZONE_SERVERS / 2.0 * ENTRIES_PER_RESTART;

/// Returns the transfer time of these bytes at the rate allowed for control traffic.
fn control_transfer_time(bytes: f64) -> Amount {
    Amount(
        bytes / CONTROL_BYTES_PER_SECOND * MICROS_PER_SECOND,
        Unit::Microseconds,
    )
}

/// Adds lines for the bytes and the duration of a change of the endpoint list.
fn list_change(
    run: &Run,
    event: &str,
    entries: f64,
    lines: &mut Vec<Line>,
) -> Result<(), PageError> {
    let bytes = run.at("change-read", "text_bytes", entries)?;
    let apply = run.at("change-apply", "median_us", entries)?;
    lines.push(
        Line::new(
            "service discovery",
            format!(
                "{event}: {} of news",
                Amount(bytes.value, Unit::Bytes).text()
            ),
            control_transfer_time(bytes.value),
            &[&bytes],
        )
        .within(CHANGE_IN_FORCE_MICROS)
        .carried_by("the watch of the list; over 1, missing where 4 KB/s holds for each second"),
    );
    lines.push(
        Line::new(
            "limiter",
            format!("{event}: decisions stand still while it is taken"),
            Amount(apply.value, Unit::Microseconds),
            &[&apply],
        )
        .within(ADDED_LATENCY_MICROS),
    );
    Ok(())
}

/// Returns a line for an upper bound of the memory held while something is read: all bytes
/// allocated meanwhile.
fn loading_memory(item: &'static str, reading: &Reading) -> Line {
    Line::new(
        "limiter",
        item,
        Amount(reading.value, Unit::Bytes),
        &[reading],
    )
    .within(CONTROL_MEMORY_BYTES)
}

/// Lines of the start of one limiter, and of many at once.
fn start(run: &Run) -> Result<Vec<Line>, PageError> {
    let list = run.at("list-read", "text_bytes", SERVERS)?;
    let list_read = run.at("list-read", "median_us", SERVERS)?;
    let list_apply = run.at("list-apply", "median_us", SERVERS)?;
    let list_memory = run.at("list-read", "allocated_bytes", SERVERS)?;
    let routes_memory = run.at("routes-read", "allocated_bytes", ROUTES)?;
    let accounts_memory = run.at("accounts-load", "allocated_bytes", TENANTS)?;
    let routes = run.at("routes-read", "median_us", ROUTES)?;
    let accounts = run.at("accounts-load", "median_us", TENANTS)?;
    let fleet_bytes = Amount(list.value * HALF_ZONE_LIMITERS, Unit::Bytes).text();
    Ok(vec![
        Line::new(
            "configuration",
            "start, or one change: reading the files",
            Amount(routes.value + accounts.value, Unit::Microseconds),
            &[&routes, &accounts],
        )
        .within(CHANGE_IN_FORCE_MICROS)
        .carried_by("as it is, a whole file each time"),
        Line::new(
            "service discovery",
            format!(
                "start: {} of the whole list",
                Amount(list.value, Unit::Bytes).text()
            ),
            control_transfer_time(list.value),
            &[&list],
        )
        .within(CHANGE_IN_FORCE_MICROS)
        .carried_by(
            "missing where 4 KB/s holds for each second: a subset of services would carry it",
        ),
        Line::new(
            "service discovery",
            "start: reading and taking the whole list",
            Amount(list_read.value + list_apply.value, Unit::Microseconds),
            &[&list_read, &list_apply],
        )
        .within(CHANGE_IN_FORCE_MICROS),
        Line::new(
            "limiter",
            "a whole list to one that serves: decisions stand still while it is taken",
            Amount(list_apply.value, Unit::Microseconds),
            &[&list_apply],
        )
        .within(ADDED_LATENCY_MICROS)
        .carried_by("missing: rare, as the watch goes on from its last version"),
        Line::new(
            "service discovery",
            format!(
                "half a zone's limiters start: turns of 20 ms (stand-in), {fleet_bytes} in all"
            ),
            Amount(
                DISCOVERY_POLL_MICROS * HALF_ZONE_LIMITERS,
                Unit::Microseconds,
            ),
            &[&list],
        )
        .within(CHANGE_IN_FORCE_MICROS)
        .carried_by("random waits (`src/discovery/poll_wait.rs`)"),
        loading_memory(
            "start: all that is allocated while the list is read",
            &list_memory,
        ),
        loading_memory(
            "start: all that is allocated while routes are read",
            &routes_memory,
        ),
        loading_memory(
            "start: all that is allocated while accounts are read",
            &accounts_memory,
        ),
    ])
}

/// Returns the lines of all events.
pub fn lines(run: &Run) -> Result<Vec<Line>, PageError> {
    let mut lines = start(run)?;
    let routes = run.at("routes-read", "text_bytes", ROUTES)?;
    let accounts = run.at("accounts-load", "text_bytes", TENANTS)?;
    let file = routes.value + accounts.value;
    lines.push(
        Line::new(
            "configuration",
            format!("one change: {} of files", Amount(file, Unit::Bytes).text()),
            control_transfer_time(file),
            &[&routes, &accounts],
        )
        .within(CHANGE_IN_FORCE_MICROS)
        .carried_by("missing: no way to send a change alone, nothing tells when all have it"),
    );
    // Entries that change while a region is cut off.
    let cut_entries =
        (server_restarts() * ENTRIES_PER_RESTART / DAY_SECONDS * REGION_CUT_SECONDS).round();
    list_change(run, "a server joins or drains", 1.0, &mut lines)?;
    list_change(run, "a rack of 40 servers", RACK_SERVERS, &mut lines)?;
    list_change(
        run,
        "a region back after 5 minutes",
        cut_entries,
        &mut lines,
    )?;
    list_change(run, "a zone of 1,600 servers", ZONE_SERVERS, &mut lines)?;
    list_change(
        run,
        "half a zone's servers restarted",
        HALF_ZONE_ENTRIES,
        &mut lines,
    )?;
    Ok(lines)
}
