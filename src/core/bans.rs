//! Upstream servers that operators have taken out, over whatever service discovery reports of them.

use crate::decision::{Endpoint, Micros, Readiness, ServerId, UpdateScope};
use crate::handover::message::Ban;
use std::collections::{HashMap, HashSet};

/// Most remembered ids of servers that were ever listed; above this number, ids that are neither listed nor
/// disabled are forgotten.
const MAX_REMEMBERED_IDS: usize = 8_192;

/// The endpoint list, and the servers that operators have disabled or enabled again.
#[derive(Debug, Default)]
pub struct ServerBans {
    /// The endpoints as service discovery reports them, without removed ones.
    listed: HashMap<ServerId, Endpoint>,
    /// Ids of all servers that were ever listed.
    ever_listed: HashSet<ServerId>,
    disabled: HashSet<ServerId>,
    /// When servers were enabled again. They count as started then, as they were restarted meanwhile even if
    /// service discovery has not reported that.
    enabled_at: HashMap<ServerId, Micros>,
}

impl ServerBans {
    /// Applies an update of the endpoint list; returns the endpoints as the engine is to use them.
    pub fn news(&mut self, scope: UpdateScope, members: Vec<Endpoint>) -> Vec<Endpoint> {
        if matches!(scope, UpdateScope::Snapshot | UpdateScope::Cached) {
            self.listed.clear();
        }
        for endpoint in &members {
            if endpoint.readiness == Readiness::Removed {
                self.listed.remove(&endpoint.id);
            } else {
                self.listed.insert(endpoint.id.clone(), endpoint.clone());
            }
            self.ever_listed.insert(endpoint.id.clone());
        }
        self.forget_old_ids();
        members
            .into_iter()
            .map(|endpoint| self.with_overrides(endpoint))
            .collect()
    }

    fn forget_old_ids(&mut self) {
        if self.ever_listed.len() <= MAX_REMEMBERED_IDS {
            return;
        }
        let listed = &self.listed;
        let disabled = &self.disabled;
        self.ever_listed
            .retain(|id| listed.contains_key(id) || disabled.contains(id));
        self.enabled_at.retain(|id, _| listed.contains_key(id));
    }

    /// Listed servers that are absent from this full list.
    pub fn missing(&self, whole: &[Endpoint]) -> Vec<ServerId> {
        let present: HashSet<_> = whole.iter().map(|endpoint| &endpoint.id).collect();
        self.listed
            .keys()
            .filter(|id| !present.contains(id))
            .cloned()
            .collect()
    }

    /// An endpoint as the engine is to use it: draining while disabled, and warming up once enabled again.
    fn with_overrides(&self, mut endpoint: Endpoint) -> Endpoint {
        if self.disabled.contains(&endpoint.id) && endpoint.readiness == Readiness::Ready {
            endpoint.readiness = Readiness::Draining;
        }
        if let Some(enabled_at) = self.enabled_at.get(&endpoint.id) {
            endpoint.started_at = endpoint.started_at.max(*enabled_at);
        }
        endpoint
    }

    /// The endpoint of a server as the engine is to use it; empty if the server is not listed now.
    fn current(&self, id: &ServerId) -> Vec<Endpoint> {
        let endpoint = self.listed.get(id).cloned();
        endpoint
            .map(|endpoint| self.with_overrides(endpoint))
            .into_iter()
            .collect()
    }

    /// Disables a server. Returns the endpoints that change for the engine, or none if the server was never
    /// listed.
    pub fn disable(&mut self, id: &ServerId) -> Option<Vec<Endpoint>> {
        if !self.ever_listed.contains(id) {
            return None;
        }
        self.disabled.insert(id.clone());
        Some(self.current(id))
    }

    /// Enables a server, which counts as started `now` if it was disabled. Returns the endpoints that change
    /// for the engine, or none if the server was never listed.
    pub fn enable(&mut self, id: &ServerId, now: Micros) -> Option<Vec<Endpoint>> {
        if !self.ever_listed.contains(id) {
            return None;
        }
        if !self.disabled.remove(id) {
            return Some(Vec::new());
        }
        self.enabled_at.insert(id.clone(), now);
        Some(self.current(id))
    }

    /// All servers that are disabled or were enabled again, for a successor.
    pub fn all(&self) -> Vec<Ban> {
        let disabled = self.disabled.iter().map(|id| Ban {
            id: id.0.to_string(),
            is_banned: true,
            lifted_at: 0,
        });
        let enabled = self
            .enabled_at
            .iter()
            .filter(|(id, _)| !self.disabled.contains(*id))
            .map(|(id, enabled_at)| Ban {
                id: id.0.to_string(),
                is_banned: false,
                lifted_at: *enabled_at,
            });
        disabled.chain(enabled).collect()
    }

    /// Applies what an operator had the other process of an upgrade do, also to a server that is not listed
    /// here yet. Returns the endpoints that change for the engine.
    pub fn adopt(&mut self, ban: &Ban) -> Vec<Endpoint> {
        let id = ServerId::from(&*ban.id);
        self.ever_listed.insert(id.clone());
        if ban.is_banned {
            self.disabled.insert(id.clone());
        } else {
            self.disabled.remove(&id);
            self.enabled_at.insert(id.clone(), ban.lifted_at);
        }
        self.current(&id)
    }

    /// Number of listed servers, and of those among them that get no new requests.
    pub fn counts(&self) -> (usize, usize) {
        let excluded = self
            .listed
            .values()
            .filter(|endpoint| self.is_excluded(endpoint))
            .count();
        (self.listed.len(), excluded)
    }

    fn is_excluded(&self, endpoint: &Endpoint) -> bool {
        endpoint.readiness != Readiness::Ready || self.disabled.contains(&endpoint.id)
    }
}
