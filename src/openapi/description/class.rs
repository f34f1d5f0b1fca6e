//! Request classes of a description (`x-quota-classes`).

use super::error::Problem;
use crate::decision::{Idempotency, KeyScope, Micros, RequestClass};
use serde_json::Value;

/// Name of the header that holds the idempotency key, where the class does not name one.
const DEFAULT_KEY_HEADER: &str = "Idempotency-Key";

/// Whether an operation may be executed more than once (`x-quota-effect`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Effect {
    /// The operation is idempotent.
    Safe,
    /// The operation is idempotent if requests have an idempotency key.
    Keyed,
    /// The operation is not idempotent.
    Unsafe,
}

impl Effect {
    pub(super) fn parse(text: &str) -> Option<Self> {
        match text {
            "safe" => Some(Self::Safe),
            "keyed" => Some(Self::Keyed),
            "unsafe" => Some(Self::Unsafe),
            _ => None,
        }
    }

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Keyed => "keyed",
            Self::Unsafe => "unsafe",
        }
    }
}

/// Returns the name of the header that holds the idempotency key in requests of a class.
pub(super) fn key_header(class: &Value) -> String {
    class["key-header"]
        .as_str()
        .unwrap_or(DEFAULT_KEY_HEADER)
        .to_owned()
}

/// Reads a class for operations with the given effect. Appends the problems of the class to
/// `problems`; returns `None` if the class can't be built.
pub(super) fn read_class(
    class: &Value,
    effect: Effect,
    problems: &mut Vec<Problem>,
) -> Option<RequestClass> {
    let mut number = |key: &'static str| {
        let found = class[key].as_f64().filter(|number| *number > 0.0);
        if found.is_none() {
            problems.push(Problem::NotPositive(key));
        }
        found
    };
    let objective = number("aim-ms");
    let deadline = number("deadline-ms");
    let weight = number("worth");
    let window = if effect == Effect::Keyed {
        number("window-ms")
    } else {
        Some(0.0)
    };
    let scope = match read_key_scope(class) {
        Ok(scope) => scope,
        Err(problem) => {
            problems.push(problem);
            return None;
        }
    };
    let latency_objective = micros(objective?);
    let deadline = micros(deadline?);
    if latency_objective > deadline {
        problems.push(Problem::ObjectiveAboveDeadline);
    }
    Some(RequestClass {
        latency_objective,
        deadline,
        idempotency: match effect {
            Effect::Safe => Idempotency::Idempotent,
            Effect::Keyed => Idempotency::Keyed(scope),
            Effect::Unsafe => Idempotency::NonIdempotent,
        },
        idempotency_window: micros(window?),
        priority_weight: weight?,
        late_weight: 0.0,
    })
}

fn read_key_scope(class: &Value) -> Result<KeyScope, Problem> {
    match class["group"].as_str().unwrap_or("all") {
        "all" => Ok(KeyScope::AllServers),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        other => Err(Problem::UnknownKeyScope(other.to_owned())),
    }
}

fn micros(milliseconds: f64) -> Micros {
    (milliseconds * 1e3) as Micros
}
