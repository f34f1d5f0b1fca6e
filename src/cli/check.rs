//! `mossrill check`: checks a configuration file without starting a limiter.

use super::configuration::{self, ConfigurationError};
use serde_json::Value;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

/// Key that exists only in configuration files of limiters on the platform.
const PLATFORM_KEY: &str = "settings";

/// Checks a configuration file. Prints the result to standard output, or the error to standard
/// error.
pub fn check(path: &Path) -> ExitCode {
    // Write errors are ignored, for example if the output is closed: the exit code also indicates
    // the result.
    match validate(path) {
        Ok(()) => {
            _ = writeln!(io::stdout(), "{}: no fault found", path.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            _ = writeln!(io::stderr(), "{error}");
            ExitCode::FAILURE
        }
    }
}

fn validate(path: &Path) -> Result<(), ConfigurationError> {
    let text = configuration::read(path)?;
    let is_platform =
        serde_json::from_str(&text).is_ok_and(|value: Value| value.get(PLATFORM_KEY).is_some());
    if is_platform {
        configuration::platform(path, &text)?;
    } else {
        configuration::openapi(path, &text)?;
    }
    Ok(())
}
