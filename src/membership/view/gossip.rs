//! Dissemination: selects the gossip updates that a datagram carries, and sends datagrams for new
//! ones.

use super::action::Action;
use super::send::{Destination, Route};
use super::View;
use crate::decision::Micros;
use crate::membership::datagram::{Datagram, GossipUpdate, MessageKind, MAX_DATAGRAM_BYTES};
use crate::membership::member_state::MemberState;
use prost::Message;
use std::cmp::Reverse;

/// Number of members alive to which new updates are sent, twice in each protocol period.
const GOSSIP_FANOUT: usize = 2;
/// Number of times that an update is sent for each power of ten of the fleet's size.
const RETRANSMIT_FACTOR: f64 = 4.0;
/// Fraction of the datagrams permitted per second that is reserved for pings and acks: no gossip is
/// sent while the token bucket has less. It is a quarter of the bucket's capacity.
const RESERVED_RATE_FRACTION: f64 = 1.0 / 8.0;
/// Maximum number of members that are considered for the space that new updates leave in a
/// datagram.
const MAX_BACKGROUND_CANDIDATES: usize = 16;
/// Number of bytes that the protocol buffer's field tag and length take for each gossip update.
const UPDATE_HEADER_BYTES: usize = 2;

/// Adds gossip updates to a datagram up to its maximum length.
struct UpdateWriter<'a> {
    datagram: &'a mut Datagram,
    /// Length in bytes of the sealed datagram with the updates added so far.
    size: usize,
}

impl<'a> UpdateWriter<'a> {
    fn new(datagram: &'a mut Datagram) -> Self {
        let size = datagram.size();
        Self { datagram, size }
    }

    /// Adds an update. Returns false if it does not fit.
    fn add(&mut self, update: GossipUpdate) -> bool {
        let bytes = update.encoded_len() + UPDATE_HEADER_BYTES;
        if self.size + bytes > MAX_DATAGRAM_BYTES {
            return false;
        }
        self.size += bytes;
        self.datagram.updates.push(update);
        true
    }
}

impl View {
    /// Sends new updates to [`GOSSIP_FANOUT`] random members alive.
    pub(super) fn gossip(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.pending_updates
            .retain(|member| self.retransmits[*member] > 0);
        if self.pending_updates.is_empty() {
            return;
        }
        let reserved = f64::from(self.settings.max_sent_per_second) * RESERVED_RATE_FRACTION;
        if self.send_limit.level(now) < reserved {
            return;
        }
        for member in self.random_alive(GOSSIP_FANOUT, None) {
            self.send(now, member, MessageKind::Gossip(true), actions);
        }
    }

    /// Schedules an update about a member for the number of datagrams that is expected to reach all
    /// members.
    pub(super) fn enqueue(&mut self, member: usize) {
        let times = RETRANSMIT_FACTOR * (self.members.len() as f64 + 1.0).log10().ceil();
        self.retransmits[member] = times as u32;
        if !self.pending_updates.contains(&member) {
            self.pending_updates.push(member);
        }
    }

    /// Fills a datagram with updates: first the one about the receiver if it must refute that, then
    /// the new ones, beginning with those sent least often, then the rest of the view in turn.
    pub(super) fn piggyback(&mut self, to: Destination, datagram: &mut Datagram) {
        let mut writer = UpdateWriter::new(datagram);
        let conflict = to.route == Route::ConflictingProcess;
        if conflict || self.members[to.member].must_refute() {
            self.add_receiver_update(to, &mut writer);
        }
        let pending = self.pending_updates_for(to.member);
        for member in &pending {
            if !self.add_update(*member, &mut writer) {
                return;
            }
        }
        for _ in 0..self.members.len().min(MAX_BACKGROUND_CANDIDATES) {
            self.background_position = (self.background_position + 1) % self.members.len();
            let member = self.background_position;
            let excluded = member == to.member
                || member == self.own_index()
                || !self.members[member].is_gossiped()
                || pending.contains(&member);
            if !excluded && !self.add_update(member, &mut writer) {
                return;
            }
        }
    }

    /// Returns the members with new updates for `receiver`, beginning with those whose updates were
    /// sent least often.
    fn pending_updates_for(&self, receiver: usize) -> Vec<usize> {
        let mut pending: Vec<_> = self
            .pending_updates
            .iter()
            .copied()
            .filter(|member| *member != receiver)
            .filter(|member| self.retransmits[*member] > 0 && self.members[*member].is_gossiped())
            .collect();
        pending.sort_unstable_by_key(|member| Reverse(self.retransmits[*member]));
        pending
    }

    /// Adds the update about the receiver itself.
    fn add_receiver_update(&mut self, to: Destination, writer: &mut UpdateWriter<'_>) {
        // Another process uses the receiver's number with the same or a higher incarnation. The
        // suspicion makes the receiver raise its own incarnation above that one.
        let state = if to.route == Route::ConflictingProcess {
            MemberState::Suspect
        } else {
            self.gossiped_state(to.member)
        };
        self.add_update_with_state(to.member, state, writer);
    }

    /// Adds the update about a member. Returns false if it does not fit.
    fn add_update(&mut self, member: usize, writer: &mut UpdateWriter<'_>) -> bool {
        self.add_update_with_state(member, self.gossiped_state(member), writer)
    }

    /// Returns the state of a member as updates report it: a forgotten member is reported dead.
    fn gossiped_state(&self, member: usize) -> MemberState {
        match self.members[member].state {
            MemberState::Unknown => MemberState::Dead,
            state => state,
        }
    }

    fn add_update_with_state(
        &mut self,
        index: usize,
        state: MemberState,
        writer: &mut UpdateWriter<'_>,
    ) -> bool {
        let member = &self.members[index];
        let Some(address) = member.address else {
            return true;
        };
        let added = writer.add(GossipUpdate {
            limiter: index as u32,
            state: state.number(),
            incarnation: member.incarnation,
            reported_by: member.reported_by,
            ip: u32::from(*address.ip()),
            port: u32::from(address.port()),
            version: member.version,
        });
        if added {
            self.retransmits[index] = self.retransmits[index].saturating_sub(1);
        }
        added
    }
}
