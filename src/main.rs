//! A limiter on real sockets: wiring, and the word to stop.

#![forbid(unsafe_code)]

use mossrill::config;
use mossrill::net::platform::Platform;
use mossrill::net::spawn;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use slog::{crit, info, o, Drain, Logger};
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
    let path = std::env::var("EDGE_CONFIG").map_err(|_| "EDGE_CONFIG is not set, wanted a file")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let config =
        config::platform(&text, |name| std::env::var(name).ok()).map_err(|e| format!("{path}: {e}"))?;
    // Before anything listens: the word to stop may come at any time.
    let mut signals = Signals::new([SIGTERM]).map_err(|e| format!("signals: {e}"))?;
    let limiter = Platform::start(config, log).map_err(|e| e.to_string())?;
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
