//! Power laws y = a * x^b, fitted by least squares on logarithms.

use std::fmt;

/// Why no power law can be fitted.
#[derive(Clone, Debug, PartialEq)]
pub enum FitError {
    /// Fewer than three different sizes: a line through two points gives no standard error.
    TooFewSizes(usize),
    /// A size or value without a logarithm: not positive, or not finite.
    NotPositive(f64),
}

impl fmt::Display for FitError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooFewSizes(sizes) => write!(formatter, "{sizes} different sizes, 3 are needed"),
            Self::NotPositive(value) => write!(formatter, "{value} has no logarithm"),
        }
    }
}

impl std::error::Error for FitError {}

/// A fitted power law with its standard errors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The value at size 1.
    pub constant: f64,
    /// Standard error of the constant as a factor: the range is from the constant divided by it
    /// to the constant times it.
    pub constant_error: f64,
    /// Exponent of the size; at 1 the value is proportional to the size.
    pub exponent: f64,
    /// Standard error of the exponent.
    pub exponent_error: f64,
    /// Standard deviation of the logarithms of the values from the fitted line.
    residual: f64,
    /// Number of points.
    points: f64,
    mean_log_size: f64,
    /// Sum of squared distances of the logarithms of the sizes from their mean.
    size_squares: f64,
    largest_size: f64,
}

/// The value of a fitted power law at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// Its standard error as a factor: the range is from the value divided by it to the
    /// value times it.
    pub error: f64,
    /// Ratio of the size to the largest measured one; 1 or less if nothing is extrapolated.
    pub extrapolation: f64,
}

impl Fit {
    /// Fits a power law to points of a size and a value.
    pub fn new(points: &[(f64, f64)]) -> Result<Self, FitError> {
        let mut logs = Vec::with_capacity(points.len());
        for (size, value) in points {
            logs.push((logarithm(*size)?, logarithm(*value)?));
        }
        let sizes = different_sizes(points);
        if sizes < 3 {
            return Err(FitError::TooFewSizes(sizes));
        }
        let count = logs.len() as f64;
        let mean_log_size = logs.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_log_value = logs.iter().map(|(_, value)| value).sum::<f64>() / count;
        let size_squares = logs
            .iter()
            .map(|(size, _)| (size - mean_log_size).powi(2))
            .sum::<f64>();
        let products = logs
            .iter()
            .map(|(size, value)| (size - mean_log_size) * (value - mean_log_value));
        let exponent = products.sum::<f64>() / size_squares;
        let intercept = mean_log_value - exponent * mean_log_size;
        let squares = logs
            .iter()
            .map(|(size, value)| (value - intercept - exponent * size).powi(2));
        let residual = (squares.sum::<f64>() / (count - 2.0)).sqrt();
        let intercept_error =
            residual * (1.0 / count + mean_log_size.powi(2) / size_squares).sqrt();
        Ok(Self {
            constant: intercept.exp(),
            constant_error: intercept_error.exp(),
            exponent,
            exponent_error: residual / size_squares.sqrt(),
            residual,
            points: count,
            mean_log_size,
            size_squares,
            largest_size: points
                .iter()
                .map(|(size, _)| *size)
                .fold(f64::MIN, f64::max),
        })
    }

    /// Returns the value of the power law at a size.
    pub fn at(&self, size: f64) -> Estimate {
        let distance = size.ln() - self.mean_log_size;
        let error =
            self.residual * (1.0 / self.points + distance.powi(2) / self.size_squares).sqrt();
        Estimate {
            value: self.constant * size.powf(self.exponent),
            error: error.exp(),
            extrapolation: size / self.largest_size,
        }
    }
}

fn logarithm(value: f64) -> Result<f64, FitError> {
    if value.is_finite() && value > 0.0 {
        Ok(value.ln())
    } else {
        Err(FitError::NotPositive(value))
    }
}

fn different_sizes(points: &[(f64, f64)]) -> usize {
    let mut sizes: Vec<f64> = points.iter().map(|(size, _)| *size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    sizes.len()
}
