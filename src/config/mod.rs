//! Reads and validates configuration files and applies defaults. Each section of a file has its own
//! module.
//!
//! All errors are of type [`ConfigError`] and name the key.

mod accounts;
mod allocator;
mod common;
mod decision;
mod endpoints;
mod error;
mod membership;
mod memory;
mod openapi;
mod platform;
mod quota_lease;
mod ranges;
mod reader;
mod store;

pub use accounts::AccountConfig;
pub use allocator::{allocator, allocator_from_file};
pub use common::{CommonConfig, ConnectionSettings};
pub use endpoints::{read_endpoint_update, EndpointUpdate};
pub use error::ConfigError;
pub use openapi::{openapi, OpenApiConfig};
pub use platform::{platform, PlatformConfig};
pub use quota_lease::QuotaLeaseConfig;
pub use store::StoreConfig;
