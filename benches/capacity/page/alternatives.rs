//! Ways to carry what is missing, reckoned from the same slopes. Nothing here was built or measured as a whole.

use super::run::{PageError, Run};
use super::target::{
    Unit, ADDED, BATCH_ENTRY, BATCH_HEAD, CONFIGURATION_CHANGES_A_DAY, CONTROL_BYTES, CONTROL_CORE,
    CONTROL_MACHINES, CONTROL_MEMORY, DAY, IN_FORCE, LIMITERS, REQUESTS, ROUTES, SERVERS, SERVICES,
    TENANTS,
};
use super::{two_digits, Amount, Line};
use std::fmt::Write;

const MICROS: f64 = 1e6;
/// Exponents of the Zipf distribution as the experiments name them.
const SKEWS: [&str; 3] = ["0.8", "1", "1.2"];
/// Servers of a subset, limiters of a tenant's home.
const SUBSETS: [f64; 3] = [24.0, 240.0, 2_400.0];
const HOMES: [f64; 3] = [3.0, 32.0, 300.0];

/// Bytes a second of batches to every control machine, each with one entry for every account seen since the last one.
fn batches(accounts: f64, every_seconds: f64) -> f64 {
    (accounts * BATCH_ENTRY + CONTROL_MACHINES * BATCH_HEAD) / every_seconds
}

fn counter(run: &Run) -> Result<Vec<Line>, PageError> {
    let mut lines = Vec::new();
    for skew in SKEWS {
        let traffic = format!("traffic-by-tenants-zipf-{skew}");
        for (quantity, seconds) in [("tenants_in_1s", 1.0), ("tenants_in_5s", 5.0)] {
            let seen = run.at(&traffic, quantity, TENANTS)?;
            let what = format!(
                "calls batched for 7 shards every {seconds:.0} s, {} accounts in each interval, Zipf {skew}",
                two_digits(seen.value)
            );
            let bytes = Amount(batches(seen.value, seconds), Unit::BytesPerSecond);
            lines.push(Line::new("quota counter", what, bytes, &[&seen]).within(CONTROL_BYTES));
        }
    }
    for home in HOMES {
        let http = run.at("counter-by-spread-zipf-1", "http_bytes_per_s", home)?;
        let what =
            format!("calls as today, each tenant through {home:.0} limiters (a home), Zipf 1");
        let bytes = Amount(http.value, Unit::BytesPerSecond);
        lines.push(Line::new("quota counter", what, bytes, &[&http]).within(CONTROL_BYTES));
    }
    let minute = run.at("traffic-by-tenants-zipf-1", "tenants_in_60s", TENANTS)?;
    let moved = minute.value / CONTROL_MACHINES * BATCH_ENTRY + BATCH_HEAD;
    lines.push(
        Line::new(
            "quota counter",
            "rendezvous hashing: a lost machine's seventh of the known accounts told anew, Zipf 1",
            Amount(moved / CONTROL_BYTES * MICROS, Unit::Microseconds),
            &[&minute],
        )
        .within(IN_FORCE),
    );
    Ok(lines)
}

fn servers(run: &Run) -> Result<Vec<Line>, PageError> {
    let mut lines = Vec::new();
    for subset in SUBSETS {
        let decision = run.at("decision-by-servers", "p99_us", subset)?;
        let what = format!("a decision, 99 in 100, with a subset or pool of {subset:.0} servers");
        let amount = Amount(decision.value, Unit::Microseconds);
        lines.push(Line::new("limiter", what, amount, &[&decision]).within(ADDED));
    }
    // The median of arrivals holds no choice of a server, as most requests wait for the counter first.
    let arrival = run.at("arrival-by-servers", "median_us", SERVERS)?;
    let outcome = run.at("outcome-by-servers", "median_us", SERVERS)?;
    let choice = run.at("counted-by-servers", "median_us", SUBSETS[0])?;
    let sampled = arrival.value + outcome.value + choice.value;
    let parts = [&arrival, &outcome, &choice];
    let what = "a choice among 24 sampled of 21,000 servers, all other scans as today: median of a decision";
    lines.push(
        Line::new("limiter", what, Amount(sampled, Unit::Microseconds), &parts).within(ADDED),
    );
    let what = "the same, of the one thread that decides";
    lines.push(
        Line::new(
            "limiter",
            what,
            Amount(sampled * REQUESTS / MICROS, Unit::Cores),
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
        .within(CONTROL_MEMORY),
    );
    lines.push(
        Line::new(
            "limiter",
            "a module for each service: work of each second",
            Amount(second.value / MICROS, Unit::Cores),
            &[&second],
        )
        .within(CONTROL_CORE),
    );
    Ok(lines)
}

fn configuration(run: &Run) -> Result<Vec<Line>, PageError> {
    let routes = run.at("routes-read", "text_bytes", ROUTES)?;
    let accounts = run.at("accounts-load", "text_bytes", TENANTS)?;
    let entry = (routes.value / ROUTES).max(accounts.value / TENANTS);
    let rate = entry * CONFIGURATION_CHANGES_A_DAY / DAY;
    let what = "the changed route or account alone for each change";
    let line = Line::new(
        "configuration",
        what,
        Amount(rate, Unit::BytesPerSecond),
        &[&routes, &accounts],
    );
    Ok(vec![line.within(CONTROL_BYTES)])
}

/// All lines.
pub fn lines(run: &Run) -> Result<Vec<Line>, PageError> {
    let parts = [counter(run)?, servers(run)?, configuration(run)?];
    let reckoned = |line: Line| line.by("reckoned, not built");
    Ok(parts.into_iter().flatten().map(reckoned).collect())
}

/// Calls for each request and bytes a second by skew and spread.
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
