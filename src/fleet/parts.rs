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
//! Times are told without a common clock: what a peer says is at least as young as the last datagram of one's own that
//! it had heard when it spoke.

use crate::interface::Micros;

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
pub struct Way {
    /// The peer's lease has not been renewed since; none while it is.
    denied: Option<Micros>,
    /// It is not renewed before this time.
    regrant: Micros,
    /// The peer has renewed the own lease at this time or later.
    granted: Option<Micros>,
    /// And has said at this time or later who is released.
    said: Option<Micros>,
    released: Vec<u8>,
}

impl Way {
    /// To a peer of which nothing is known; an earlier process of this limiter may have said anything.
    pub fn new(now: Micros, lease: Micros) -> Self {
        Self { denied: Some(now), regrant: now + longer(lease), ..Self::default() }
    }

    /// Is the peer's lease renewed by what is said now?
    pub fn grants(&self, now: Micros) -> bool {
        self.denied.is_none() && now >= self.regrant
    }

    /// Takes what the peer said at `bound` or later.
    pub fn told(&mut self, bound: Micros, grants: bool, released: &[u8]) {
        if grants {
            self.granted = self.granted.max(Some(bound));
        }
        if self.said <= Some(bound) {
            (self.said, self.released) = (Some(bound), released.to_vec());
        }
    }
}

impl Default for Standing {
    fn default() -> Self {
        Self::even(0, 1)
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
        let digits = std::array::from_fn(|digit| if first >> digit & 1 == 1 { u64::MAX } else { 0 });
        Self { counts: vec![digits; size.div_ceil(TALLY_LANES)] }
    }

    /// Adds a set of votes and calls `reached` with each limiter for which it completes the majority.
    fn add(&mut self, votes: &[u8], mut reached: impl FnMut(usize)) {
        for (word, (digits, bytes)) in self.counts.iter_mut().zip(votes.chunks(TALLY_LANES / 8)).enumerate() {
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

/// For each limiter the time to which more than half of the fleet, of `size`, has said released of it; `said` has
/// what each said and to when that counts.
fn majority_ends(size: usize, mut said: Vec<(Micros, &[u8])>) -> Vec<Option<Micros>> {
    let majority = size / 2 + 1;
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

fn has(bits: &[u8], who: usize) -> bool {
    bits.get(who / 8).is_some_and(|byte| byte >> (who % 8) & 1 == 1)
}

/// Whom this limiter says released of: a bit each, without the noughts at the end.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Released {
    lease: Micros,
    bits: Vec<u8>,
    /// No lease that is not yet released can become so before this time.
    scan_at: Micros,
}

impl Released {
    /// Nobody yet.
    pub fn new(lease: Micros) -> Self {
        Self { lease, bits: Vec::new(), scan_at: 0 }
    }

    /// As it is said.
    pub fn bits(&self) -> &[u8] {
        &self.bits
    }

    /// Adds those whose lease was not renewed for longer than it lasts. Looks at every limiter only when one is due.
    pub fn scan(&mut self, now: Micros, ways: &[Way]) {
        if now < self.scan_at {
            return;
        }
        self.scan_at = Micros::MAX;
        for (who, way) in ways.iter().enumerate() {
            let Some(since) = way.denied.filter(|_| !has(&self.bits, who)) else { continue };
            let due = since + longer(self.lease);
            if now < due {
                self.scan_at = self.scan_at.min(due);
                continue;
            }
            if self.bits.len() <= who / 8 {
                self.bits.resize(who / 8 + 1, 0);
            }
            self.bits[who / 8] |= 1 << (who % 8);
        }
    }

    /// A peer has come to life, or has ceased to live, as this limiter sees it.
    pub fn changed(&mut self, now: Micros, who: usize, lives: bool, way: &mut Way) {
        if !lives {
            let since = *way.denied.get_or_insert(now);
            self.scan_at = self.scan_at.min(since + longer(self.lease));
            return;
        }
        way.denied = None;
        if has(&self.bits, who) {
            self.bits[who / 8] &= !(1 << (who % 8));
            while self.bits.last() == Some(&0) {
                self.bits.pop();
            }
            way.regrant = way.regrant.max(now + longer(self.lease));
        }
    }
}

/// What a limiter may count on.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// Own number.
    pub me: u32,
    /// Share of its part that it keeps whatever happens.
    pub kept: f64,
    /// Its lease lasts to this time.
    pub until: Micros,
    /// Of each configured limiter: its leased rest is shared among the others.
    pub given_away: Vec<bool>,
    /// And that is true to this time, whatever is heard meanwhile.
    pub given_until: Micros,
    /// Limiters held for living, itself among them.
    pub living: u32,
}

impl Standing {
    /// Without a view: everybody has an even part for good.
    pub fn even(me: u32, limiters: u32) -> Self {
        let (until, given_until) = (Micros::MAX, Micros::MAX);
        let given_away = vec![false; limiters.max(1) as usize];
        Self { me, kept: 1.0, until, given_away, given_until, living: limiters }
    }

    /// From what was said: `living` and `ways` by number.
    pub fn new(
        now: Micros,
        (me, kept): (u32, f64),
        living: &[bool],
        ways: &[Way],
        released: &Released,
    ) -> Self {
        let (size, lease) = (ways.len(), released.lease);
        let others = || ways.iter().enumerate().filter(|(who, _)| *who != me as usize).map(|(_, way)| way);
        let mut ends: Vec<_> = others().filter_map(|way| way.granted.map(|at| at + lease)).collect();
        // It renews its own.
        let until = match size / 2 {
            0 => Micros::MAX,
            wanted if wanted <= ends.len() => {
                *ends.select_nth_unstable_by_key(wanted - 1, |end| std::cmp::Reverse(*end)).1
            }
            _ => 0,
        };
        // What it says itself it says now. Who says released of nobody has no vote to count.
        let own = (now + lease, released.bits());
        let theirs = others().filter_map(|way| way.said.map(|at| (at + lease, &*way.released)));
        let counts = |(end, votes): &(Micros, &[u8])| now < *end && !votes.is_empty();
        let said: Vec<_> = theirs.chain([own]).filter(counts).collect();
        let mut given = majority_ends(size, said);
        given.iter_mut().zip(living).filter(|(_, lives)| **lives).for_each(|(end, _)| *end = None);
        let given_until = given.iter().flatten().min().copied().unwrap_or(Micros::MAX);
        let given_away = given.iter().map(Option::is_some).collect();
        let living = living.iter().filter(|lives| **lives).count() as u32;
        Self { me, kept, until, given_away, given_until, living }
    }

    /// The own part of what the limiters in `set` share, from 0 to 1; none if it is not among them.
    pub fn part(&self, now: Micros, set: impl Iterator<Item = u32> + Clone) -> Option<f64> {
        if !set.clone().any(|who| who == self.me) {
            return None;
        }
        let all = set.clone().count() as f64;
        let given = |who: u32| now < self.given_until && self.given_away[who as usize];
        let holders = set.filter(|who| !given(*who)).count() as f64;
        let leased = if now < self.until { (1.0 - self.kept) / holders } else { 0.0 };
        Some(self.kept / all + leased)
    }

    /// One over the own part of an account's quota that comes through `spread` limiters from number `first` on.
    pub fn parts(&self, now: Micros, first: u32, spread: u32) -> f64 {
        let size = self.given_away.len() as u32;
        if self.kept >= 1.0 {
            return f64::from(spread.max(1));
        }
        let spread = spread.clamp(1, size);
        let set = (0..spread).map(|n| (first % size + n) % size);
        // Alone, or outside of the account's set: as without a view.
        match self.part(now, set).filter(|_| spread > 1) {
            Some(part) => 1.0 / part,
            None => f64::from(spread),
        }
    }

    /// One over the own part of what the whole fleet shares.
    pub fn limiters(&self, now: Micros) -> f64 {
        match self.part(now, 0..self.given_away.len() as u32).filter(|_| self.kept < 1.0) {
            Some(part) => 1.0 / part,
            None => self.given_away.len() as f64,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEASE: Micros = 10;

    #[test]
    fn a_lease_needs_more_than_half_and_lasts_from_what_was_surely_heard() {
        let mut ways = vec![Way::default(), Way::new(0, LEASE), Way::new(0, LEASE)];
        let released = Released::new(LEASE);
        let until = |ways: &[Way]| Standing::new(100, (0, 0.5), &[true; 3], ways, &released).until;
        assert_eq!(until(&ways), 0);
        ways[1].told(90, true, &[]);
        assert_eq!(until(&ways), 100);
        // A later one that does not renew, or an older one that did, changes nothing.
        ways[1].told(95, false, &[]);
        ways[1].told(80, true, &[]);
        assert_eq!(until(&ways), 100);
        ways[2].told(97, true, &[]);
        assert_eq!(until(&ways), 107);
    }

    #[test]
    fn what_a_dead_one_leaves_is_shared_once_more_than_half_have_waited_a_lease() {
        let mut released = Released::new(LEASE);
        let mut ways = vec![Way::default(), Way::new(0, LEASE), Way::new(0, LEASE)];
        // Number 1 lives, number 2 dies at 20.
        released.changed(1, 1, true, &mut ways[1]);
        released.changed(1, 2, true, &mut ways[2]);
        released.changed(20, 2, false, &mut ways[2]);
        released.scan(30, &ways);
        assert!(released.bits().is_empty());
        released.scan(31, &ways);
        assert_eq!(released.bits(), [4]);
        let standing = |now, ways: &[Way], released: &Released| {
            Standing::new(now, (0, 0.5), &[true, true, false], ways, released)
        };
        ways[1].told(30, true, &[]);
        assert_eq!(standing(32, &ways, &released).given_away, [false; 3]);
        ways[1].told(31, true, &[4]);
        let now = standing(32, &ways, &released);
        assert_eq!(now.given_away, [false, false, true]);
        assert_eq!(now.part(32, 0..3), Some(0.5 / 3.0 + 0.25));
        // Without a lease it has what it keeps, and outside of a set nothing.
        assert_eq!((now.until, now.given_until), (41, 41));
        assert_eq!(now.part(41, 0..3), Some(0.5 / 3.0));
        assert_eq!(now.part(32, 1..3), None);
        assert_eq!(now.parts(32, 1, 2), 2.0);
        // What was said too long ago counts no more.
        assert_eq!(standing(41, &ways, &released).given_away, [false; 3]);
        // Back: renewed again only after everybody has forgotten that it was released.
        released.changed(35, 2, true, &mut ways[2]);
        assert!(released.bits().is_empty());
        assert!(!ways[2].grants(45) && ways[2].grants(46));
    }
}
