//! Cost of the metrics that operators read from one limiter.

use super::arguments::Plan;
use super::measure::Costs;
use super::report::{Axis, Experiment, Figure, Quantity};
use mossrill::admin::render_metrics;
use mossrill::metrics::Metrics;

/// Measures the response to `show-stat`, with a request class for each service.
fn measure(services: u64, repeats: u64) -> Vec<Figure> {
    let metrics = Metrics::new(
        (0..services)
            .map(|service| format!("service-{service:03}"))
            .collect(),
    );
    let mut costs = Costs::default();
    for _ in 0..repeats {
        costs.measure(|| render_metrics(&metrics, Vec::new()));
    }
    let mut figures = costs.figures();
    figures.push(Figure::new(
        Quantity::TextBytes,
        render_metrics(&metrics, Vec::new()).len() as f64,
    ));
    figures
}

/// Cost of a response by the number of services.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    vec![Experiment::run(
        "statistics-by-services",
        "one answer to show-stat, with a class of requests for each service",
        Axis::Services,
        (&plan.services, &plan.seeds),
        |services, _| measure(services, plan.samples),
    )]
}
