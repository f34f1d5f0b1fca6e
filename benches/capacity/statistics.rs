//! The figures that operators read from one limiter.

use super::arguments::Plan;
use super::measure::Costs;
use super::report::{Axis, Experiment, Figure, Quantity};
use mossrill::admin::render_metrics;
use mossrill::metrics::Metrics;

/// One answer to `show-stat`, with a class of requests for each service.
fn measure(services: u64, times: u64) -> Vec<Figure> {
    let figures = Metrics::new(
        (0..services)
            .map(|service| format!("service-{service:03}"))
            .collect(),
    );
    let mut costs = Costs::default();
    for _ in 0..times {
        costs.time(|| render_metrics(&figures, Vec::new()));
    }
    let mut measured = costs.figures();
    measured.push(Figure::new(
        Quantity::TextBytes,
        render_metrics(&figures, Vec::new()).len() as f64,
    ));
    measured
}

/// Answers against services.
pub fn experiments(plan: &Plan) -> Vec<Experiment> {
    vec![Experiment::along(
        "statistics-by-services",
        "one answer to show-stat, with a class of requests for each service",
        Axis::Services,
        (&plan.services, &plan.seeds),
        |services, _| measure(services, plan.samples),
    )]
}
