//! OpenAPI 3 descriptions as the source of routes, classes and units.
//!
//! What OpenAPI has no keywords for is in extensions, which `docs/openapi.md` describes. A description that leaves a
//! cost open, names an unknown effect or has an operation twice is rejected as a whole: a limiter that guesses would
//! charge accounts wrongly, or retry requests that are not idempotent.

mod class;
mod error;
mod loader;
mod path;
mod references;
mod strict_json;

pub use error::{DescriptionError, DescriptionErrors, Problem};

use crate::decision::RequestClass;
use path::Segment;
use std::collections::BTreeMap;

/// An operation that clients may call.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Its operationId, or its method and path.
    pub name: String,
    /// Index of its class.
    pub class: usize,
    /// Units that a request takes.
    pub units: f64,
    /// The header that must hold the idempotency key of a request, if it needs one.
    pub key_header: Option<String>,
    /// Statuses that state that the request never ran.
    pub never_ran: Vec<Statuses>,
}

/// A status, or all statuses that begin with a digit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statuses {
    /// This status.
    One(u16),
    /// All statuses with this first digit, such as `5XX`.
    Hundred(u16),
}

impl Statuses {
    /// Parses the key of an error response: a status from 400 to 599, `4XX` or `5XX`.
    fn parse_error(text: &str) -> Option<Self> {
        if let Some(digit) = text.strip_suffix("XX") {
            let digit = digit.parse().ok().filter(|digit| (4..=5).contains(digit))?;
            return Some(Self::Hundred(digit));
        }
        let status = text.parse().ok()?;
        (400..=599).contains(&status).then_some(Self::One(status))
    }

    fn contains(self, status: u16) -> bool {
        match self {
            Self::One(one) => one == status,
            Self::Hundred(digit) => digit == status / 100,
        }
    }
}

impl Operation {
    /// Whether the description states that a request with this status never ran.
    pub fn never_ran(&self, status: u16) -> bool {
        self.never_ran
            .iter()
            .any(|statuses| statuses.contains(status))
    }
}

/// The result of a search for an operation.
#[derive(Debug)]
pub enum Found<'a> {
    /// The operation.
    Operation(&'a Operation),
    /// The path has other methods, separated by commas.
    Methods(String),
    /// No path matches.
    Nothing,
}

/// The operations of a description with their classes.
#[derive(Debug, Default)]
pub struct Description {
    /// Classes, for the decision module.
    pub classes: Vec<RequestClass>,
    /// Names of the classes, for operators.
    pub class_names: Vec<String>,
    /// Operations that do not state whether they are idempotent.
    pub unmarked: Vec<String>,
    /// Paths; of two that match, the more specific one comes first.
    paths: Vec<Path>,
}

#[derive(Debug)]
struct Path {
    segments: Vec<Segment>,
    /// Operations by method, in upper case.
    operations: BTreeMap<String, Operation>,
}

impl Path {
    fn matches(&self, segments: &[&str]) -> bool {
        self.segments.len() == segments.len()
            && self
                .segments
                .iter()
                .zip(segments)
                .all(|(segment, text)| segment.matches(text))
    }

    /// Finds the operation for a method. A description seldom has HEAD beside GET, which is the same call without the
    /// body of the response.
    fn operation(&self, method: &str) -> Option<&Operation> {
        self.operations.get(method).or_else(|| match method {
            "HEAD" => self.operations.get("GET"),
            _ => None,
        })
    }

    fn methods(&self) -> String {
        let mut methods: Vec<&str> = self.operations.keys().map(String::as_str).collect();
        if methods.contains(&"GET") && !methods.contains(&"HEAD") {
            methods.push("HEAD");
        }
        methods.join(", ")
    }
}

impl Description {
    /// Reads a description.
    ///
    /// # Errors
    ///
    /// All errors that the description has, each with its place.
    pub fn read(text: &str) -> Result<Self, DescriptionErrors> {
        let root = strict_json::parse(text)?;
        loader::load(&root)
    }

    /// Finds the operation for a method and the path of a request's target.
    pub fn find(&self, method: &str, path: &str) -> Found<'_> {
        let segments: Vec<&str> = path.split('/').collect();
        let Some(path) = self.paths.iter().find(|path| path.matches(&segments)) else {
            return Found::Nothing;
        };
        match path.operation(method) {
            Some(operation) => Found::Operation(operation),
            None => Found::Methods(path.methods()),
        }
    }
}
