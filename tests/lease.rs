//! Leases between limiters, and a model check of all their reachable states with three limiters.
//!
//! The model guards against a share that is used twice: reassigned by a majority while its holder's
//! lease still lasts. It covers every order of changed beliefs about one limiter, of datagrams that
//! arrive or are lost, and of times at which a core learns its shares.

use mossrill::decision::QuotaShares;
use mossrill::membership::format::Encoding;
use mossrill::membership::lease::{PeerLease, RevokedLeases};
use mossrill::membership::quota_shares::LeaseView;
use mossrill::membership::revocation::RevocationWindows;
use stateright::{Checker, Model, Property};

/// Returns the quota shares of a limiter whose guaranteed fraction is one half.
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

/// Records that a limiter believes a peer alive or dead from `now` on.
fn set_belief(
    revoked: &mut RevokedLeases,
    now: u64,
    peer: usize,
    alive: bool,
    lease: &mut PeerLease,
) {
    if alive {
        revoked.on_peer_alive(now, peer, lease);
    } else {
        revoked.on_peer_dead(now, lease);
    }
}

/// Time in µs by which the model advances in one step.
const STEP: u64 = 10;
/// Duration of a lease in µs. With the allowance for clock drift it is a tenth longer.
const LEASE: u64 = STEP;
/// Time in µs at which the model ends.
const END: u64 = 5 * STEP;
/// The limiter whose lease is revoked and renewed in the model.
const HOLDER: usize = 2;
/// The limiters that renew or revoke it. The core of limiter 0 uses the reassigned share; limiter 1
/// completes the majority of limiter 0 or of the holder.
const PEERS: [usize; 2] = [0, 1];

fn no_revocations() -> RevokedLeases {
    RevokedLeases::new(LEASE, 3, Encoding::Whole)
}

/// Returns the votes that a datagram carries for this set of revoked leases.
fn votes(revoked: &RevokedLeases) -> RevocationWindows {
    RevocationWindows::whole(revoked.bits(), 3)
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    /// Whether each of [`PEERS`] believes the holder alive.
    holder_alive: [bool; 2],
    /// The leases between each limiter and each of the others, by number.
    leases: [[PeerLease; 3]; 3],
    /// The leases that each limiter has voted to revoke.
    revoked: [RevokedLeases; 3],
    /// What was last reported to the core of limiter 0: the end of its lease, whether the holder's
    /// share is reassigned, and until when. The holder's core needs no report: it may use a renewed
    /// lease at once, and to its end.
    reported: (u64, bool, u64),
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Time advances by [`STEP`].
    Tick,
    /// A peer believes the holder alive or dead from now on.
    SetBelief(usize, bool),
    /// A datagram is sent on a link of [`LINKS`] and arrives at once. Late ones need no step of
    /// their own: a datagram counts from the time at which it was sent, so a late one allows no
    /// more than one that arrived at that time, and less if the receiver knows only a lower bound
    /// of that time.
    Deliver(usize),
    /// The core of limiter 0 learns its shares.
    ReportShares,
}

/// A rule that the model leaves out, to show that the check finds its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OmittedRule {
    None,
    /// A peer votes to revoke the holder's lease only after it has not renewed it for the time of a
    /// lease.
    RevocationDelay,
    /// A peer that has voted to revoke the lease renews it only after its vote has expired.
    RenewalDelay,
}

struct LeaseModel(OmittedRule);

impl State {
    fn quota_shares(&self, limiter: usize) -> QuotaShares {
        let alive: Vec<bool> = (0..3)
            .map(|other| limiter == HOLDER || other != HOLDER || self.holder_alive[limiter])
            .collect();
        quota_shares(
            self.now,
            limiter as u32,
            &alive,
            &self.leases[limiter],
            &self.revoked[limiter],
        )
    }

    fn report_shares(&mut self) {
        let shares = self.quota_shares(0);
        self.reported = (
            shares.lease_ends,
            shares.reassigned[HOLDER],
            shares.reassigned_until,
        );
    }

    /// Returns whether the core of limiter 0 uses its part of the holder's share.
    fn uses_reassigned_share(&self) -> bool {
        let (lease_ends, reassigned, reassigned_until) = self.reported;
        reassigned && self.now < reassigned_until && self.now < lease_ends
    }

    /// Returns whether the holder has a lease.
    fn holds_lease(&self) -> bool {
        self.now < self.quota_shares(HOLDER).lease_ends
    }
}

/// Sender and receiver of each link on which datagrams are sent.
const LINKS: [(usize, usize); 3] = [(1, 0), (0, HOLDER), (1, HOLDER)];

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        // All limiters have believed each other alive for long, and all leases were just renewed.
        let (mut lease, mut revoked) = (PeerLease::new(0, 0), no_revocations());
        set_belief(&mut revoked, 0, 0, true, &mut lease);
        lease.on_datagram(LEASE, true, None);
        let own = PeerLease::default();
        let leases = std::array::from_fn(|limiter| {
            std::array::from_fn(|other| {
                if limiter == other {
                    own.clone()
                } else {
                    lease.clone()
                }
            })
        });
        let mut state = State {
            now: LEASE,
            holder_alive: [true; 2],
            leases,
            revoked: std::array::from_fn(|_| no_revocations()),
            reported: Default::default(),
        };
        state.report_shares();
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < END {
            steps.push(Step::Tick);
        }
        for peer in PEERS {
            steps.push(Step::SetBelief(peer, !state.holder_alive[peer]));
        }
        steps.extend((0..LINKS.len()).map(Step::Deliver));
        steps.push(Step::ReportShares);
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        match step {
            Step::Tick => {
                state.now += STEP;
                for peer in PEERS {
                    let leases = state.leases[peer].clone();
                    state.revoked[peer].revoke_expired(now + STEP, &leases);
                }
            }
            Step::SetBelief(peer, alive) => {
                state.holder_alive[peer] = alive;
                let (leases, revoked) = (&mut state.leases[peer], &mut state.revoked[peer]);
                set_belief(revoked, now, HOLDER, alive, &mut leases[HOLDER]);
                match self.0 {
                    OmittedRule::RevocationDelay if !alive => {
                        _ = revoked.revoke_expired(now + 10 * LEASE, &leases[..])
                    }
                    // As if the peer had never voted to revoke the lease.
                    OmittedRule::RenewalDelay if alive => {
                        leases[HOLDER] = PeerLease::new(0, 0);
                        set_belief(
                            &mut no_revocations(),
                            now,
                            HOLDER,
                            true,
                            &mut leases[HOLDER],
                        );
                    }
                    _ => {}
                }
            }
            Step::Deliver(link) => {
                let (from, to) = LINKS[link];
                let renews = state.leases[from][to].renews(now);
                let votes = votes(&state.revoked[from]);
                state.leases[to][from].on_datagram(now, renews, Some(&votes));
            }
            Step::ReportShares => state.report_shares(),
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_DOUBLE_USE, |_, s: &State| {
                !(s.uses_reassigned_share() && s.holds_lease())
            }),
            // Without these two, the first property could hold because no share is ever reassigned.
            Property::sometimes("the holder's share is reassigned", |_, s: &State| {
                s.uses_reassigned_share()
            }),
            Property::sometimes(
                "the holder has a lease again after the reassignment",
                |_, s: &State| s.reported.1 && !s.uses_reassigned_share() && s.holds_lease(),
            ),
        ]
    }
}

/// Name of the property that the leases guarantee.
const NO_DOUBLE_USE: &str = "the holder's share is not reassigned while its lease lasts";

fn check(omitted: OmittedRule) -> impl Checker<LeaseModel> {
    LeaseModel(omitted).checker().threads(4).spawn_bfs().join()
}

#[test]
fn no_reachable_state_reassigns_a_share_while_its_lease_lasts() {
    let checker = check(OmittedRule::None);
    println!(
        "{} states, {} unique",
        checker.state_count(),
        checker.unique_state_count()
    );
    checker.assert_properties();
}

#[test]
fn check_finds_the_absence_of_either_delay() {
    for omitted in [OmittedRule::RevocationDelay, OmittedRule::RenewalDelay] {
        let checker = check(omitted);
        assert!(
            checker.discovery(NO_DOUBLE_USE).is_some(),
            "no state uses a share twice although the rule {omitted:?} is omitted"
        );
    }
}

/// Duration of a lease in µs in the tests below, which give each time explicitly.
const SHORT_LEASE: u64 = 10;

fn empty_revocations() -> RevokedLeases {
    RevokedLeases::new(SHORT_LEASE, 3, Encoding::Whole)
}

/// Returns the votes of a datagram that carries this set as a whole.
fn whole(bits: &[u8]) -> Option<RevocationWindows> {
    Some(RevocationWindows::whole(bits, 3))
}

#[test]
fn lease_needs_a_majority_and_counts_from_the_known_send_time() {
    let mut leases = vec![
        PeerLease::default(),
        PeerLease::new(0, SHORT_LEASE),
        PeerLease::new(0, SHORT_LEASE),
    ];
    let revoked = empty_revocations();
    let lease_end =
        |leases: &[PeerLease]| quota_shares(100, 0, &[true; 3], leases, &revoked).lease_ends;
    assert_eq!(lease_end(&leases), 0);
    leases[1].on_datagram(90, true, whole(&[]).as_ref());
    assert_eq!(lease_end(&leases), 100);
    // Neither a later datagram that does not renew the lease nor an older one that does changes its
    // end.
    leases[1].on_datagram(95, false, whole(&[]).as_ref());
    leases[1].on_datagram(80, true, whole(&[]).as_ref());
    assert_eq!(lease_end(&leases), 100);
    leases[2].on_datagram(97, true, whole(&[]).as_ref());
    assert_eq!(lease_end(&leases), 107);
}

#[test]
fn share_of_a_dead_peer_is_reassigned_once_a_majority_has_waited_a_lease() {
    let mut revoked = empty_revocations();
    let mut leases = vec![
        PeerLease::default(),
        PeerLease::new(0, SHORT_LEASE),
        PeerLease::new(0, SHORT_LEASE),
    ];
    // Limiter 1 stays alive, limiter 2 dies at 20.
    set_belief(&mut revoked, 1, 1, true, &mut leases[1]);
    set_belief(&mut revoked, 1, 2, true, &mut leases[2]);
    set_belief(&mut revoked, 20, 2, false, &mut leases[2]);
    revoked.revoke_expired(30, &leases);
    assert!(revoked.bits().is_empty());
    revoked.revoke_expired(31, &leases);
    assert_eq!(revoked.bits(), [4]);
    let shares = |now, leases: &[PeerLease], revoked: &RevokedLeases| {
        quota_shares(now, 0, &[true, true, false], leases, revoked)
    };
    leases[1].on_datagram(30, true, whole(&[]).as_ref());
    assert_eq!(shares(32, &leases, &revoked).reassigned, [false; 3]);
    leases[1].on_datagram(31, true, whole(&[4]).as_ref());
    let current = shares(32, &leases, &revoked);
    assert_eq!(current.reassigned, [false, false, true]);
    assert_eq!(current.share(32, 0..3), Some(0.5 / 3.0 + 0.25));
    // Without a lease the limiter has its guaranteed share only, and of a set without it no share.
    assert_eq!((current.lease_ends, current.reassigned_until), (41, 41));
    assert_eq!(current.share(41, 0..3), Some(0.5 / 3.0));
    assert_eq!(current.share(32, 1..3), None);
    assert_eq!(current.account_divisor(32, 1, 2), 2.0);
    // The vote that limiter 1 sent at 31 expires at 41.
    assert_eq!(shares(41, &leases, &revoked).reassigned, [false; 3]);
    // Limiter 2 is alive again at 35. Its lease is renewed only from 46 on, when this limiter's
    // vote to revoke it has expired everywhere.
    set_belief(&mut revoked, 35, 2, true, &mut leases[2]);
    assert!(revoked.bits().is_empty());
    assert!(!leases[2].renews(45) && leases[2].renews(46));
}

/// Twenty limiters in windows of eight. The last eleven are believed dead by all, and each part
/// carries one window.
#[test]
fn vote_is_as_old_as_the_part_that_carried_it() {
    const SIZE: usize = 20;
    const ALIVE: usize = 9;
    let encoding = Encoding::Parts {
        window: 8,
        max_run_bytes: 0,
    };
    let mut revoked = RevokedLeases::new(SHORT_LEASE, SIZE as u32, encoding);
    let mut leases = vec![PeerLease::new(0, SHORT_LEASE); SIZE];
    leases[0] = PeerLease::default();
    (1..ALIVE).for_each(|limiter| set_belief(&mut revoked, 0, limiter, true, &mut leases[limiter]));
    revoked.revoke_expired(11, &leases);
    let parts: Vec<_> = (0..2)
        .map(|turn| revoked.part(turn).expect("the set has two parts").clone())
        .collect();
    assert_eq!((parts[0].first, parts[1].first), (8, 16));
    let votes = |turn: usize| parts[turn].windows(SIZE as u32, 8);
    let shares = |now, leases: &[PeerLease]| {
        let alive: Vec<bool> = (0..SIZE).map(|limiter| limiter < ALIVE).collect();
        quota_shares(now, 0, &alive, leases, &revoked)
    };
    // Ten peers send their votes on limiters 9 to 15 at 20, and those on limiters 16 to 19 at 25.
    for lease in &mut leases[1..11] {
        lease.on_datagram(20, true, votes(0).as_ref());
    }
    assert_eq!(
        shares(26, &leases)
            .reassigned
            .iter()
            .filter(|reassigned| **reassigned)
            .count(),
        7
    );
    for lease in &mut leases[1..11] {
        lease.on_datagram(25, true, votes(1).as_ref());
    }
    let both = shares(26, &leases);
    assert_eq!(
        both.reassigned,
        (0..SIZE)
            .map(|limiter| limiter >= ALIVE)
            .collect::<Vec<_>>()
    );
    assert_eq!(both.reassigned_until, 30);
    // The part sent at 25 does not extend the votes in the part sent at 20.
    let later = shares(30, &leases);
    assert_eq!(
        later.reassigned,
        (0..SIZE).map(|limiter| limiter >= 16).collect::<Vec<_>>()
    );
    assert_eq!(later.reassigned_until, 35);
    // Nor does a datagram extend votes if it renews the lease but carries no part.
    leases[1..11]
        .iter_mut()
        .for_each(|lease| lease.on_datagram(34, true, None));
    assert!(shares(35, &leases)
        .reassigned
        .iter()
        .all(|reassigned| !reassigned));
    // Nine peers and this limiter are ten of twenty, one vote less than a majority.
    for lease in &mut leases[1..10] {
        lease.on_datagram(40, true, votes(0).as_ref());
    }
    assert!(shares(41, &leases)
        .reassigned
        .iter()
        .all(|reassigned| !reassigned));
}

/// Guards against parts that travel in pings only. A ping carries one part, and the answer to a
/// ping up to three: without the shift between rounds, pings could carry the same parts each time.
#[test]
fn each_round_of_turns_has_all_parts_and_no_part_is_sent_in_pings_only() {
    let encoding = Encoding::Parts {
        window: 8,
        max_run_bytes: 0,
    };
    for windows in 1..=6 {
        let size = 8 * windows;
        let mut revoked = RevokedLeases::new(SHORT_LEASE, size as u32, encoding);
        revoked.revoke_expired(11, &vec![PeerLease::new(0, SHORT_LEASE); size]);
        let distinct_parts = |turns: &mut dyn Iterator<Item = usize>| {
            let mut firsts: Vec<_> = turns
                .map(|turn| revoked.part(turn).expect("the set is not empty").first)
                .collect();
            firsts.sort_unstable();
            firsts.dedup();
            firsts.len()
        };
        for round in 0..3 {
            let start = round * windows;
            assert_eq!(distinct_parts(&mut (start..start + windows)), windows);
        }
        // The turns of one ping, and of an ack with the parts that follow it.
        let exchange = 1 + windows.min(3);
        assert_eq!(
            distinct_parts(&mut (0..exchange * windows * windows).step_by(exchange)),
            windows
        );
    }
}
