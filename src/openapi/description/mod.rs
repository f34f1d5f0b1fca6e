//! OpenAPI 3 descriptions as the source of routes, classes and units.
//!
//! Properties for which OpenAPI has no keywords are given in extensions, which `docs/openapi.md`
//! describes. A description that does not state the units of an operation, names an unknown effect
//! or defines an operation twice is rejected as a whole: if the limiter guessed, it would charge
//! accounts wrongly or retry requests that are not idempotent.

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
    /// The operationId, or method and path if there is none.
    pub name: String,
    /// Index of the request class.
    pub class: usize,
    /// Number of units that a request costs.
    pub units: f64,
    /// Name of the header that must hold the idempotency key, if requests need one.
    pub key_header: Option<String>,
    /// Statuses of responses to requests that never ran.
    pub never_ran: Vec<Statuses>,
}

/// A status, or all statuses with the same first digit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statuses {
    /// A single status.
    Single(u16),
    /// All statuses with this first digit, such as 5 for `5XX`.
    FirstDigit(u16),
}

impl Statuses {
    /// Parses the key of an error response: a status from 400 to 599, `4XX` or `5XX`.
    fn parse_error(text: &str) -> Option<Self> {
        if let Some(digit) = text.strip_suffix("XX") {
            let digit = digit.parse().ok().filter(|digit| (4..=5).contains(digit))?;
            return Some(Self::FirstDigit(digit));
        }
        let status = text.parse().ok()?;
        (400..=599)
            .contains(&status)
            .then_some(Self::Single(status))
    }

    fn contains(self, status: u16) -> bool {
        match self {
            Self::Single(single) => single == status,
            Self::FirstDigit(digit) => digit == status / 100,
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

/// Result of the search for an operation.
#[derive(Debug)]
pub enum OperationMatch<'a> {
    /// The operation that was found.
    Operation(&'a Operation),
    /// The path matches but lacks the method. Contains the methods that it has, separated by commas.
    OtherMethods(String),
    /// No path matches.
    NoPath,
}

/// The operations of a description with their classes.
#[derive(Debug, Default)]
pub struct Description {
    /// Request classes for the decision module.
    pub classes: Vec<RequestClass>,
    /// Names of the classes for operators, in the order of `classes`.
    pub class_names: Vec<String>,
    /// Names and JSON pointers of the operations that do not state their effect, which are treated
    /// as not idempotent.
    pub without_effect: Vec<String>,
    /// Paths in the order in which they are matched: the more specific of two paths comes first.
    paths: Vec<Path>,
}

/// A path of the description with its operations.
#[derive(Debug)]
struct Path {
    segments: Vec<Segment>,
    /// Operations by method name in upper case.
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

    /// Finds the operation for a method. HEAD is mapped to GET if the path has no HEAD of its own,
    /// as descriptions seldom list both and HEAD is GET without the body of the response.
    fn operation(&self, method: &str) -> Option<&Operation> {
        self.operations.get(method).or_else(|| match method {
            "HEAD" => self.operations.get("GET"),
            _ => None,
        })
    }

    /// Returns the methods of the path, separated by commas.
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
    /// Returns all errors of the description, each with a JSON pointer to its location.
    pub fn read(text: &str) -> Result<Self, DescriptionErrors> {
        let root = strict_json::parse(text)?;
        loader::load(&root)
    }

    /// Finds the operation for a method and the path of a request target.
    pub fn find(&self, method: &str, path: &str) -> OperationMatch<'_> {
        let segments: Vec<&str> = path.split('/').collect();
        let Some(path) = self.paths.iter().find(|path| path.matches(&segments)) else {
            return OperationMatch::NoPath;
        };
        match path.operation(method) {
            Some(operation) => OperationMatch::Operation(operation),
            None => OperationMatch::OtherMethods(path.methods()),
        }
    }
}
