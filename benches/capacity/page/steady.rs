//! What each role spends all day.

use super::run::{PageError, Run};
use super::target::{
    limiter_restarts, server_restarts, Unit, ADDED, CONFIGURATION_CHANGES_A_DAY, CONTROL_BYTES,
    CONTROL_CORE, CONTROL_MACHINES, CONTROL_MEMORY, DAY, ENTRIES_OF_A_RESTART, IDLE_SECONDS,
    LIMITERS, LONGEST_NEWS, REQUESTS, ROUTES, SCRAPE_SECONDS, SERVERS, SERVICES, TENANTS,
};
use super::{Amount, Line};
use mossrill::membership::datagram::MAX_LIMITERS;

/// Timer events a second: 64 in the shortest aim of half a second.
const TIMERS: f64 = 128.0;
const MICROS: f64 = 1e6;

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
        .within(ADDED)
        .by("missing: the choice looks at every server, and there is one pool"),
        Line::new(
            "limiter",
            "decisions, of the one thread that makes them",
            Amount(median.value * REQUESTS / MICROS, Unit::Cores),
            &[&median],
        )
        .within(1.0)
        .by("missing, as above"),
        Line::new(
            "limiter",
            "finding a route, 99 in 100",
            Amount(find.value, Unit::Microseconds),
            &[&find],
        )
        .within(ADDED)
        .by("missing: a scan of all routes"),
        Line::new(
            "limiter",
            "work of each second, servers and the tenants of a minute",
            Amount((second.value + second_tenants.value) / MICROS, Unit::Cores),
            &[&second, &second_tenants],
        )
        .within(CONTROL_CORE),
        Line::new(
            "limiter",
            "the other timer events",
            Amount(timer.value * TIMERS / MICROS, Unit::Cores),
            &[&timer],
        )
        .within(CONTROL_CORE),
        Line::new(
            "limiter",
            "memory: servers, tenants of a minute, routes, accounts",
            Amount(held, Unit::Bytes),
            &[&servers_held, &tenants_held, &routes_held, &accounts_held],
        )
        .within(CONTROL_MEMORY),
        Line::new(
            "limiter",
            "time between two requests to one server, which its idle connection has to last",
            Amount(SERVERS / REQUESTS * MICROS, Unit::Microseconds),
            &[],
        )
        .within(IDLE_SECONDS * MICROS)
        .by("missing: nearly every request opens a connection; a subset of servers would carry it"),
    ])
}

/// Lines of the quota counter.
fn counter(run: &Run) -> Result<Vec<Line>, PageError> {
    let http = run.at("counter-by-limiters-zipf-1", "http_bytes_per_s", LIMITERS)?;
    let redis = run.at("counter-by-limiters-zipf-1", "redis_bytes_per_s", LIMITERS)?;
    let calls = run.at("counter-by-limiters-zipf-1", "calls_per_request", LIMITERS)?;
    let each = calls.value * REQUESTS * LIMITERS / CONTROL_MACHINES;
    Ok(vec![
        Line::new(
            "quota counter",
            "calls of a limiter over HTTP, without answers",
            Amount(http.value, Unit::BytesPerSecond),
            &[&http],
        )
        .within(CONTROL_BYTES)
        .by("quota leases where configured, measured below; the calls themselves: missing"),
        Line::new(
            "quota counter",
            "the same as Redis commands",
            Amount(redis.value, Unit::BytesPerSecond),
            &[&redis],
        )
        .within(CONTROL_BYTES)
        .by("quota leases where configured, measured below; the calls themselves: missing"),
        Line::new(
            "quota counter",
            "calls at each of 7 machines, if they were shared out evenly",
            Amount(each, Unit::CallsPerSecond),
            &[&calls],
        )
        .by("quota leases where configured, measured below; the calls themselves: missing"),
    ])
}

/// Lines of the distribution of configuration.
fn configuration(run: &Run) -> Result<Vec<Line>, PageError> {
    let routes = run.at("routes-read", "text_bytes", ROUTES)?;
    let accounts = run.at("accounts-load", "text_bytes", TENANTS)?;
    let routes_time = run.at("routes-read", "median_us", ROUTES)?;
    let accounts_time = run.at("accounts-load", "median_us", TENANTS)?;
    let each_second = CONFIGURATION_CHANGES_A_DAY / DAY;
    Ok(vec![
        Line::new(
            "configuration",
            "a whole file for each change",
            Amount(
                (routes.value + accounts.value) * each_second,
                Unit::BytesPerSecond,
            ),
            &[&routes, &accounts],
        )
        .within(CONTROL_BYTES)
        .by("missing: files come by hand, and SIGHUP takes neither routes nor accounts"),
        Line::new(
            "configuration",
            "reading a whole file for each change",
            Amount(
                (routes_time.value + accounts_time.value) * each_second / MICROS,
                Unit::Cores,
            ),
            &[&routes_time, &accounts_time],
        )
        .within(CONTROL_CORE)
        .by("as it is, a whole file each time"),
    ])
}

/// Lines of service discovery.
fn discovery(run: &Run) -> Result<Vec<Line>, PageError> {
    let list = run.at("list-read", "text_bytes", SERVERS)?;
    let change = run.at("change-read", "text_bytes", 1.0)?;
    let read = run.at("change-read", "median_us", 1.0)?;
    let apply = run.at("change-apply", "median_us", 1.0)?;
    let changes = server_restarts() * ENTRIES_OF_A_RESTART / DAY;
    let loads = limiter_restarts() / LIMITERS / DAY;
    Ok(vec![
        Line::new(
            "service discovery",
            "the whole list, as long as it may be",
            Amount(list.value, Unit::Bytes),
            &[&list],
        )
        .within(LONGEST_NEWS)
        .by("a limit in the program (`src/discovery/watcher.rs`)"),
        Line::new(
            "service discovery",
            "changes by restarts of servers, one entry each",
            Amount(change.value * changes, Unit::BytesPerSecond),
            &[&change],
        )
        .within(CONTROL_BYTES)
        .by("the watch of the list"),
        Line::new(
            "service discovery",
            "reading and taking these changes",
            Amount((read.value + apply.value) * changes / MICROS, Unit::Cores),
            &[&read, &apply],
        )
        .within(CONTROL_CORE)
        .by("the watch of the list"),
        Line::new(
            "service discovery",
            "whole lists at restarts of limiters, over the day",
            Amount(list.value * loads, Unit::BytesPerSecond),
            &[&list],
        )
        .within(CONTROL_BYTES)
        .by("the watch of the list"),
    ])
}

/// Lines of membership and operators.
fn others(run: &Run) -> Result<Vec<Line>, PageError> {
    let stat = run.at("statistics-by-services", "text_bytes", SERVICES)?;
    Ok(vec![
        Line::new(
            "membership",
            "members of a fleet, as many as there may be",
            Amount(LIMITERS, Unit::Limiters),
            &[],
        )
        .within(f64::from(MAX_LIMITERS))
        .by("the fleet's view; a larger fleet is refused at the start (`MAX_LIMITERS`)"),
        Line::new(
            "operators' tools, figures",
            "`show-stat` every 10 s, a class for each service",
            Amount(stat.value / SCRAPE_SECONDS, Unit::BytesPerSecond),
            &[&stat],
        )
        .within(CONTROL_BYTES)
        .by("missing: no figure of the fleet as a whole, all text each time"),
    ])
}

/// All lines.
pub fn lines(run: &Run) -> Result<Vec<Line>, PageError> {
    let parts = [
        limiter(run)?,
        counter(run)?,
        configuration(run)?,
        discovery(run)?,
        others(run)?,
    ];
    Ok(parts.into_iter().flatten().collect())
}
