//! Identifiers and units of time shared by all modules.

use std::sync::Arc;

/// A duration or a point in time, in microseconds.
pub type Micros = u64;

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub Arc<str>);

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    };
}

identifier!(
    /// Identifies one request of a client.
    RequestId
);
identifier!(
    /// Identifies an upstream server. The identifier survives restarts of the server's process.
    ServerId
);
identifier!(
    /// Identifies an account that requests are charged to.
    AccountId
);
