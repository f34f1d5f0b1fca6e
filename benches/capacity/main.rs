//! Measures how the cost of decisions, events and messages grows with the fleet, and extrapolates
//! it to the size in `docs/CAPACITY.md`.
//!
//!     cargo bench --bench capacity                      # every experiment, a table
//!     cargo bench --bench capacity -- --json            # the same run as one JSON document
//!     # the tables of docs/CAPACITY.md from such a document
//!     cargo bench --bench capacity -- --page docs/capacity/slopes.json
//!     cargo bench --bench capacity -- --only decisions --servers 24,240,2400 --seeds 5
//!
//! Durations are only compared within one run: no absolute time is asserted.

#[path = "mod.rs"]
mod capacity;

use capacity::arguments::Arguments;
use capacity::page::{self, run::Run};
use clap::Parser;
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::fs;
use std::path::Path;
use std::process::ExitCode;

/// Counts allocations for [`capacity::measure`].
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Some(file) = &arguments.page {
        return print_page(file);
    }
    let plan = arguments.plan();
    let experiments = capacity::run(&plan, &mut |experiment| {
        if arguments.json {
            eprintln!("{}: done", experiment.name);
        } else {
            println!("{}", experiment.table());
        }
    });
    if arguments.json {
        println!("{:#}", capacity::report::document(&plan, &experiments));
    } else {
        println!(
            "seeds {:?}, {} samples, {} s of simulated traffic",
            plan.seeds, plan.samples, plan.seconds
        );
    }
    ExitCode::SUCCESS
}

/// Prints the tables of the page, or an error if the file cannot be read.
fn print_page(file: &Path) -> ExitCode {
    let text = fs::read_to_string(file).map_err(|error| error.to_string());
    let tables = text.and_then(|text| {
        let run = Run::read(&text).map_err(|error| error.to_string())?;
        page::tables(&run).map_err(|error| error.to_string())
    });
    match tables {
        Ok(tables) => {
            tables
                .iter()
                .for_each(|(name, table)| println!("{}", page::marked(name, table)));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}: {error}", file.display());
            ExitCode::FAILURE
        }
    }
}
