//! What follows from elapsed time: deaths after suspicions, forgotten members and revoked leases.

use super::action::Action;
use super::table::StateUpdate;
use super::View;
use crate::decision::Micros;
use crate::membership::datagram::MessageKind;
use crate::membership::member_state::MemberState;

/// A member is not declared dead for this many protocol periods after a datagram from it.
const RECENTLY_RECEIVED_PERIODS: Micros = 2;

impl View {
    /// Declares the members dead whose suspicion has timed out, and pings those that this limiter
    /// suspects by its own probes.
    pub(super) fn check_suspicions(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for index in self.suspects.clone() {
            let member = &self.members[index];
            let Some(suspicion) = &member.suspicion else {
                continue;
            };
            let found_here = suspicion.found_here;
            let incarnation = member.incarnation;
            let periods = suspicion.timeout_periods(self.members.len()) * self.local_health();
            let timeout = (periods * self.settings.protocol_period as f64) as Micros;
            // A member whose datagrams arrive is not dead, whatever the others report.
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
            } else if found_here {
                self.send(now, index, MessageKind::Ping(true), actions);
            }
        }
    }

    /// Votes to revoke the leases that have expired.
    pub(super) fn revoke_expired_leases(&mut self, now: Micros) {
        if now >= self.next_revocation_at {
            self.next_revocation_at = self.revoked.revoke_expired(now, &self.leases);
        }
    }

    /// Forgets the members that have been dead for long.
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
