//! Ticket nodes that operators have taken out, laid over whatever the node list says of them.

use crate::decision::{Endpoint, Micros, Readiness, ServerId, UpdateScope};
use crate::handover::message::Ban;
use std::collections::{HashMap, HashSet};

/// Ids kept of nodes that were ever listed; beyond these the ones that are gone are forgotten.
const MOST_IDS: usize = 8_192;

/// What the node list says, and what operators say.
#[derive(Debug, Default)]
pub struct Bans {
    /// As the list has them, without those that are gone.
    listed: HashMap<ServerId, Endpoint>,
    /// Every id that was listed.
    ever: HashSet<ServerId>,
    out: HashSet<ServerId>,
    /// Nodes that were put back, and when: they were restarted meanwhile, whenever the list tells.
    back: HashMap<ServerId, Micros>,
}

impl Bans {
    /// Takes news of the list; what the decision module is to hear of it.
    pub fn news(&mut self, scope: UpdateScope, members: Vec<Endpoint>) -> Vec<Endpoint> {
        if matches!(scope, UpdateScope::Snapshot | UpdateScope::Cached) {
            self.listed.clear();
        }
        for member in &members {
            match member.readiness {
                Readiness::Removed => _ = self.listed.remove(&member.id),
                _ => _ = self.listed.insert(member.id.clone(), member.clone()),
            }
            self.ever.insert(member.id.clone());
        }
        if self.ever.len() > MOST_IDS {
            let (listed, out) = (&self.listed, &self.out);
            self.ever
                .retain(|id| listed.contains_key(id) || out.contains(id));
            self.back.retain(|id, _| listed.contains_key(id));
        }
        members
            .into_iter()
            .map(|member| self.laid_over(member))
            .collect()
    }

    /// Nodes that were listed and are not in this whole list.
    pub fn missing(&self, whole: &[Endpoint]) -> Vec<ServerId> {
        let there: HashSet<_> = whole.iter().map(|member| &member.id).collect();
        self.listed
            .keys()
            .filter(|id| !there.contains(id))
            .cloned()
            .collect()
    }

    fn laid_over(&self, mut member: Endpoint) -> Endpoint {
        if self.out.contains(&member.id) && member.readiness == Readiness::Ready {
            member.readiness = Readiness::Draining;
        }
        if let Some(back) = self.back.get(&member.id) {
            member.started_at = member.started_at.max(*back);
        }
        member
    }

    /// Takes a node out; none if it was never listed, else what the module is to hear.
    pub fn disable(&mut self, id: &ServerId) -> Option<Vec<Endpoint>> {
        if !self.ever.contains(id) {
            return None;
        }
        self.out.insert(id.clone());
        Some(
            self.listed
                .get(id)
                .map(|m| self.laid_over(m.clone()))
                .into_iter()
                .collect(),
        )
    }

    /// Puts a node back as one that has just started; none if it was never listed.
    pub fn enable(&mut self, id: &ServerId, now: Micros) -> Option<Vec<Endpoint>> {
        if !self.ever.contains(id) {
            return None;
        }
        if !self.out.remove(id) {
            return Some(Vec::new());
        }
        self.back.insert(id.clone(), now);
        Some(
            self.listed
                .get(id)
                .map(|m| self.laid_over(m.clone()))
                .into_iter()
                .collect(),
        )
    }

    /// All that operators have said, for a successor.
    pub fn all(&self) -> Vec<Ban> {
        let ban = |id: &ServerId, out, at| Ban {
            id: id.0.to_string(),
            out,
            at,
        };
        let back = self.back.iter().filter(|(id, _)| !self.out.contains(*id));
        let out = self.out.iter().map(|id| ban(id, true, 0));
        out.chain(back.map(|(id, at)| ban(id, false, *at)))
            .collect()
    }

    /// What was said to the other process, also of a node that this one has not seen listed yet.
    pub fn take(&mut self, ban: &Ban) -> Vec<Endpoint> {
        let id = ServerId::from(&*ban.id);
        self.ever.insert(id.clone());
        let members = if ban.out {
            self.disable(&id)
        } else {
            self.out.remove(&id);
            self.back.insert(id.clone(), ban.at);
            self.listed
                .get(&id)
                .map(|m| vec![self.laid_over(m.clone())])
        };
        members.unwrap_or_default()
    }

    /// Listed nodes, and those of them that nothing new goes to.
    pub fn counts(&self) -> (usize, usize) {
        let avoided = |m: &&Endpoint| m.readiness != Readiness::Ready || self.out.contains(&m.id);
        (
            self.listed.len(),
            self.listed.values().filter(avoided).count(),
        )
    }
}
