//! Reads configuration files. Errors name the file.

use mossrill::config::{self, ConfigError, OpenApiConfig, PlatformConfig};
use std::fs;
use std::path::Path;
use thiserror::Error;

/// The reason why a configuration file was rejected.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// The file can't be read as UTF-8 text.
    #[error("{path}: {error}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        #[source]
        error: std::io::Error,
    },
    /// The file does not contain a valid configuration.
    #[error("{path}: {error}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// The error in the configuration, which names the key.
        error: ConfigError,
    },
}

/// Reads a file as UTF-8 text.
pub fn read(path: &Path) -> Result<String, ConfigurationError> {
    fs::read_to_string(path).map_err(|error| ConfigurationError::Unreadable {
        path: path.display().to_string(),
        error,
    })
}

/// Parses the configuration of a limiter with an OpenAPI front. Its OpenAPI description is read
/// from the folder of the configuration file.
pub fn openapi(path: &Path, text: &str) -> Result<OpenApiConfig, ConfigurationError> {
    let read_sibling =
        |name: &str| read(&path.with_file_name(name)).map_err(|error| error.to_string());
    config::openapi(text, read_sibling).map_err(|error| invalid(path, error))
}

/// Parses the configuration of a limiter on the platform. Environment variables replace absent
/// keys.
pub fn platform(path: &Path, text: &str) -> Result<PlatformConfig, ConfigurationError> {
    config::platform(text, |name| std::env::var(name).ok()).map_err(|error| invalid(path, error))
}

fn invalid(path: &Path, error: ConfigError) -> ConfigurationError {
    ConfigurationError::Invalid {
        path: path.display().to_string(),
        error,
    }
}
