//! Builds the datagrams to members and keeps to the rate limit.

use super::action::Action;
use super::View;
use crate::decision::Micros;
use crate::membership::datagram::{Datagram, MessageKind};
use crate::membership::format::Encoding;
use crate::membership::revocation::RevocationPart;
use std::net::SocketAddrV4;

/// Parts of the set of revoked leases that follow an ack at once, so that in a fleet of three windows
/// the whole set is as young as the ack.
const PARTS_AFTER_ACK: usize = 2;

/// How the receiving process relates to the known member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// It is the process that the member is known by, or a later one.
    Member,
    /// Two processes use the member's number.
    ConflictingProcess,
}

/// Whether a datagram carries a part of the set of revoked leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Revocations {
    /// It carries the next part.
    NextPart,
    /// It leaves the space to gossip updates.
    Omitted,
}

/// The process that a datagram goes to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Destination {
    pub(super) member: usize,
    pub(super) address: Option<SocketAddrV4>,
    /// The receiver's session, 0 if unknown.
    pub(super) session: u64,
    /// The highest sequence number received in that session.
    pub(super) acknowledged: u64,
    pub(super) route: Route,
}

impl View {
    /// Sends a datagram to a member; returns false if the rate limit or a missing address prevents it.
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

    /// Sends an ack, and in further datagrams parts of the set of revoked leases that it lacks.
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

    /// Sends a datagram to a process; returns false if the rate limit or a missing address prevents
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

    /// Returns the part of the set of revoked leases whose turn it is with this member.
    fn next_part(&mut self, member: usize) -> Option<RevocationPart> {
        let known = &mut self.members[member];
        let part = self.revoked.part(known.parts_sent)?;
        known.parts_sent += 1;
        Some(part.clone())
    }
}
