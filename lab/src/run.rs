//! Runs all plays of a scenario, one after another, and builds the report. A play is one simulation
//! or measurement: hollow limiters, membership, real processes, or quotas.

use crate::error::LabError;
use crate::predictions::Predictions;
use crate::report::RunReport;
use crate::scenario::Scenario;
use crate::{hollow_play, membership_play, quota_play, real_play};
use std::path::Path;

/// Runs a scenario with one seed. `limiter` is the path of the program that real processes execute.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    predictions: &Predictions,
    limiter: &Path,
) -> Result<RunReport, LabError> {
    let hollow = scenario
        .hollow
        .as_ref()
        .map(|_| hollow_play::play(scenario, seed))
        .transpose()?;
    let membership = scenario
        .membership
        .as_ref()
        .map(|m| membership_play::play(scenario, m, seed));
    let real = scenario
        .real
        .as_ref()
        .map(|real| real_play::play(scenario, real, seed, limiter))
        .transpose()?;
    let quota = scenario
        .quota
        .as_ref()
        .map(|quota| quota_play::play(scenario, quota, seed))
        .transpose()?;
    let mut fell_behind: Vec<String> = hollow
        .iter()
        .flat_map(|hollow| hollow.fell_behind.clone())
        .collect();
    fell_behind.extend(real.iter().flat_map(|real| real.fell_behind.clone()));
    let mut report = RunReport {
        scenario: scenario.clone(),
        seed,
        hollow,
        membership,
        real,
        quota,
        predictions: Vec::new(),
        kept_up: fell_behind.is_empty(),
        fell_behind,
    };
    let figures = serde_json::to_value(&report)?;
    report.predictions = predictions.compare(&scenario.name, &figures);
    Ok(report)
}
