//! `mossrill check`: checks a configuration file without starting a limiter.

use super::configuration::{self, ConfigurationError};
use serde_json::Value;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

/// Key that only configuration files of a limiter on the platform have.
const PLATFORM_KEY: &str = "settings";

/// Checks a file and prints what is wrong with it to standard error.
pub fn check(path: &Path) -> ExitCode {
    // A closed output is ignored: the exit code has the result too.
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
