//! Updates of the endpoint list, and upstream servers that operators have disabled.

use super::messages::Transport;
use super::{Clock, Core};
use crate::decision::{Endpoint, Event, Micros, Readiness, ServerId, UpdateScope};
use crate::handover::message::{Ban, HandoverMessage};

impl<T: Transport> Core<T> {
    /// Applies an update of the endpoint list.
    pub(super) fn update_endpoints(
        &mut self,
        now: Micros,
        scope: UpdateScope,
        mut endpoints: Vec<Endpoint>,
    ) {
        self.start_times.observe(now, Clock::wall_clock());
        self.start_times.convert(now, scope, &mut endpoints);
        let has_ready = endpoints
            .iter()
            .any(|endpoint| endpoint.readiness == Readiness::Ready);
        if scope == UpdateScope::Snapshot {
            for server in self.bans.missing(&endpoints) {
                self.transport.block_server(&server);
            }
        }
        let endpoints = self.bans.apply_update(scope, endpoints);
        self.notify_endpoints(now, scope, endpoints);
        if has_ready {
            _ = self.endpoints_known.try_send(());
        }
    }

    /// Notifies the engine of endpoints as it should use them. A server that is not ready is
    /// blocked, so that attempts that still wait for a connection to it are not sent.
    pub(super) fn notify_endpoints(
        &mut self,
        now: Micros,
        scope: UpdateScope,
        endpoints: Vec<Endpoint>,
    ) {
        for endpoint in &endpoints {
            if endpoint.readiness != Readiness::Ready {
                self.transport.block_server(&endpoint.id);
            }
        }
        self.notify_engine(now, Event::EndpointUpdate { scope, endpoints });
        let (known, excluded) = self.bans.counts();
        self.transport.report_endpoints(known, excluded);
    }

    /// Disables or enables a server, both here and in the other process of an upgrade. Returns
    /// false if no such server was ever listed.
    pub(super) fn set_disabled(
        &mut self,
        now: Micros,
        server: &ServerId,
        is_disabled: bool,
    ) -> bool {
        let changed = if is_disabled {
            self.bans.disable(server)
        } else {
            self.bans.enable(server, now)
        };
        let is_known = changed.is_some();
        if is_known {
            self.transport
                .notify_peer_process(HandoverMessage::Ban(Ban {
                    id: server.0.to_string(),
                    is_banned: is_disabled,
                    lifted_at: now,
                }));
            if is_disabled {
                self.transport.block_server(server);
            }
        }
        self.notify_endpoints(now, UpdateScope::Delta, changed.unwrap_or_default());
        is_known
    }

    /// Applies an operator's command that the other process of an upgrade received.
    pub(super) fn adopt_ban(&mut self, now: Micros, ban: &Ban) {
        if ban.is_banned {
            self.transport.block_server(&ServerId::from(&*ban.id));
        }
        let endpoints = self.bans.adopt(ban);
        self.notify_endpoints(now, UpdateScope::Delta, endpoints);
    }
}
