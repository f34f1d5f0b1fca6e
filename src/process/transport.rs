//! The core's transport: connections to upstream servers, the counter and the allocators of leases.

use crate::client::ReplySlot;
use crate::core::{Answer, AttemptDeadlines, AttemptId, Transport};
use crate::counter::{Addition, CounterClient};
use crate::decision::ServerId;
use crate::handover::message::HandoverMessage;
use crate::metrics::Metrics;
use crate::quota_lease::link::AllocatorLinks;
use crate::quota_lease::message::Report;
use crate::upstream::{UpstreamPool, UpstreamProtocol};
use crossbeam_channel::Sender;
use std::sync::Arc;
use std::time::Duration;

/// Connects the core to the components of a limiter; `S` is the protocol of the upstream servers.
pub(super) struct LimiterTransport<S: UpstreamProtocol> {
    pub(super) upstream: UpstreamPool<S>,
    pub(super) counter: Option<CounterClient>,
    pub(super) allocators: Option<AllocatorLinks>,
    pub(super) metrics: Arc<Metrics>,
    /// Queue of messages to the other process of an upgrade; `None` if no other process can take
    /// over.
    pub(super) peer_messages: Option<Sender<HandoverMessage>>,
    /// Whether a client is connected.
    pub(super) has_clients: Box<dyn Fn() -> bool + Send>,
}

impl<S: UpstreamProtocol> Transport for LimiterTransport<S> {
    type Client = ReplySlot<S::Value>;
    type Call = S::Call;
    type Value = S::Value;

    fn answer(&mut self, client: ReplySlot<S::Value>, answer: Answer<S::Value>) {
        client.fill(answer);
    }

    fn start_attempt(
        &mut self,
        attempt: AttemptId,
        server: &ServerId,
        call: &Arc<S::Call>,
        deadlines: AttemptDeadlines,
        client: &ReplySlot<S::Value>,
    ) {
        self.upstream
            .start(attempt, server, call.clone(), deadlines, client.presence());
    }

    fn cancel(&mut self, attempt: AttemptId) -> bool {
        self.upstream.cancel(attempt)
    }

    fn withdraw(&mut self, attempt: AttemptId) -> bool {
        self.upstream.withdraw(attempt)
    }

    fn check_health(&mut self, server: &ServerId) {
        self.upstream.check_health(server);
    }

    fn block_server(&mut self, server: &ServerId) {
        self.upstream.block_server(server);
    }

    fn notify_peer_process(&mut self, message: HandoverMessage) {
        if let Some(peer_messages) = &self.peer_messages {
            _ = peer_messages.send(message);
        }
    }

    fn report_endpoints(&mut self, known: usize, excluded: usize) {
        self.metrics.set_server_counts(known, excluded);
    }

    fn add_to_counter(&mut self, call: u64, key: u64, amount: f64, ttl: Duration) {
        if let Some(counter) = &self.counter {
            counter.add(Addition {
                call_number: call,
                counter: key,
                amount,
                ttl,
            });
        }
    }

    fn send_lease_report(&mut self, allocator: u32, report: Report) {
        if let Some(allocators) = &self.allocators {
            allocators.send(allocator, report);
        }
    }

    fn has_clients(&self) -> bool {
        (self.has_clients)()
    }
}
