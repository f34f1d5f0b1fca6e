//! Compares the figures that the capacity page predicts with those that a run measured.

use crate::error::LabError;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

/// Largest difference from a prediction that still agrees with it, as a fraction of the prediction.
const TOLERANCE: f64 = 1.0 / 3.0;

/// Predicted figures by scenario and by path in the report (`hollow.discovery.calls_per_s`).
#[derive(Debug, Default, Deserialize)]
pub struct Predictions(BTreeMap<String, BTreeMap<String, f64>>);

/// A predicted figure and the measured one.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// Path of the figure in the report.
    pub figure: String,
    /// The predicted value.
    pub predicted: f64,
    /// The measured value; `None` if the report has no such figure.
    pub seen: Option<f64>,
    /// Measured value divided by the predicted one.
    pub ratio: Option<f64>,
    /// Whether the values differ by at most a third of the prediction.
    pub agrees: bool,
}

impl Predictions {
    /// Reads a file of predictions.
    pub fn load(path: &Path) -> Result<Self, LabError> {
        let text = std::fs::read_to_string(path).map_err(LabError::path(path))?;
        let malformed = |source| LabError::Predictions {
            path: path.to_owned(),
            source: Box::new(source),
        };
        toml::from_str(&text).map_err(malformed)
    }

    /// Compares the figures of a scenario with what its report shows.
    pub fn compare(&self, scenario: &str, report: &Value) -> Vec<Comparison> {
        let figures = self.0.get(scenario).into_iter().flatten();
        figures
            .map(|(figure, predicted)| compare(figure, *predicted, report))
            .collect()
    }
}

fn compare(figure: &str, predicted: f64, report: &Value) -> Comparison {
    let pointer = format!("/{}", figure.replace('.', "/"));
    let seen = report.pointer(&pointer).and_then(Value::as_f64);
    let ratio = seen
        .filter(|_| predicted != 0.0)
        .map(|seen| seen / predicted);
    let agrees = seen.is_some_and(|seen| (seen - predicted).abs() <= TOLERANCE * predicted.abs());
    Comparison {
        figure: figure.to_owned(),
        predicted,
        seen,
        ratio,
        agrees,
    }
}
