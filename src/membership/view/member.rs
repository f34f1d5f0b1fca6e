//! What a view knows of one member.

use super::suspicion::Suspicion;
use crate::decision::Micros;
use crate::membership::member_state::MemberState;
use std::net::SocketAddrV4;

/// Send times remembered for each peer.
const SEND_TIMES: usize = 4;
/// Sequence numbers up to this far below the highest one are checked for repetition.
const REPLAY_WINDOW: u64 = u64::BITS as u64;

/// Detects datagrams that were received before, by their sequence numbers.
#[derive(Debug, Default)]
pub(super) struct ReplayWindow {
    /// The highest number received.
    pub(super) highest: u64,
    /// Bit `n` is set if `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Accepts a sequence number; returns false if it was received before or is too old to know.
    pub(super) fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            let shift = number - self.highest;
            self.received = if shift < REPLAY_WINDOW {
                self.received << shift | 1
            } else {
                1
            };
            self.highest = number;
            return true;
        }
        let age = self.highest - number;
        if number == 0 || age >= REPLAY_WINDOW || self.received >> age & 1 == 1 {
            return false;
        }
        self.received |= 1 << age;
        true
    }
}

/// A datagram sent to a peer.
#[derive(Clone, Copy, Debug, Default)]
struct SentDatagram {
    number: u64,
    at: Micros,
}

/// What is known of a member.
#[derive(Debug, Default)]
pub(super) struct Member {
    pub(super) address: Option<SocketAddrV4>,
    /// Its address is configured and not overridden by gossip.
    pub(super) seed: bool,
    pub(super) state: MemberState,
    /// Dead for so long that gossip leaves it out. No update of the same incarnation revives it.
    pub(super) forgotten: bool,
    pub(super) incarnation: u64,
    /// When `state` changed last.
    pub(super) since: Micros,
    /// The limiter that reported `state` first.
    pub(super) reported_by: u32,
    pub(super) version: u32,
    pub(super) suspicion: Option<Suspicion>,
    /// The session of its process, 0 if unknown.
    pub(super) session: u64,
    /// The sequence numbers received in that session.
    pub(super) replay_window: ReplayWindow,
    /// Sequence number of the last datagram sent to it.
    pub(super) last_sent: u64,
    sent: [SentDatagram; SEND_TIMES],
    /// When the last datagram proven to be fresh came from it.
    pub(super) last_received: Option<Micros>,
    /// Datagrams with a part of the set of revoked leases that were sent to it.
    pub(super) parts_sent: usize,
}

impl Member {
    /// Returns the sequence number of a datagram that is sent to it now.
    pub(super) fn next_number(&mut self, now: Micros) -> u64 {
        self.last_sent += 1;
        self.sent[self.last_sent as usize % SEND_TIMES] = SentDatagram {
            number: self.last_sent,
            at: now,
        };
        self.last_sent
    }

    /// Returns when the datagram with this number was sent to it, or the last one before whose time is
    /// still known.
    pub(super) fn sent_at(&self, number: u64) -> Option<Micros> {
        self.sent
            .iter()
            .filter(|sent| sent.number > 0 && sent.number <= number)
            .max_by_key(|sent| sent.number)
            .map(|sent| sent.at)
    }

    /// Returns whether gossip about it can be sent.
    pub(super) fn is_gossiped(&self) -> bool {
        self.address.is_some() && self.state != MemberState::Unknown
    }

    /// Returns whether the member should learn that it is not believed alive.
    pub(super) fn must_refute(&self) -> bool {
        self.forgotten || self.state >= MemberState::Suspect
    }
}
