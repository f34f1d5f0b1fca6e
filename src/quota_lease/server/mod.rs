//! The allocator's process: connections of limiters, the fleet of allocators, and the thread that owns the
//! [`Allocator`](super::allocator::Allocator).

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
use owner::{ownership, Owner};
use rustix::process::{getrlimit, Resource};
use slog::{info, o, warn, Logger};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

pub use settings::ServerSettings;

/// The longest wait for the last answers when the process ends.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that wait to be accepted. All limiters may reconnect within one second, and one that is
/// refused retries after a second or more.
const BACKLOG: i32 = 4_096;
/// Bound on the file descriptors that are not connections of limiters.
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
    /// If the address is not available or a thread can't be started.
    pub fn start(settings: ServerSettings, log: &Logger) -> io::Result<Self> {
        warn_if_few_descriptors(&settings, log);
        let clock = Clock::start();
        let (inputs, received) = unbounded();
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
        let owner_log = log.new(o!("part" => "allocator"));
        let owner = Owner::new(&settings, clock, connections.clone(), owner_log);
        spawn("allocator", move || owner.run(&received))?;
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

    /// Stops in a graceful shutdown: answers the reports received, grants nothing after that, and leaves
    /// the fleet of allocators.
    pub fn stop(self) {
        let (done, stopped) = bounded(1);
        if self.inputs.send(Input::Stop(done)).is_ok() {
            _ = stopped.recv_timeout(STOP_TIMEOUT);
        }
        self.fleet.leave();
    }
}

/// Joins the fleet of allocators, whose leases decide on the ownership of accounts.
fn start_fleet(
    settings: FleetSettings,
    clock: Clock,
    inputs: Sender<Input>,
    log: &Logger,
) -> io::Result<Fleet> {
    let fleet = Fleet::start(
        settings,
        clock,
        // The thread of the owner ends only with the process.
        move |shares| _ = inputs.send(Input::Ownership(ownership(&shares))),
        log.new(o!("part" => "membership")),
    )?;
    fleet.speak(true);
    Ok(fleet)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Logs a warning if the limit of file descriptors is too low for the configured connections.
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
