//! The state that a view keeps for each member.

use super::suspicion::Suspicion;
use crate::decision::Micros;
use crate::membership::member_state::MemberState;
use std::net::SocketAddrV4;

/// Number of the last datagrams to each peer whose send times are kept.
const SEND_TIMES: usize = 4;
/// Number of the most recent sequence numbers of which the view knows whether they were received.
const REPLAY_WINDOW: u64 = u64::BITS as u64;

/// Detects replayed datagrams by their sequence numbers.
#[derive(Debug, Default)]
pub(super) struct ReplayWindow {
    /// Highest sequence number received.
    pub(super) highest: u64,
    /// Bit `n` is set if `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Records a sequence number. Returns false if it was received before, or is so old that this
    /// is not known.
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

/// Sequence number and send time of a datagram to a peer.
#[derive(Clone, Copy, Debug, Default)]
struct SentDatagram {
    number: u64,
    at: Micros,
}

/// A member as the view knows it.
#[derive(Debug, Default)]
pub(super) struct Member {
    pub(super) address: Option<SocketAddrV4>,
    /// Whether the address is configured. Gossip does not override it then.
    pub(super) seed: bool,
    pub(super) state: MemberState,
    /// Whether the member has been dead for so long that gossip leaves it out. Only an update with
    /// a higher incarnation revives it.
    pub(super) forgotten: bool,
    pub(super) incarnation: u64,
    /// Time in µs at which `state` last changed.
    pub(super) since: Micros,
    /// Number of the limiter that first reported `state`.
    pub(super) reported_by: u32,
    pub(super) version: u32,
    pub(super) suspicion: Option<Suspicion>,
    /// Session of the member's process, 0 if unknown.
    pub(super) session: u64,
    /// Sequence numbers received in that session.
    pub(super) replay_window: ReplayWindow,
    /// Sequence number of the last datagram sent to the member.
    pub(super) last_sent: u64,
    sent: [SentDatagram; SEND_TIMES],
    /// Time in µs at which the last datagram proven to be fresh was received from the member.
    pub(super) last_received: Option<Micros>,
    /// Number of datagrams sent to the member that carried a part of the set of revoked leases.
    pub(super) parts_sent: usize,
}

impl Member {
    /// Returns the sequence number of a datagram that is sent to the member now, and records its
    /// send time.
    pub(super) fn next_number(&mut self, now: Micros) -> u64 {
        self.last_sent += 1;
        self.sent[self.last_sent as usize % SEND_TIMES] = SentDatagram {
            number: self.last_sent,
            at: now,
        };
        self.last_sent
    }

    /// Returns the time in µs at which the datagram with this number was sent to the member, or
    /// else the last earlier one whose send time is still kept.
    pub(super) fn sent_at(&self, number: u64) -> Option<Micros> {
        self.sent
            .iter()
            .filter(|sent| sent.number > 0 && sent.number <= number)
            .max_by_key(|sent| sent.number)
            .map(|sent| sent.at)
    }

    /// Returns whether gossip can carry an update about the member.
    pub(super) fn is_gossiped(&self) -> bool {
        self.address.is_some() && self.state != MemberState::Unknown
    }

    /// Returns whether datagrams to the member must carry the update about itself, so that it
    /// refutes that it is suspected, dead, gone or forgotten.
    pub(super) fn must_refute(&self) -> bool {
        self.forgotten || self.state >= MemberState::Suspect
    }
}
