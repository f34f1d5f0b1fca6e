//! Plays a scenario: every play that it has, one after another, and the report on them.

use crate::error::LabError;
use crate::predictions::Predictions;
use crate::report::RunReport;
use crate::scenario::Scenario;
use crate::{hollow_play, membership_play, quota_play, real_play};
use std::path::Path;

/// Plays a scenario with one seed; `limiter` is the program of the real processes.
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
    let seen = serde_json::to_value(&report)?;
    report.predictions = predictions.compare(&scenario.name, &seen);
    Ok(report)
}
