//! Designs that could provide what is missing, with amounts computed from the same power laws. None
//! of them was built, or measured as a whole.

use super::run::{PageError, Run};
use super::target::{
    Unit, ADDED_LATENCY_MICROS, BATCH_ENTRY_BYTES, BATCH_HEADER_BYTES, CHANGE_IN_FORCE_MICROS,
    CONFIGURATION_CHANGES_PER_DAY, CONTROL_BYTES_PER_SECOND, CONTROL_CORES, CONTROL_MACHINES,
    CONTROL_MEMORY_BYTES, DAY_SECONDS, LIMITERS, REQUESTS_PER_SECOND, ROUTES, SERVERS, SERVICES,
    TENANTS,
};
use super::{two_digits, Amount, Line};
use std::fmt::Write;

const MICROS_PER_SECOND: f64 = 1e6;
/// Exponents of the Zipf distribution, as in the names of the experiments.
const SKEWS: [&str; 3] = ["0.8", "1", "1.2"];
/// Numbers of servers in a subset that a limiter uses.
const SUBSETS: [f64; 3] = [24.0, 240.0, 2_400.0];
/// Numbers of limiters that a tenant's requests arrive at if each tenant has a home.
const HOMES: [f64; 3] = [3.0, 32.0, 300.0];

/// Returns the bytes per second of a limiter's batches to the control machines. Together the
/// batches of an interval have one entry for each account seen in it.
fn batch_bytes_per_second(accounts: f64, interval_seconds: f64) -> f64 {
    (accounts * BATCH_ENTRY_BYTES + CONTROL_MACHINES * BATCH_HEADER_BYTES) / interval_seconds
}

/// Lines of the quota counter.
fn counter(run: &Run) -> Result<Vec<Line>, PageError> {
    let mut lines = Vec::new();
    for skew in SKEWS {
        let traffic = format!("traffic-by-tenants-zipf-{skew}");
        for (quantity, seconds) in [("tenants_in_1s", 1.0), ("tenants_in_5s", 5.0)] {
            let seen = run.at(&traffic, quantity, TENANTS)?;
            let item = format!(
                "calls batched for 7 shards every {seconds:.0} s, {} accounts in each interval, Zipf {skew}",
                two_digits(seen.value)
            );
            let bytes = Amount(
                batch_bytes_per_second(seen.value, seconds),
                Unit::BytesPerSecond,
            );
            lines.push(
                Line::new("quota counter", item, bytes, &[&seen]).within(CONTROL_BYTES_PER_SECOND),
            );
        }
    }
    for home in HOMES {
        let http = run.at("counter-by-spread-zipf-1", "http_bytes_per_s", home)?;
        let item =
            format!("calls as today, each tenant through {home:.0} limiters (a home), Zipf 1");
        let bytes = Amount(http.value, Unit::BytesPerSecond);
        lines.push(
            Line::new("quota counter", item, bytes, &[&http]).within(CONTROL_BYTES_PER_SECOND),
        );
    }
    let minute = run.at("traffic-by-tenants-zipf-1", "tenants_in_60s", TENANTS)?;
    let moved_bytes = minute.value / CONTROL_MACHINES * BATCH_ENTRY_BYTES + BATCH_HEADER_BYTES;
    lines.push(
        Line::new(
            "quota counter",
            "rendezvous hashing: a lost machine's seventh of the known accounts told anew, Zipf 1",
            Amount(
                moved_bytes / CONTROL_BYTES_PER_SECOND * MICROS_PER_SECOND,
                Unit::Microseconds,
            ),
            &[&minute],
        )
        .within(CHANGE_IN_FORCE_MICROS),
    );
    Ok(lines)
}

/// Lines of the choice of servers.
fn servers(run: &Run) -> Result<Vec<Line>, PageError> {
    let mut lines = Vec::new();
    for subset in SUBSETS {
        let decision = run.at("decision-by-servers", "p99_us", subset)?;
        let item = format!("a decision, 99 in 100, with a subset or pool of {subset:.0} servers");
        let amount = Amount(decision.value, Unit::Microseconds);
        lines.push(Line::new("limiter", item, amount, &[&decision]).within(ADDED_LATENCY_MICROS));
    }
    // The median of arrivals does not include the choice of a server, as most requests wait for the
    // counter first.
    let arrival = run.at("arrival-by-servers", "median_us", SERVERS)?;
    let outcome = run.at("outcome-by-servers", "median_us", SERVERS)?;
    let choice = run.at("counted-by-servers", "median_us", SUBSETS[0])?;
    let sampled = arrival.value + outcome.value + choice.value;
    let parts = [&arrival, &outcome, &choice];
    let item = "a choice among 24 sampled of 21,000 servers, all other scans as today: median of a decision";
    lines.push(
        Line::new("limiter", item, Amount(sampled, Unit::Microseconds), &parts)
            .within(ADDED_LATENCY_MICROS),
    );
    let item = "the same, of the one thread that decides";
    lines.push(
        Line::new(
            "limiter",
            item,
            Amount(
                sampled * REQUESTS_PER_SECOND / MICROS_PER_SECOND,
                Unit::Cores,
            ),
            &parts,
        )
        .within(1.0),
    );
    let pools = run.at("pools-by-services", "held_bytes", SERVICES)?;
    let second = run.at("pools-by-services", "median_us", SERVICES)?;
    lines.push(
        Line::new(
            "limiter",
            "a module for each service: memory",
            Amount(pools.value, Unit::Bytes),
            &[&pools],
        )
        .within(CONTROL_MEMORY_BYTES),
    );
    lines.push(
        Line::new(
            "limiter",
            "a module for each service: work of each second",
            Amount(second.value / MICROS_PER_SECOND, Unit::Cores),
            &[&second],
        )
        .within(CONTROL_CORES),
    );
    Ok(lines)
}

/// Lines of the distribution of configuration.
fn configuration(run: &Run) -> Result<Vec<Line>, PageError> {
    let routes = run.at("routes-read", "text_bytes", ROUTES)?;
    let accounts = run.at("accounts-load", "text_bytes", TENANTS)?;
    let entry = (routes.value / ROUTES).max(accounts.value / TENANTS);
    let rate = entry * CONFIGURATION_CHANGES_PER_DAY / DAY_SECONDS;
    let item = "the changed route or account alone for each change";
    let line = Line::new(
        "configuration",
        item,
        Amount(rate, Unit::BytesPerSecond),
        &[&routes, &accounts],
    );
    Ok(vec![line.within(CONTROL_BYTES_PER_SECOND)])
}

/// Returns the lines of all designs.
pub fn lines(run: &Run) -> Result<Vec<Line>, PageError> {
    let parts = [counter(run)?, servers(run)?, configuration(run)?];
    let estimate = |line: Line| line.carried_by("reckoned, not built");
    Ok(parts.into_iter().flatten().map(estimate).collect())
}

/// Returns a table of the calls per request and the bytes per second by skew and spread.
pub fn skews(run: &Run) -> Result<String, PageError> {
    let mut text = String::from(
        "| Zipf exponent | limiters of a tenant | calls a request | HTTP bytes/s a limiter | Redis bytes/s | \
         tenants in 1 s | in 5 s | in 60 s | largest tenant | not sent on |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for skew in SKEWS {
        for spread in HOMES.into_iter().chain([LIMITERS]) {
            let counter =
                |quantity| run.at(&format!("counter-by-spread-zipf-{skew}"), quantity, spread);
            let traffic =
                |quantity| run.at(&format!("traffic-by-spread-zipf-{skew}"), quantity, spread);
            let calls = counter("calls_per_request")?.value;
            let http = counter("http_bytes_per_s")?.value;
            let redis = counter("redis_bytes_per_s")?.value;
            let not_sent = counter("not_sent")?.value * 100.0;
            let seen = ["tenants_in_1s", "tenants_in_5s", "tenants_in_60s"];
            let seen: Vec<String> = seen
                .into_iter()
                .map(|quantity| Ok(format!("{:.0}", traffic(quantity)?.value)))
                .collect::<Result<_, PageError>>()?;
            let largest = traffic("largest_tenant")?.value * 100.0;
            _ = writeln!(
                text,
                "| {skew} | {spread:.0} | {calls:.2} | {http:.0} | {redis:.0} | {} | {largest:.1}% | {not_sent:.2}% |",
                seen.join(" | ")
            );
        }
    }
    Ok(text)
}
