//! Loading a configuration file with many routes and accounts, and finding a route for a request.

use super::arguments::Plan;
use super::measure::{held_bytes, Costs};
use super::report::{Axis, Experiment, Figure, Quantity};
use super::world::{configuration_text, description_text, route_path, SERVICES};
use mossrill::config;
use mossrill::openapi::description::{Description, Found};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::hint::black_box;

/// Repeats of what takes many milliseconds.
const LOADS: u64 = 5;
/// Routes of the description that goes with a file of accounts.
const FEW_ROUTES: u64 = 1;
/// Limiters that the file names.
const LIMITERS: u64 = 2_000;

/// Reading a description with so many routes.
fn read_routes(routes: u64) -> Vec<Figure> {
    let text = description_text(routes);
    let load = || Description::read(&text).expect("the description has no fault");
    let mut costs = Costs::default();
    for _ in 0..LOADS {
        black_box(costs.time(load));
    }
    let (_description, held) = held_bytes(load);
    let mut figures = costs.figures();
    figures.push(held);
    figures.push(Figure::new(Quantity::TextBytes, text.len() as f64));
    figures
}

/// Finding the route of a request among so many.
fn find_route(routes: u64, samples: u64, seed: u64) -> Vec<Figure> {
    let description = Description::read(&description_text(routes)).expect("the description has no fault");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut costs = Costs::default();
    for _ in 0..samples {
        let path = route_path(rng.random_range(0..routes)).replace("{item}", "17");
        let found = costs.time(|| description.find("GET", &path));
        assert!(matches!(found, Found::Operation(_)), "{path} is a route");
    }
    costs.figures()
}

/// Loading a file with so many accounts.
fn load_accounts(accounts: u64) -> Vec<Figure> {
    let text = configuration_text(accounts, LIMITERS);
    let routes = description_text(FEW_ROUTES);
    let load = || config::openapi(&text, |_| Ok(routes.clone())).expect("the file has no fault");
    let mut costs = Costs::default();
    for _ in 0..LOADS {
        black_box(costs.time(load));
    }
    let (_configuration, held) = held_bytes(load);
    let mut figures = costs.figures();
    figures.push(held);
    figures.push(Figure::new(Quantity::TextBytes, text.len() as f64));
    figures
}

/// Files against routes and accounts.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    vec![
        Experiment::along(
            "routes-read",
            format!("reading an OpenAPI description, an operation each, {SERVICES} services"),
            Axis::Routes,
            (&plan.routes, &plan.seeds),
            |routes, _| read_routes(routes),
        ),
        Experiment::along(
            "route-find",
            "finding the route of a request",
            Axis::Routes,
            (&plan.routes, &plan.seeds),
            |routes, seed| find_route(routes, plan.samples, seed),
        ),
        Experiment::along(
            "accounts-load",
            "loading a configuration file with accounts",
            Axis::Accounts,
            (&plan.tenants, &plan.seeds),
            |accounts, _| load_accounts(accounts),
        ),
    ]
}
