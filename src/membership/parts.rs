//! Whose part of what the fleet shares may be used by others, so that all parts together stay within the whole
//! whatever each side of a split believes.
//!
//! Of its part a limiter keeps a share for good. The rest it holds by a lease, which more than half of the configured
//! limiters, itself among them, renew each time they speak to it while they hold it for living. Who takes it for dead
//! stops renewing, and once that has lasted longer than a lease says so to everybody: *released*. A limiter shares the
//! leased rest of another one with the living while more than half of the fleet has said released of it, each no longer
//! ago than a lease lasts; and who has said so renews that lease again only after such a time. Two such majorities have
//! a member in common, so that nobody holds its lease while others use its rest.
//!
//! In a large fleet a datagram carries a part of what its sender has released, and each part counts from its own age.
//!
//! Times are told without a common clock: what a peer says is at least as young as the last datagram of one's own that
//! it had heard when it spoke.

use super::released::{has, insert, parts, remove, window_bits, Encoding, ReleasedPart, SaidPart};
use crate::decision::{Micros, QuotaShares};

/// A lease lasts so long at the least, in µs.
const LEAST: Micros = 4_000_000;
/// Clocks run at the same pace to so much.
const DRIFT: f64 = 1.1;

/// How long a lease lasts: long enough to ask everybody in turn half as often again.
pub fn lease(period: Micros, limiters: u32) -> Micros {
    (period * u64::from(limiters) * 3 / 2).max(LEAST)
}

fn longer(lease: Micros) -> Micros {
    (lease as f64 * DRIFT) as Micros
}

/// What one limiter and one peer have said of leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PeerLease {
    /// The peer's lease has not been renewed since; none while it is.
    denied: Option<Micros>,
    /// It is not renewed before this time.
    regrant: Micros,
    /// The peer has renewed the own lease at this time or later.
    granted: Option<Micros>,
    /// Whom the peer has released, by windows of the set, without those at the end of which nothing was said.
    votes: Vec<Votes>,
}

/// What a peer has said of one window of the set of released leases, at this time or later.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Votes {
    said: Micros,
    bits: Vec<u8>,
}

impl PeerLease {
    /// To a peer of which nothing is known; an earlier process of this limiter may have said anything.
    pub fn new(now: Micros, lease: Micros) -> Self {
        Self {
            denied: Some(now),
            regrant: now + longer(lease),
            ..Self::default()
        }
    }

    /// Is the peer's lease renewed by what is said now?
    pub fn grants(&self, now: Micros) -> bool {
        self.denied.is_none() && now >= self.regrant
    }

    /// Takes what the peer said at `bound` or later: whether it renews the own lease, and whom it has released.
    pub fn told(&mut self, bound: Micros, grants: bool, released: Option<&SaidPart>) {
        if grants {
            self.granted = self.granted.max(Some(bound));
        }
        let Some(part) = released else { return };
        for (index, bits) in part.windows.iter().enumerate() {
            self.vote(part.first_window + index, bound, bits);
        }
    }

    fn vote(&mut self, window: usize, said: Micros, bits: &[u8]) {
        if self.votes.len() <= window {
            // Nobody in it was released before, nor is now.
            if bits.is_empty() {
                return;
            }
            self.votes.resize_with(window + 1, Votes::default);
        }
        let known = &mut self.votes[window];
        if known.said <= said {
            *known = Votes {
                said,
                bits: bits.to_vec(),
            };
        }
    }
}

/// Binary digits of a count in [`Tally`]: enough for every fleet that can be configured.
const TALLY_DIGITS: usize = 13;
/// Limiters whose counts share the words of [`Tally`].
const TALLY_LANES: usize = u64::BITS as usize;

/// Counts the votes on many limiters at once. Word `n` of `counts` holds digit `d` of the counts of 64 limiters in its
/// element `d`, so that a set of votes is added by a few operations a word. Counts begin so far below an overflow that
/// the vote which completes the majority overflows.
struct Tally {
    counts: Vec<[u64; TALLY_DIGITS]>,
}

impl Tally {
    fn new(size: usize, majority: usize) -> Self {
        let first = (1 << TALLY_DIGITS) - majority;
        let digits =
            std::array::from_fn(|digit| if first >> digit & 1 == 1 { u64::MAX } else { 0 });
        Self {
            counts: vec![digits; size.div_ceil(TALLY_LANES)],
        }
    }

    /// Adds a set of votes and calls `reached` with each limiter for which it completes the majority.
    fn add(&mut self, votes: &[u8], mut reached: impl FnMut(usize)) {
        for (word, (digits, bytes)) in self
            .counts
            .iter_mut()
            .zip(votes.chunks(TALLY_LANES / 8))
            .enumerate()
        {
            let mut lanes = [0; TALLY_LANES / 8];
            lanes[..bytes.len()].copy_from_slice(bytes);
            let mut carry = u64::from_le_bytes(lanes);
            for digit in digits {
                if carry == 0 {
                    break;
                }
                (*digit, carry) = (*digit ^ carry, *digit & carry);
            }
            while carry != 0 {
                reached(word * TALLY_LANES + carry.trailing_zeros() as usize);
                carry &= carry - 1;
            }
        }
    }
}

/// For each limiter of a window of `size` the time to which `majority` limiters have said released of it; `said` has
/// what each said of the window and to when that counts.
fn majority_ends(
    majority: usize,
    size: usize,
    mut said: Vec<(Micros, &[u8])>,
) -> Vec<Option<Micros>> {
    let mut ends = vec![None; size];
    if said.len() < majority {
        return ends;
    }
    said.sort_unstable_by_key(|(end, _)| std::cmp::Reverse(*end));
    let mut tally = Tally::new(size, majority);
    for (end, votes) in said {
        tally.add(votes, |who| {
            if let Some(known) = ends.get_mut(who) {
                *known = Some(end);
            }
        });
    }
    ends
}

/// Whom this limiter says released of, and how it says so.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Released {
    lease: Micros,
    limiters: u32,
    encoding: Encoding,
    /// A bit each, without the empty bytes at the end.
    bits: Vec<u8>,
    /// The same as it is carried in parts.
    parts: Vec<ReleasedPart>,
}

impl Released {
    /// Nobody yet.
    pub fn new(lease: Micros, limiters: u32, encoding: Encoding) -> Self {
        Self {
            lease,
            limiters,
            encoding,
            bits: Vec::new(),
            parts: Vec::new(),
        }
    }

    /// The whole set.
    pub fn bits(&self) -> &[u8] {
        &self.bits
    }

    /// Parts that say the whole set; none if nobody is released or the whole set is in every datagram.
    pub fn part_count(&self) -> usize {
        self.parts.len()
    }

    /// The part whose turn it is. Each part has its turn in a row of as many turns, and each row begins one part
    /// later, so that no part falls to questions alone: what an answer says is younger.
    pub fn part(&self, turn: usize) -> Option<&ReleasedPart> {
        let count = self.part_count();
        (count > 0).then(|| &self.parts[(turn + turn / count) % count])
    }

    fn encode(&mut self) {
        if let Encoding::Parts {
            window,
            most_run_bytes,
        } = self.encoding
        {
            self.parts = parts(&self.bits, self.limiters, window, most_run_bytes);
        }
    }

    /// Adds those whose lease was not renewed for longer than it lasts. Returns when the next one is due, if nobody
    /// else ceases to live.
    pub fn scan(&mut self, now: Micros, leases: &[PeerLease]) -> Micros {
        let (mut next, mut added) = (Micros::MAX, false);
        for (who, lease) in leases.iter().enumerate() {
            let Some(since) = lease.denied.filter(|_| !has(&self.bits, who)) else {
                continue;
            };
            let due = since + longer(self.lease);
            if now < due {
                next = next.min(due);
            } else {
                insert(&mut self.bits, who);
                added = true;
            }
        }
        if added {
            self.encode();
        }
        next
    }

    /// A peer has come to life, or has ceased to live, as this limiter sees it.
    pub fn changed(&mut self, now: Micros, who: usize, lives: bool, lease: &mut PeerLease) {
        if !lives {
            lease.denied = lease.denied.or(Some(now));
            return;
        }
        lease.denied = None;
        if has(&self.bits, who) {
            remove(&mut self.bits, who);
            self.encode();
            lease.regrant = lease.regrant.max(now + longer(self.lease));
        }
    }
}

/// From what was said: `living` and `ways` by number.
pub fn quota_shares(
    now: Micros,
    (me, kept): (u32, f64),
    living: &[bool],
    ways: &[PeerLease],
    released: &Released,
) -> QuotaShares {
    let (size, lease) = (ways.len(), released.lease);
    let others = || {
        ways.iter()
            .enumerate()
            .filter(|(who, _)| *who != me as usize)
            .map(|(_, way)| way)
    };
    let mut ends: Vec<_> = others()
        .filter_map(|way| way.granted.map(|at| at + lease))
        .collect();
    // It renews its own.
    let until = match size / 2 {
        0 => Micros::MAX,
        wanted if wanted <= ends.len() => {
            *ends
                .select_nth_unstable_by_key(wanted - 1, |end| std::cmp::Reverse(*end))
                .1
        }
        _ => 0,
    };
    let (majority, window) = (size / 2 + 1, released.encoding.window(size));
    let mut given = Vec::with_capacity(size);
    for number in 0..size.div_ceil(window) {
        // What it says itself it says now. Who says released of nobody has no vote to count.
        let own = (now + lease, window_bits(released.bits(), window, number));
        let theirs = others().filter_map(|way| way.votes.get(number));
        let theirs = theirs.map(|votes| (votes.said + lease, &*votes.bits));
        let counts = |(end, votes): &(Micros, &[u8])| now < *end && !votes.is_empty();
        let said = theirs.chain([own]).filter(counts).collect();
        given.extend(majority_ends(
            majority,
            window.min(size - number * window),
            said,
        ));
    }
    given
        .iter_mut()
        .zip(living)
        .filter(|(_, lives)| **lives)
        .for_each(|(end, _)| *end = None);
    let given_until = given.iter().flatten().min().copied().unwrap_or(Micros::MAX);
    let given_away = given.iter().map(Option::is_some).collect();
    let living = living.iter().filter(|lives| **lives).count() as u32;
    QuotaShares {
        limiter: me,
        guaranteed: kept,
        lease_ends: until,
        reassigned: given_away,
        reassigned_until: given_until,
        alive: living,
    }
}
