//! An allocator of quota leases: grants units of the accounts that it owns to the limiters.

#![forbid(unsafe_code)]

use clap::Parser;
use mossrill::config;
use mossrill::quota_lease::server::Server;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{crit, info, o, Drain, Logger};
use std::path::PathBuf;
use std::process::ExitCode;

/// Grants leases of quota units to limiters.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Configuration (JSON); `docs/leases-operations.md` has the keys.
    config: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let drain =
        slog_term::FullFormat::new(slog_term::PlainSyncDecorator::new(std::io::stderr())).build();
    let log = Logger::root(drain.fuse(), o!());
    match run(&arguments, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            crit!(log, "cannot start"; "error" => fault);
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments, log: &Logger) -> Result<(), String> {
    // Before anything listens: the signal to stop may come at any time.
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).map_err(|fault| format!("signals: {fault}"))?;
    let settings =
        config::allocator_from_file(&arguments.config).map_err(|error| error.to_string())?;
    let server = Server::start(settings, log).map_err(|fault| fault.to_string())?;
    signals.forever().next();
    info!(log, "shutdown requested");
    server.stop();
    info!(log, "stopped");
    Ok(())
}
