//! The report of a run: JSON with all figures, and a table of them.

use crate::hollow_play::HollowResult;
use crate::membership_play::MembershipResult;
use crate::predictions::Comparison;
use crate::quota_play::QuotaResult;
use crate::real_play::RealResult;
use crate::scenario::Scenario;
use serde::Serialize;
use serde_json::Value;

/// Maximum number of entries of an array that the table shows.
const MAX_ARRAY_ROWS: usize = 40;

/// Results of one run.
#[derive(Debug, Serialize)]
pub struct RunReport {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of this run.
    pub seed: u64,
    /// Results of the simulated (hollow) limiters, in real time.
    pub hollow: Option<HollowResult>,
    /// Results of the fleet membership, in virtual time.
    pub membership: Option<MembershipResult>,
    /// Results of the real processes under traffic, in real time.
    pub real: Option<RealResult>,
    /// Results on quotas over all limiters for each mechanism, in virtual time.
    pub quota: Option<Vec<QuotaResult>>,
    /// Measured figures compared with their predictions.
    pub predictions: Vec<Comparison>,
    /// Whether the machine kept up with the load of the run.
    pub kept_up: bool,
    /// Signs that the machine did not keep up; empty if it did.
    pub fell_behind: Vec<String>,
}

/// Formats a table of all figures, one on each line with its path in the report.
pub fn table(report: &Value) -> String {
    let mut lines = Vec::new();
    for (key, value) in report.as_object().into_iter().flatten() {
        // The scenario is input, and predictions have a table of their own.
        if !matches!(key.as_str(), "scenario" | "predictions") {
            collect_rows(key, value, &mut lines);
        }
    }
    let width = lines.iter().map(|(path, _)| path.len()).max().unwrap_or(0);
    lines
        .iter()
        .map(|(path, value)| format!("{path:<width$}  {value}\n"))
        .collect()
}

fn collect_rows(path: &str, value: &Value, lines: &mut Vec<(String, String)>) {
    match value {
        Value::Null => {}
        Value::Object(fields) if fields.contains_key("median") => {
            lines.push((path.into(), format_summary(value)))
        }
        Value::Object(fields) => fields
            .iter()
            .for_each(|(key, v)| collect_rows(&format!("{path}.{key}"), v, lines)),
        Value::Array(entries) => {
            for (number, entry) in entries.iter().take(MAX_ARRAY_ROWS).enumerate() {
                collect_rows(&format!("{path}.{number}"), entry, lines);
            }
        }
        Value::Number(number) => {
            lines.push((path.into(), format_figure(number.as_f64().unwrap_or(0.0))))
        }
        other => lines.push((
            path.into(),
            other
                .as_str()
                .map_or_else(|| other.to_string(), str::to_owned),
        )),
    }
}

fn format_summary(value: &Value) -> String {
    let of = |key: &str| format_figure(value[key].as_f64().unwrap_or(0.0));
    format!(
        "median {}  p99 {}  max {}  of {}",
        of("median"),
        of("p99"),
        of("max"),
        of("count")
    )
}

fn format_figure(value: f64) -> String {
    match value {
        value if value.fract() == 0.0 => format!("{value:.0}"),
        value if value.abs() >= 100.0 => format!("{value:.1}"),
        value if value.abs() >= 0.01 => format!("{value:.4}"),
        value => format!("{value:.3e}"),
    }
}

/// Formats a table of predicted and measured figures and marks those that differ by more than a
/// third of the prediction.
pub fn comparison_table(comparisons: &[Comparison]) -> String {
    let line = |c: &Comparison| {
        let seen = c.seen.map_or("not seen".to_owned(), format_figure);
        let ratio = c
            .ratio
            .map_or("-".to_owned(), |ratio| format!("{ratio:.2}"));
        let mark = if c.agrees {
            "within a third"
        } else {
            "DIFFERS by more than a third"
        };
        format!(
            "{}: predicted {}, seen {seen}, ratio {ratio}: {mark}\n",
            c.figure,
            format_figure(c.predicted)
        )
    };
    comparisons.iter().map(line).collect()
}
