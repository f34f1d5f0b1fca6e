//! Plays a scenario: every play that it has, one after another, and the report on them.

use crate::predictions::Predictions;
use crate::report::RunReport;
use crate::scenario::Scenario;
use crate::{hollow_play, membership_play};

/// Plays a scenario with one seed.
pub fn run(scenario: &Scenario, seed: u64, predictions: &Predictions) -> Result<RunReport, String> {
    let hollow = scenario.hollow.as_ref().map(|_| hollow_play::play(scenario, seed)).transpose()?;
    let membership = scenario.membership.as_ref().map(|m| membership_play::play(scenario, m, seed));
    let fell_behind: Vec<String> = hollow.iter().flat_map(|h| h.fell_behind.clone()).collect();
    let mut report = RunReport {
        scenario: scenario.clone(),
        seed,
        hollow,
        membership,
        predictions: Vec::new(),
        kept_up: fell_behind.is_empty(),
        fell_behind,
    };
    let seen = serde_json::to_value(&report).map_err(|fault| fault.to_string())?;
    report.predictions = predictions.compare(&scenario.name, &seen);
    Ok(report)
}
