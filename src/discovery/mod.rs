//! Service discovery: watches the endpoint list and reports every change, over broken watches too.

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

/// A handle to a watch of the endpoint list, by which its address is changed.
#[derive(Clone)]
pub struct Watch {
    address_changes: Sender<SocketAddr>,
    /// The connection in use; closed to wake the thread that reads it.
    connection: Arc<Mutex<Option<TcpStream>>>,
}

impl Watch {
    /// Watches the list at another address from now on. Its generations may be unrelated to those of the old address,
    /// so the full list is read first.
    pub fn move_to(&self, at: SocketAddr) {
        _ = self.address_changes.send(at);
        if let Some(stream) = &*lock(&self.connection) {
            _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// What the waits between polls of the endpoint list depend on.
pub struct PollSettings {
    /// The number of limiters that poll the list, this one included; may change while the watch runs.
    pub limiter_count: Arc<AtomicU32>,
    /// The time for which requests may still be sent to a draining upstream server.
    pub drain_grace: Duration,
    /// The seed of the random part of waits.
    pub seed: u64,
}

/// Starts a thread that watches the list at `address`, beginning after `generation`. Every update is passed to
/// `on_update`, in order.
///
/// # Errors
///
/// If the thread can't be started.
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

/// Starts a watch; see [`start_watch`].
///
/// # Errors
///
/// If the thread can't be started.
// Kept until the lead joins the folders.
pub fn watch(
    from: SocketAddr,
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
    start_watch(from, generation, settings, on_update, log)
}
