//! Commands of operators and of the other process of an upgrade.

use super::messages::Transport;
use super::Core;
use crate::decision::{AccountId, Endpoint, Event, Micros, Readiness, ServerId, UpdateScope};
use crate::handover::message::{Ban, Body, LearnedState};
use crossbeam_channel::Sender;

/// A command to the core, which looks at these before anything else.
#[derive(Debug)]
pub enum Command {
    /// From an operator.
    Admin(AdminCommand),
    /// From the hand-over to or from another process.
    HandOver(HandOverCommand),
}

/// What operators command. It is answered with false if no such upstream server was ever listed. Its debug form is
/// part of a log line.
#[derive(Clone, Debug)]
pub enum AdminCommand {
    /// Take an upstream server out.
    Disable(ServerId, Sender<bool>),
    /// Put it back.
    Enable(ServerId, Sender<bool>),
}

/// What a hand-over asks of the core.
#[derive(Clone, Debug)]
pub enum HandOverCommand {
    /// Give what is known to a successor, and tell of each attempt that ends from now on.
    GiveState(Sender<LearnedState>),
    /// The successor did not serve: what it was given is this process's again.
    ReclaimState,
    /// There is no successor any more.
    SuccessorGone,
    /// Take what a predecessor knew.
    AdoptState(LearnedState, Sender<()>),
    /// The other process has news.
    PeerNews(Body),
    /// Everything open is answered or handed over: end.
    Finish,
}

impl<E: Transport> Core<E> {
    /// Commands come by a channel of their own, which the loop reads first.
    ///
    /// Guards against a command that waits behind a crowd of requests: the operator is owed an answer in a second.
    pub(super) fn obey(&mut self, now: Micros, command: Command) {
        match command {
            Command::Admin(AdminCommand::Disable(node, done)) => {
                self.set_banned(now, &node, true, &done)
            }
            Command::Admin(AdminCommand::Enable(node, done)) => {
                self.set_banned(now, &node, false, &done)
            }
            Command::HandOver(command) => self.obey_hand_over(now, command),
        }
    }

    fn set_banned(&mut self, now: Micros, node: &ServerId, out: bool, done: &Sender<bool>) {
        let members = self.ban(now, node, out);
        let known = members.is_some();
        self.listed(now, UpdateScope::Delta, members.unwrap_or_default());
        _ = done.try_send(known);
    }

    fn obey_hand_over(&mut self, now: Micros, command: HandOverCommand) {
        match command {
            HandOverCommand::GiveState(to) => {
                let bans = self.bans.all();
                let state = LearnedState {
                    bans,
                    ..self.gateway.learned_state()
                };
                self.handed_over_state = Some(state.clone());
                _ = to.try_send(state);
            }
            HandOverCommand::ReclaimState => {
                if let Some(state) = self.handed_over_state.take() {
                    self.gateway.reclaim_state(state);
                }
            }
            HandOverCommand::SuccessorGone => self.handed_over_state = None,
            HandOverCommand::AdoptState(state, done) => {
                let members = state
                    .bans
                    .iter()
                    .flat_map(|ban| self.bans.take(ban))
                    .collect();
                self.listed(now, UpdateScope::Delta, members);
                self.before = self.gateway.adopt_state(now, state);
                _ = done.try_send(());
            }
            HandOverCommand::PeerNews(news) => self.hear(now, news),
            HandOverCommand::Finish => self.finishing = true,
        }
    }

    /// Takes a node out or puts it back, here and at the other process.
    pub(super) fn ban(&mut self, now: Micros, node: &ServerId, out: bool) -> Option<Vec<Endpoint>> {
        let members = if out {
            self.bans.disable(node)
        } else {
            self.bans.enable(node, now)
        };
        if members.is_some() {
            self.edges.notify_peer_process(Body::Ban(Ban {
                id: node.0.to_string(),
                out,
                at: now,
            }));
            self.bar(node, out);
        }
        members
    }

    pub(super) fn bar(&mut self, node: &ServerId, out: bool) {
        if out {
            self.edges.block_server(node);
        }
    }

    pub(super) fn hear(&mut self, now: Micros, news: Body) {
        match news {
            Body::Ban(ban) => {
                self.bar(&ServerId::from(&*ban.id), ban.out);
                let members = self.bans.take(&ban);
                self.listed(now, UpdateScope::Delta, members);
            }
            Body::Ended(account) => {
                let account = AccountId::from(&*account);
                if let Some(out) = self.before.get_mut(&account).filter(|out| **out > 0) {
                    *out -= 1;
                    self.gateway.ended_before(&account);
                }
            }
            Body::FinalReport(report) => {
                // Whatever it had out has ended with it.
                for (account, out) in std::mem::take(&mut self.before) {
                    (0..out).for_each(|_| self.gateway.ended_before(&account));
                }
                self.gateway.take_unreported(report);
            }
            _ => {}
        }
    }

    /// What waits for a connection to a node that takes nothing new is not sent once it comes up.
    pub(super) fn listed(&mut self, now: Micros, scope: UpdateScope, members: Vec<Endpoint>) {
        members
            .iter()
            .filter(|m| m.readiness != Readiness::Ready)
            .for_each(|m| self.edges.block_server(&m.id));
        self.tell(
            now,
            Event::EndpointUpdate {
                scope,
                endpoints: members,
            },
        );
        let (known, excluded) = self.bans.counts();
        self.edges.report_endpoints(known, excluded);
    }
}
