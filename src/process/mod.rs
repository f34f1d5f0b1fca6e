//! One limiter: assembly of client listener, core, upstream pool and counter, and their shutdown.

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

/// Applies a new configuration while the limiter runs. Open requests and counts stay.
pub type Reload<C> = Box<dyn FnMut(C) + Send>;

/// A limiter that has been started but for its core, which [`Limiter::run`] runs.
pub struct Limiter<P: ClientProtocol> {
    core: Core<LimiterTransport<P::Upstream>>,
    inputs: Receiver<Input<LimiterTransport<P::Upstream>>>,
    commands: Receiver<Command>,
    queue: CoreQueue<P::Upstream>,
    /// None where no other process can take over.
    upgrade: Option<Arc<UpgradeCoordinator>>,
    connections: Connections<P>,
    fleet: Option<Fleet>,
    limiter_count: Arc<AtomicU32>,
    /// The longest deadline that a request may have.
    longest_deadline: Duration,
    /// Address on which clients connect.
    pub client_address: SocketAddr,
    /// Address of the admin interface, if there is one.
    pub admin_address: Option<SocketAddr>,
}

impl<P: ClientProtocol> Limiter<P> {
    /// Applies updates of the endpoint list while the limiter runs.
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

    /// Number of limiters that share whatever serves one caller at a time: those believed alive, or the
    /// configured number without a fleet.
    pub fn limiter_count(&self) -> Arc<AtomicU32> {
        self.limiter_count.clone()
    }

    /// The client of the counter, whose address a new configuration may change; none without a counter.
    pub fn counter_client(&self) -> Option<CounterClient> {
        self.connections.counter.clone()
    }

    /// Ends this limiter from another thread.
    pub fn stopper(&self) -> Stopper {
        Stopper::new(stopper::GracefulShutdown {
            front: self.connections.front.clone(),
            queue: self.queue.clone(),
            fleet: self.fleet.clone(),
            longest_deadline: self.longest_deadline,
        })
    }

    /// Runs the core on this thread until it is stopped; then waits until the last replies are written.
    pub fn run(self) {
        let report = self.core.run(self.inputs, self.commands);
        self.connections.front.wait_closed(REPLY_WRITE_TIME);
        if let Some(upgrade) = self.upgrade {
            upgrade.send_final_report(report);
        }
    }
}
