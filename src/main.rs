//! A limiter on real sockets: wiring, and the words to stop and to read the configuration again.

#![forbid(unsafe_code)]

use mossrill::net::front::ClientProtocol;
use mossrill::net::wiring::{Limiter, Reload};
use mossrill::net::{platform, spawn};
use mossrill::{config, openapi};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{crit, error, info, o, Drain, Logger};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn main() -> ExitCode {
    let drain = slog_term::FullFormat::new(slog_term::PlainSyncDecorator::new(std::io::stderr())).build();
    let log = Logger::root(drain.fuse(), o!());
    match run(&log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            crit!(log, "cannot start"; "fault" => fault);
            ExitCode::FAILURE
        }
    }
}

fn run(log: &Logger) -> Result<(), String> {
    // Before anything listens: the words to stop or to read the configuration again may come at any time.
    let signals = Signals::new([SIGTERM, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    match std::env::args().nth(1) {
        Some(path) => {
            let again = move || {
                let config = config::openapi(&read(&path)?, |name| read(&beside(&path, name)));
                config.map_err(|e| format!("{path}: {e}"))
            };
            let mut config = again()?;
            config.common.common_folder = folder;
            serve(openapi::start(config, log), again, signals, log)
        }
        None => {
            let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set, wanted a file")?;
            let again = move || {
                let config = config::platform(&read(&path)?, |name| std::env::var(name).ok());
                config.map_err(|e| format!("{path}: {e}"))
            };
            let mut config = again()?;
            config.common.common_folder = folder;
            serve(platform::start(config, log), again, signals, log)
        }
    }
}

fn read(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))
}

fn beside(path: &str, name: &str) -> String {
    Path::new(path).with_file_name(name).to_string_lossy().into_owned()
}

fn serve<P: ClientProtocol, C: 'static>(
    limiter: io::Result<(Limiter<P>, Reload<C>)>,
    again: impl Fn() -> Result<C, String> + Send + 'static,
    mut signals: Signals,
    log: &Logger,
) -> Result<(), String> {
    let (limiter, mut reload) = limiter.map_err(|e| e.to_string())?;
    let stopper = limiter.stopper();
    let told = log.clone();
    spawn("signals", move || {
        for signal in signals.forever() {
            if signal == SIGTERM {
                info!(told, "told to stop");
                return stopper.stop();
            }
            // Guards against a file that is bad or only half written: what is in use stays in use.
            match again() {
                Ok(config) => reload(config),
                Err(fault) => error!(told, "configuration not taken, the old one stands"; "fault" => fault),
            }
        }
    })
    .map_err(|e| e.to_string())?;
    limiter.run();
    info!(log, "stopped");
    Ok(())
}
