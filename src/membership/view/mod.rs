//! One limiter's view of the fleet: a state machine without input, output or clock. Datagrams and the time come in,
//! datagrams and changes go out; the same seed gives the same run. The design is in `docs/fleet.md`.
//!
//! It is SWIM: each member asks one other after another in a shuffled round, has a few others ask for it where no
//! answer comes, and tells what it learns along with what it sends anyway. A member that is told of as suspect, or
//! dead, says that it lives under a higher incarnation. Beyond that, a suspicion shortens as others confirm it, a
//! member that others vouch for doubts its own health and slows down, and what space is left in a datagram goes to
//! the rest of the view, in turn.

mod gossip;
mod member;
mod probe;
mod rate;
mod receive;
mod suspicion;
mod table;

use super::datagram::{Datagram, Fault, State, Word};
use super::parts::{self, quota_shares};
use super::released::Encoding;
use crate::decision::Micros;
use crate::decision::QuotaShares;
use member::Member;
use probe::{Probe, RelayedProbe};
use rate::TokenBucket;
use std::net::SocketAddrV4;

/// Living members that a member which leaves in order tells so.
const LEAVE_FANOUT: usize = 8;

/// What a view is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Own number.
    pub me: u32,
    /// Limiters that are configured.
    pub size: u32,
    /// How the set of released leases is carried.
    pub encoding: Encoding,
    /// The fleet's name.
    pub fleet: String,
    /// Where this one is reached.
    pub address: SocketAddrV4,
    /// Version of the program.
    pub version: u32,
    /// Where others are reached, by number. These addresses stand whatever is told.
    pub seeds: Vec<(u32, SocketAddrV4)>,
    /// Time in µs in which one other is asked.
    pub period: Micros,
    /// Datagrams sent a second at the most.
    pub out_per_s: u32,
    /// Datagrams taken in a second at the most.
    pub in_per_s: u32,
    /// Time in µs after which a dead member is no longer told of.
    pub forget: Micros,
    /// Share of its part that a limiter keeps whatever happens, from 0 to 1.
    pub kept: f64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this.
    Send(SocketAddrV4, Datagram),
    /// The state of a member has changed.
    Changed(Change),
}

/// A change of state.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Whose.
    pub who: u32,
    /// Before.
    pub before: State,
    /// Now.
    pub state: State,
    /// Of which incarnation.
    pub incarnation: u64,
    /// Who said so first.
    pub by: u32,
}

/// A member as operators are shown it.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Its number.
    pub who: u32,
    /// Where it is reached, if that is known.
    pub address: Option<SocketAddrV4>,
    /// Its state.
    pub state: State,
    /// Since when, on the view's clock.
    pub since: Micros,
    /// Its incarnation.
    pub incarnation: u64,
    /// Version of its program.
    pub version: u32,
    /// Who said so first.
    pub by: u32,
    /// When it was last heard of itself, proven to be fresh.
    pub heard: Option<Micros>,
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Datagrams not sent, as too many had been in that second.
    pub held_back: u64,
    /// Datagrams taken.
    pub taken: u64,
    /// Datagrams not taken, by [`Fault`].
    pub faults: [u64; Fault::ALL.len()],
    /// Members found dead by this one.
    pub found_dead: u64,
    /// Times that this one had to say that it lives.
    pub refuted: u64,
}

/// The view.
pub struct View {
    setup: Setup,
    session: u64,
    rng: fastrand::Rng,
    members: Vec<Member>,
    /// By number, beside `members`, as each of these is looked through often: who is held for living, datagrams that
    /// are still to tell of it, and what was said of leases.
    living: Vec<bool>,
    retransmits: Vec<u32>,
    leases: Vec<parts::PeerLease>,
    /// No member is to be forgotten, and no lease to be released, before these times.
    forget_at: Micros,
    release_at: Micros,
    /// Numbers of the others, in the order in which they are asked, and in which lost ones are.
    round: Vec<usize>,
    place: usize,
    lost: usize,
    /// Whose turn it is to be told of beside what is new.
    turn: usize,
    probe: Option<Probe>,
    relayed: Vec<RelayedProbe>,
    round_at: Micros,
    gossip_at: Micros,
    /// Members under suspicion, and members that are to be told of.
    suspects: Vec<usize>,
    fresh: Vec<usize>,
    /// Part of own questions that were lost, and whether the last one was.
    loss: f64,
    unanswered: bool,
    out: TokenBucket,
    taken: TokenBucket,
    strangers: TokenBucket,
    leaving: bool,
    released: parts::Released,
    counts: Counts,
}

impl View {
    /// A view that knows its seeds and nothing else. `incarnation` is Unix time in ms, or anything that mostly grows
    /// from start to start.
    pub fn new(setup: Setup, incarnation: u64, seed: u64, now: Micros) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (me, size) = (setup.me as usize, setup.size as usize);
        let mut members: Vec<Member> = (0..size).map(|_| Member::default()).collect();
        let lease = parts::lease(setup.period, setup.size);
        let mut leases = vec![parts::PeerLease::new(now, lease); size];
        leases[me] = parts::PeerLease::default();
        let living = (0..size).map(|who| who == me).collect();
        for (who, address) in &setup.seeds {
            let member = &mut members[*who as usize];
            (member.address, member.seed) = (Some(*address), true);
        }
        let own = &mut members[me];
        (own.state, own.incarnation, own.since) = (State::Alive, incarnation.max(1), now);
        (own.by, own.version, own.address) = (setup.me, setup.version, Some(setup.address));
        let mut round: Vec<usize> = (0..size).filter(|n| *n != me).collect();
        rng.shuffle(&mut round);
        let first = now + rng.u64(0..setup.period.max(1));
        Self {
            session: rng.u64(1..),
            out: TokenBucket::new(f64::from(setup.out_per_s), now),
            taken: TokenBucket::new(f64::from(setup.in_per_s), now),
            strangers: TokenBucket::new(f64::from(setup.in_per_s) / 2.0, now),
            rng,
            members,
            living,
            retransmits: vec![0; size],
            leases,
            forget_at: Micros::MAX,
            release_at: now,
            round,
            place: 0,
            lost: 0,
            turn: 0,
            probe: None,
            relayed: Vec::new(),
            round_at: first,
            gossip_at: first,
            suspects: Vec::new(),
            fresh: Vec::new(),
            loss: 0.0,
            unanswered: false,
            leaving: false,
            released: parts::Released::new(lease, setup.size, setup.encoding),
            counts: Counts::default(),
            setup,
        }
    }

    /// When it is to be woken.
    pub fn next(&self) -> Micros {
        let ask = self
            .probe
            .as_ref()
            .filter(|p| !p.indirect_sent && !p.acked)
            .map(|p| p.indirect_at);
        self.round_at
            .min(self.gossip_at)
            .min(ask.unwrap_or(Micros::MAX))
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.leaving {
            (self.round_at, self.gossip_at, self.probe) = (Micros::MAX, Micros::MAX, None);
            return;
        }
        if self
            .probe
            .as_ref()
            .is_some_and(|p| !p.indirect_sent && !p.acked && now >= p.indirect_at)
        {
            self.probe_indirectly(now, actions);
        }
        if now >= self.gossip_at {
            self.gossip_at = now + self.setup.period / 2;
            self.check_suspicions(now, actions);
            self.gossip(now, actions);
        }
        if now >= self.round_at {
            let wait =
                self.setup.period as f64 * self.local_health() * (0.9 + 0.2 * self.rng.f64());
            self.round_at = now + wait as Micros;
            self.finish_probe(now, actions);
            self.probe_next(now, actions);
            self.forget(now);
        }
    }

    /// Leaves in order: the others need not find out.
    pub fn leave(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for to in self.random_living(LEAVE_FANOUT, None) {
            self.send(now, to, Word::Leave(true), actions);
        }
        self.members[self.setup.me as usize].state = State::Left;
        self.living[self.setup.me as usize] = false;
        self.leaving = true;
    }

    /// What this limiter may count on now.
    pub fn standing(&self, now: Micros) -> QuotaShares {
        quota_shares(
            now,
            (self.setup.me, self.setup.kept),
            &self.living,
            &self.leases,
            &self.released,
        )
    }

    /// Members held for living, this one among them.
    pub fn living(&self) -> &[bool] {
        &self.living
    }

    /// Every member.
    pub fn rows(&self) -> Vec<Row> {
        let row = |(who, m): (usize, &Member)| Row {
            who: who as u32,
            address: m.address,
            state: m.state,
            since: m.since,
            incarnation: m.incarnation,
            version: m.version,
            by: m.by,
            heard: m.heard,
        };
        self.members.iter().enumerate().map(row).collect()
    }

    /// State of a member.
    pub fn state(&self, who: usize) -> State {
        self.members[who].state
    }

    /// What was counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// How this view was set up.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// Own incarnation.
    pub fn incarnation(&self) -> u64 {
        self.members[self.setup.me as usize].incarnation
    }
}
