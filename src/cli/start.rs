//! Starting a limiter, and the signals that stop it or have it read its configuration again.

use super::configuration::{self, ConfigurationError};
use mossrill::client::ClientProtocol;
use mossrill::openapi;
use mossrill::platform;
use mossrill::process::{Limiter, Reload};
use mossrill::threads::spawn;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{crit, error, info, o, Drain, Logger};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// Variable that names the configuration file of a limiter on the platform.
const PLATFORM_FILE: &str = "EDGE_CONFIG";
/// Variable that names a folder that successive processes of a limiter share.
const COMMON_FOLDER: &str = "TMPDIR";

/// Why no limiter runs.
#[derive(Debug, Error)]
enum StartError {
    #[error("signals: {0}")]
    Signals(io::Error),
    #[error("EDGE_CONFIG is not set, wanted a file")]
    NoFile,
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    #[error(transparent)]
    Limiter(#[from] io::Error),
}

/// Runs a limiter with this file, or with the one that EDGE_CONFIG names, until it is stopped.
pub fn start(file: Option<PathBuf>) -> ExitCode {
    let drain =
        slog_term::FullFormat::new(slog_term::PlainSyncDecorator::new(io::stderr())).build();
    let log = Logger::root(drain.fuse(), o!());
    match run(file, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            crit!(log, "cannot start"; "error" => %fault);
            ExitCode::FAILURE
        }
    }
}

fn run(file: Option<PathBuf>, log: &Logger) -> Result<(), StartError> {
    // Before anything listens: the words to stop or to read the configuration again may come at any time.
    let signals = Signals::new([SIGTERM, SIGHUP]).map_err(StartError::Signals)?;
    let folder = std::env::var_os(COMMON_FOLDER).map(PathBuf::from);
    match file {
        Some(path) => {
            let read_again = move || configuration::openapi(&path, &configuration::read(&path)?);
            let mut config = read_again()?;
            config.common.common_folder = folder;
            serve(openapi::start(config, log), read_again, signals, log)
        }
        None => {
            let path = PathBuf::from(std::env::var(PLATFORM_FILE).map_err(|_| StartError::NoFile)?);
            let read_again = move || configuration::platform(&path, &configuration::read(&path)?);
            let mut config = read_again()?;
            config.common.common_folder = folder;
            serve(platform::start(config, log), read_again, signals, log)
        }
    }
}

fn serve<P: ClientProtocol, C: 'static>(
    limiter: io::Result<(Limiter<P>, Reload<C>)>,
    read_again: impl Fn() -> Result<C, ConfigurationError> + Send + 'static,
    mut signals: Signals,
    log: &Logger,
) -> Result<(), StartError> {
    let (limiter, mut reload) = limiter?;
    let stopper = limiter.stopper();
    let signal_log = log.clone();
    spawn("signals", move || {
        for signal in signals.forever() {
            if signal == SIGTERM {
                info!(signal_log, "shutdown requested");
                return stopper.stop();
            }
            // Guards against a file that is bad or only half written: what is in use stays in use.
            match read_again() {
                Ok(config) => reload(config),
                Err(fault) => {
                    error!(signal_log, "configuration rejected, the previous one stays in use"; "error" => %fault);
                }
            }
        }
    })?;
    limiter.run();
    info!(log, "stopped");
    Ok(())
}
