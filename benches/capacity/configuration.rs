//! Loading of configuration files with many routes and accounts, and the lookup of a request's
//! route.

use super::arguments::Plan;
use super::measure::{measure_held_bytes, Cost, Costs};
use super::report::{Axis, Experiment, Figure, Quantity, Row};
use super::world::{configuration_text, description_text, route_path, SERVICES};
use mossrill::config;
use mossrill::openapi::description::{Description, OperationMatch};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::hint::black_box;

/// How often a file is loaded. The memory held is measured on the first load.
const LOADS: u64 = 3;
/// Number of routes above which a description is loaded only once, as that takes many seconds.
const MANY_ROUTES: u64 = 5_000;
/// Number of routes in the description that a configuration file of accounts refers to.
const ROUTES_WITH_ACCOUNTS: u64 = 1;
/// Number of limiters in the configuration file.
const LIMITERS: u64 = 2_000;

/// Measures the parsing of a description with this number of routes. Returns the description too.
fn read_routes(routes: u64) -> (Description, Vec<Figure>) {
    let text = description_text(routes);
    let load = || Description::read(&text).expect("the generated OpenAPI description is valid");
    let mut costs = Costs::default();
    let mut first = Cost::default();
    let (description, held) = measure_held_bytes(|| first.measure(load));
    costs.add(first);
    for _ in 1..if routes > MANY_ROUTES { 1 } else { LOADS } {
        black_box(costs.measure(load));
    }
    let mut figures = costs.figures();
    figures.push(held);
    figures.push(Figure::new(Quantity::TextBytes, text.len() as f64));
    (description, figures)
}

/// Measures the lookup of the routes of requests.
fn find_route(description: &Description, routes: u64, samples: u64, seed: u64) -> Vec<Figure> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut costs = Costs::default();
    for _ in 0..samples {
        let path = route_path(rng.random_range(0..routes)).replace("{item}", "17");
        let found = costs.measure(|| description.find("GET", &path));
        assert!(
            matches!(found, OperationMatch::Operation(_)),
            "{path}: GET matches no operation"
        );
    }
    costs.figures()
}

/// Measures the loading of a configuration file with this number of accounts.
fn load_accounts(accounts: u64) -> Vec<Figure> {
    let text = configuration_text(accounts, LIMITERS);
    let routes = description_text(ROUTES_WITH_ACCOUNTS);
    let load = || {
        config::openapi(&text, |_| Ok(routes.clone()))
            .expect("the generated configuration file is valid")
    };
    let mut costs = Costs::default();
    let mut first = Cost::default();
    let (_configuration, held) = measure_held_bytes(|| first.measure(load));
    costs.add(first);
    for _ in 1..LOADS {
        black_box(costs.measure(load));
    }
    let mut figures = costs.figures();
    figures.push(held);
    figures.push(Figure::new(Quantity::TextBytes, text.len() as f64));
    figures
}

/// Loading and lookup by number of routes, and loading by number of accounts.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    let about = format!("reading an OpenAPI description, an operation each, {SERVICES} services");
    let mut reading = Experiment::empty("routes-read", about, Axis::Routes);
    let mut finding =
        Experiment::empty("route-find", "finding the route of a request", Axis::Routes);
    for size in &plan.routes {
        // Descriptions contain nothing random, so that one seed is enough.
        let (description, figures) = read_routes(*size);
        reading.rows.push(Row {
            size: *size,
            seed: plan.seeds[0],
            figures,
        });
        for seed in &plan.seeds {
            let figures = find_route(&description, *size, plan.samples, *seed);
            finding.rows.push(Row {
                size: *size,
                seed: *seed,
                figures,
            });
        }
    }
    let mut experiments = vec![reading, finding];
    experiments.push(Experiment::run(
        "accounts-load",
        "loading a configuration file with accounts",
        Axis::Accounts,
        (&plan.tenants, &plan.seeds),
        |accounts, _| load_accounts(accounts),
    ));
    experiments
}
