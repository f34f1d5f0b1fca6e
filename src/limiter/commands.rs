//! Commands of operators and of the other process of an upgrade.

use super::messages::{Edges, Order};
use super::Core;
use crate::handover::message::{Ban, Body, Given};
use crate::interface::*;

impl<E: Edges> Core<E> {
    /// Guards against an order that waits behind a crowd of requests: the operator is owed an answer in a second.
    pub(super) fn obey(&mut self, now: Micros, order: Order) {
        let (members, told) = match order {
            Order::Disable(node, told) => (self.ban(now, &node, true), told),
            Order::Enable(node, told) => (self.ban(now, &node, false), told),
            Order::Give(to) => {
                let bans = self.bans.all();
                let given = Given { bans, ..self.gateway.give() };
                self.given = Some(given.clone());
                _ = to.try_send(given);
                return;
            }
            Order::TakeBack => return self.given.take().into_iter().for_each(|g| self.gateway.take_back(g)),
            Order::Alone => return self.given = None,
            Order::Take(given, told) => {
                let members = given.bans.iter().flat_map(|ban| self.bans.take(ban)).collect();
                self.listed(now, Scope::Changes, members);
                self.before = self.gateway.take(now, given);
                _ = told.try_send(());
                return;
            }
            Order::Heard(news) => return self.hear(now, news),
            Order::Finish => return self.finishing = true,
        };
        let known = members.is_some();
        self.listed(now, Scope::Changes, members.unwrap_or_default());
        _ = told.try_send(known);
    }

    /// Takes a node out or puts it back, here and at the other process.
    pub(super) fn ban(&mut self, now: Micros, node: &ServerId, out: bool) -> Option<Vec<Member>> {
        let members = if out { self.bans.disable(node) } else { self.bans.enable(node, now) };
        if members.is_some() {
            self.edges.tell(Body::Ban(Ban { id: node.0.to_string(), out, at: now }));
            self.bar(node, out);
        }
        members
    }

    pub(super) fn bar(&mut self, node: &ServerId, out: bool) {
        if out {
            self.edges.bar(node);
        }
    }

    pub(super) fn hear(&mut self, now: Micros, news: Body) {
        match news {
            Body::Ban(ban) => {
                self.bar(&ServerId::from(&*ban.id), ban.out);
                let members = self.bans.take(&ban);
                self.listed(now, Scope::Changes, members);
            }
            Body::Ended(account) => {
                let account = CustomerId::from(&*account);
                if let Some(out) = self.before.get_mut(&account).filter(|out| **out > 0) {
                    *out -= 1;
                    self.gateway.ended_before(&account);
                }
            }
            Body::Bye(bye) => {
                // Whatever it had out has ended with it.
                for (account, out) in std::mem::take(&mut self.before) {
                    (0..out).for_each(|_| self.gateway.ended_before(&account));
                }
                self.gateway.take_untold(bye);
            }
            _ => {}
        }
    }

    /// What waits for a connection to a node that takes nothing new is not sent once it comes up.
    pub(super) fn listed(&mut self, now: Micros, scope: Scope, members: Vec<Member>) {
        members.iter().filter(|m| m.readiness != Readiness::Ready).for_each(|m| self.edges.bar(&m.id));
        self.tell(now, Event::Members { scope, members });
        let (known, excluded) = self.bans.counts();
        self.edges.listed(known, excluded);
    }
}
