//! `mossrill-lab`: runs scale tests from scenario files.

#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use mossrill_lab::error::LabError;
use mossrill_lab::messages::Start;
use mossrill_lab::predictions::Predictions;
use mossrill_lab::report::{comparison_table, table, RunReport};
use mossrill_lab::scenario::Scenario;
use mossrill_lab::soak::{self, SoakOptions, SoakReport};
use mossrill_lab::{counter, discovery, hollow, run, scenario, stand_in, upstream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

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
    /// Plays limiter processes between peers that fail, and checks what clients and servers see.
    Soak {
        /// Seed of the first run; each further run has the next one.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of runs.
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// Number of runs that are played at the same time.
        #[arg(long, default_value_t = 2)]
        jobs: usize,
        /// Time in which faults begin, in seconds.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// The limiter program.
        #[arg(long, default_value = "target/release/mossrill")]
        limiter: PathBuf,
        /// Library that disturbs system calls and the wall clock of some processes.
        #[arg(long)]
        interposer: Option<PathBuf>,
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
        Command::Soak {
            seed,
            runs,
            jobs,
            seconds,
            limiter,
            interposer,
        } => {
            let options = SoakOptions {
                limiter,
                seed,
                time: Duration::from_secs(seconds),
                interposer,
            };
            soak(&options, runs, jobs)
        }
        Command::Child => child(),
    }
}

fn load(path: &Path, overrides: &[String]) -> Result<Scenario, LabError> {
    Ok(scenario::load_with(path, overrides)?)
}

/// Maximum number of breaks that are printed for a run of a soak.
const MAX_PRINTED_BREAKS: usize = 10;

/// Plays the runs of a soak, some at the same time, and prints the first break of each.
fn soak(options: &SoakOptions, runs: u64, jobs: usize) -> Result<(), LabError> {
    let next = AtomicU64::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| loop {
                let run = next.fetch_add(1, Ordering::Relaxed);
                if run >= runs {
                    return;
                }
                let seed = options.seed + run;
                let result = soak::play(&SoakOptions {
                    seed,
                    ..options.clone()
                });
                if let Ok(report) = &result {
                    print_soak(report);
                }
                if let Ok(mut results) = results.lock() {
                    results.push(result.map(|report| report.breaks.len()));
                }
            });
        }
    });
    let results = results.into_inner().map_err(|_| LabError::Panicked)?;
    let mut broken = 0;
    for result in results {
        broken += usize::from(result? > 0);
    }
    match broken {
        0 => Ok(()),
        runs => Err(LabError::RulesBroken(runs)),
    }
}

fn print_soak(report: &SoakReport) {
    let mut text = format!(
        "seed {}: {} requests, {} served, {} rejected, {} failed, peak {} KiB, {} breaks\n",
        report.seed,
        report.requests,
        report.served,
        report.rejected,
        report.failed,
        report.peak_kib,
        report.breaks.len()
    );
    for broken in report.breaks.iter().take(MAX_PRINTED_BREAKS) {
        text += &format!("  {broken}\n");
    }
    if let Some(broken) = report.breaks.first() {
        for line in report.trace(broken) {
            text += &format!("    {line}\n");
        }
    }
    print!("{text}");
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
