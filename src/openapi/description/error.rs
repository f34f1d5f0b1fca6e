//! The errors of an OpenAPI description.

use std::fmt;
use thiserror::Error;

/// All errors that a description has, in the order in which they were found.
#[derive(Debug, Error)]
pub struct DescriptionErrors(Vec<DescriptionError>);

impl DescriptionErrors {
    pub(super) fn new(errors: Vec<DescriptionError>) -> Self {
        Self(errors)
    }

    /// The errors one after another.
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

/// An error of a description. Places are JSON pointers (RFC 6901).
#[derive(Debug, Error)]
pub enum DescriptionError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// An object has a key twice.
    #[error("{place} stands twice, in lines {first_line} and {second_line}")]
    DuplicateKey {
        /// The key.
        place: String,
        /// Line of its first value, from 1.
        first_line: usize,
        /// Line of its second value.
        second_line: usize,
    },
    /// A part of the description is invalid or not supported.
    #[error("{place}: {problem}")]
    Invalid {
        /// The part.
        place: String,
        /// What is wrong with it.
        problem: Problem,
    },
}

/// What is wrong with a part of a description.
#[derive(Debug, Error)]
pub enum Problem {
    /// The description has another version.
    #[error("wanted a version 3 description")]
    NotVersion3,
    /// The value is not an object.
    #[error("wanted an object")]
    NotAnObject,
    /// A path is relative, or a segment of it has more than one parameter.
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
        /// Place of the other operation.
        other: String,
    },
    /// Two operations have the same method and the same path but for names of parameters.
    #[error("the same operation stands at {other} too")]
    DuplicateOperation {
        /// Place of the other operation.
        other: String,
    },
    /// An operation has no cost.
    #[error("x-quota-units is missing or not above 0: the cost of a request")]
    UnitsMissing,
    /// An operation has no class.
    #[error("x-quota-class is missing: the name of one of /x-quota-classes")]
    ClassMissing,
    /// An operation has a class that is not described.
    #[error("x-quota-class names {0}, which is not in /x-quota-classes")]
    UnknownClass(String),
    /// The effect of an operation is not known.
    #[error("x-quota-effect is {0}, wanted safe, keyed or unsafe")]
    UnknownEffect(String),
    /// A number of a class is missing or not positive.
    #[error("{0} is missing or not above 0")]
    NotPositive(&'static str),
    /// The scope of idempotency keys is not known.
    #[error("group is {0}, wanted all, zone or cell")]
    UnknownKeyScope(String),
    /// The latency objective of a class is longer than its deadline.
    #[error("aim-ms is longer than deadline-ms")]
    ObjectiveAboveDeadline,
    /// The mark for responses to requests that never ran is not a boolean.
    #[error("x-quota-never-ran is {0}, wanted true or false")]
    NeverRanNotBoolean(String),
    /// The mark is at a response that need not be an error.
    #[error("x-quota-never-ran goes with a status of 400 to 599, 4XX or 5XX")]
    NeverRanStatus,
    /// References lead back to themselves.
    #[error("$ref goes round in a circle")]
    ReferenceCycle,
    /// A reference leads to nothing in this description.
    #[error("$ref {0} leads nowhere in this description")]
    UnresolvedReference(String),
}
