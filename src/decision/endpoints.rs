//! Updates of the endpoint list.

use super::{Action, Endpoint, Engine, Micros, RequestId, UpdateScope};

impl Engine {
    pub(super) fn update_endpoints(
        &mut self,
        now: Micros,
        scope: UpdateScope,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        match scope {
            UpdateScope::Failed if self.settings.polls_discovery => {
                actions.push(Action::WatchEndpoints)
            }
            UpdateScope::Snapshot | UpdateScope::Cached => self.servers.mark_all_left(now),
            UpdateScope::Failed | UpdateScope::Delta => {}
        }
        for endpoint in endpoints {
            self.servers.update(now, endpoint, || self.random.f64());
        }
        if self.servers.all_draining() {
            self.reject_waiting(actions);
        }
        if !self.servers.servers.is_empty() {
            let min_limit = self.min_concurrency(now);
            self.concurrency.initialize(min_limit);
        }
    }

    fn reject_waiting(&mut self, actions: &mut Vec<Action>) {
        let waiting: Vec<RequestId> = self.queue.iter().map(|(_, id)| id.clone()).collect();
        for id in waiting {
            self.reject(&id, actions);
        }
    }
}
