//! Command line of the benchmark, and the sizes and seeds of a run that follow from it.

use super::traffic::HEADROOM;
use clap::{value_parser, Parser, ValueEnum};
use std::path::PathBuf;

/// Largest number of servers of an experiment.
const MAX_SERVERS: u64 = 200_000;
/// Largest number of tenants, routes or accounts of an experiment.
const MAX_TENANTS: u64 = 1_000_000;
/// Largest number of limiters of an experiment.
const MAX_LIMITERS: u64 = 20_000;

/// A group of experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Group {
    /// One request through the decision module.
    Decisions,
    /// Full endpoint lists and changes to them.
    Lists,
    /// Timer events of the decision module.
    Timers,
    /// Routes and accounts of a configuration file.
    Configuration,
    /// A decision module for each service, a design that is not implemented.
    Pools,
    /// Number of tenants whose requests a limiter receives.
    Traffic,
    /// Calls to the quota counter.
    Counter,
    /// Metrics that operators read.
    Statistics,
}

/// Measures how the cost of decisions, events and messages grows with the size of the fleet.
#[derive(Clone, Debug, Parser)]
#[command(name = "capacity")]
pub struct Arguments {
    /// Numbers of upstream servers.
    #[arg(long, value_delimiter = ',', value_parser = value_parser!(u64).range(1..=MAX_SERVERS))]
    pub servers: Vec<u64>,
    /// Numbers of tenants.
    #[arg(long, value_delimiter = ',', value_parser = value_parser!(u64).range(1..=MAX_TENANTS))]
    pub tenants: Vec<u64>,
    /// Numbers of limiters.
    #[arg(long, value_delimiter = ',', value_parser = value_parser!(u64).range(1..=MAX_LIMITERS))]
    pub limiters: Vec<u64>,
    /// Numbers of limiters that the requests of one tenant arrive at.
    #[arg(long, value_delimiter = ',', value_parser = value_parser!(u64).range(1..=MAX_LIMITERS))]
    pub spreads: Vec<u64>,
    /// Exponents of the Zipf distribution of requests over tenants.
    #[arg(long, value_delimiter = ',', value_parser = parse_skew)]
    pub skews: Vec<f64>,
    /// Least ratio of a tenant's quota to the rate at which it sends; below 1, tenants exceed their
    /// quotas.
    #[arg(long, default_value_t = HEADROOM, value_parser = parse_headroom)]
    pub headroom: f64,
    /// Numbers of entries in one change of the endpoint list.
    #[arg(long, value_delimiter = ',', value_parser = value_parser!(u64).range(1..=MAX_SERVERS))]
    pub changes: Vec<u64>,
    /// Numbers of routes in the OpenAPI description.
    #[arg(long, value_delimiter = ',', value_parser = value_parser!(u64).range(1..=MAX_TENANTS))]
    pub routes: Vec<u64>,
    /// Numbers of services, each with its own servers.
    #[arg(long, value_delimiter = ',', value_parser = value_parser!(u64).range(1..=MAX_SERVERS))]
    pub services: Vec<u64>,
    /// Seeds of the random numbers; each size is measured with each seed.
    #[arg(long, value_delimiter = ',')]
    pub seeds: Vec<u64>,
    /// Number of measurements for each size and seed.
    #[arg(long, value_parser = value_parser!(u64).range(1..=1_000_000))]
    pub samples: Option<u64>,
    /// Seconds of simulated traffic in which counter calls are counted.
    #[arg(long, value_parser = value_parser!(u64).range(1..=3_600))]
    pub seconds: Option<u64>,
    /// Number of limiters that are fully simulated where counter calls are counted; a model stands
    /// in for the others.
    #[arg(long, default_value_t = 4, value_parser = value_parser!(u64).range(1..=MAX_LIMITERS))]
    pub sampled: u64,
    /// Groups of experiments to run; all by default.
    #[arg(long, value_delimiter = ',', value_enum)]
    pub only: Vec<Group>,
    /// Use small sizes; the run takes a few seconds.
    #[arg(long)]
    pub quick: bool,
    /// Print one JSON document instead of tables.
    #[arg(long)]
    pub json: bool,
    /// Run nothing; print the tables of `docs/CAPACITY.md` from this file, which holds the output
    /// of `--json`.
    #[arg(long)]
    pub page: Option<PathBuf>,
    /// Accepted and ignored: cargo passes it to every benchmark.
    #[arg(long, hide = true)]
    pub bench: bool,
}

/// Parses the exponent of a Zipf distribution.
fn parse_skew(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(skew) if (0.0..=5.0).contains(&skew) => Ok(skew),
        _ => Err("expected an exponent from 0 to 5".into()),
    }
}

/// Parses the least ratio of a tenant's quota to the rate at which it sends.
fn parse_headroom(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(headroom) if (0.1..=10.0).contains(&headroom) => Ok(headroom),
        _ => Err("expected a number from 0.1 to 10".into()),
    }
}

/// Sizes, seeds and groups of experiments of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Numbers of upstream servers.
    pub servers: Vec<u64>,
    /// Numbers of tenants, and of accounts in the configuration file.
    pub tenants: Vec<u64>,
    /// Numbers of limiters.
    pub limiters: Vec<u64>,
    /// Numbers of limiters that the requests of one tenant arrive at.
    pub spreads: Vec<u64>,
    /// Exponents of the Zipf distribution of requests over tenants.
    pub skews: Vec<f64>,
    /// Least ratio of a tenant's quota to the rate at which it sends.
    pub headroom: f64,
    /// Numbers of entries in one change of the endpoint list.
    pub changes: Vec<u64>,
    /// Numbers of routes.
    pub routes: Vec<u64>,
    /// Numbers of services.
    pub services: Vec<u64>,
    /// Seeds of the random numbers.
    pub seeds: Vec<u64>,
    /// Number of measurements for each size and seed.
    pub samples: u64,
    /// Seconds of simulated traffic.
    pub seconds: u64,
    /// Number of limiters that are fully simulated.
    pub sampled: u64,
    /// Groups of experiments.
    pub groups: Vec<Group>,
}

impl Plan {
    /// Returns the largest number of tenants.
    pub fn max_tenants(&self) -> u64 {
        largest(&self.tenants)
    }

    /// Returns the largest number of limiters.
    pub fn max_limiters(&self) -> u64 {
        largest(&self.limiters)
    }

    /// Returns the largest number of servers.
    pub fn max_servers(&self) -> u64 {
        largest(&self.servers)
    }
}

/// Returns the largest size. The list of sizes is never empty.
fn largest(sizes: &[u64]) -> u64 {
    sizes.iter().copied().max().unwrap_or(1)
}

/// Returns the given values, or the default ones if none were given.
fn given_or<T: Clone>(given: &[T], default: &[T]) -> Vec<T> {
    if given.is_empty() { default } else { given }.to_vec()
}

impl Arguments {
    /// Returns the sizes and seeds to run, with defaults for those that were not given.
    pub fn plan(&self) -> Plan {
        let default_sizes = |full: [u64; 4], quick: [u64; 3]| {
            if self.quick {
                quick.to_vec()
            } else {
                full.to_vec()
            }
        };
        let skews: &[f64] = if self.quick { &[1.0] } else { &[0.8, 1.0, 1.2] };
        let seeds: &[u64] = if self.quick { &[1] } else { &[1, 2, 3] };
        Plan {
            servers: given_or(
                &self.servers,
                &default_sizes([24, 240, 2_400, 21_000], [8, 24, 72]),
            ),
            tenants: given_or(
                &self.tenants,
                &default_sizes([100, 1_000, 10_000, 75_000], [20, 60, 180]),
            ),
            limiters: given_or(
                &self.limiters,
                &default_sizes([3, 30, 300, 2_000], [3, 9, 27]),
            ),
            spreads: given_or(
                &self.spreads,
                &default_sizes([3, 32, 300, 2_000], [3, 9, 27]),
            ),
            skews: given_or(&self.skews, skews),
            headroom: self.headroom,
            changes: given_or(
                &self.changes,
                &default_sizes([1, 10, 100, 1_000], [1, 4, 16]),
            ),
            routes: given_or(
                &self.routes,
                &default_sizes([10, 100, 1_000, 10_000], [5, 15, 45]),
            ),
            services: given_or(&self.services, &default_sizes([1, 10, 100, 860], [1, 3, 9])),
            seeds: given_or(&self.seeds, seeds),
            samples: self.samples.unwrap_or(if self.quick { 10 } else { 300 }),
            seconds: self.seconds.unwrap_or(if self.quick { 2 } else { 20 }),
            sampled: self.sampled,
            groups: given_or(&self.only, Group::value_variants()),
        }
    }
}
