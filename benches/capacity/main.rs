//! What decisions, events and messages cost as the fleet grows, and what that comes to at the size of `docs/CAPACITY.md`.
//!
//!     cargo bench --bench capacity                      # every experiment, a table
//!     cargo bench --bench capacity -- --json            # the same run as one JSON document
//!     cargo bench --bench capacity -- --only decisions --servers 24,240,2400 --seeds 5
//!
//! Durations are only ever compared within one run: nothing here asserts an absolute time.

#[path = "mod.rs"]
mod capacity;

use capacity::arguments::Arguments;
use clap::Parser;
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;

/// Counts allocations for [`capacity::measure`].
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() {
    let arguments = Arguments::parse();
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
        println!("seeds {:?}, {} samples, {} s of simulated traffic", plan.seeds, plan.samples, plan.seconds);
    }
}
