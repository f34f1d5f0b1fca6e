//! The capacity benchmark's arithmetic, arguments and counts: all of it that time does not touch.

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

fn parse(words: &[&str]) -> Result<Arguments, String> {
    let words = ["capacity"].iter().chain(words);
    Arguments::try_parse_from(words).map_err(|error| error.to_string())
}

fn quick(words: &[&str]) -> Plan {
    let all: Vec<&str> = ["--quick"].iter().chain(words).copied().collect();
    parse(&all).expect("the arguments are good").plan()
}

/// Makes noise that a line through these sizes neither rises nor falls by, so that a fit has to find the law exactly.
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
    fn a_fit_finds_the_law_and_the_error_that_the_points_were_made_with(
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
        // The errors that the textbook gives for this noise.
        let count = logs.len() as f64;
        let mean = logs.iter().sum::<f64>() / count;
        let squares: f64 = logs.iter().map(|log| (log - mean).powi(2)).sum();
        let deviation = (noise.iter().map(|n| n * n).sum::<f64>() / (count - 2.0)).sqrt();
        prop_assert!((fit.exponent_error - deviation / squares.sqrt()).abs() < 1e-6);
        let constant_error = deviation * (1.0 / count + mean * mean / squares).sqrt();
        prop_assert!((fit.constant_error.ln() - constant_error).abs() < 1e-6);
        // Extrapolated tenfold: the law's value, and an error that grows with the distance.
        let (near, far) = (fit.at(points[points.len() - 1].0), fit.at(points[points.len() - 1].0 * 10.0));
        prop_assert!((far.extrapolation - 10.0).abs() < 1e-9);
        let expected = constant * (points[points.len() - 1].0 * 10.0).powf(exponent);
        prop_assert!((far.value / expected - 1.0).abs() < 1e-6);
        prop_assert!(far.error >= near.error);
    }

    #[test]
    fn what_has_no_logarithm_is_named(bad in prop_oneof![Just(0.0), -1e6f64..0.0, Just(f64::INFINITY)]) {
        let points = [(1.0, 1.0), (10.0, bad), (100.0, 2.0)];
        prop_assert_eq!(Fit::new(&points), Err(FitError::NotPositive(bad)));
    }
}

#[test]
fn a_line_through_two_sizes_is_no_fit() {
    let points = [(1.0, 1.0), (10.0, 11.0), (10.0, 12.0)];
    let error = Fit::new(&points).expect_err("two sizes");
    assert_eq!(error, FitError::TooFewSizes(2));
    assert_eq!(error.to_string(), "2 different sizes, 3 are needed");
}

#[test]
fn bad_arguments_are_named() {
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
        let error = parse(words).expect_err("bad arguments");
        assert!(error.contains(named), "{words:?} says: {error}");
    }
}

#[test]
fn sizes_that_are_given_stand_and_the_others_are_usual() {
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
fn the_same_seed_sends_the_same_calls_and_bytes() {
    let play = |seed| simulate(SHAPE, 3, 2, seed);
    let (first, again, other) = (play(5), play(5), play(6));
    assert_eq!(first, again);
    assert_ne!(first, other);
    // 130 requests a second at each of three limiters: 780 in 2 s, give or take five standard deviations.
    assert!((640..920).contains(&first.requests), "{first:?}");
    let CounterTraffic {
        forwarded,
        calls,
        http_bytes,
        redis_bytes,
        ..
    } = first;
    assert!(forwarded > first.requests / 2 && calls > 0, "{first:?}");
    // The shortest calls that can be worded.
    assert!(
        http_bytes > 80 * calls && redis_bytes > 120 * calls,
        "{first:?}"
    );
}

#[test]
fn every_tenant_comes_through_its_limiters_and_no_other() {
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
            "{rate} for {tenant:?}"
        );
        assert!(
            tenant.rate / f64::from(tenant.spread) <= 65.0 + 1e-9,
            "too much for a limiter: {tenant:?}"
        );
        assert!(tenant.spread >= 3, "{tenant:?}");
    }
}

#[test]
fn the_short_form_runs_every_experiment_and_its_counts_repeat() {
    let plan = quick(&["--samples", "4", "--seconds", "1"]);
    let (mut shown, experiments) = (0, capacity::run(&plan, &mut |_| ()));
    let again = capacity::run(&plan, &mut |_| shown += 1);
    assert_eq!(shown, experiments.len());
    for (experiment, again) in experiments.iter().zip(&again) {
        let sizes = experiment.rows.len();
        assert!(sizes >= 3, "{}: {sizes} sizes", experiment.name);
        for (row, same) in experiment.rows.iter().zip(&again.rows) {
            // Where parts of the quota are large no request may have waited for the counter.
            let may_be_none = experiment.name.starts_with("counted-by");
            assert!(
                may_be_none || !row.figures.is_empty(),
                "{}: nothing at {}",
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
                    "{}: {figure:?} and {same:?}",
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

/// Files of the page, as they are in the repository.
const PAGE: &str = include_str!("../docs/CAPACITY.md");
const SLOPES: &str = include_str!("../docs/capacity/slopes.json");

#[test]
fn the_tables_of_the_page_are_those_of_the_committed_run() {
    let run = Run::read(SLOPES).expect("the run is JSON");
    for (name, table) in tables(&run).expect("the run has every experiment") {
        let expected = marked(name, &table);
        assert!(
            PAGE.contains(&expected),
            "table {name} of docs/CAPACITY.md is not the run's:\n{expected}"
        );
    }
}

#[test]
fn a_run_that_lacks_something_is_named() {
    let error = Run::read("{").err().expect("half of an object");
    assert!(error.to_string().starts_with("not JSON"), "{error}");
    let empty = Run::read(r#"{"experiments": []}"#).expect("JSON");
    let error = tables(&empty).expect_err("nothing was run");
    assert!(
        error
            .to_string()
            .starts_with("the run has no p99_us of decision-by-servers"),
        "{error}"
    );
}

#[test]
fn a_table_begins_with_the_largest_ratio_and_ends_with_what_has_no_bound() {
    let line = |what: &str, value| Line::new("role", what, Amount(value, Unit::Bytes), &[]);
    let table = table(vec![
        line("none", 9e9),
        line("half", 1.0).within(2.0),
        line("twice", 4.0).within(2.0),
    ]);
    let rows: Vec<&str> = table.lines().skip(2).collect();
    assert!(
        rows[0].starts_with("| 2.0 | role | twice | 4.0 B |"),
        "{rows:?}"
    );
    assert!(
        rows[1].starts_with("| 0.50 | role | half | 1.0 B |"),
        "{rows:?}"
    );
    assert!(
        rows[2].starts_with("| - | role | none | 9000 MB |"),
        "{rows:?}"
    );
}
