//! Common parts of all stand-ins: a listener for each zone, a thread for each connection, and
//! traffic counters.

use crate::error::LabError;
use crate::messages::{Command, Reply, Start, ZoneLoad};
use std::io::{self, BufRead, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;

/// Stack size in bytes of a connection's thread.
const STACK_BYTES: usize = 96 * 1024;

/// Traffic counters of a zone's connections, and whether the zone is cut off.
#[derive(Default)]
pub struct ZoneCounters {
    connections: AtomicU64,
    calls: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    whole_lists: AtomicU64,
    silent: AtomicBool,
}

impl ZoneCounters {
    /// Counts a call of `bytes` bytes.
    pub fn call(&self, bytes: usize) {
        self.calls.fetch_add(1, Relaxed);
        self.bytes_in.fetch_add(bytes as u64, Relaxed);
    }

    /// Counts `bytes` bytes of an answer.
    pub fn answer(&self, bytes: usize) {
        self.bytes_out.fetch_add(bytes as u64, Relaxed);
    }

    /// Counts an answer that is the whole list.
    pub fn whole_list(&self) {
        self.whole_lists.fetch_add(1, Relaxed);
    }

    /// Whether the zone is cut off, so that its calls are not answered.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Relaxed)
    }

    /// Cuts the zone off, or reconnects it.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Relaxed);
    }

    /// Returns the current counts.
    pub fn load(&self) -> ZoneLoad {
        ZoneLoad {
            connections: self.connections.load(Relaxed),
            calls: self.calls.load(Relaxed),
            bytes_in: self.bytes_in.load(Relaxed),
            bytes_out: self.bytes_out.load(Relaxed),
            whole_lists: self.whole_lists.load(Relaxed),
        }
    }
}

/// Opens a listener for each zone and serves each connection on its own thread. Returns the ports
/// in the order of the zones.
pub fn listen<S>(zones: &[Arc<ZoneCounters>], serve: S) -> io::Result<Vec<u16>>
where
    S: Fn(TcpStream, &ZoneCounters) + Clone + Send + 'static,
{
    let mut ports = Vec::new();
    for zone in zones {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        ports.push(listener.local_addr()?.port());
        let (zone, serve) = (zone.clone(), serve.clone());
        spawn(move || accept(&listener, &zone, &serve))?;
    }
    Ok(ports)
}

fn accept<S>(listener: &TcpListener, zone: &Arc<ZoneCounters>, serve: &S)
where
    S: Fn(TcpStream, &ZoneCounters) + Clone + Send + 'static,
{
    for stream in listener.incoming().flatten() {
        zone.connections.fetch_add(1, Relaxed);
        _ = stream.set_nodelay(true);
        let (zone, serve) = (zone.clone(), serve.clone());
        _ = spawn(move || serve(stream, &zone));
    }
}

/// Starts a thread with a small stack.
pub fn spawn(work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(work)
        .map(drop)
}

/// Reads the first message to this child process.
pub fn read_start() -> Result<Start, LabError> {
    let mut line = String::new();
    io::stdin().read_line(&mut line)?;
    serde_json::from_str(&line).map_err(LabError::Start)
}

/// Returns the commands of the controller until it closes the pipe.
pub fn commands() -> impl Iterator<Item = Command> {
    let lines = io::stdin().lock().lines().map_while(Result::ok);
    lines.map_while(|line| serde_json::from_str(&line).ok())
}

/// Sends a reply to the controller.
pub fn send_reply(reply: &Reply) -> Result<(), LabError> {
    let line = serde_json::to_string(reply)?;
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()?;
    Ok(())
}
