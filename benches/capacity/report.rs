//! Results of experiments: text tables, and one JSON document.

use super::arguments::Plan;
use super::fit::Fit;
use serde_json::{json, Value};
use std::fmt::Write;

/// What was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Quantity {
    /// Median duration in microseconds.
    Median,
    /// 99th percentile of the duration in microseconds.
    P99,
    /// Longest duration in microseconds.
    Worst,
    /// Mean number of allocations of one run.
    Allocations,
    /// Mean number of bytes allocated in one run.
    AllocatedBytes,
    /// Bytes of the heap held.
    HeldBytes,
    /// Length of the message or file in bytes.
    TextBytes,
    /// Counter calls per request.
    CallsPerRequest,
    /// Mean bytes of one counter call as an HTTP request.
    HttpBytesPerCall,
    /// Mean bytes of one counter call as Redis commands.
    RedisBytesPerCall,
    /// Bytes per second that a limiter sends to an HTTP counter.
    HttpBytesPerSecond,
    /// Bytes per second that a limiter sends to a Redis counter.
    RedisBytesPerSecond,
    /// Fraction of the requests that were not sent to a server.
    NotSent,
    /// Number of different tenants whose requests a limiter receives in a second.
    TenantsInOneSecond,
    /// The same in 5 seconds.
    TenantsInFiveSeconds,
    /// The same in a minute, after which a limiter forgets a tenant.
    TenantsInOneMinute,
    /// Fraction of the requests that the largest tenant sends.
    LargestTenant,
    /// Fraction of the requests whose tenant is sparse: its burst has less than one unit for each
    /// of its limiters.
    SparseTraffic,
}

impl Quantity {
    /// Returns the name in tables and JSON documents.
    pub fn name(self) -> &'static str {
        match self {
            Self::Median => "median_us",
            Self::P99 => "p99_us",
            Self::Worst => "worst_us",
            Self::Allocations => "allocations",
            Self::AllocatedBytes => "allocated_bytes",
            Self::HeldBytes => "held_bytes",
            Self::TextBytes => "text_bytes",
            Self::CallsPerRequest => "calls_per_request",
            Self::HttpBytesPerCall => "http_bytes_per_call",
            Self::RedisBytesPerCall => "redis_bytes_per_call",
            Self::HttpBytesPerSecond => "http_bytes_per_s",
            Self::RedisBytesPerSecond => "redis_bytes_per_s",
            Self::NotSent => "not_sent",
            Self::TenantsInOneSecond => "tenants_in_1s",
            Self::TenantsInFiveSeconds => "tenants_in_5s",
            Self::TenantsInOneMinute => "tenants_in_60s",
            Self::LargestTenant => "largest_tenant",
            Self::SparseTraffic => "thin_traffic",
        }
    }

    /// Whether a power law is fitted. The longest of a few durations does not follow one.
    fn is_fitted(self) -> bool {
        !matches!(self, Self::Worst | Self::NotSent)
    }
}

/// One measured value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// What was measured.
    pub quantity: Quantity,
    /// Its value.
    pub value: f64,
}

impl Figure {
    /// Creates a measured value.
    pub fn new(quantity: Quantity, value: f64) -> Self {
        Self { quantity, value }
    }
}

/// The size that varies in an experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Axis {
    /// Number of upstream servers.
    Servers,
    /// Number of tenants.
    Tenants,
    /// Number of limiters.
    Limiters,
    /// Number of limiters that the requests of one tenant arrive at.
    Spread,
    /// Number of entries in a change of the endpoint list.
    Changes,
    /// Number of routes.
    Routes,
    /// Number of accounts in the configuration file.
    Accounts,
    /// Number of services.
    Services,
}

impl Axis {
    /// Returns the name, and the size that the system has to support in two years.
    pub fn target(self) -> (&'static str, f64) {
        match self {
            Self::Servers => ("servers", 21_000.0),
            Self::Tenants => ("tenants", 75_000.0),
            Self::Limiters => ("limiters", 2_000.0),
            Self::Spread => ("spread", 2_000.0),
            Self::Changes => ("changes", 1_000.0),
            Self::Routes => ("routes", 10_000.0),
            Self::Accounts => ("accounts", 75_000.0),
            Self::Services => ("services", 860.0),
        }
    }
}

/// Results for one size and one seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The size.
    pub size: u64,
    /// The seed.
    pub seed: u64,
    /// What was measured.
    pub figures: Vec<Figure>,
}

/// Measurements for several values of one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What was measured, and which sizes were fixed.
    pub about: String,
    /// The size that varies.
    pub axis: Axis,
    /// Results for each size and seed.
    pub rows: Vec<Row>,
}

impl Experiment {
    /// Creates an experiment without rows.
    pub fn empty(name: impl Into<String>, about: impl Into<String>, axis: Axis) -> Self {
        Self {
            name: name.into(),
            about: about.into(),
            axis,
            rows: Vec::new(),
        }
    }

    /// Measures each size with each seed.
    pub fn run(
        name: impl Into<String>,
        about: impl Into<String>,
        axis: Axis,
        (sizes, seeds): (&[u64], &[u64]),
        mut measure: impl FnMut(u64, u64) -> Vec<Figure>,
    ) -> Self {
        let mut experiment = Self::empty(name, about, axis);
        for size in sizes {
            for seed in seeds {
                experiment.rows.push(Row {
                    size: *size,
                    seed: *seed,
                    figures: measure(*size, *seed),
                });
            }
        }
        experiment
    }

    /// Returns the different sizes in ascending order.
    fn sizes(&self) -> Vec<u64> {
        let mut sizes: Vec<u64> = self.rows.iter().map(|row| row.size).collect();
        sizes.sort_unstable();
        sizes.dedup();
        sizes
    }

    /// Returns the different quantities in the order of their declaration.
    fn quantities(&self) -> Vec<Quantity> {
        let all = self.rows.iter().flat_map(|row| &row.figures);
        let mut quantities: Vec<Quantity> = all.map(|figure| figure.quantity).collect();
        quantities.sort_unstable();
        quantities.dedup();
        quantities
    }

    /// Returns the size and the value of a quantity for each row that has it.
    fn points(&self, quantity: Quantity) -> Vec<(f64, f64)> {
        let point = |row: &Row| {
            let figure = row
                .figures
                .iter()
                .find(|figure| figure.quantity == quantity)?;
            Some((row.size as f64, figure.value))
        };
        self.rows.iter().filter_map(point).collect()
    }

    /// Returns the median of a quantity over the seeds, for one size.
    fn median_of_seeds(&self, quantity: Quantity, size: u64) -> Option<f64> {
        let of_size = self
            .points(quantity)
            .into_iter()
            .filter(|(at, _)| *at == size as f64);
        let mut values: Vec<f64> = of_size.map(|(_, value)| value).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied()
    }

    /// Returns the table of this experiment, followed by the fitted power laws.
    pub fn table(&self) -> String {
        let (axis, target) = self.axis.target();
        let mut text = format!("{}: {}\n{axis:>22}", self.name, self.about);
        for size in self.sizes() {
            _ = write!(text, " {size:>12}");
        }
        text.push('\n');
        for quantity in self.quantities() {
            _ = write!(text, "{:>22}", quantity.name());
            for size in self.sizes() {
                let value = self
                    .median_of_seeds(quantity, size)
                    .map_or("-".into(), rounded);
                _ = write!(text, " {value:>12}");
            }
            text.push('\n');
        }
        for quantity in self
            .quantities()
            .into_iter()
            .filter(|quantity| quantity.is_fitted())
        {
            let fitted = match Fit::new(&self.points(quantity)) {
                Ok(fit) => fit_text(&fit, axis, target),
                Err(error) => format!("not fitted: {error}"),
            };
            _ = writeln!(text, "  {} {fitted}", quantity.name());
        }
        text
    }

    /// Returns this experiment as JSON.
    pub fn to_json(&self) -> Value {
        let (axis, target) = self.axis.target();
        let mut quantities = serde_json::Map::new();
        for quantity in self.quantities() {
            let by_size: Vec<_> = self
                .sizes()
                .into_iter()
                .map(|size| self.median_of_seeds(quantity, size))
                .collect();
            let mut value = json!({"middle_of_seeds": by_size});
            if quantity.is_fitted() {
                value["fit"] = match Fit::new(&self.points(quantity)) {
                    Ok(fit) => fit_json(&fit, target),
                    Err(error) => json!({"none": error.to_string()}),
                };
            }
            quantities.insert(quantity.name().into(), value);
        }
        json!({
            "name": self.name,
            "about": self.about,
            "axis": axis,
            "sizes": self.sizes(),
            "target": target,
            "quantities": quantities,
        })
    }
}

/// Formats a power law as text, with its value at the target size.
fn fit_text(fit: &Fit, axis: &str, target: f64) -> String {
    let at = fit.at(target);
    format!(
        "= {} (x/ {:.2}) * {axis}^({:.3} +- {:.3}); at {target}: {} (x/ {:.2}), {:.2} times the largest size",
        rounded(fit.constant),
        fit.constant_error,
        fit.exponent,
        fit.exponent_error,
        rounded(at.value),
        at.error,
        at.extrapolation
    )
}

/// Returns a power law as JSON, with its value at the target size.
fn fit_json(fit: &Fit, target: f64) -> Value {
    let at = fit.at(target);
    json!({
        "constant": fit.constant,
        "constant_error_factor": fit.constant_error,
        "exponent": fit.exponent,
        "exponent_error": fit.exponent_error,
        "at_target": at.value,
        "at_target_error_factor": at.error,
        "extrapolation": at.extrapolation,
    })
}

/// Formats a value with fewer decimal places the larger it is.
fn rounded(value: f64) -> String {
    match value.abs() {
        size if size >= 1_000.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.01 || size == 0.0 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}

/// Returns one run as a JSON document.
pub fn document(plan: &Plan, experiments: &[Experiment]) -> Value {
    json!({
        "seeds": plan.seeds,
        "samples": plan.samples,
        "seconds": plan.seconds,
        "sampled_limiters": plan.sampled,
        "headroom": plan.headroom,
        "experiments": experiments.iter().map(Experiment::to_json).collect::<Vec<_>>(),
    })
}
