//! Starts a limiter and handles its signals: SIGTERM stops the limiter, SIGHUP reloads its
//! configuration.

use super::configuration::{self, ConfigurationError};
use super::malloc_settings;
use mossrill::client::ClientProtocol;
use mossrill::openapi;
use mossrill::platform;
use mossrill::process::{Limiter, Reload};
use mossrill::threads::spawn;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{crit, error, info, o, warn, Drain, Logger};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// Environment variable that contains the path of the configuration file of a limiter on the
/// platform.
const PLATFORM_FILE: &str = "EDGE_CONFIG";
/// Environment variable that contains the path of a folder that is shared by successive processes
/// of a limiter, for upgrades.
const SHARED_FOLDER: &str = "TMPDIR";

/// The reason why a limiter can't start.
#[derive(Debug, Error)]
enum StartError {
    #[error("can't register the signal handlers: {0}")]
    Signals(io::Error),
    #[error("EDGE_CONFIG is not set, expected the path of a configuration file")]
    NoFile,
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    #[error(transparent)]
    Limiter(#[from] io::Error),
}

/// Runs a limiter until it is stopped. If `file` is none, `EDGE_CONFIG` names the configuration
/// file.
pub fn start(file: Option<PathBuf>) -> ExitCode {
    let drain =
        slog_term::FullFormat::new(slog_term::PlainSyncDecorator::new(io::stderr())).build();
    let log = Logger::root(drain.fuse(), o!());
    if let Err(error) = malloc_settings::ensure_applied() {
        warn!(log, "allocator settings missing"; "error" => %error);
    }
    match run(file, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            crit!(log, "cannot start"; "error" => %error);
            ExitCode::FAILURE
        }
    }
}

fn run(file: Option<PathBuf>, log: &Logger) -> Result<(), StartError> {
    // The handlers are registered before anything listens, as a signal may be received at any time.
    let signals = Signals::new([SIGTERM, SIGHUP]).map_err(StartError::Signals)?;
    let shared_folder = std::env::var_os(SHARED_FOLDER).map(PathBuf::from);
    match file {
        Some(path) => {
            let load = move || configuration::openapi(&path, &configuration::read(&path)?);
            let mut config = load()?;
            config.common.upgrade_folder = shared_folder;
            serve(openapi::start(config, log), load, signals, log)
        }
        None => {
            let path = PathBuf::from(std::env::var(PLATFORM_FILE).map_err(|_| StartError::NoFile)?);
            let load = move || configuration::platform(&path, &configuration::read(&path)?);
            let mut config = load()?;
            config.common.upgrade_folder = shared_folder;
            serve(platform::start(config, log), load, signals, log)
        }
    }
}

/// Runs a limiter until SIGTERM is received. On SIGHUP, `load` reads its configuration again.
fn serve<P: ClientProtocol, C: 'static>(
    limiter: io::Result<(Limiter<P>, Reload<C>)>,
    load: impl Fn() -> Result<C, ConfigurationError> + Send + 'static,
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
            // If the file is invalid or incompletely written, the current configuration stays in
            // use.
            match load() {
                Ok(configuration) => reload(configuration),
                Err(error) => {
                    error!(signal_log, "configuration rejected, the previous one stays in use"; "error" => %error);
                }
            }
        }
    })?;
    limiter.run();
    info!(log, "stopped");
    Ok(())
}
