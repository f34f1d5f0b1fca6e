//! Medians and percentiles of what was seen.

use serde::Serialize;

/// Median, 99th percentile and worst of some values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Number of values.
    pub count: usize,
    /// The median.
    pub median: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

impl Summary {
    /// Of these values.
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let place = (values.len() as f64 * part).ceil() as usize;
            values.get(place.max(1) - 1).copied().unwrap_or(0.0)
        };
        Self {
            count: values.len(),
            median: at(0.5),
            p99: at(0.99),
            max: at(1.0),
        }
    }
}
