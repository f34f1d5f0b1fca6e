//! Graceful shutdown of a limiter.

use super::core_queue::CoreQueue;
use super::shutdown::{drain_time, ACCEPT_TIME, PARTIAL_COMMAND_POLL, PARTIAL_COMMAND_WAIT};
use crate::client::{ClientListener, ClientProtocol};
use crate::membership::fleet::Fleet;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Shuts a limiter down from another thread.
pub struct Stopper(Box<dyn FnOnce() + Send>);

impl Stopper {
    pub(super) fn new<P: ClientProtocol>(shutdown: GracefulShutdown<P>) -> Self {
        Self(Box::new(move || shutdown.run()))
    }

    /// Shuts the limiter down gracefully: it accepts connections for [`ACCEPT_TIME`], then closes
    /// idle connections and answers the open requests. Blocks until the core is notified, which may
    /// take several seconds.
    pub fn stop(self) {
        let Self(stop) = self;
        stop();
    }
}

/// The components of a limiter that a shutdown involves.
pub(super) struct GracefulShutdown<P: ClientProtocol> {
    pub(super) front: Arc<ClientListener<P>>,
    pub(super) queue: CoreQueue<P::Upstream>,
    pub(super) fleet: Option<Fleet>,
    pub(super) longest_deadline: Duration,
}

impl<P: ClientProtocol> GracefulShutdown<P> {
    fn run(self) {
        // Announces the shutdown, so that the other limiters do not have to detect it by timeouts.
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

    /// Waits for clients that have sent part of a command. Writing a command may take a client
    /// seconds, and ending before that would leave the command without an answer.
    fn wait_for_partial_commands(&self, started: Instant, max_wait: Duration) {
        while self.front.may_receive_command_soon() && started.elapsed() < max_wait {
            thread::sleep(PARTIAL_COMMAND_POLL);
        }
    }
}
