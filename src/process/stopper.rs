//! Graceful shutdown of a limiter.

use super::core_queue::CoreQueue;
use super::shutdown::{drain_time, ACCEPT_TIME, PARTIAL_COMMAND_POLL, PARTIAL_COMMAND_WAIT};
use crate::client::{ClientListener, ClientProtocol};
use crate::membership::fleet::Fleet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Ends a limiter from another thread.
pub struct Stopper(Box<dyn FnOnce() + Send>);

impl Stopper {
    pub(super) fn new<P: ClientProtocol>(shutdown: GracefulShutdown<P>) -> Self {
        Self(Box::new(move || shutdown.run()))
    }

    /// Shuts the limiter down gracefully: accepts connections for a while longer, then closes those that are
    /// idle and has open requests answered. Blocks until the core is notified, up to some seconds.
    pub fn stop(self) {
        let Self(stop) = self;
        stop();
    }
}

/// What a shutdown needs of the limiter.
pub(super) struct GracefulShutdown<P: ClientProtocol> {
    pub(super) front: Arc<ClientListener<P>>,
    pub(super) queue: CoreQueue<P::Upstream>,
    pub(super) fleet: Option<Fleet>,
    pub(super) longest_deadline: Duration,
}

impl<P: ClientProtocol> GracefulShutdown<P> {
    fn run(self) {
        // The other limiters need not detect that this one is gone.
        if let Some(fleet) = &self.fleet {
            fleet.leave();
        }
        thread::sleep(ACCEPT_TIME);
        self.front.close_idle();
        let started = Instant::now();
        let drain_time = drain_time(self.longest_deadline);
        self.wait_for_partial_commands(started, PARTIAL_COMMAND_WAIT.min(drain_time));
        self.queue.shut_down(started + drain_time);
    }

    /// Guards against an end while a client takes seconds to write its command.
    fn wait_for_partial_commands(&self, started: Instant, most: Duration) {
        while self.front.has_partial_command() && started.elapsed() < most {
            thread::sleep(PARTIAL_COMMAND_POLL);
        }
    }
}
