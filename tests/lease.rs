//! Every reachable state of the leases of three limiters, one of which is cut off: whatever the others believe of it at
//! any moment, whatever is said, heard late or lost, and whenever a core looks, nobody shares out what is still held.

use mossrill::decision::QuotaShares;
use mossrill::membership::format::Encoding;
use mossrill::membership::lease::{PeerLease, RevokedLeases};
use mossrill::membership::quota_shares::LeaseView;
use mossrill::membership::revocation::RevocationWindows;
use stateright::{Checker, Model, Property};

/// The shares of a limiter that keeps half of its share in any case.
fn quota_shares(
    now: u64,
    limiter: u32,
    alive: &[bool],
    leases: &[PeerLease],
    revoked: &RevokedLeases,
) -> QuotaShares {
    let view = LeaseView {
        limiter,
        guaranteed: 0.5,
        alive,
        leases,
        revoked,
    };
    view.quota_shares(now)
}

/// Notifies a limiter that it believes a peer alive or dead now.
fn believe(revoked: &mut RevokedLeases, now: u64, peer: usize, alive: bool, lease: &mut PeerLease) {
    if alive {
        revoked.on_peer_alive(now, peer, lease);
    } else {
        revoked.on_peer_dead(now, lease);
    }
}

/// A lease lasts a step of time, and a tenth longer where clocks may drift.
const STEP: u64 = 10;
const LEASE: u64 = STEP;
const LAST: u64 = 5 * STEP;
/// The one that is cut off, the one whose core shares out what it held, and one that helps either of them.
const CUT: usize = 2;
const OTHERS: [usize; 2] = [0, 1];

fn nobody_released() -> RevokedLeases {
    RevokedLeases::new(LEASE, 3, Encoding::Whole)
}

fn said(released: &RevokedLeases) -> RevocationWindows {
    RevocationWindows::whole(released.bits(), 3)
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    /// What numbers 0 and 1 believe of number 2.
    lives: [bool; 2],
    /// Ways of each limiter to each.
    ways: [[PeerLease; 3]; 3],
    released: [RevokedLeases; 3],
    /// What the core of number 0 was told last: its lease, whether it shares out what number 2 held, and to when. The
    /// core of number 2 has a lease as soon as it is renewed, and may use it to its end.
    told: (u64, bool, u64),
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Time,
    Believe(usize, bool),
    /// Is heard at once. What is heard late counts from when it was said, and so is no more than what was heard then
    /// and stood until now; of what is only known to be later than some moment, less follows.
    Say(usize),
    Tell,
}

/// The module of leases with one rule taken away, to see that its absence is found.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// Whoever takes the third for dead says released of it at once.
    Waiting,
    /// Who takes it for living again renews its lease at once.
    WaitingAgain,
}

struct Leases(Without);

impl State {
    fn standing(&self, who: usize) -> QuotaShares {
        let living: Vec<bool> = (0..3)
            .map(|other| who == CUT || other != CUT || self.lives[who])
            .collect();
        quota_shares(
            self.now,
            who as u32,
            &living,
            &self.ways[who],
            &self.released[who],
        )
    }

    fn tell(&mut self) {
        let standing = self.standing(0);
        self.told = (
            standing.lease_ends,
            standing.reassigned[CUT],
            standing.reassigned_until,
        );
    }

    /// Number 0 shares out what number 2 held.
    fn shares_out(&self) -> bool {
        let (until, given_away, given_until) = self.told;
        given_away && self.now < given_until && self.now < until
    }

    /// Number 2 holds its lease.
    fn holds(&self) -> bool {
        self.now < self.standing(CUT).lease_ends
    }
}

/// From whom and to whom each thing is said.
const WAYS: [(usize, usize); 3] = [(1, 0), (0, CUT), (1, CUT)];

impl Model for Leases {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        // Everybody has held everybody for living for long, and has just said so.
        let (mut way, mut released) = (PeerLease::new(0, 0), nobody_released());
        believe(&mut released, 0, 0, true, &mut way);
        way.on_datagram(LEASE, true, None);
        let own = PeerLease::default();
        let ways = std::array::from_fn(|who| {
            std::array::from_fn(|other| {
                if who == other {
                    own.clone()
                } else {
                    way.clone()
                }
            })
        });
        let mut state = State {
            now: LEASE,
            lives: [true; 2],
            ways,
            released: std::array::from_fn(|_| nobody_released()),
            told: Default::default(),
        };
        state.tell();
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < LAST {
            steps.push(Step::Time);
        }
        for who in OTHERS {
            steps.push(Step::Believe(who, !state.lives[who]));
        }
        steps.extend((0..WAYS.len()).map(Step::Say));
        steps.push(Step::Tell);
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        match step {
            Step::Time => {
                state.now += STEP;
                for who in OTHERS {
                    let ways = state.ways[who].clone();
                    state.released[who].revoke_expired(now + STEP, &ways);
                }
            }
            Step::Believe(who, lives) => {
                state.lives[who] = lives;
                let (ways, released) = (&mut state.ways[who], &mut state.released[who]);
                believe(released, now, CUT, lives, &mut ways[CUT]);
                match self.0 {
                    Without::Waiting if !lives => {
                        _ = released.revoke_expired(now + 10 * LEASE, &ways[..])
                    }
                    // As if nothing had been said of it.
                    Without::WaitingAgain if lives => {
                        ways[CUT] = PeerLease::new(0, 0);
                        believe(&mut nobody_released(), now, CUT, true, &mut ways[CUT]);
                    }
                    _ => {}
                }
            }
            Step::Say(way) => {
                let (who, to) = WAYS[way];
                let (grants, part) = (state.ways[who][to].grants(now), said(&state.released[who]));
                state.ways[to][who].on_datagram(now, grants, Some(&part));
            }
            Step::Tell => state.tell(),
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody shares out what is held", |_, s: &State| {
                !(s.shares_out() && s.holds())
            }),
            // Else the first could hold for want of anything happening.
            Property::sometimes("what it held is shared out", |_, s: &State| s.shares_out()),
            Property::sometimes("and it holds it again", |_, s: &State| {
                s.told.1 && !s.shares_out() && s.holds()
            }),
        ]
    }
}

fn checked(without: Without) -> impl Checker<Leases> {
    Leases(without).checker().threads(4).spawn_bfs().join()
}

#[test]
fn no_reachable_state_uses_more_than_the_whole() {
    let checker = checked(Without::Nothing);
    println!(
        "{} states, {} unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn without_either_wait_a_state_is_found_that_does() {
    for without in [Without::Waiting, Without::WaitingAgain] {
        let checker = checked(without);
        assert!(
            checker
                .discovery("nobody shares out what is held")
                .is_some(),
            "{without:?}"
        );
    }
}

/// A lease of the tests below, which tell the time themselves.
const SHORT: u64 = 10;

fn nobody() -> RevokedLeases {
    RevokedLeases::new(SHORT, 3, Encoding::Whole)
}

/// The whole set, as it is said.
fn whole(bits: &[u8]) -> Option<RevocationWindows> {
    Some(RevocationWindows::whole(bits, 3))
}

#[test]
fn a_lease_needs_more_than_half_and_lasts_from_what_was_surely_heard() {
    let mut ways = vec![
        PeerLease::default(),
        PeerLease::new(0, SHORT),
        PeerLease::new(0, SHORT),
    ];
    let released = nobody();
    let until = |ways: &[PeerLease]| quota_shares(100, 0, &[true; 3], ways, &released).lease_ends;
    assert_eq!(until(&ways), 0);
    ways[1].on_datagram(90, true, whole(&[]).as_ref());
    assert_eq!(until(&ways), 100);
    // A later one that does not renew, or an older one that did, changes nothing.
    ways[1].on_datagram(95, false, whole(&[]).as_ref());
    ways[1].on_datagram(80, true, whole(&[]).as_ref());
    assert_eq!(until(&ways), 100);
    ways[2].on_datagram(97, true, whole(&[]).as_ref());
    assert_eq!(until(&ways), 107);
}

#[test]
fn what_a_dead_one_leaves_is_shared_once_more_than_half_have_waited_a_lease() {
    let mut released = nobody();
    let mut ways = vec![
        PeerLease::default(),
        PeerLease::new(0, SHORT),
        PeerLease::new(0, SHORT),
    ];
    // Number 1 lives, number 2 dies at 20.
    believe(&mut released, 1, 1, true, &mut ways[1]);
    believe(&mut released, 1, 2, true, &mut ways[2]);
    believe(&mut released, 20, 2, false, &mut ways[2]);
    released.revoke_expired(30, &ways);
    assert!(released.bits().is_empty());
    released.revoke_expired(31, &ways);
    assert_eq!(released.bits(), [4]);
    let standing = |now, ways: &[PeerLease], released: &RevokedLeases| {
        quota_shares(now, 0, &[true, true, false], ways, released)
    };
    ways[1].on_datagram(30, true, whole(&[]).as_ref());
    assert_eq!(standing(32, &ways, &released).reassigned, [false; 3]);
    ways[1].on_datagram(31, true, whole(&[4]).as_ref());
    let now = standing(32, &ways, &released);
    assert_eq!(now.reassigned, [false, false, true]);
    assert_eq!(now.share(32, 0..3), Some(0.5 / 3.0 + 0.25));
    // Without a lease it has what it keeps, and outside of a set nothing.
    assert_eq!((now.lease_ends, now.reassigned_until), (41, 41));
    assert_eq!(now.share(41, 0..3), Some(0.5 / 3.0));
    assert_eq!(now.share(32, 1..3), None);
    assert_eq!(now.account_divisor(32, 1, 2), 2.0);
    // What was said too long ago counts no more.
    assert_eq!(standing(41, &ways, &released).reassigned, [false; 3]);
    // Back: renewed again only after everybody has forgotten that it was released.
    believe(&mut released, 35, 2, true, &mut ways[2]);
    assert!(released.bits().is_empty());
    assert!(!ways[2].grants(45) && ways[2].grants(46));
}

/// Twenty limiters in windows of eight; the last eleven are dead to all, and a part has one window.
#[test]
fn a_vote_counts_from_the_age_of_the_part_that_carried_it() {
    const SIZE: usize = 20;
    const ALIVE: usize = 9;
    let encoding = Encoding::Parts {
        window: 8,
        max_run_bytes: 0,
    };
    let mut released = RevokedLeases::new(SHORT, SIZE as u32, encoding);
    let mut ways = vec![PeerLease::new(0, SHORT); SIZE];
    ways[0] = PeerLease::default();
    (1..ALIVE).for_each(|who| believe(&mut released, 0, who, true, &mut ways[who]));
    released.revoke_expired(11, &ways);
    let parts: Vec<_> = (0..2)
        .map(|turn| released.part(turn).expect("a part").clone())
        .collect();
    assert_eq!((parts[0].first, parts[1].first), (8, 16));
    let said = |turn: usize| parts[turn].read(SIZE as u32, 8);
    let standing = |now, ways: &[PeerLease]| {
        let living: Vec<bool> = (0..SIZE).map(|who| who < ALIVE).collect();
        quota_shares(now, 0, &living, ways, &released)
    };
    // Ten others have said so of numbers 9 to 15 at 20, and of 16 to 19 at 25.
    for way in &mut ways[1..11] {
        way.on_datagram(20, true, said(0).as_ref());
    }
    assert_eq!(
        standing(26, &ways)
            .reassigned
            .iter()
            .filter(|given| **given)
            .count(),
        7
    );
    for way in &mut ways[1..11] {
        way.on_datagram(25, true, said(1).as_ref());
    }
    let both = standing(26, &ways);
    assert_eq!(
        both.reassigned,
        (0..SIZE).map(|who| who >= ALIVE).collect::<Vec<_>>()
    );
    assert_eq!(both.reassigned_until, 30);
    // The younger part does not make the older one younger.
    let later = standing(30, &ways);
    assert_eq!(
        later.reassigned,
        (0..SIZE).map(|who| who >= 16).collect::<Vec<_>>()
    );
    assert_eq!(later.reassigned_until, 35);
    // Nor does a renewal without a part.
    ways[1..11]
        .iter_mut()
        .for_each(|way| way.on_datagram(34, true, None));
    assert!(standing(35, &ways).reassigned.iter().all(|given| !given));
    // One vote less than a majority is none.
    for way in &mut ways[1..10] {
        way.on_datagram(40, true, said(0).as_ref());
    }
    assert!(standing(41, &ways).reassigned.iter().all(|given| !given));
}

/// Each part has its turn in a row of as many, and in what a peer asks beside three parts that it answers with.
#[test]
fn parts_take_turns_and_none_is_carried_by_questions_alone() {
    let encoding = Encoding::Parts {
        window: 8,
        max_run_bytes: 0,
    };
    for windows in 1..=6 {
        let size = 8 * windows;
        let mut released = RevokedLeases::new(SHORT, size as u32, encoding);
        released.revoke_expired(11, &vec![PeerLease::new(0, SHORT); size]);
        let firsts = |turns: &mut dyn Iterator<Item = usize>| {
            let mut firsts: Vec<_> = turns
                .map(|turn| released.part(turn).expect("a part").first)
                .collect();
            firsts.sort_unstable();
            firsts.dedup();
            firsts.len()
        };
        for first in 0..3 {
            let row = first * windows;
            assert_eq!(firsts(&mut (row..row + windows)), windows);
        }
        // A question, and an answer with what follows it.
        let exchange = 1 + windows.min(3);
        assert_eq!(
            firsts(&mut (0..exchange * windows * windows).step_by(exchange)),
            windows
        );
    }
}
