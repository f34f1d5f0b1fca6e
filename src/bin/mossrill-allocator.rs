//! Command-line entry point of the allocator, which leases units of the accounts that it owns to
//! limiters.

#![forbid(unsafe_code)]

use clap::Parser;
use mossrill::config::{self, ConfigError};
use mossrill::quota_lease::server::Server;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{crit, info, o, Drain, Logger};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// Grants leases of quota units to limiters.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Configuration (JSON); `docs/leases-operations.md` has the keys.
    config: PathBuf,
}

/// Reasons why the allocator cannot start.
#[derive(Debug, Error)]
enum StartError {
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Server(io::Error),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let stderr = slog_term::PlainSyncDecorator::new(io::stderr());
    let drain = slog_term::FullFormat::new(stderr).build();
    let log = Logger::root(drain.fuse(), o!());
    match run(&arguments, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            crit!(log, "cannot start"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

/// Serves limiters until SIGTERM or SIGINT is received.
fn run(arguments: &Arguments, log: &Logger) -> Result<(), StartError> {
    // The handlers are installed before the server listens, so that a signal during start-up is not
    // lost.
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(StartError::Signals)?;
    let settings = config::allocator_from_file(&arguments.config)?;
    let server = Server::start(settings, log).map_err(StartError::Server)?;
    signals.forever().next();
    info!(log, "shutdown requested");
    server.stop();
    info!(log, "stopped");
    Ok(())
}
