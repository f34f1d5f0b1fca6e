//! The command line of the program: its arguments and exit codes.

mod check;
mod configuration;
mod malloc_settings;
mod start;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Text at the end of `--help`.
const AFTER_HELP: &str = "\
Examples:
  mossrill openapi.json          start a limiter with an OpenAPI front
  EDGE_CONFIG=edge.json mossrill start a limiter on the platform
  mossrill check openapi.json    check a configuration file without starting anything

Signals: SIGTERM shuts a limiter down gracefully, SIGHUP reloads its configuration file.

Exit codes: 0 graceful shutdown, or no fault found; 1 error, reported on standard error; 2 wrong usage.";

/// Limits the requests of many clients to the quotas of their accounts, as one of a fleet of
/// gateways.
#[derive(Debug, Parser)]
#[command(version, after_help = AFTER_HELP, args_conflicts_with_subcommands = true, disable_help_subcommand = true)]
struct Arguments {
    /// Configuration file of a limiter with an OpenAPI front. Without it, a limiter on the platform
    /// is started with the configuration file that EDGE_CONFIG names.
    file: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks a configuration file of either kind without starting a limiter.
    ///
    /// As at the start of a limiter, environment variables replace absent keys.
    Check {
        /// The configuration file.
        file: PathBuf,
    },
}

/// Runs the program with the arguments of this process. Exits the process directly on wrong usage,
/// `--help` and `--version`.
pub fn main() -> ExitCode {
    // Without arguments the parser is skipped to save start-up time, as a machine may start
    // hundreds of limiters at once.
    if std::env::args_os().len() <= 1 {
        return start::start(None);
    }
    match Arguments::parse() {
        Arguments {
            command: Some(Command::Check { file }),
            ..
        } => check::check(&file),
        Arguments { file, .. } => start::start(file),
    }
}
