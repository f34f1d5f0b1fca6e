//! What single events cost. Bytes are given as the time that they take at the bytes a second that control may use.

use super::run::{PageError, Reading, Run};
use super::target::{
    server_restarts, Unit, ADDED, CONTROL_BYTES, CONTROL_MEMORY, CUT_SECONDS, DAY,
    ENTRIES_OF_A_RESTART, IN_FORCE, RACK_SERVERS, ROUTES, SERVERS, TENANTS, TURN, ZONE_LIMITERS,
    ZONE_SERVERS,
};
use super::{Amount, Line};

const MICROS: f64 = 1e6;
/// Limiters of half a zone, entries of half a zone's servers restarted, entries changed while a region is cut off.
const HALF_ZONE_LIMITERS: f64 = ZONE_LIMITERS / 2.0;
const HALF_ZONE_ENTRIES: f64 = ZONE_SERVERS / 2.0 * ENTRIES_OF_A_RESTART;

/// Time in which so many bytes go through what control may use.
fn at_control_rate(bytes: f64) -> Amount {
    Amount(bytes / CONTROL_BYTES * MICROS, Unit::Microseconds)
}

/// Bytes and durations of a change of the server list.
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
            at_control_rate(bytes.value),
            &[&bytes],
        )
        .within(IN_FORCE)
        .by("the watch of the list; over 1, missing where 4 KB/s holds for each second"),
    );
    lines.push(
        Line::new(
            "limiter",
            format!("{event}: decisions stand still while it is taken"),
            Amount(apply.value, Unit::Microseconds),
            &[&apply],
        )
        .within(ADDED),
    );
    Ok(())
}

/// The largest amount that may be held at once while something is read: all that was allocated meanwhile.
fn loading_memory(what: &'static str, reading: &Reading) -> Line {
    Line::new(
        "limiter",
        what,
        Amount(reading.value, Unit::Bytes),
        &[reading],
    )
    .within(CONTROL_MEMORY)
}

/// A limiter's start and many of them at once.
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
        .within(IN_FORCE)
        .by("as it is, a whole file each time"),
        Line::new(
            "service discovery",
            format!(
                "start: {} of the whole list",
                Amount(list.value, Unit::Bytes).text()
            ),
            at_control_rate(list.value),
            &[&list],
        )
        .within(IN_FORCE)
        .by("missing where 4 KB/s holds for each second: a subset of services would carry it"),
        Line::new(
            "service discovery",
            "start: reading and taking the whole list",
            Amount(list_read.value + list_apply.value, Unit::Microseconds),
            &[&list_read, &list_apply],
        )
        .within(IN_FORCE),
        Line::new(
            "limiter",
            "a whole list to one that serves: decisions stand still while it is taken",
            Amount(list_apply.value, Unit::Microseconds),
            &[&list_apply],
        )
        .within(ADDED)
        .by("missing: rare, as the watch goes on from its last version"),
        Line::new(
            "service discovery",
            format!(
                "half a zone's limiters start: turns of 20 ms (stand-in), {fleet_bytes} in all"
            ),
            Amount(TURN * HALF_ZONE_LIMITERS, Unit::Microseconds),
            &[&list],
        )
        .within(IN_FORCE)
        .by("random waits (`src/discovery/poll_wait.rs`)"),
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

/// All lines.
pub fn lines(run: &Run) -> Result<Vec<Line>, PageError> {
    let mut lines = start(run)?;
    let routes = run.at("routes-read", "text_bytes", ROUTES)?;
    let accounts = run.at("accounts-load", "text_bytes", TENANTS)?;
    let file = routes.value + accounts.value;
    lines.push(
        Line::new(
            "configuration",
            format!("one change: {} of files", Amount(file, Unit::Bytes).text()),
            at_control_rate(file),
            &[&routes, &accounts],
        )
        .within(IN_FORCE)
        .by("missing: no way to send a change alone, nothing tells when all have it"),
    );
    let cut = (server_restarts() * ENTRIES_OF_A_RESTART / DAY * CUT_SECONDS).round();
    list_change(run, "a server joins or drains", 1.0, &mut lines)?;
    list_change(run, "a rack of 40 servers", RACK_SERVERS, &mut lines)?;
    list_change(run, "a region back after 5 minutes", cut, &mut lines)?;
    list_change(run, "a zone of 1,600 servers", ZONE_SERVERS, &mut lines)?;
    list_change(
        run,
        "half a zone's servers restarted",
        HALF_ZONE_ENTRIES,
        &mut lines,
    )?;
    Ok(lines)
}
