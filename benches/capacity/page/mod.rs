//! The tables of `docs/CAPACITY.md`, computed from one run of the benchmark (`--page FILE`).

pub mod alternatives;
pub mod events;
pub mod run;
pub mod steady;
pub mod target;

use run::{PageError, Reading, Run};
use std::fmt::Write;
use target::Unit;

/// An amount and its unit.
#[derive(Clone, Copy, Debug)]
pub struct Amount(pub f64, pub Unit);

/// One line of a table: the amount that something reaches at the target size, and its bound.
#[derive(Clone, Debug)]
pub struct Line {
    /// The role that needs the resource.
    pub role: &'static str,
    /// What the amount is of.
    pub item: String,
    /// The amount at the target size.
    pub amount: Amount,
    /// The largest allowed amount, if one is stated.
    pub bound: Option<Amount>,
    /// The power laws that the amount was computed from: experiments, quantities and exponents.
    pub slopes: String,
    /// The largest ratio of a target size to the largest measured size.
    pub extrapolation: f64,
    /// The mechanism that keeps the amount within the bound, or a note on its absence.
    pub mechanism: &'static str,
}

impl Line {
    /// Creates a line with an amount that was computed from these readings.
    pub fn new(
        role: &'static str,
        item: impl Into<String>,
        amount: Amount,
        readings: &[&Reading],
    ) -> Self {
        let slope = |reading: &&Reading| reading.slope();
        Self {
            role,
            item: item.into(),
            amount,
            bound: None,
            slopes: readings.iter().map(slope).collect::<Vec<_>>().join("; "),
            extrapolation: readings
                .iter()
                .map(|reading| reading.extrapolation)
                .fold(0.0, f64::max),
            mechanism: "as it is",
        }
    }

    /// Sets the bound, in the unit of the amount.
    pub fn within(self, bound: f64) -> Self {
        Self {
            bound: Some(Amount(bound, self.amount.1)),
            ..self
        }
    }

    /// Sets the mechanism.
    pub fn carried_by(self, mechanism: &'static str) -> Self {
        Self { mechanism, ..self }
    }

    /// Returns the ratio of the amount to its bound.
    pub fn ratio(&self) -> Option<f64> {
        self.bound.map(|bound| self.amount.0 / bound.0)
    }

    /// Formats the line as a row of a Markdown table.
    fn row(&self) -> String {
        let bound = self.bound.map_or("not stated".into(), |bound| bound.text());
        let ratio = self.ratio().map_or("-".into(), two_digits);
        let slopes = if self.slopes.is_empty() {
            "sizes alone"
        } else {
            &self.slopes
        };
        let extrapolation = match self.extrapolation {
            0.0 => "-".into(),
            factor if factor <= 1.0 => "none".into(),
            factor => format!("{factor:.2}"),
        };
        format!(
            "| {ratio} | {} | {} | {} | {bound} | {slopes} | {extrapolation} | {} |",
            self.role,
            self.item,
            self.amount.text(),
            self.mechanism
        )
    }
}

/// Returns a table with the largest ratio first, and lines without a bound last.
pub fn table(mut lines: Vec<Line>) -> String {
    let ratio = |line: &Line| line.ratio().unwrap_or(-1.0);
    lines.sort_by(|a, b| ratio(b).total_cmp(&ratio(a)));
    let mut text = String::from(
        "| ratio | role | what | comes to | bound | slopes (experiment, quantity, exponent) | extrapolated, times the largest size | carried by |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for line in lines {
        _ = writeln!(text, "{}", line.row());
    }
    text
}

/// Returns the names and the texts of all tables of the page.
pub fn tables(run: &Run) -> Result<Vec<(&'static str, String)>, PageError> {
    Ok(vec![
        ("steady", table(steady::lines(run)?)),
        ("events", table(events::lines(run)?)),
        ("alternatives", table(alternatives::lines(run)?)),
        ("skews", alternatives::skews(run)?),
    ])
}

/// Returns a table between the comments that mark it in the page.
pub fn marked(name: &str, table: &str) -> String {
    format!("<!-- table {name} -->\n{table}<!-- end of table {name} -->\n")
}

/// Formats a value with about two significant digits and without an exponent.
pub fn two_digits(value: f64) -> String {
    match value.abs() {
        size if size >= 10.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.1}"),
        size if size >= 0.1 => format!("{value:.2}"),
        size if size >= 0.001 => format!("{value:.3}"),
        _ => "under 0.001".into(),
    }
}
