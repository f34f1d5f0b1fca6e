//! The membership table: decides which updates override the known state of a member, and applies
//! them.

use super::action::{Action, StateChange};
use super::suspicion::Suspicion;
use super::View;
use crate::decision::Micros;
use crate::membership::member_state::MemberState;
use std::net::SocketAddrV4;

/// Address and program version of a member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Contact {
    pub(super) address: SocketAddrV4,
    pub(super) version: u32,
}

/// An update about a member, from this limiter's own probes, the member itself or gossip.
#[derive(Clone, Copy, Debug)]
pub(super) struct StateUpdate {
    /// Number of the member.
    pub(super) member: usize,
    pub(super) state: MemberState,
    /// Incarnation of the member in which it has this state.
    pub(super) incarnation: u64,
    /// Address and version of the member, if the update has them.
    pub(super) contact: Option<Contact>,
    /// Number of the limiter that first reported the state.
    pub(super) reported_by: u32,
}

impl View {
    /// Applies an update if it overrides the known state, by a higher incarnation or by a later
    /// [`MemberState`] of the same incarnation.
    pub(super) fn apply_update(
        &mut self,
        now: Micros,
        update: StateUpdate,
        actions: &mut Vec<Action>,
    ) {
        if update.member == self.own_index() {
            return self.refute(update.state, update.incarnation);
        }
        let member = &self.members[update.member];
        let known_state = if member.forgotten {
            MemberState::Left
        } else {
            member.state
        };
        if (update.incarnation, update.state) <= (member.incarnation, known_state) {
            let same_suspicion = update.incarnation == member.incarnation
                && update.state == MemberState::Suspect
                && known_state == MemberState::Suspect;
            if same_suspicion {
                self.confirm_suspicion(update.member, update.reported_by);
            }
            return;
        }
        let previous = member.state;
        self.store_update(now, &update);
        self.update_lease(now, &update, previous);
        if update.state != previous {
            self.report_change(now, &update, previous, actions);
        }
        self.enqueue(update.member);
    }

    fn store_update(&mut self, now: Micros, update: &StateUpdate) {
        let own = self.settings.limiter;
        let member = &mut self.members[update.member];
        member.state = update.state;
        member.incarnation = update.incarnation;
        member.reported_by = update.reported_by;
        member.forgotten = false;
        if let Some(contact) = update.contact {
            member.version = contact.version;
            if !member.seed {
                member.address = Some(contact.address);
            }
        }
        self.suspects.retain(|suspect| *suspect != update.member);
        if update.state == MemberState::Suspect {
            member.suspicion = Some(Suspicion::new(now, update.reported_by, own));
            self.suspects.push(update.member);
        } else {
            member.suspicion = None;
        }
    }

    /// Starts or stops renewing the member's lease if the update changes whether the member is
    /// alive.
    fn update_lease(&mut self, now: Micros, update: &StateUpdate, previous: MemberState) {
        let alive = update.state.is_alive();
        if alive == previous.is_alive() {
            return;
        }
        self.alive[update.member] = alive;
        self.next_revocation_at = now;
        let lease = &mut self.leases[update.member];
        if alive {
            self.revoked.on_peer_alive(now, update.member, lease);
        } else {
            self.revoked.on_peer_dead(now, lease);
        }
    }

    fn report_change(
        &mut self,
        now: Micros,
        update: &StateUpdate,
        previous: MemberState,
        actions: &mut Vec<Action>,
    ) {
        self.members[update.member].since = now;
        if !update.state.is_alive() {
            self.next_forget_at = self.next_forget_at.min(now + self.settings.forget_after);
        }
        actions.push(Action::Changed(StateChange {
            limiter: update.member as u32,
            previous,
            state: update.state,
            incarnation: update.incarnation,
            reported_by: update.reported_by,
        }));
    }

    /// Raises this limiter's incarnation if an update contradicts that it is alive in its current
    /// one.
    fn refute(&mut self, state: MemberState, incarnation: u64) {
        let own_index = self.own_index();
        let own = &mut self.members[own_index];
        let contradicted = incarnation == own.incarnation && state != MemberState::Alive;
        if contradicted || incarnation > own.incarnation {
            own.incarnation = incarnation + 1;
            self.counters.refuted += 1;
            self.enqueue(own_index);
        }
    }

    /// Records that a probe by limiter `reporter` itself did not reach the suspected `member`.
    fn confirm_suspicion(&mut self, member: usize, reporter: u32) {
        let own = self.settings.limiter;
        let suspected = &mut self.members[member];
        let Some(suspicion) = &mut suspected.suspicion else {
            return;
        };
        if suspicion.confirm(reporter, own) {
            suspected.reported_by = reporter;
            self.enqueue(member);
        }
    }
}
