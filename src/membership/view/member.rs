//! What is known of one member, and which of its datagrams were heard.

use super::suspicion::Suspicion;
use crate::decision::Micros;
use crate::membership::datagram::State;
use std::net::SocketAddrV4;

/// Send times kept for each peer.
pub(super) const SEND_TIMES: usize = 4;

/// What came last from a peer, and which numbers near it.
#[derive(Debug, Default)]
pub(super) struct Window {
    pub(super) top: u64,
    pub(super) bits: u64,
}

impl Window {
    /// Takes a number; false if it was there or is too old to tell.
    pub(super) fn take(&mut self, number: u64) -> bool {
        if number > self.top {
            let shift = number - self.top;
            self.bits = if shift < 64 {
                self.bits << shift | 1
            } else {
                1
            };
            self.top = number;
            return true;
        }
        let back = self.top - number;
        let new = number > 0 && back < 64 && self.bits >> back & 1 == 0;
        self.bits |= if new { 1 << back } else { 0 };
        new
    }
}

/// What is known of a member.
#[derive(Debug, Default)]
pub(super) struct Member {
    pub(super) address: Option<SocketAddrV4>,
    pub(super) seed: bool,
    pub(super) state: State,
    /// Dead for so long that it is no longer told of; nothing of this incarnation brings it back.
    pub(super) forgotten: bool,
    pub(super) incarnation: u64,
    pub(super) since: Micros,
    pub(super) by: u32,
    pub(super) version: u32,
    pub(super) suspicion: Option<Suspicion>,
    /// Its session, what came in it, and what was sent to it: the last numbers with their times.
    pub(super) session: u64,
    pub(super) window: Window,
    pub(super) number: u64,
    pub(super) sent: [(u64, Micros); SEND_TIMES],
    pub(super) heard: Option<Micros>,
    /// Parts of the set of released leases that were sent to it.
    pub(super) parts_sent: usize,
}

impl Member {
    /// When this number was sent to it, or the last one before it that is still known.
    pub(super) fn sent_at(&self, number: u64) -> Option<Micros> {
        let before = self.sent.iter().filter(|(n, _)| *n > 0 && *n <= number);
        before.max().map(|(_, at)| *at)
    }

    /// Others can be told of it.
    pub(super) fn is_told(&self) -> bool {
        self.address.is_some() && self.state != State::Unknown
    }
}
