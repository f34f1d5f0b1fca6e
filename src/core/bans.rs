//! Upstream servers that operators have disabled. This takes precedence over the readiness that
//! service discovery reports.

use crate::decision::{Endpoint, Micros, Readiness, ServerId, UpdateScope};
use crate::handover::message::Ban;
use std::collections::{HashMap, HashSet};

/// Number of remembered server ids above which the ids of servers that are neither listed nor
/// disabled are forgotten.
const MAX_REMEMBERED_IDS: usize = 8_192;

/// The endpoint list, and the servers that operators have disabled or enabled again.
#[derive(Debug, Default)]
pub struct ServerBans {
    /// The endpoints as service discovery reports them, without removed endpoints.
    listed: HashMap<ServerId, Endpoint>,
    /// Ids of all servers that were ever listed.
    ever_listed: HashSet<ServerId>,
    disabled: HashSet<ServerId>,
    /// Times at which servers were enabled again. They are treated as started at that time: they
    /// were restarted while disabled, even if service discovery has not reported that.
    enabled_at: HashMap<ServerId, Micros>,
}

impl ServerBans {
    /// Applies an update of the endpoint list. Returns the endpoints as the engine should use them.
    pub fn apply_update(&mut self, scope: UpdateScope, endpoints: Vec<Endpoint>) -> Vec<Endpoint> {
        if matches!(scope, UpdateScope::Snapshot | UpdateScope::Cached) {
            self.listed.clear();
        }
        for endpoint in &endpoints {
            if endpoint.readiness == Readiness::Removed {
                self.listed.remove(&endpoint.id);
            } else {
                self.listed.insert(endpoint.id.clone(), endpoint.clone());
            }
            self.ever_listed.insert(endpoint.id.clone());
        }
        self.forget_old_ids();
        endpoints
            .into_iter()
            .map(|endpoint| self.with_overrides(endpoint))
            .collect()
    }

    /// Bounds the memory for ids of servers that are no longer listed.
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

    /// Returns the listed servers that are absent from this snapshot.
    pub fn missing(&self, snapshot: &[Endpoint]) -> Vec<ServerId> {
        let present: HashSet<_> = snapshot.iter().map(|endpoint| &endpoint.id).collect();
        self.listed
            .keys()
            .filter(|id| !present.contains(id))
            .cloned()
            .collect()
    }

    /// Returns an endpoint as the engine should use it: draining while it is disabled, and warming
    /// up after it was enabled again.
    fn with_overrides(&self, mut endpoint: Endpoint) -> Endpoint {
        if self.disabled.contains(&endpoint.id) && endpoint.readiness == Readiness::Ready {
            endpoint.readiness = Readiness::Draining;
        }
        if let Some(enabled_at) = self.enabled_at.get(&endpoint.id) {
            endpoint.started_at = endpoint.started_at.max(*enabled_at);
        }
        endpoint
    }

    /// Returns the endpoint of a server as the engine should use it; empty if the server is not
    /// listed.
    fn effective_endpoint(&self, id: &ServerId) -> Vec<Endpoint> {
        let endpoint = self.listed.get(id).cloned();
        endpoint
            .map(|endpoint| self.with_overrides(endpoint))
            .into_iter()
            .collect()
    }

    /// Disables a server. Returns the endpoints that change for the engine, or `None` if the server
    /// was never listed.
    pub fn disable(&mut self, id: &ServerId) -> Option<Vec<Endpoint>> {
        if !self.ever_listed.contains(id) {
            return None;
        }
        self.disabled.insert(id.clone());
        Some(self.effective_endpoint(id))
    }

    /// Enables a server, which is treated as started `now` if it was disabled. Returns the
    /// endpoints that change for the engine, or `None` if the server was never listed.
    pub fn enable(&mut self, id: &ServerId, now: Micros) -> Option<Vec<Endpoint>> {
        if !self.ever_listed.contains(id) {
            return None;
        }
        if !self.disabled.remove(id) {
            return Some(Vec::new());
        }
        self.enabled_at.insert(id.clone(), now);
        Some(self.effective_endpoint(id))
    }

    /// Returns the servers that are disabled and those that were enabled again, for a successor.
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

    /// Applies an operator's command that the other process of an upgrade received, even if this
    /// process does not list the server yet. Returns the endpoints that change for the engine.
    pub fn adopt(&mut self, ban: &Ban) -> Vec<Endpoint> {
        let id = ServerId::from(&*ban.id);
        self.ever_listed.insert(id.clone());
        if ban.is_banned {
            self.disabled.insert(id.clone());
        } else {
            self.disabled.remove(&id);
            self.enabled_at.insert(id.clone(), ban.lifted_at);
        }
        self.effective_endpoint(&id)
    }

    /// Returns the number of listed servers, and how many of them get no new requests.
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
