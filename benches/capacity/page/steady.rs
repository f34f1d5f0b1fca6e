//! Resources that each role needs in steady operation.

use super::run::{PageError, Run};
use super::target::{
    limiter_restarts, server_restarts, Unit, ADDED_LATENCY_MICROS, CONFIGURATION_CHANGES_PER_DAY,
    CONTROL_BYTES_PER_SECOND, CONTROL_CORES, CONTROL_MACHINES, CONTROL_MEMORY_BYTES, DAY_SECONDS,
    ENTRIES_PER_RESTART, IDLE_CONNECTION_SECONDS, LIMITERS, MAX_UPDATE_BYTES, REQUESTS_PER_SECOND,
    ROUTES, SCRAPE_SECONDS, SERVERS, SERVICES, TENANTS,
};
use super::{Amount, Line};
use mossrill::membership::datagram::MAX_LIMITERS;

/// Timer events per second: 64 in the shortest latency objective of half a second.
const TIMERS_PER_SECOND: f64 = 128.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// Lines of the limiter's own work.
fn limiter(run: &Run) -> Result<Vec<Line>, PageError> {
    let decision = run.at("decision-by-servers", "p99_us", SERVERS)?;
    let median = run.at("decision-by-servers", "median_us", SERVERS)?;
    let find = run.at("route-find", "p99_us", ROUTES)?;
    let tenants = run.at("traffic-by-tenants-zipf-1", "tenants_in_60s", TENANTS)?;
    let second = run.at("second-by-servers", "median_us", SERVERS)?;
    let second_tenants = run.at("second-by-tenants", "median_us", tenants.value.round())?;
    let timer = run.at("timer-by-servers", "median_us", SERVERS)?;
    let servers_held = run.at("list-apply", "held_bytes", SERVERS)?;
    let tenants_held = run.at("second-by-tenants", "held_bytes", tenants.value.round())?;
    let routes_held = run.at("routes-read", "held_bytes", ROUTES)?;
    let accounts_held = run.at("accounts-load", "held_bytes", TENANTS)?;
    let held = servers_held.value + tenants_held.value + routes_held.value + accounts_held.value;
    Ok(vec![
        Line::new(
            "limiter",
            "a decision, 99 in 100",
            Amount(decision.value, Unit::Microseconds),
            &[&decision],
        )
        .within(ADDED_LATENCY_MICROS)
        .carried_by("missing: the choice looks at every server, and there is one pool"),
        Line::new(
            "limiter",
            "decisions, of the one thread that makes them",
            Amount(
                median.value * REQUESTS_PER_SECOND / MICROS_PER_SECOND,
                Unit::Cores,
            ),
            &[&median],
        )
        .within(1.0)
        .carried_by("missing, as above"),
        Line::new(
            "limiter",
            "finding a route, 99 in 100",
            Amount(find.value, Unit::Microseconds),
            &[&find],
        )
        .within(ADDED_LATENCY_MICROS)
        .carried_by("missing: a scan of all routes"),
        Line::new(
            "limiter",
            "work of each second, servers and the tenants of a minute",
            Amount(
                (second.value + second_tenants.value) / MICROS_PER_SECOND,
                Unit::Cores,
            ),
            &[&second, &second_tenants],
        )
        .within(CONTROL_CORES),
        Line::new(
            "limiter",
            "the other timer events",
            Amount(
                timer.value * TIMERS_PER_SECOND / MICROS_PER_SECOND,
                Unit::Cores,
            ),
            &[&timer],
        )
        .within(CONTROL_CORES),
        Line::new(
            "limiter",
            "memory: servers, tenants of a minute, routes, accounts",
            Amount(held, Unit::Bytes),
            &[&servers_held, &tenants_held, &routes_held, &accounts_held],
        )
        .within(CONTROL_MEMORY_BYTES),
        Line::new(
            "limiter",
            "time between two requests to one server, which its idle connection has to last",
            Amount(
                SERVERS / REQUESTS_PER_SECOND * MICROS_PER_SECOND,
                Unit::Microseconds,
            ),
            &[],
        )
        .within(IDLE_CONNECTION_SECONDS * MICROS_PER_SECOND)
        .carried_by(
            "missing: nearly every request opens a connection; a subset of servers would carry it",
        ),
    ])
}

/// Lines of the quota counter.
fn counter(run: &Run) -> Result<Vec<Line>, PageError> {
    let http = run.at("counter-by-limiters-zipf-1", "http_bytes_per_s", LIMITERS)?;
    let redis = run.at("counter-by-limiters-zipf-1", "redis_bytes_per_s", LIMITERS)?;
    let calls = run.at("counter-by-limiters-zipf-1", "calls_per_request", LIMITERS)?;
    let calls_per_machine = calls.value * REQUESTS_PER_SECOND * LIMITERS / CONTROL_MACHINES;
    Ok(vec![
        Line::new(
            "quota counter",
            "calls of a limiter over HTTP, without answers",
            Amount(http.value, Unit::BytesPerSecond),
            &[&http],
        )
        .within(CONTROL_BYTES_PER_SECOND)
        .carried_by("quota leases where configured, measured below; the calls themselves: missing"),
        Line::new(
            "quota counter",
            "the same as Redis commands",
            Amount(redis.value, Unit::BytesPerSecond),
            &[&redis],
        )
        .within(CONTROL_BYTES_PER_SECOND)
        .carried_by("quota leases where configured, measured below; the calls themselves: missing"),
        Line::new(
            "quota counter",
            "calls at each of 7 machines, if they were shared out evenly",
            Amount(calls_per_machine, Unit::CallsPerSecond),
            &[&calls],
        )
        .carried_by("quota leases where configured, measured below; the calls themselves: missing"),
    ])
}

/// Lines of the distribution of configuration.
fn configuration(run: &Run) -> Result<Vec<Line>, PageError> {
    let routes = run.at("routes-read", "text_bytes", ROUTES)?;
    let accounts = run.at("accounts-load", "text_bytes", TENANTS)?;
    let routes_time = run.at("routes-read", "median_us", ROUTES)?;
    let accounts_time = run.at("accounts-load", "median_us", TENANTS)?;
    let changes_per_second = CONFIGURATION_CHANGES_PER_DAY / DAY_SECONDS;
    Ok(vec![
        Line::new(
            "configuration",
            "a whole file for each change",
            Amount(
                (routes.value + accounts.value) * changes_per_second,
                Unit::BytesPerSecond,
            ),
            &[&routes, &accounts],
        )
        .within(CONTROL_BYTES_PER_SECOND)
        .carried_by("missing: files come by hand, and SIGHUP takes neither routes nor accounts"),
        Line::new(
            "configuration",
            "reading a whole file for each change",
            Amount(
                (routes_time.value + accounts_time.value) * changes_per_second / MICROS_PER_SECOND,
                Unit::Cores,
            ),
            &[&routes_time, &accounts_time],
        )
        .within(CONTROL_CORES)
        .carried_by("as it is, a whole file each time"),
    ])
}

/// Lines of service discovery.
fn discovery(run: &Run) -> Result<Vec<Line>, PageError> {
    let list = run.at("list-read", "text_bytes", SERVERS)?;
    let change = run.at("change-read", "text_bytes", 1.0)?;
    let read = run.at("change-read", "median_us", 1.0)?;
    let apply = run.at("change-apply", "median_us", 1.0)?;
    let entries_per_second = server_restarts() * ENTRIES_PER_RESTART / DAY_SECONDS;
    let full_lists_per_second = limiter_restarts() / LIMITERS / DAY_SECONDS;
    Ok(vec![
        Line::new(
            "service discovery",
            "the whole list, as long as it may be",
            Amount(list.value, Unit::Bytes),
            &[&list],
        )
        .within(MAX_UPDATE_BYTES)
        .carried_by("a limit in the program (`src/discovery/watcher.rs`)"),
        Line::new(
            "service discovery",
            "changes by restarts of servers, one entry each",
            Amount(change.value * entries_per_second, Unit::BytesPerSecond),
            &[&change],
        )
        .within(CONTROL_BYTES_PER_SECOND)
        .carried_by("the watch of the list"),
        Line::new(
            "service discovery",
            "reading and taking these changes",
            Amount(
                (read.value + apply.value) * entries_per_second / MICROS_PER_SECOND,
                Unit::Cores,
            ),
            &[&read, &apply],
        )
        .within(CONTROL_CORES)
        .carried_by("the watch of the list"),
        Line::new(
            "service discovery",
            "whole lists at restarts of limiters, over the day",
            Amount(list.value * full_lists_per_second, Unit::BytesPerSecond),
            &[&list],
        )
        .within(CONTROL_BYTES_PER_SECOND)
        .carried_by("the watch of the list"),
    ])
}

/// Lines of fleet membership and of operators' tools.
fn membership_and_operators(run: &Run) -> Result<Vec<Line>, PageError> {
    let stat = run.at("statistics-by-services", "text_bytes", SERVICES)?;
    Ok(vec![
        Line::new(
            "membership",
            "members of a fleet, as many as there may be",
            Amount(LIMITERS, Unit::Limiters),
            &[],
        )
        .within(f64::from(MAX_LIMITERS))
        .carried_by("the fleet's view; a larger fleet is refused at the start (`MAX_LIMITERS`)"),
        Line::new(
            "operators' tools, figures",
            "`show-stat` every 10 s, a class for each service",
            Amount(stat.value / SCRAPE_SECONDS, Unit::BytesPerSecond),
            &[&stat],
        )
        .within(CONTROL_BYTES_PER_SECOND)
        .carried_by("missing: no figure of the fleet as a whole, all text each time"),
    ])
}

/// Returns the lines of all roles.
pub fn lines(run: &Run) -> Result<Vec<Line>, PageError> {
    let parts = [
        limiter(run)?,
        counter(run)?,
        configuration(run)?,
        discovery(run)?,
        membership_and_operators(run)?,
    ];
    Ok(parts.into_iter().flatten().collect())
}
