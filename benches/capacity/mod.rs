//! The capacity benchmark: experiments that vary the sizes of a fleet, power laws fitted to the
//! results, and a report.

pub mod arguments;
pub mod configuration;
pub mod counter;
pub mod decisions;
pub mod fit;
pub mod limiter;
pub mod measure;
pub mod page;
pub mod pools;
pub mod report;
pub mod server_list;
pub mod shared_counter;
pub mod statistics;
pub mod timers;
pub mod traffic;
pub mod world;

use arguments::{Group, Plan};
use report::Experiment;

/// Runs the experiments of a plan in order, and calls `done` with each experiment of a group when
/// the whole group is finished.
pub fn run(plan: &Plan, done: &mut dyn FnMut(&Experiment)) -> Vec<Experiment> {
    let mut experiments = Vec::new();
    for group in &plan.groups {
        let finished = match group {
            Group::Decisions => decisions::experiments(plan),
            Group::Lists => server_list::experiments(plan),
            Group::Timers => timers::experiments(plan),
            Group::Configuration => configuration::experiments(plan),
            Group::Pools => pools::experiments(plan),
            Group::Traffic => traffic::experiments(plan),
            Group::Counter => counter::experiments(plan),
            Group::Statistics => statistics::experiments(plan),
        };
        finished.iter().for_each(&mut *done);
        experiments.extend(finished);
    }
    experiments
}
