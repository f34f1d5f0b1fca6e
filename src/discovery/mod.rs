//! Service discovery: watches the endpoint list and reports every change. A broken watch is
//! replaced by a new one without losing changes.

pub mod poll_wait;
mod timed_reader;
mod watcher;

use crate::config::EndpointUpdate;
use crate::discovery::watcher::{AddressChanges, Watcher};
use crate::threads::{lock, spawn};
use crossbeam_channel::{unbounded, Sender};
use slog::Logger;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A handle to a watch of the endpoint list, which can change the address of service discovery.
#[derive(Clone)]
pub struct Watch {
    address_changes: Sender<SocketAddr>,
    /// The connection in use. Closing it wakes the thread that reads from it.
    connection: Arc<Mutex<Option<TcpStream>>>,
}

impl Watch {
    /// Moves the watch to another address. The generations there may be unrelated to those of the
    /// old address, so the full list is read first.
    pub fn move_to(&self, address: SocketAddr) {
        _ = self.address_changes.send(address);
        if let Some(stream) = &*lock(&self.connection) {
            _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Settings that determine the waits between polls of the endpoint list.
pub struct PollSettings {
    /// Number of limiters that poll the list, including this one. It may change while the watch
    /// runs.
    pub limiter_count: Arc<AtomicU32>,
    /// Time for which requests may still be sent to a draining upstream server.
    pub drain_grace: Duration,
    /// Seed of the random part of the waits.
    pub seed: u64,
}

/// Starts a thread that watches the endpoint list at `address` for changes after `generation`.
/// Every update is passed to `on_update`, in order.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn start_watch(
    address: SocketAddr,
    generation: u64,
    settings: PollSettings,
    on_update: impl Fn(EndpointUpdate) + Send + 'static,
    log: Logger,
) -> io::Result<Watch> {
    let (sender, receiver) = unbounded();
    let watch = Watch {
        address_changes: sender,
        connection: Arc::default(),
    };
    let mut watcher = Watcher::new(
        address,
        generation,
        settings,
        AddressChanges {
            watch: watch.clone(),
            receiver,
        },
        on_update,
        log,
    );
    spawn("discovery", move || watcher.run())?;
    Ok(watch)
}

/// Starts a watch like [`start_watch`], with the settings as a tuple.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
// Some callers outside this crate still pass a tuple; new code uses `start_watch`.
pub fn watch(
    address: SocketAddr,
    generation: u64,
    (limiter_count, drain_grace, seed): (Arc<AtomicU32>, Duration, u64),
    on_update: impl Fn(EndpointUpdate) + Send + 'static,
    log: Logger,
) -> io::Result<Watch> {
    let settings = PollSettings {
        limiter_count,
        drain_grace,
        seed,
    };
    start_watch(address, generation, settings, on_update, log)
}
