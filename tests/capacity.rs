//! Tests of the capacity benchmark, except for what it times: its arithmetic, its arguments and the
//! numbers that it counts.

#[path = "../benches/capacity/mod.rs"]
#[allow(dead_code)]
mod capacity;

use capacity::arguments::{Arguments, Group, Plan};
use capacity::counter::{simulate, CounterTraffic};
use capacity::fit::{Fit, FitError};
use capacity::page::run::Run;
use capacity::page::{marked, table, tables, target::Unit, Amount, Line};
use capacity::report::{document, Quantity};
use capacity::traffic::{Shape, Traffic, HEADROOM};
use clap::Parser;
use proptest::prelude::*;

const SHAPE: Shape = Shape {
    tenants: 200,
    limiters: 9,
    spread: 3,
    skew: 1.0,
    headroom: HEADROOM,
};

/// Parses the arguments of a run.
fn parse(words: &[&str]) -> Result<Arguments, String> {
    let words = ["capacity"].iter().chain(words);
    Arguments::try_parse_from(words).map_err(|error| error.to_string())
}

/// Returns the plan of a short run with further arguments.
fn quick(words: &[&str]) -> Plan {
    let all: Vec<&str> = ["--quick"].iter().chain(words).copied().collect();
    parse(&all).expect("the arguments are valid").plan()
}

/// Removes the mean and the linear trend over `sizes` from the noise, so that a fit has to recover
/// the law exactly.
fn without_trend(sizes: &[f64], noise: &[f64]) -> Vec<f64> {
    let count = sizes.len() as f64;
    let mean_size = sizes.iter().sum::<f64>() / count;
    let mean_noise = noise.iter().sum::<f64>() / count;
    let squares: f64 = sizes.iter().map(|size| (size - mean_size).powi(2)).sum();
    let products: f64 = sizes
        .iter()
        .zip(noise)
        .map(|(size, n)| (size - mean_size) * (n - mean_noise))
        .sum();
    let trend = products / squares;
    sizes
        .iter()
        .zip(noise)
        .map(|(size, n)| n - mean_noise - trend * (size - mean_size))
        .collect()
}

proptest! {
    #[test]
    fn fit_recovers_the_power_law_and_the_errors_of_generated_points(
        constant in 0.01f64..1e4,
        exponent in -2.0f64..3.0,
        noise in prop::collection::vec(-0.5f64..0.5, 4..12),
    ) {
        let logs: Vec<f64> = (0..noise.len()).map(|at| 1.0 + 0.7 * at as f64).collect();
        let noise = without_trend(&logs, &noise);
        let point = |(log, noise): (&f64, &f64)| (log.exp(), constant * (exponent * log + noise).exp());
        let points: Vec<(f64, f64)> = logs.iter().zip(&noise).map(point).collect();
        let fit = Fit::new(&points).expect("there are enough points");
        prop_assert!((fit.exponent - exponent).abs() < 1e-6, "{} for {exponent}", fit.exponent);
        prop_assert!((fit.constant / constant - 1.0).abs() < 1e-6, "{} for {constant}", fit.constant);
        // The standard errors of a linear regression with this noise.
        let count = logs.len() as f64;
        let mean = logs.iter().sum::<f64>() / count;
        let squares: f64 = logs.iter().map(|log| (log - mean).powi(2)).sum();
        let deviation = (noise.iter().map(|n| n * n).sum::<f64>() / (count - 2.0)).sqrt();
        prop_assert!((fit.exponent_error - deviation / squares.sqrt()).abs() < 1e-6);
        let constant_error = deviation * (1.0 / count + mean * mean / squares).sqrt();
        prop_assert!((fit.constant_error.ln() - constant_error).abs() < 1e-6);
        // Extrapolated tenfold, the fit gives the value of the law, and an error that grows with
        // the distance.
        let (near, far) = (fit.at(points[points.len() - 1].0), fit.at(points[points.len() - 1].0 * 10.0));
        prop_assert!((far.extrapolation - 10.0).abs() < 1e-9);
        let expected = constant * (points[points.len() - 1].0 * 10.0).powf(exponent);
        prop_assert!((far.value / expected - 1.0).abs() < 1e-6);
        prop_assert!(far.error >= near.error);
    }

    #[test]
    fn fit_error_names_a_value_without_a_logarithm(bad in prop_oneof![Just(0.0), -1e6f64..0.0, Just(f64::INFINITY)]) {
        let points = [(1.0, 1.0), (10.0, bad), (100.0, 2.0)];
        prop_assert_eq!(Fit::new(&points), Err(FitError::NotPositive(bad)));
    }
}

#[test]
fn fit_needs_three_different_sizes() {
    let points = [(1.0, 1.0), (10.0, 11.0), (10.0, 12.0)];
    let error = Fit::new(&points).expect_err("two different sizes are too few");
    assert_eq!(error, FitError::TooFewSizes(2));
    assert_eq!(error.to_string(), "2 different sizes, 3 are needed");
}

#[test]
fn argument_errors_name_the_bad_argument() {
    let cases: [(&[&str], &str); 10] = [
        (&["--servers", "24,0"], "--servers"),
        (&["--tenants", "0"], "--tenants"),
        (&["--limiters", "-3"], "-3"),
        (&["--samples", "0"], "--samples"),
        (&["--sampled", "0"], "--sampled"),
        (&["--skews", "nan"], "--skews"),
        (&["--headroom", "0"], "--headroom"),
        (&["--routes", "ten"], "--routes"),
        (&["--only", "weather"], "weather"),
        (&["--speed", "9"], "--speed"),
    ];
    for (words, named) in cases {
        let error = parse(words).expect_err("the arguments are invalid");
        assert!(
            error.contains(named),
            "expected {named} in the error of {words:?}: {error}"
        );
    }
}

#[test]
fn given_sizes_replace_the_defaults() {
    let plan = quick(&["--servers", "5,6,7", "--only", "lists"]);
    assert_eq!((plan.servers, plan.seeds), (vec![5, 6, 7], vec![1]));
    assert_eq!(plan.groups, [Group::Lists]);
    let plan = parse(&[]).expect("no argument is needed").plan();
    assert_eq!(
        (plan.servers.last(), plan.limiters.last()),
        (Some(&21_000), Some(&2_000))
    );
}

#[test]
fn counter_calls_and_bytes_are_reproducible_for_a_seed() {
    let run = |seed| simulate(SHAPE, 3, 2, seed);
    let (first, repeated, other) = (run(5), run(5), run(6));
    assert_eq!(first, repeated);
    assert_ne!(first, other);
    // Three limiters with 130 requests/s each get 780 requests in 2 s, within five standard
    // deviations.
    assert!(
        (640..920).contains(&first.requests),
        "expected 640..920 requests, got {first:?}"
    );
    let CounterTraffic {
        forwarded,
        calls,
        http_bytes,
        redis_bytes,
        ..
    } = first;
    assert!(
        forwarded > first.requests / 2 && calls > 0,
        "expected calls, and more than half of the requests forwarded, got {first:?}"
    );
    // Lower bounds: the bytes of the shortest possible call of each protocol.
    assert!(
        http_bytes > 80 * calls && redis_bytes > 120 * calls,
        "calls are shorter than the shortest possible ones: {first:?}"
    );
}

#[test]
fn limiter_rates_add_up_to_each_tenants_rate_without_overloading_a_limiter() {
    let traffic = Traffic::new(SHAPE, 4);
    let mut rates = vec![0.0; traffic.tenants.len()];
    for limiter in 0..traffic.limiters {
        for (sum, rate) in rates.iter_mut().zip(traffic.rates_at(limiter)) {
            *sum += rate;
        }
    }
    for (tenant, rate) in traffic.tenants.iter().zip(rates) {
        assert!(
            (rate / tenant.rate - 1.0).abs() < 1e-9,
            "limiters get {rate} requests/s of {tenant:?}"
        );
        assert!(
            tenant.rate / f64::from(tenant.spread) <= 65.0 + 1e-9,
            "more than half of the load of a limiter: {tenant:?}"
        );
        assert!(tenant.spread >= 3, "fewer than 3 limiters: {tenant:?}");
    }
}

#[test]
fn quick_run_covers_every_experiment_with_reproducible_counts() {
    let plan = quick(&["--samples", "4", "--seconds", "1"]);
    let (mut reported, experiments) = (0, capacity::run(&plan, &mut |_| ()));
    let repeated = capacity::run(&plan, &mut |_| reported += 1);
    assert_eq!(reported, experiments.len());
    for (experiment, repeated) in experiments.iter().zip(&repeated) {
        let sizes = experiment.rows.len();
        assert!(sizes >= 3, "{}: {sizes} sizes", experiment.name);
        for (row, same) in experiment.rows.iter().zip(&repeated.rows) {
            // Where quota shares are large, it may be that no request waited for the counter.
            let may_be_empty = experiment.name.starts_with("counted-by");
            assert!(
                may_be_empty || !row.figures.is_empty(),
                "{}: no figures at size {}",
                experiment.name,
                row.size
            );
            for (figure, same) in row.figures.iter().zip(&same.figures) {
                let counted = matches!(
                    figure.quantity,
                    Quantity::TextBytes
                        | Quantity::CallsPerRequest
                        | Quantity::HttpBytesPerCall
                        | Quantity::RedisBytesPerCall
                        | Quantity::NotSent
                        | Quantity::TenantsInOneSecond
                );
                assert!(
                    !counted || figure == same,
                    "{}: a repeated run gives {same:?} instead of {figure:?}",
                    experiment.name
                );
                assert!(
                    figure.value.is_finite() && figure.value >= 0.0,
                    "{}: {figure:?}",
                    experiment.name
                );
            }
        }
        assert!(experiment.table().contains(&experiment.name));
    }
    let document = document(&plan, &experiments);
    assert_eq!(document["seeds"], serde_json::json!([1]));
    assert_eq!(
        document["experiments"].as_array().map(Vec::len),
        Some(experiments.len())
    );
}

/// The page with the results, as committed.
const PAGE: &str = include_str!("../docs/CAPACITY.md");
/// The run whose results the page shows, as committed.
const SLOPES: &str = include_str!("../docs/capacity/slopes.json");

#[test]
fn tables_of_the_page_match_the_committed_run() {
    let run = Run::read(SLOPES).expect("the run is JSON");
    for (name, table) in tables(&run).expect("the run has every experiment") {
        let expected = marked(name, &table);
        assert!(
            PAGE.contains(&expected),
            "table {name} of docs/CAPACITY.md differs from the committed run, expected:\n{expected}"
        );
    }
}

#[test]
fn error_of_an_incomplete_run_names_what_is_missing() {
    let error = Run::read("{")
        .err()
        .expect("a truncated object is rejected");
    assert!(
        error.to_string().starts_with("not JSON"),
        "expected \"not JSON\", got {error}"
    );
    let empty = Run::read(r#"{"experiments": []}"#).expect("the run is JSON");
    let error = tables(&empty).expect_err("the run has no experiments");
    assert!(
        error
            .to_string()
            .starts_with("the run has no p99_us of decision-by-servers"),
        "expected the missing quantity, got {error}"
    );
}

#[test]
fn table_rows_are_ordered_by_ratio_with_unbounded_amounts_last() {
    let line = |what: &str, value| Line::new("role", what, Amount(value, Unit::Bytes), &[]);
    let table = table(vec![
        line("none", 9e9),
        line("half", 1.0).within(2.0),
        line("twice", 4.0).within(2.0),
    ]);
    let rows: Vec<&str> = table.lines().skip(2).collect();
    assert!(
        rows[0].starts_with("| 2.0 | role | twice | 4.0 B |"),
        "unexpected order or text of the rows: {rows:?}"
    );
    assert!(
        rows[1].starts_with("| 0.50 | role | half | 1.0 B |"),
        "unexpected order or text of the rows: {rows:?}"
    );
    assert!(
        rows[2].starts_with("| - | role | none | 9000 MB |"),
        "unexpected order or text of the rows: {rows:?}"
    );
}
