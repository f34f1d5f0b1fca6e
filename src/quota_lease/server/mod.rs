//! The allocator's process: the connections from limiters, the membership in the fleet of
//! allocators, and the allocator thread, which owns the [`Allocator`](super::allocator::Allocator).

mod connections;
mod input;
mod owner;
mod settings;

use crate::clock::Clock;
use crate::log_throttle::LogThrottle;
use crate::membership::fleet::{Fleet, FleetSettings};
use crate::threads::spawn;
use connections::{ConnectionCounters, Connections};
use crossbeam_channel::{bounded, unbounded, Sender};
use input::Input;
use owner::{ownership_from_shares, AllocatorThread};
use rustix::process::{getrlimit, Resource};
use slog::{info, o, warn, Logger};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

pub use settings::ServerSettings;

/// Maximum time that a shutdown waits for the last answers.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of connections that wait to be accepted. All limiters may reconnect within the same
/// second, and a limiter whose connection is refused retries only after a second or more.
const BACKLOG: i32 = 4_096;
/// Upper bound on the number of file descriptors that are not connections from limiters.
const OTHER_DESCRIPTORS: usize = 32;

/// An allocator that serves limiters.
pub struct Server {
    /// Local address that limiters connect to.
    pub address: SocketAddr,
    inputs: Sender<Input>,
    fleet: Fleet,
}

impl Server {
    /// Starts all threads.
    ///
    /// # Errors
    ///
    /// If listening on the address fails or a thread cannot be started.
    pub fn start(settings: ServerSettings, log: &Logger) -> io::Result<Self> {
        warn_if_few_descriptors(&settings, log);
        let clock = Clock::start();
        let (inputs, input_queue) = unbounded();
        let listener = listen(settings.listen)?;
        let address = listener.local_addr()?;
        let connections = Arc::new(Connections {
            inputs: inputs.clone(),
            timeouts: settings.timeouts,
            limit: settings.connections,
            counters: ConnectionCounters::default(),
            error_throttle: LogThrottle::default(),
            log: log.new(o!("part" => "connections")),
        });
        let allocator_log = log.new(o!("part" => "allocator"));
        let allocator_thread =
            AllocatorThread::new(&settings, clock, connections.clone(), allocator_log);
        spawn("allocator", move || allocator_thread.run(&input_queue))?;
        spawn("accept", move || connections.accept(&listener))?;
        let fleet = start_fleet(settings.fleet, clock, inputs.clone(), log)?;
        info!(log, "listening"; "address" => %address, "allocator" => settings.number,
            "of" => settings.allocators);
        Ok(Self {
            address,
            inputs,
            fleet,
        })
    }

    /// Shuts down gracefully: answers the reports that have been received, grants nothing after
    /// that, and leaves the fleet of allocators.
    pub fn stop(self) {
        let (done, stopped) = bounded(1);
        if self.inputs.send(Input::Stop(done)).is_ok() {
            _ = stopped.recv_timeout(STOP_TIMEOUT);
        }
        self.fleet.leave();
    }
}

/// Joins the fleet of allocators, whose leases determine which allocator owns an account.
fn start_fleet(
    settings: FleetSettings,
    clock: Clock,
    inputs: Sender<Input>,
    log: &Logger,
) -> io::Result<Fleet> {
    let fleet = Fleet::start(
        settings,
        clock,
        // Sending fails only during shutdown, after the allocator thread has ended.
        move |shares| _ = inputs.send(Input::Ownership(ownership_from_shares(&shares))),
        log.new(o!("part" => "membership")),
    )?;
    fleet.set_active(true);
    Ok(fleet)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Logs a warning if the limit on open file descriptors is too low for the configured number of
/// connections.
fn warn_if_few_descriptors(settings: &ServerSettings, log: &Logger) {
    let wanted = (settings.connections + OTHER_DESCRIPTORS) as u64;
    let Some(allowed) = getrlimit(Resource::Nofile).current else {
        return;
    };
    if allowed < wanted {
        warn!(log, "fewer file descriptors than connections"; "allowed" => allowed,
            "wanted" => wanted);
    }
}
