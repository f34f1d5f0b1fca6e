//! Reading of configuration files, with the faults that a user is told.

use mossrill::config::{self, OpenApi, Platform};
use std::fs;
use std::path::Path;
use thiserror::Error;

/// Why there is no configuration.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// A file can't be read as text.
    #[error("{path}: {fault}")]
    Unreadable {
        /// The file.
        path: String,
        /// The reason.
        fault: std::io::Error,
    },
    /// The file has been read, and holds no good configuration.
    #[error("{path}: {fault}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong, with the key.
        fault: config::Fault,
    },
}

/// Reads a file as UTF-8.
pub fn read(path: &Path) -> Result<String, ConfigurationError> {
    fs::read_to_string(path).map_err(|fault| ConfigurationError::Unreadable {
        path: path.display().to_string(),
        fault,
    })
}

/// The configuration of a limiter with an OpenAPI front; its description stands beside the file.
pub fn openapi(path: &Path, text: &str) -> Result<OpenApi, ConfigurationError> {
    let beside = |name: &str| read(&path.with_file_name(name)).map_err(|fault| fault.to_string());
    config::openapi(text, beside).map_err(|fault| invalid(path, fault))
}

/// The configuration of a limiter on the platform; variables of the environment stand in for absent keys.
pub fn platform(path: &Path, text: &str) -> Result<Platform, ConfigurationError> {
    config::platform(text, |name| std::env::var(name).ok()).map_err(|fault| invalid(path, fault))
}

fn invalid(path: &Path, fault: config::Fault) -> ConfigurationError {
    ConfigurationError::Invalid {
        path: path.display().to_string(),
        fault,
    }
}
