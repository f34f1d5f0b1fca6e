//! `mossrill-lab`: runs scale tests from scenario files.

#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use mossrill_lab::error::LabError;
use mossrill_lab::messages::Start;
use mossrill_lab::predictions::Predictions;
use mossrill_lab::report::{comparison_table, table, RunReport};
use mossrill_lab::scenario::Scenario;
use mossrill_lab::{counter, discovery, hollow, run, scenario, stand_in, upstream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs scale tests of mossrill.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario once for each of its seeds.
    Run {
        /// The scenario file.
        scenario: PathBuf,
        /// File to which the reports are also written, as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// TOML file of predicted figures, by scenario and path in the report.
        #[arg(long)]
        predictions: Option<PathBuf>,
        /// Seed to use instead of those of the scenario.
        #[arg(long)]
        seed: Option<u64>,
        /// Overrides a value of the scenario, for example `traffic.spread=32`.
        #[arg(long = "set", value_name = "KEY=VALUE")]
        overrides: Vec<String>,
        /// The limiter program that real processes execute.
        #[arg(long, default_value = "target/release/mossrill")]
        limiter: PathBuf,
    },
    /// Reads and checks scenario files without running them.
    Check {
        /// The scenario files.
        scenarios: Vec<PathBuf>,
    },
    /// Runs as a child process of a run.
    #[command(hide = true)]
    Child,
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> Result<(), LabError> {
    match command {
        Command::Run {
            scenario,
            json,
            predictions,
            seed,
            overrides,
            limiter,
        } => {
            let scenario = load(&scenario, &overrides)?;
            let predictions = predictions
                .as_deref()
                .map(Predictions::load)
                .transpose()?
                .unwrap_or_default();
            let seeds = seed.map_or_else(|| scenario.seeds.clone(), |seed| vec![seed]);
            let run = Run {
                scenario,
                seeds,
                predictions,
                limiter,
            };
            play(&run, json.as_deref())
        }
        Command::Check { scenarios } => scenarios.iter().try_for_each(|path| {
            let scenario = load(path, &[])?;
            let (processes, memory) = (scenario.processes(), scenario.memory_estimate() >> 20);
            println!(
                "{}: valid; {processes} processes and at most {memory} MB",
                path.display()
            );
            Ok(())
        }),
        Command::Child => child(),
    }
}

fn load(path: &Path, overrides: &[String]) -> Result<Scenario, LabError> {
    Ok(scenario::load_with(path, overrides)?)
}

struct Run {
    scenario: Scenario,
    seeds: Vec<u64>,
    predictions: Predictions,
    limiter: PathBuf,
}

fn play(run: &Run, json: Option<&Path>) -> Result<(), LabError> {
    let mut reports = Vec::new();
    for seed in &run.seeds {
        let report = run::run(&run.scenario, *seed, &run.predictions, &run.limiter)?;
        print(&report)?;
        reports.push(report);
    }
    let Some(json) = json else { return Ok(()) };
    let text = serde_json::to_string_pretty(&reports)?;
    std::fs::write(json, text + "\n").map_err(LabError::path(json))
}

fn print(report: &RunReport) -> Result<(), LabError> {
    let (name, seed, scale) = (
        &report.scenario.name,
        report.seed,
        report.scenario.traffic.scale,
    );
    println!("scenario {name}, seed {seed}, scale {scale} of tenants and traffic");
    let value = serde_json::to_value(report)?;
    print!("{}", table(&value));
    print!("{}", comparison_table(&report.predictions));
    for reason in &report.fell_behind {
        println!("THE MACHINE DID NOT KEEP UP: {reason}");
    }
    Ok(())
}

fn child() -> Result<(), LabError> {
    match stand_in::read_start()? {
        Start::Discovery { scenario, seed } => discovery::run(&scenario, seed),
        Start::Counter { zones } => counter::run(zones),
        Start::Upstream {
            servers,
            mean_ms,
            seed,
        } => upstream::run(servers, mean_ms, seed),
        Start::Hollow(start) => hollow::run(&start),
    }
}
