//! Builds the datagrams to members and enforces the rate limit on them.

use super::action::Action;
use super::View;
use crate::decision::Micros;
use crate::membership::datagram::{Datagram, MessageKind};
use crate::membership::format::Encoding;
use crate::membership::revocation::RevocationPart;
use std::net::SocketAddrV4;

/// Maximum number of parts of the set of revoked leases that are sent right after the part in an
/// ack. In a fleet of up to three windows the receiver thus has the whole set as of the time of the
/// ack.
const PARTS_AFTER_ACK: usize = 2;

/// How the process that receives a datagram relates to the member that the view knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// The receiver is the member's known process, or a later one.
    Member,
    /// The receiver is another process that uses the number of the known member.
    ConflictingProcess,
}

/// Whether a datagram carries a part of the set of revoked leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Revocations {
    /// The datagram carries the next part.
    NextPart,
    /// The datagram carries no part, which leaves more space for gossip updates.
    Omitted,
}

/// The process to which a datagram is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Destination {
    pub(super) member: usize,
    pub(super) address: Option<SocketAddrV4>,
    /// Session of the process, 0 if unknown.
    pub(super) session: u64,
    /// Highest sequence number received in that session.
    pub(super) acknowledged: u64,
    pub(super) route: Route,
}

impl View {
    /// Sends a datagram to a member. Returns false if the rate limit or a missing address prevents
    /// it.
    pub(super) fn send(
        &mut self,
        now: Micros,
        member: usize,
        message: MessageKind,
        actions: &mut Vec<Action>,
    ) -> bool {
        let revocations = match message {
            MessageKind::Gossip(_) => Revocations::Omitted,
            _ => Revocations::NextPart,
        };
        let to = self.destination(member);
        self.send_to(now, to, message, revocations, actions)
    }

    /// Sends an ack, followed by further datagrams with parts of the set of revoked leases that the
    /// ack does not carry.
    pub(super) fn acknowledge(&mut self, now: Micros, member: usize, actions: &mut Vec<Action>) {
        self.send(now, member, MessageKind::Ack(true), actions);
        let further_parts = self.revoked.part_count().saturating_sub(1);
        for _ in 0..further_parts.min(PARTS_AFTER_ACK) {
            let to = self.destination(member);
            let message = MessageKind::Gossip(true);
            self.send_to(now, to, message, Revocations::NextPart, actions);
        }
    }

    fn destination(&self, member: usize) -> Destination {
        let known = &self.members[member];
        Destination {
            member,
            address: known.address,
            session: known.session,
            acknowledged: known.replay_window.highest,
            route: Route::Member,
        }
    }

    /// Sends a datagram to a process. Returns false if the rate limit or a missing address prevents
    /// it.
    pub(super) fn send_to(
        &mut self,
        now: Micros,
        to: Destination,
        message: MessageKind,
        revocations: Revocations,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(address) = to.address else {
            return false;
        };
        if !self.send_limit.take(now) {
            self.counters.send_limited += 1;
            return false;
        }
        let mut datagram = self.datagram(now, to, message);
        self.add_revocations(to.member, revocations, &mut datagram);
        self.piggyback(to, &mut datagram);
        self.counters.sent += 1;
        self.counters.sent_bytes += datagram.size() as u64;
        actions.push(Action::Send(address, datagram));
        true
    }

    fn datagram(&mut self, now: Micros, to: Destination, message: MessageKind) -> Datagram {
        let number = self.members[to.member].next_number(now);
        let own_address = self.settings.address;
        Datagram {
            format: self.settings.encoding.format(),
            fleet: self.settings.fleet.clone(),
            sender: self.settings.limiter,
            incarnation: self.incarnation(),
            session: self.session,
            receiver_session: to.session,
            sequence: number,
            acknowledged: if to.session == 0 { 0 } else { to.acknowledged },
            renews_lease: self.leases[to.member].renews(now),
            ip: u32::from(*own_address.ip()),
            port: u32::from(own_address.port()),
            version: self.settings.version,
            message: Some(message),
            ..Datagram::default()
        }
    }

    fn add_revocations(&mut self, to: usize, revocations: Revocations, datagram: &mut Datagram) {
        match self.settings.encoding {
            Encoding::Whole => datagram.revoked = self.revoked.bits().to_vec(),
            Encoding::Parts { .. } => {
                datagram.limiters = self.settings.limiters;
                if revocations == Revocations::NextPart {
                    datagram.revoked_part = self.next_part(to);
                }
            }
        }
    }

    /// Returns the part of the set of revoked leases that is next in turn for this member; `None`
    /// if the set is empty.
    fn next_part(&mut self, member: usize) -> Option<RevocationPart> {
        let known = &mut self.members[member];
        let part = self.revoked.part(known.parts_sent)?;
        known.parts_sent += 1;
        Some(part.clone())
    }
}
