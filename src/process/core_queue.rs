//! The queues of the core, and the conversion of connection events into its inputs.

use super::transport::LimiterTransport;
use crate::client::{ClientEvent, ClientEventSink, ClientProtocol, Undelivered};
use crate::config::EndpointUpdate;
use crate::core::{Command, Input};
use crate::counter::CounterReplyHandler;
use crate::decision::{QuotaShares, UpdateScope};
use crate::quota_lease::link::AllocatorEventHandler;
use crate::upstream::{UpstreamEvent, UpstreamEventSink, UpstreamPool, UpstreamProtocol};
use crossbeam_channel::Sender;
use std::sync::Arc;
use std::time::Instant;

/// Sends inputs and commands to the core of a limiter; `S` is the protocol of the upstream servers.
/// Messages to a core that has ended are dropped.
pub(super) struct CoreQueue<S: UpstreamProtocol> {
    inputs: Sender<Input<LimiterTransport<S>>>,
    commands: Sender<Command>,
}

impl<S: UpstreamProtocol> Clone for CoreQueue<S> {
    fn clone(&self) -> Self {
        Self {
            inputs: self.inputs.clone(),
            commands: self.commands.clone(),
        }
    }
}

impl<S: UpstreamProtocol> CoreQueue<S> {
    /// Creates a queue that sends inputs and commands to these channels.
    pub(super) fn new(
        inputs: Sender<Input<LimiterTransport<S>>>,
        commands: Sender<Command>,
    ) -> Self {
        Self { inputs, commands }
    }

    /// Sends a command, which the core handles before any queued input.
    pub(super) fn send_command(&self, command: Command) {
        _ = self.commands.send(command);
        _ = self.inputs.send(Input::CommandQueued);
    }

    /// Makes the core answer all open requests and end by this time at the latest.
    pub(super) fn shut_down(&self, deadline: Instant) {
        _ = self.inputs.send(Input::Shutdown(deadline));
    }

    /// Sends the current quota shares.
    pub(super) fn update_quota_shares(&self, shares: QuotaShares) {
        _ = self.inputs.send(Input::QuotaShares(shares));
    }

    /// Applies an update of the endpoint list. The upstream pool is updated first, as the core may
    /// start an attempt at a new server as soon as it has the update.
    pub(super) fn update_endpoints(
        &self,
        upstream: &UpstreamPool<S>,
        scope: UpdateScope,
        update: EndpointUpdate,
    ) {
        upstream.update(&update);
        let endpoints = update
            .endpoints
            .into_iter()
            .map(|(endpoint, _)| endpoint)
            .collect();
        _ = self.inputs.send(Input::EndpointUpdate(scope, endpoints));
    }

    /// Returns a sink that forwards the events of upstream connections to the core.
    pub(super) fn upstream_events(&self) -> UpstreamEventSink<S::Value> {
        let inputs = self.inputs.clone();
        Arc::new(move |event| _ = inputs.send(upstream_input(event)))
    }

    /// Returns a sink that forwards the events of client connections to the core.
    pub(super) fn client_events<P: ClientProtocol<Upstream = S>>(&self) -> ClientEventSink<P> {
        let inputs = self.inputs.clone();
        Box::new(move |event| {
            let input = match event {
                ClientEvent::Request(request) => Input::Request(request),
                ClientEvent::Disconnected(numbers) => Input::ClientDisconnected(numbers),
            };
            inputs
                .send(input)
                .map_err(|error| Undelivered::new(error.into_inner()))
        })
    }

    /// Returns a function that forwards the replies of the counter to the core.
    pub(super) fn counter_replies(&self) -> CounterReplyHandler {
        let inputs = self.inputs.clone();
        Arc::new(move |call, outcome, total| {
            _ = inputs.send(Input::CounterReply {
                call,
                outcome,
                total,
            });
        })
    }

    /// Returns a handler that forwards the events of connections to allocators to the core.
    pub(super) fn allocator_events(&self) -> AllocatorEventHandler {
        let inputs = self.inputs.clone();
        Arc::new(move |event| _ = inputs.send(Input::Allocator(event)))
    }
}

fn upstream_input<S: UpstreamProtocol>(
    event: UpstreamEvent<S::Value>,
) -> Input<LimiterTransport<S>> {
    match event {
        UpstreamEvent::ResponseStarted { attempt, value } => {
            Input::ResponseStarted { attempt, value }
        }
        UpstreamEvent::AttemptEnded {
            attempt,
            outcome,
            load,
            value,
        } => Input::AttemptEnded {
            attempt,
            outcome,
            load,
            value,
        },
        UpstreamEvent::HealthChecked {
            server,
            outcome,
            latency,
            load,
        } => Input::HealthChecked {
            server,
            outcome,
            latency,
            load,
        },
    }
}
