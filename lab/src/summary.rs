//! Median, 99th percentile and maximum of measured values.

use serde::Serialize;

/// Median, 99th percentile and maximum of some values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Number of values.
    pub count: usize,
    /// The median.
    pub median: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The largest value.
    pub max: f64,
}

impl Summary {
    /// Summarises these values; all figures are 0 if there are none.
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |quantile: f64| {
            let rank = (values.len() as f64 * quantile).ceil() as usize;
            values.get(rank.max(1) - 1).copied().unwrap_or(0.0)
        };
        Self {
            count: values.len(),
            median: at(0.5),
            p99: at(0.99),
            max: at(1.0),
        }
    }
}
