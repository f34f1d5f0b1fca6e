//! A limiter process: assembly of client listener, core, upstream pool and counter, and their
//! shutdown.

mod assembly;
mod connection_limits;
mod core_queue;
mod listener;
pub mod shutdown;
mod stopper;
mod transport;
mod upgrade;

pub use stopper::Stopper;

use crate::client::ClientProtocol;
use crate::config::EndpointUpdate;
use crate::core::{Command, Core, Input};
use crate::counter::CounterClient;
use crate::decision::UpdateScope;
use crate::handover::UpgradeCoordinator;
use crate::membership::fleet::Fleet;
use assembly::Connections;
use core_queue::CoreQueue;
use crossbeam_channel::Receiver;
use shutdown::REPLY_WRITE_TIME;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::Arc;
use std::time::Duration;
use transport::LimiterTransport;

/// Applies a new configuration while the limiter runs. Open requests and counts are kept.
pub type Reload<C> = Box<dyn FnMut(C) + Send>;

/// A limiter whose components are all started except the core, which [`Limiter::run`] runs.
pub struct Limiter<P: ClientProtocol> {
    core: Core<LimiterTransport<P::Upstream>>,
    inputs: Receiver<Input<LimiterTransport<P::Upstream>>>,
    commands: Receiver<Command>,
    queue: CoreQueue<P::Upstream>,
    /// Coordinator of upgrades; `None` if no other process can take over.
    upgrade: Option<Arc<UpgradeCoordinator>>,
    connections: Connections<P>,
    fleet: Option<Fleet>,
    /// See [`Limiter::limiter_count`].
    limiter_count: Arc<AtomicU32>,
    /// The longest deadline of any request class.
    longest_deadline: Duration,
    /// Address at which clients connect.
    pub client_address: SocketAddr,
    /// Address of the admin interface, if there is one.
    pub admin_address: Option<SocketAddr>,
}

impl<P: ClientProtocol> Limiter<P> {
    /// Returns a function that applies updates of the endpoint list while the limiter runs.
    pub fn endpoint_updates(&self) -> impl Fn(EndpointUpdate) + Send + 'static {
        let queue = self.queue.clone();
        let upstream = self.connections.upstream.clone();
        move |update| {
            let scope = if update.is_snapshot {
                UpdateScope::Snapshot
            } else {
                UpdateScope::Delta
            };
            queue.update_endpoints(&upstream, scope, update);
        }
    }

    /// Returns the number of limiters that share a service which handles one call at a time, such as
    /// service discovery. It is the number believed alive, or the configured number without a
    /// fleet, and is updated while the limiter runs.
    pub fn limiter_count(&self) -> Arc<AtomicU32> {
        self.limiter_count.clone()
    }

    /// Returns the client of the counter, whose address a new configuration may change; `None`
    /// without a counter.
    pub fn counter_client(&self) -> Option<CounterClient> {
        self.connections.counter.clone()
    }

    /// Returns a handle that shuts this limiter down from another thread.
    pub fn stopper(&self) -> Stopper {
        Stopper::new(stopper::GracefulShutdown {
            front: self.connections.front.clone(),
            queue: self.queue.clone(),
            fleet: self.fleet.clone(),
            longest_deadline: self.longest_deadline,
        })
    }

    /// Runs the core on this thread until it is stopped. Then waits until the last replies are
    /// sent, however slowly the clients read them, and sends the final report to a successor, if
    /// there is one.
    pub fn run(self) {
        let report = self.core.run(self.inputs, self.commands);
        self.connections.front.wait_closed(REPLY_WRITE_TIME);
        self.connections.front.wait_replies_sent();
        if let Some(upgrade) = self.upgrade {
            upgrade.send_final_report(report);
        }
    }
}
