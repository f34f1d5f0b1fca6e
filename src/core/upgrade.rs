//! Upgrades in the core: passes state to a successor and adopts state from a predecessor.

use super::commands::HandOverCommand;
use super::messages::Transport;
use super::Core;
use crate::decision::{AccountId, Micros, RequestId, UpdateScope};
use crate::handover::message::{HandoverMessage, LearnedState, RecentId};
use std::collections::HashMap;
use std::mem::take;

/// State of an upgrade in the core.
#[derive(Default)]
pub(super) struct UpgradeState {
    /// The learned state that was given to the successor; `None` if there is no successor.
    handed_over: Option<LearnedState>,
    /// By how much this process's clock is ahead of the predecessor's, in microseconds.
    clock_shift: i64,
    /// Number of attempts of a predecessor that are still running, by account.
    predecessor_attempts: HashMap<AccountId, u32>,
    /// Whether a successor serves, so that this process only finishes its open requests and counter
    /// calls.
    pub(super) finishing: bool,
}

impl UpgradeState {
    /// Whether a successor has the state of this process.
    pub(super) fn state_is_handed_over(&self) -> bool {
        self.handed_over.is_some()
    }
}

impl<T: Transport> Core<T> {
    /// Handles a command of the hand-over.
    pub(super) fn handle_hand_over_command(&mut self, now: Micros, command: HandOverCommand) {
        match command {
            HandOverCommand::ExportState(reply) => {
                let state = self.state_for_successor(now);
                self.upgrade.handed_over = Some(state.clone());
                _ = reply.try_send(state);
            }
            HandOverCommand::ReclaimState => {
                if let Some(state) = self.upgrade.handed_over.take() {
                    self.engine.reclaim_state(state);
                }
            }
            HandOverCommand::SuccessorGone => self.upgrade.handed_over = None,
            HandOverCommand::AdoptState(state, reply) => {
                self.adopt_state(now, state);
                _ = reply.try_send(());
            }
            HandOverCommand::PeerMessage(message) => self.handle_peer_message(now, message),
            HandOverCommand::PredecessorGone => self.end_predecessor_attempts(),
            HandOverCommand::Finish => self.upgrade.finishing = true,
        }
    }

    fn state_for_successor(&mut self, now: Micros) -> LearnedState {
        let bans = self.bans.all();
        let recent_ids = self.recent_ids.all(now);
        let recent_ids = recent_ids
            .map(|(id, ends_at)| RecentId::new(id, ends_at))
            .collect();
        LearnedState {
            bans,
            recent_ids,
            exported_at: now,
            ..self.engine.export_learned_state()
        }
    }

    fn adopt_state(&mut self, now: Micros, mut state: LearnedState) {
        if state.exported_at > 0 {
            self.upgrade.clock_shift = now as i64 - state.exported_at as i64;
            state.move_times(self.upgrade.clock_shift);
        }
        let mut endpoints = Vec::new();
        for ban in &state.bans {
            endpoints.extend(self.bans.adopt(ban));
        }
        self.notify_endpoints(now, UpdateScope::Delta, endpoints);
        for recent in &state.recent_ids {
            self.adopt_recent_id(now, recent);
        }
        self.upgrade.predecessor_attempts = self.engine.adopt_state(now, state);
    }

    /// Notes the id of a request that the predecessor has sent or is about to send.
    fn adopt_recent_id(&mut self, now: Micros, recent: &RecentId) {
        let id = RequestId::from(&*recent.id);
        self.recent_ids.add(now, id, recent.ends_at);
    }

    fn end_predecessor_attempts(&mut self) {
        for (account, running) in take(&mut self.upgrade.predecessor_attempts) {
            for _ in 0..running {
                self.engine.predecessor_attempt_ended(&account);
            }
        }
    }

    fn handle_peer_message(&mut self, now: Micros, message: HandoverMessage) {
        match message {
            HandoverMessage::Ban(mut ban) => {
                // It is sent when the ban changes, and the other process has another clock.
                ban.lifted_at = now;
                self.adopt_ban(now, &ban);
            }
            HandoverMessage::MayRun(mut recent) => {
                recent.ends_at = recent
                    .ends_at
                    .saturating_add_signed(self.upgrade.clock_shift);
                self.adopt_recent_id(now, &recent);
            }
            HandoverMessage::Ended(account) => {
                let account = AccountId::from(&*account);
                let running = self.upgrade.predecessor_attempts.get_mut(&account);
                if let Some(running) = running.filter(|running| **running > 0) {
                    *running -= 1;
                    self.engine.predecessor_attempt_ended(&account);
                }
            }
            HandoverMessage::FinalReport(report) => {
                // The predecessor exits after this report.
                self.end_predecessor_attempts();
                self.engine.add_unreported_units(report);
            }
            // The other messages are handled by the upgrade coordinator.
            _ => {}
        }
    }
}
