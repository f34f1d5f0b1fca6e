//! Errors of an OpenAPI description.

use std::fmt;
use thiserror::Error;

/// All errors of a description, in the order in which they were found.
#[derive(Debug, Error)]
pub struct DescriptionErrors(Vec<DescriptionError>);

impl DescriptionErrors {
    pub(super) fn new(errors: Vec<DescriptionError>) -> Self {
        Self(errors)
    }

    /// Returns an iterator over the errors.
    pub fn iter(&self) -> std::slice::Iter<'_, DescriptionError> {
        self.0.iter()
    }
}

impl<'a> IntoIterator for &'a DescriptionErrors {
    type Item = &'a DescriptionError;
    type IntoIter = std::slice::Iter<'a, DescriptionError>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for DescriptionErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.iter().enumerate() {
            if index > 0 {
                formatter.write_str("; ")?;
            }
            error.fmt(formatter)?;
        }
        Ok(())
    }
}

/// An error of a description. Its location is given as a JSON pointer (RFC 6901).
#[derive(Debug, Error)]
pub enum DescriptionError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// An object has the same key twice.
    #[error("{pointer} stands twice, in lines {first_line} and {second_line}")]
    DuplicateKey {
        /// JSON pointer to the key.
        pointer: String,
        /// Line of the key's first value, counted from 1.
        first_line: usize,
        /// Line of the key's second value.
        second_line: usize,
    },
    /// A part of the description is invalid or not supported.
    #[error("{pointer}: {problem}")]
    Invalid {
        /// JSON pointer to the part.
        pointer: String,
        /// The problem of the part.
        problem: Problem,
    },
}

/// A problem of a part of a description.
#[derive(Debug, Error)]
pub enum Problem {
    /// The description does not have version 3.
    #[error("wanted a version 3 description")]
    NotVersion3,
    /// The value is not an object.
    #[error("wanted an object")]
    NotAnObject,
    /// A path does not begin with `/`, or one of its segments has more than one parameter.
    #[error("wanted a path that begins with / and has one parameter a segment at most")]
    UnsupportedPath,
    /// The URL of the server has variables.
    #[error("variables are not supported")]
    ServerVariables,
    /// Two operations have the same operationId.
    #[error("operationId {id} stands at {other} too")]
    DuplicateOperationId {
        /// The operationId.
        id: String,
        /// JSON pointer to the other operation.
        other: String,
    },
    /// Two operations have the same method, and paths that differ at most in the names of parameters.
    #[error("the same operation stands at {other} too")]
    DuplicateOperation {
        /// JSON pointer to the other operation.
        other: String,
    },
    /// An operation has no positive number of units.
    #[error("x-quota-units is missing or not above 0: the cost of a request")]
    UnitsMissing,
    /// An operation names no class.
    #[error("x-quota-class is missing: the name of one of /x-quota-classes")]
    ClassMissing,
    /// An operation names a class that the description does not define.
    #[error("x-quota-class names {0}, which is not in /x-quota-classes")]
    UnknownClass(String),
    /// An operation has an unknown effect.
    #[error("x-quota-effect is {0}, wanted safe, keyed or unsafe")]
    UnknownEffect(String),
    /// A value of a class is missing or not a positive number.
    #[error("{0} is missing or not above 0")]
    NotPositive(&'static str),
    /// A class has an unknown scope of idempotency keys.
    #[error("group is {0}, wanted all, zone or cell")]
    UnknownKeyScope(String),
    /// The latency objective of a class is longer than its deadline.
    #[error("aim-ms is longer than deadline-ms")]
    ObjectiveAboveDeadline,
    /// The value of `x-quota-never-ran` is not a boolean.
    #[error("x-quota-never-ran is {0}, wanted true or false")]
    NeverRanNotBoolean(String),
    /// `x-quota-never-ran` is set at a response that is not necessarily an error.
    #[error("x-quota-never-ran goes with a status of 400 to 599, 4XX or 5XX")]
    NeverRanStatus,
    /// A chain of references is cyclic.
    #[error("the $ref chain is cyclic")]
    ReferenceCycle,
    /// The target of a reference does not exist in this description.
    #[error("$ref {0} leads nowhere in this description")]
    UnresolvedReference(String),
}
