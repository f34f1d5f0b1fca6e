//! One limiter's view of the fleet: a state machine without I/O or a clock.
//!
//! Datagrams and the time come in, datagrams and state changes go out; the same seed gives the same
//! run. The design is in `docs/fleet.md`.
//!
//! The protocol is SWIM (Das, Gupta, Motivala, 2002): each member probes one other member after
//! another in a shuffled round, asks a few others to probe a member that does not answer, and
//! disseminates what it learns in the datagrams that it sends anyway. A member that learns of its own
//! suspicion or death refutes it with a higher incarnation. From Lifeguard come suspicions that time
//! out sooner when other members confirm them, and a local health that slows down a member whose
//! probes fail while others succeed. Space that is left in a datagram goes to the rest of the view, in
//! turn.

mod action;
mod gossip;
mod member;
mod probe;
mod receive;
mod send;
mod settings;
mod status;
mod suspicion;
mod table;
mod timeouts;
mod token_bucket;

use super::datagram::MessageKind;
use super::lease::{lease_duration, PeerLease, RevokedLeases};
use super::member_state::MemberState;
use super::quota_shares::LeaseView;
use crate::decision::{Micros, QuotaShares};
use member::Member;
use probe::{Probe, RelayedProbe};
use token_bucket::TokenBucket;

pub use action::{Action, StateChange};
pub use settings::ViewSettings;
pub use status::{Counters, MemberStatus};

/// Members alive that a member notifies when it leaves.
const LEAVE_FANOUT: usize = 8;
/// The protocol period varies by up to this fraction in either direction, at random.
const PERIOD_JITTER: f64 = 0.1;

/// The view. Vectors indexed by limiter have an entry for this limiter too.
pub struct View {
    settings: ViewSettings,
    /// Identifies this process to the others, not 0.
    session: u64,
    rng: fastrand::Rng,
    members: Vec<Member>,
    /// By limiter, apart from `members`, as each of these is often iterated alone: whether it is
    /// believed alive, in how many datagrams updates about it are still to be sent, and its leases.
    alive: Vec<bool>,
    retransmits: Vec<u32>,
    leases: Vec<PeerLease>,
    revoked: RevokedLeases,
    /// No member has to be forgotten, and no lease to be revoked, before these times.
    next_forget_at: Micros,
    next_revocation_at: Micros,
    /// The other limiters in the order in which they are probed, and in which lost ones are pinged.
    round: Vec<usize>,
    round_position: usize,
    lost_position: usize,
    /// The member whose update went last into the space that new updates had left.
    background_position: usize,
    probe: Option<Probe>,
    relayed: Vec<RelayedProbe>,
    next_probe_at: Micros,
    next_gossip_at: Micros,
    /// Members under suspicion, and members with new updates.
    suspects: Vec<usize>,
    pending_updates: Vec<usize>,
    /// Moving average of the own probes that were lost, from 0 to 1.
    probe_loss: f64,
    /// Nobody reached the target of the last probe.
    last_probe_failed: bool,
    send_limit: TokenBucket,
    receive_limit: TokenBucket,
    /// Limits the answers to datagrams that may be replays.
    unproven_limit: TokenBucket,
    leaving: bool,
    counters: Counters,
}

impl View {
    /// Returns a view that knows its seeds only. `incarnation` is Unix time in ms, or any number that
    /// usually grows from start to start; `seed` seeds the random numbers.
    pub fn new(settings: ViewSettings, incarnation: u64, seed: u64, now: Micros) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let own = settings.limiter as usize;
        let size = settings.limiters as usize;
        let lease = lease_duration(settings.protocol_period, settings.limiters);
        let mut leases = vec![PeerLease::new(now, lease); size];
        leases[own] = PeerLease::default();
        let mut round: Vec<usize> = (0..size).filter(|limiter| *limiter != own).collect();
        rng.shuffle(&mut round);
        let first_period = now + rng.u64(0..settings.protocol_period.max(1));
        let receive_rate = f64::from(settings.max_received_per_second);
        Self {
            session: rng.u64(1..),
            send_limit: TokenBucket::new(f64::from(settings.max_sent_per_second), now),
            receive_limit: TokenBucket::new(receive_rate, now),
            unproven_limit: TokenBucket::new(receive_rate / 2.0, now),
            rng,
            members: initial_members(&settings, incarnation, now),
            alive: (0..size).map(|limiter| limiter == own).collect(),
            retransmits: vec![0; size],
            leases,
            revoked: RevokedLeases::new(lease, settings.limiters, settings.encoding),
            next_forget_at: Micros::MAX,
            next_revocation_at: now,
            round,
            round_position: 0,
            lost_position: 0,
            background_position: 0,
            probe: None,
            relayed: Vec::new(),
            next_probe_at: first_period,
            next_gossip_at: first_period,
            suspects: Vec::new(),
            pending_updates: Vec::new(),
            probe_loss: 0.0,
            last_probe_failed: false,
            leaving: false,
            counters: Counters::default(),
            settings,
        }
    }

    /// Returns when [`wake`](Self::wake) is to be called next.
    pub fn next_wake(&self) -> Micros {
        let periodic = self.next_probe_at.min(self.next_gossip_at);
        periodic.min(self.indirect_probe_due().unwrap_or(Micros::MAX))
    }

    fn indirect_probe_due(&self) -> Option<Micros> {
        self.probe.as_ref().and_then(Probe::indirect_due)
    }

    /// Does what is due at `now`.
    pub fn wake(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.leaving {
            self.next_probe_at = Micros::MAX;
            self.next_gossip_at = Micros::MAX;
            self.probe = None;
            return;
        }
        if self.indirect_probe_due().is_some_and(|due| now >= due) {
            self.probe_indirectly(now, actions);
        }
        if now >= self.next_gossip_at {
            self.next_gossip_at = now + self.settings.protocol_period / 2;
            self.check_suspicions(now, actions);
            self.gossip(now, actions);
        }
        if now >= self.next_probe_at {
            let jitter = 1.0 - PERIOD_JITTER + 2.0 * PERIOD_JITTER * self.rng.f64();
            let period = self.settings.protocol_period as f64 * self.local_health() * jitter;
            self.next_probe_at = now + period as Micros;
            self.finish_probe(now, actions);
            self.probe_next(now, actions);
            self.revoke_expired_leases(now);
            self.forget_dead(now);
        }
    }

    /// Leaves the fleet, so that the others need not detect a failure.
    pub fn leave(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for member in self.random_alive(LEAVE_FANOUT, None) {
            self.send(now, member, MessageKind::Leave(true), actions);
        }
        let own = self.own_index();
        self.members[own].state = MemberState::Left;
        self.alive[own] = false;
        self.leaving = true;
    }

    /// Returns the quota shares that this limiter may use at `now`.
    pub fn quota_shares(&self, now: Micros) -> QuotaShares {
        let leases = LeaseView {
            limiter: self.settings.limiter,
            guaranteed: self.settings.guaranteed_share,
            alive: &self.alive,
            leases: &self.leases,
            revoked: &self.revoked,
        };
        leases.quota_shares(now)
    }

    /// Returns for each limiter whether it is believed alive.
    pub fn alive(&self) -> &[bool] {
        &self.alive
    }

    /// Returns the status of every member, by number.
    pub fn member_statuses(&self) -> Vec<MemberStatus> {
        let status = |(index, member): (usize, &Member)| MemberStatus {
            limiter: index as u32,
            address: member.address,
            state: member.state,
            since: member.since,
            incarnation: member.incarnation,
            version: member.version,
            reported_by: member.reported_by,
            last_received: member.last_received,
        };
        self.members.iter().enumerate().map(status).collect()
    }

    /// Returns the state of a member.
    ///
    /// # Panics
    ///
    /// If no limiter has this number.
    pub fn state(&self, member: usize) -> MemberState {
        self.members[member].state
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the settings.
    pub fn settings(&self) -> &ViewSettings {
        &self.settings
    }

    /// Returns the own incarnation.
    pub fn incarnation(&self) -> u64 {
        self.members[self.own_index()].incarnation
    }

    /// Returns the index of this limiter in vectors by limiter.
    fn own_index(&self) -> usize {
        self.settings.limiter as usize
    }
}

fn initial_members(settings: &ViewSettings, incarnation: u64, now: Micros) -> Vec<Member> {
    let mut members: Vec<Member> = (0..settings.limiters).map(|_| Member::default()).collect();
    for (limiter, address) in &settings.seeds {
        let member = &mut members[*limiter as usize];
        member.address = Some(*address);
        member.seed = true;
    }
    let own = &mut members[settings.limiter as usize];
    own.state = MemberState::Alive;
    own.incarnation = incarnation.max(1);
    own.since = now;
    own.reported_by = settings.limiter;
    own.version = settings.version;
    own.address = Some(settings.address);
    members
}
