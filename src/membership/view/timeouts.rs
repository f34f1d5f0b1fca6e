//! Time-outs: declares suspects dead, forgets dead members and votes to revoke leases.

use super::action::Action;
use super::table::StateUpdate;
use super::View;
use crate::decision::Micros;
use crate::membership::datagram::MessageKind;
use crate::membership::member_state::MemberState;

/// Number of protocol periods after a datagram from a member in which it is not declared dead.
const RECENTLY_RECEIVED_PERIODS: Micros = 2;

impl View {
    /// Declares dead each member whose suspicion has timed out, and pings the suspects that this
    /// limiter's own probes did not reach.
    pub(super) fn check_suspicions(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for index in self.suspects.clone() {
            let member = &self.members[index];
            let Some(suspicion) = &member.suspicion else {
                continue;
            };
            let failed_own_probe = suspicion.failed_own_probe;
            let incarnation = member.incarnation;
            let periods = suspicion.timeout_periods(self.members.len()) * self.local_health();
            let timeout = (periods * self.settings.protocol_period as f64) as Micros;
            // A member whose datagrams arrive is not dead, even if other members do not reach it.
            let recently_received = member.last_received.map_or(0, |at| {
                at + RECENTLY_RECEIVED_PERIODS * self.settings.protocol_period
            });
            if now >= recently_received.max(suspicion.began + timeout) {
                self.counters.declared_dead += 1;
                let update = StateUpdate {
                    member: index,
                    state: MemberState::Dead,
                    incarnation,
                    contact: None,
                    reported_by: self.settings.limiter,
                };
                self.apply_update(now, update, actions);
            } else if failed_own_probe {
                self.send(now, index, MessageKind::Ping(true), actions);
            }
        }
    }

    /// Votes to revoke the leases that this limiter has not renewed for longer than they last.
    pub(super) fn revoke_expired_leases(&mut self, now: Micros) {
        if now >= self.next_revocation_at {
            self.next_revocation_at = self.revoked.revoke_expired(now, &self.leases);
        }
    }

    /// Forgets the members that have been dead, or have left, for longer than `forget_after`.
    pub(super) fn forget_dead(&mut self, now: Micros) {
        if now < self.next_forget_at {
            return;
        }
        self.next_forget_at = Micros::MAX;
        for (index, member) in self.members.iter_mut().enumerate() {
            if !matches!(member.state, MemberState::Dead | MemberState::Left) {
                continue;
            }
            let due = member.since + self.settings.forget_after;
            if now < due {
                self.next_forget_at = self.next_forget_at.min(due);
                continue;
            }
            member.state = MemberState::Unknown;
            member.forgotten = true;
            member.since = now;
            self.retransmits[index] = 0;
            if !member.seed {
                member.address = None;
            }
        }
    }
}
