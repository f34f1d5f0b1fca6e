//! The command line of the program: its arguments and exit codes.

mod check;
mod configuration;
mod start;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Shown at the end of `--help`.
const EXAMPLES: &str = "\
Examples:
  mossrill openapi.json          start a limiter with an OpenAPI front
  EDGE_CONFIG=edge.json mossrill start a limiter on the platform
  mossrill check openapi.json    check a configuration file without starting anything

Signals: SIGTERM ends a limiter in order, SIGHUP has it read its configuration file again.

Exit codes: 0 ended in order, or no fault found; 1 a fault, told on standard error; 2 wrong usage.";

/// Limits requests of many clients to their accounts' quotas, as one of a fleet of gateways.
#[derive(Debug, Parser)]
#[command(version, after_help = EXAMPLES, args_conflicts_with_subcommands = true, disable_help_subcommand = true)]
struct Arguments {
    /// Configuration file of a limiter with an OpenAPI front; without it, EDGE_CONFIG names the file of a limiter on the
    /// platform.
    file: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Checks a configuration file of either kind without starting a limiter.
    ///
    /// Variables of the environment stand in for absent keys as they would at the start.
    Check {
        /// The configuration file.
        file: PathBuf,
    },
}

/// Runs the program with the arguments of this process. Wrong usage, `--help` and `--version` end the process here.
pub fn main() -> ExitCode {
    // Without arguments the parser is not run: a machine may start hundreds of limiters at once.
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
