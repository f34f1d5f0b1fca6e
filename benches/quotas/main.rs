//! How well quotas hold over many limiters: compares the decision module with two simple rules on
//! simulated accounts.
//!
//!     cargo bench --bench quotas -- --gateways 100 --trouble restart
//!
//! Runs in virtual time and without a network; the same seed gives the same results.

mod counter;
mod fleet;
mod tables;
mod world;

use clap::Parser;
use fleet::{DecisionRule, Disturbance, Fleet, Setup};
use serde_json::json;

/// Measures the units sent upstream beyond quotas, and those rejected within quotas, over many
/// limiters.
#[derive(Parser)]
struct Arguments {
    /// Numbers of limiters.
    #[arg(long, value_delimiter = ',', default_value = "4,30,100,300")]
    gateways: Vec<usize>,
    /// Rules by which the limiters decide.
    #[arg(
        long,
        value_delimiter = ',',
        value_enum,
        default_value = "module,part,exact"
    )]
    rules: Vec<DecisionRule>,
    /// Faults and changes of load to simulate.
    #[arg(long, value_delimiter = ',', value_enum, default_value = "none")]
    trouble: Vec<Disturbance>,
    /// Seeds of the random numbers.
    #[arg(long, value_delimiter = ',', default_value = "3")]
    seeds: Vec<u64>,
    /// Seconds for which clients send first requests.
    #[arg(long, default_value_t = 40.0)]
    seconds: f64,
    /// First requests per second within quotas, over all limiters; by default set by the number of
    /// limiters.
    #[arg(long)]
    tries: Option<f64>,
    /// Calls that the counter can handle for each first request; by default set by the number of
    /// limiters.
    #[arg(long)]
    calls_a_try: Option<f64>,
    /// Print only the lines of JSON.
    #[arg(long)]
    json: bool,
    /// Accepted and ignored: cargo passes it to every benchmark.
    #[arg(long, hide = true)]
    bench: bool,
}

fn main() {
    let arguments = Arguments::parse();
    for limiters in &arguments.gateways {
        // A large fleet has less traffic at each limiter, and its counter has less capacity for
        // each request.
        let (requests_per_limiter, counter_capacity) = match *limiters {
            ..10 => (60.0, 0.7),
            10..60 => (8.0, 2.0),
            _ => (5.0, 0.7),
        };
        let request_rate = arguments
            .tries
            .unwrap_or(requests_per_limiter * *limiters as f64);
        let calls_per_request = arguments.calls_a_try.unwrap_or(counter_capacity);
        for (disturbance, seed) in arguments.trouble.iter().flat_map(|disturbance| {
            arguments
                .seeds
                .iter()
                .map(move |seed| (*disturbance, *seed))
        }) {
            for rule in &arguments.rules {
                let (limiters, seconds) = (*limiters, arguments.seconds);
                let mut fleet = Fleet::new(
                    *rule,
                    Setup {
                        limiters,
                        request_rate,
                        seconds,
                        calls_per_request,
                        disturbance,
                        seed,
                    },
                );
                fleet.run();
                let mut line = fleet.results.to_json();
                line["rule"] = json!(format!("{rule:?}").to_lowercase());
                line["gateways"] = json!(limiters);
                line["trouble"] = json!(format!("{disturbance:?}").to_lowercase());
                line["seed"] = json!(seed);
                if !arguments.json {
                    println!(
                        "{limiters} limiters, {rule:?}, trouble {disturbance:?}, seed {seed}\n{}",
                        fleet.results.to_table()
                    );
                }
                println!("{line}");
            }
        }
    }
}
