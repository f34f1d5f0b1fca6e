//! One run of the benchmark, read from the output of `--json`.

use serde_json::Value;
use std::fmt;

/// Why the tables cannot be computed from a file.
#[derive(Debug)]
pub enum PageError {
    /// The file is not JSON.
    NotJson(serde_json::Error),
    /// The run has no value for this quantity, experiment and size.
    Missing(String),
}

impl fmt::Display for PageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotJson(error) => write!(formatter, "not JSON: {error}"),
            Self::Missing(what) => write!(formatter, "the run has no {what}"),
        }
    }
}

impl std::error::Error for PageError {}

/// The results of a run.
pub struct Run {
    document: Value,
}

/// A value of a quantity at some size.
#[derive(Clone, Debug)]
pub struct Reading {
    experiment: String,
    quantity: String,
    /// The value.
    pub value: f64,
    /// Exponent of the fitted power law and its standard error.
    exponent: Option<(f64, f64)>,
    /// Ratio of the size to the largest measured one.
    pub extrapolation: f64,
}

impl Reading {
    /// Returns the experiment, the quantity and the exponent as text.
    pub fn slope(&self) -> String {
        let Self {
            experiment,
            quantity,
            ..
        } = self;
        match self.exponent {
            Some((exponent, error)) => {
                format!("`{experiment}` {quantity} {exponent:.2} ± {error:.2}")
            }
            None => format!("`{experiment}` {quantity}"),
        }
    }
}

impl Run {
    /// Parses the output of `--json`.
    pub fn read(text: &str) -> Result<Self, PageError> {
        Ok(Self {
            document: serde_json::from_str(text).map_err(PageError::NotJson)?,
        })
    }

    /// Returns a quantity at some size: the measured value if that size was measured, otherwise the
    /// value of the fitted power law.
    pub fn at(&self, experiment: &str, quantity: &str, size: f64) -> Result<Reading, PageError> {
        let missing = || PageError::Missing(format!("{quantity} of {experiment} at {size}"));
        let all = self.document["experiments"]
            .as_array()
            .ok_or_else(missing)?;
        let found = all
            .iter()
            .find(|one| one["name"] == experiment)
            .ok_or_else(missing)?;
        let sizes: Vec<f64> = found["sizes"]
            .as_array()
            .ok_or_else(missing)?
            .iter()
            .filter_map(Value::as_f64)
            .collect();
        let results = &found["quantities"][quantity];
        let fit = &results["fit"];
        let exponent = fit["exponent"].as_f64().zip(fit["exponent_error"].as_f64());
        let measured = sizes.iter().position(|at| *at == size);
        let value = match measured.and_then(|at| results["middle_of_seeds"][at].as_f64()) {
            Some(value) => value,
            None => {
                let constant = fit["constant"].as_f64().ok_or_else(missing)?;
                constant * size.powf(exponent.ok_or_else(missing)?.0)
            }
        };
        let largest = sizes.iter().copied().fold(f64::MIN, f64::max);
        let (experiment, quantity) = (experiment.to_owned(), quantity.to_owned());
        Ok(Reading {
            experiment,
            quantity,
            value,
            exponent,
            extrapolation: size / largest,
        })
    }
}
