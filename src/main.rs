//! A limiter on real sockets: wiring, and the word to stop.

#![forbid(unsafe_code)]

use mossrill::net::front::Manner;
use mossrill::net::wiring::Limiter;
use mossrill::net::{platform, spawn};
use mossrill::{config, openapi};
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use slog::{crit, info, o, Drain, Logger};
use std::io;
use std::path::Path;
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
    // Before anything listens: the word to stop may come at any time.
    let signals = Signals::new([SIGTERM]).map_err(|e| format!("signals: {e}"))?;
    match std::env::args().nth(1) {
        Some(path) => {
            let config = config::openapi(&read(&path)?, |name| read(&beside(&path, name)));
            let config = config.map_err(|e| format!("{path}: {e}"))?;
            serve(openapi::start(config, log), signals, log)
        }
        None => {
            let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set, wanted a file")?;
            let config = config::platform(&read(&path)?, |name| std::env::var(name).ok());
            let config = config.map_err(|e| format!("{path}: {e}"))?;
            serve(platform::start(config, log), signals, log)
        }
    }
}

fn read(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))
}

fn beside(path: &str, name: &str) -> String {
    Path::new(path).with_file_name(name).to_string_lossy().into_owned()
}

fn serve<M: Manner>(
    limiter: io::Result<Limiter<M>>,
    mut signals: Signals,
    log: &Logger,
) -> Result<(), String> {
    let limiter = limiter.map_err(|e| e.to_string())?;
    let stopper = limiter.stopper();
    let told = log.clone();
    spawn("signals", move || {
        if signals.forever().next().is_some() {
            info!(told, "told to stop");
            stopper.stop();
        }
    })
    .map_err(|e| e.to_string())?;
    limiter.run();
    info!(log, "stopped");
    Ok(())
}
