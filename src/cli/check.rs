//! `mossrill check`: whether a limiter could start with a configuration file.

use super::configuration::{self, ConfigurationError};
use serde_json::Value;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

/// Key that only files of a limiter on the platform have.
const PLATFORM_KEY: &str = "settings";

/// Checks a file and says what is wrong with it, on standard error.
pub fn check(path: &Path) -> ExitCode {
    // Nobody may read what is said: the exit code says it too.
    match faults(path) {
        Ok(()) => {
            _ = writeln!(io::stdout(), "{}: no fault found", path.display());
            ExitCode::SUCCESS
        }
        Err(fault) => {
            _ = writeln!(io::stderr(), "{fault}");
            ExitCode::FAILURE
        }
    }
}

fn faults(path: &Path) -> Result<(), ConfigurationError> {
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
