//! Majority leases on the shares of the limiters: who renews them, and who has revoked them.
//!
//! A limiter keeps a guaranteed fraction of its share in any case. It holds the rest by a lease,
//! which more than half of the configured limiters, itself among them, renew with each datagram to it
//! while they believe it alive. A limiter that believes it dead stops the renewal, and once that has
//! lasted longer than a lease it votes to *revoke* the lease, in its datagrams to everybody. The
//! leased rest of a share is divided among the limiters alive while more than half of the fleet have
//! a vote to revoke it that is no older than a lease. A limiter that has voted so renews the lease
//! again only after that time. Two majorities have a member in common, so no limiter holds its lease
//! while others use what it covers.
//!
//! There is no common clock: a message from a peer is at least as young as the last own datagram
//! that the peer had received when it wrote the message.

use super::bitset;
use super::format::Encoding;
use super::revocation::{self, RevocationPart, RevocationWindows};
use crate::decision::Micros;

/// The shortest lease duration in µs.
const MIN_LEASE: Micros = 4_000_000;
/// Bound on the ratio of the rates of two clocks.
const MAX_CLOCK_DRIFT: f64 = 1.1;

/// Returns the duration of a lease in µs: one and a half times what it takes to probe every limiter.
pub fn lease_duration(probe_period: Micros, limiters: u32) -> Micros {
    (probe_period * u64::from(limiters) * 3 / 2).max(MIN_LEASE)
}

/// Returns a time in which a lease has surely ended on the clock of its holder.
fn with_clock_drift(lease: Micros) -> Micros {
    (lease as f64 * MAX_CLOCK_DRIFT) as Micros
}

/// The leases between this limiter and one peer, and the peer's votes on those of others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PeerLease {
    /// Since when this limiter has not renewed the peer's lease; `None` while it does.
    not_renewed_since: Option<Micros>,
    /// This limiter does not renew the peer's lease before this time.
    no_renewal_before: Micros,
    /// The peer renewed this limiter's lease at this time or later.
    renewed_at: Option<Micros>,
    /// The peer's votes by window of the set, without trailing windows that never had one.
    votes: Vec<RevocationVotes>,
}

/// The votes of a peer on one window of limiters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct RevocationVotes {
    /// The peer voted at this time or later.
    pub(super) voted_at: Micros,
    /// One bit for each limiter of the window, without trailing zero bytes.
    pub(super) bits: Vec<u8>,
}

impl PeerLease {
    /// Returns the state for a peer about which nothing is known. An earlier process of this limiter
    /// may have renewed its lease or voted to revoke it.
    pub fn new(now: Micros, lease: Micros) -> Self {
        Self {
            not_renewed_since: Some(now),
            no_renewal_before: now + with_clock_drift(lease),
            ..Self::default()
        }
    }

    /// Returns whether a datagram sent now renews the peer's lease.
    pub fn renews(&self, now: Micros) -> bool {
        self.not_renewed_since.is_none() && now >= self.no_renewal_before
    }

    /// Takes in what the peer sent at `sent_at` or later: whether it renews this limiter's lease, and
    /// its votes, if the datagram carried any.
    pub fn on_datagram(
        &mut self,
        sent_at: Micros,
        renews: bool,
        votes: Option<&RevocationWindows>,
    ) {
        if renews {
            self.renewed_at = self.renewed_at.max(Some(sent_at));
        }
        let Some(votes) = votes else { return };
        for (index, bits) in votes.windows.iter().enumerate() {
            self.record_votes(votes.first_window + index, sent_at, bits);
        }
    }

    fn record_votes(&mut self, window: usize, voted_at: Micros, bits: &[u8]) {
        if self.votes.len() <= window {
            // No vote in this window before, and none now.
            if bits.is_empty() {
                return;
            }
            self.votes.resize_with(window + 1, RevocationVotes::default);
        }
        let known = &mut self.votes[window];
        if known.voted_at <= voted_at {
            *known = RevocationVotes {
                voted_at,
                bits: bits.to_vec(),
            };
        }
    }

    /// Returns the time at or after which the peer last renewed this limiter's lease.
    pub(super) fn renewed_at(&self) -> Option<Micros> {
        self.renewed_at
    }

    /// Returns the peer's votes on one window of limiters, `None` if it never had any.
    pub(super) fn votes(&self, window: usize) -> Option<&RevocationVotes> {
        self.votes.get(window)
    }
}

/// The leases that this limiter has voted to revoke, and their encoding for datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RevokedLeases {
    lease: Micros,
    limiters: u32,
    encoding: Encoding,
    /// One bit for each limiter, without trailing zero bytes.
    bits: Vec<u8>,
    /// The same set in parts; empty if it goes into every datagram as a whole.
    parts: Vec<RevocationPart>,
}

impl RevokedLeases {
    /// Returns the empty set. `lease` is the duration of a lease in µs.
    pub fn new(lease: Micros, limiters: u32, encoding: Encoding) -> Self {
        Self {
            lease,
            limiters,
            encoding,
            bits: Vec::new(),
            parts: Vec::new(),
        }
    }

    /// Returns the whole set.
    pub fn bits(&self) -> &[u8] {
        &self.bits
    }

    /// Returns the duration of a lease in µs.
    pub(super) fn lease(&self) -> Micros {
        self.lease
    }

    /// Returns how the set is carried.
    pub(super) fn encoding(&self) -> Encoding {
        self.encoding
    }

    /// Returns the number of parts with the whole set; 0 if the set is empty or goes into every
    /// datagram.
    pub fn part_count(&self) -> usize {
        self.parts.len()
    }

    /// Returns the part for the datagram with number `turn` among those that carry one.
    ///
    /// Each part occurs once in each round of as many turns, and each round begins one part later.
    /// Otherwise some parts could go into pings only, and those in acks are younger for the receiver.
    pub fn part(&self, turn: usize) -> Option<&RevocationPart> {
        let count = self.part_count();
        if count == 0 {
            return None;
        }
        self.parts.get((turn + turn / count) % count)
    }

    fn encode(&mut self) {
        if let Encoding::Parts {
            window,
            max_run_bytes: most_run_bytes,
        } = self.encoding
        {
            self.parts =
                revocation::encode_parts(&self.bits, self.limiters, window, most_run_bytes);
        }
    }

    /// Votes to revoke the leases that were not renewed for longer than they last. Returns when the
    /// next one is due, if no other peer dies until then.
    pub fn revoke_expired(&mut self, now: Micros, leases: &[PeerLease]) -> Micros {
        let mut next_due = Micros::MAX;
        let mut changed = false;
        for (limiter, lease) in leases.iter().enumerate() {
            let Some(since) = lease.not_renewed_since else {
                continue;
            };
            if bitset::contains(&self.bits, limiter) {
                continue;
            }
            let due = since + with_clock_drift(self.lease);
            if now < due {
                next_due = next_due.min(due);
            } else {
                bitset::insert(&mut self.bits, limiter);
                changed = true;
            }
        }
        if changed {
            self.encode();
        }
        next_due
    }

    /// Stops the renewal of the lease of a peer that this limiter now believes dead.
    pub fn on_peer_dead(&mut self, now: Micros, lease: &mut PeerLease) {
        lease.not_renewed_since.get_or_insert(now);
    }

    /// Renews the lease of a peer that this limiter now believes alive. If it had voted to revoke
    /// the lease, the renewal waits until that vote has expired at every limiter.
    pub fn on_peer_alive(&mut self, now: Micros, limiter: usize, lease: &mut PeerLease) {
        lease.not_renewed_since = None;
        if !bitset::contains(&self.bits, limiter) {
            return;
        }
        bitset::remove(&mut self.bits, limiter);
        self.encode();
        let votes_expire = now + with_clock_drift(self.lease);
        lease.no_renewal_before = lease.no_renewal_before.max(votes_expire);
    }
}
