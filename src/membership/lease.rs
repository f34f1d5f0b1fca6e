//! Majority leases on the quota shares of the limiters: their renewal and revocation.
//!
//! A limiter keeps a guaranteed fraction of its share in any case. It uses the rest only while it
//! holds a lease, which more than half of the configured limiters, itself included, must renew.
//! Each limiter renews the leases of the peers that it believes alive, in its datagrams to them.
//! When it believes a peer dead it stops the renewal, and when it has not renewed the lease for
//! longer than a lease lasts, it votes in its datagrams to all limiters to *revoke* that lease.
//!
//! The leased part of a share is reassigned to the limiters alive while more than half of the fleet
//! have votes to revoke the lease that are no older than the duration of a lease. A limiter that
//! has voted to revoke a lease renews it again only after its vote has expired. As two majorities
//! always have a limiter in common, no limiter holds its lease while others use the share that it
//! covers.
//!
//! The limiters need no common clock. A limiter counts a datagram of a peer from the time at which
//! it sent the datagram that the peer acknowledges in it, as the peer wrote its own after that.

use super::bitset;
use super::format::Encoding;
use super::revocation::{self, RevocationPart, RevocationWindows};
use crate::decision::Micros;

/// Minimum duration of a lease in µs.
const MIN_LEASE: Micros = 4_000_000;
/// Maximum ratio of the rates at which the clocks of two limiters run.
const MAX_CLOCK_DRIFT: f64 = 1.1;

/// Returns the duration of a lease in µs: 1.5 times the time in which a limiter probes all others,
/// and at least 4 s.
pub fn lease_duration(probe_period: Micros, limiters: u32) -> Micros {
    (probe_period * u64::from(limiters) * 3 / 2).max(MIN_LEASE)
}

/// Returns the time in µs after which a lease of this duration has ended on its holder's clock too,
/// even if that clock runs slower.
fn with_clock_drift(lease: Micros) -> Micros {
    (lease as f64 * MAX_CLOCK_DRIFT) as Micros
}

/// The leases between this limiter and one peer, and the peer's votes to revoke leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PeerLease {
    /// Time in µs since which this limiter has not renewed the peer's lease; `None` while it
    /// believes the peer alive.
    not_renewed_since: Option<Micros>,
    /// Time in µs before which this limiter does not renew the peer's lease.
    no_renewal_before: Micros,
    /// Lower bound in µs of the time at which the peer last renewed this limiter's lease; `None` if
    /// it never did.
    renewed_at: Option<Micros>,
    /// The peer's votes by window, without trailing windows for which it never voted.
    votes: Vec<RevocationVotes>,
}

/// Votes of a peer to revoke the leases of the limiters in one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct RevocationVotes {
    /// Lower bound in µs of the time at which the peer sent the votes.
    pub(super) voted_at: Micros,
    /// One bit for each limiter of the window, without trailing zero bytes.
    pub(super) bits: Vec<u8>,
}

impl PeerLease {
    /// Returns the state for a peer of which this process knows nothing yet.
    ///
    /// An earlier process of this limiter may have renewed the peer's lease until `now`, so a vote
    /// to revoke it counts the time without renewal from `now`. That process may also have voted to
    /// revoke the lease, so the renewal waits until such a vote has expired.
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

    /// Records the contents of a datagram that the peer sent at `sent_at` or later: whether it
    /// renews this limiter's lease, and the peer's votes, if the datagram carries them.
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
            // The peer has never voted to revoke a lease in this window.
            if bits.is_empty() {
                return;
            }
            self.votes.resize_with(window + 1, RevocationVotes::default);
        }
        let stored = &mut self.votes[window];
        if stored.voted_at <= voted_at {
            *stored = RevocationVotes {
                voted_at,
                bits: bits.to_vec(),
            };
        }
    }

    /// Returns a lower bound in µs of the time at which the peer last renewed this limiter's lease;
    /// `None` if it never did.
    pub(super) fn renewed_at(&self) -> Option<Micros> {
        self.renewed_at
    }

    /// Returns the peer's votes in one window; `None` if it has never voted in it or in a later
    /// one.
    pub(super) fn votes(&self, window: usize) -> Option<&RevocationVotes> {
        self.votes.get(window)
    }
}

/// The leases that this limiter has voted to revoke, and their encoding for datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RevokedLeases {
    /// Duration of a lease in µs.
    lease: Micros,
    /// Number of limiters in the fleet.
    limiters: u32,
    encoding: Encoding,
    /// One bit for each limiter, without trailing zero bytes.
    bits: Vec<u8>,
    /// The same set in parts; empty if datagrams carry the whole set.
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

    /// Returns the whole set, one bit for each limiter.
    pub fn bits(&self) -> &[u8] {
        &self.bits
    }

    /// Returns the duration of a lease in µs.
    pub(super) fn lease(&self) -> Micros {
        self.lease
    }

    /// Returns how datagrams carry the set.
    pub(super) fn encoding(&self) -> Encoding {
        self.encoding
    }

    /// Returns the number of parts that make up the set; 0 if the set is empty, or if every
    /// datagram carries the whole set.
    pub fn part_count(&self) -> usize {
        self.parts.len()
    }

    /// Returns the part for the datagram with number `turn` among those to a peer that carry a
    /// part; `None` if there are no parts.
    ///
    /// Each round of [`part_count`](Self::part_count) turns has every part once, and each round
    /// begins one part later than the last. Without this shift some parts could be sent in pings
    /// only, whose votes expire sooner at the receiver than those in acks.
    pub fn part(&self, turn: usize) -> Option<&RevocationPart> {
        let count = self.part_count();
        if count == 0 {
            return None;
        }
        self.parts.get((turn + turn / count) % count)
    }

    /// Encodes the set in parts if datagrams carry it so.
    fn encode(&mut self) {
        if let Encoding::Parts {
            window,
            max_run_bytes,
        } = self.encoding
        {
            self.parts = revocation::encode_parts(&self.bits, self.limiters, window, max_run_bytes);
        }
    }

    /// Votes to revoke the leases that this limiter has not renewed for longer than they last.
    /// Returns the time in µs at which the next vote is due, unless a further peer dies before.
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

    /// Stops renewing the lease of a peer that this limiter now believes dead.
    pub fn on_peer_dead(&mut self, now: Micros, lease: &mut PeerLease) {
        lease.not_renewed_since.get_or_insert(now);
    }

    /// Resumes renewing the lease of a peer that this limiter now believes alive. If it has voted
    /// to revoke the lease, it first waits until that vote has expired at every limiter.
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
