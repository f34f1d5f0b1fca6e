//! One limiter's view of the fleet: a state machine without I/O or a clock.
//!
//! Its inputs are the time and received datagrams; its outputs are datagrams to send and changes of
//! members' states. With the same seed, the same inputs give the same outputs. The design is in
//! `docs/fleet.md`.
//!
//! The protocol is SWIM (Das, Gupta, Motivala, 2002): each member probes one other member after
//! another in a shuffled round, asks a few others to probe a member that does not answer, and
//! piggybacks updates on the datagrams that it sends anyway. A member that learns that it is
//! suspected or declared dead refutes this with a higher incarnation. Two extensions come from
//! Lifeguard: a suspicion times out sooner when other members confirm it, and the local health
//! slows down a member whose probes fail while those of others succeed. Space that new updates
//! leave in a datagram is filled with updates about the rest of the view, in turn.

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

/// Number of members alive that a leaving member notifies.
const LEAVE_FANOUT: usize = 8;
/// Fraction by which each protocol period is at most made longer or shorter, at random.
const PERIOD_JITTER: f64 = 0.1;

/// One limiter's view of the fleet. Vectors indexed by limiter have an entry for this limiter too.
pub struct View {
    settings: ViewSettings,
    /// Random number that identifies this process to the others, never 0.
    session: u64,
    rng: fastrand::Rng,
    members: Vec<Member>,
    /// Whether each limiter is believed alive. This and the next two vectors are kept apart from
    /// `members`, as each of them is often iterated alone.
    alive: Vec<bool>,
    /// Number of datagrams in which the update about each limiter is still to be sent.
    retransmits: Vec<u32>,
    /// The leases between this limiter and each peer.
    leases: Vec<PeerLease>,
    revoked: RevokedLeases,
    /// Time in µs before which no member is to be forgotten.
    next_forget_at: Micros,
    /// Time in µs before which no lease is to be revoked.
    next_revocation_at: Micros,
    /// The other limiters in the order in which they are probed.
    round: Vec<usize>,
    /// Index in `round` of the next member to consider for a probe.
    round_position: usize,
    /// Index in `round` of the last member not alive that was pinged.
    not_alive_position: usize,
    /// The member last considered for the space that new updates left in a datagram.
    background_position: usize,
    /// The probe of the current protocol period.
    probe: Option<Probe>,
    /// Pings sent for other members.
    relayed: Vec<RelayedProbe>,
    next_probe_at: Micros,
    next_gossip_at: Micros,
    suspects: Vec<usize>,
    /// Members about which new updates are to be sent.
    pending_updates: Vec<usize>,
    /// Moving average of the fraction of this member's own probes that are lost, from 0 to 1.
    probe_loss: f64,
    /// Whether neither this member nor another one reached the target of the last probe.
    last_probe_failed: bool,
    send_limit: TokenBucket,
    receive_limit: TokenBucket,
    /// Limits the answers to datagrams that may be replays.
    unproven_limit: TokenBucket,
    /// Whether this limiter has left the fleet. The view sends nothing more then.
    leaving: bool,
    counters: Counters,
}

impl View {
    /// Returns a view that knows only the configured seeds. `incarnation` is Unix time in ms, or
    /// any number that usually grows from one start to the next; `seed` is that of the random
    /// number generator.
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
            not_alive_position: 0,
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

    /// Returns the time in µs at which [`wake`](Self::wake) is to be called next.
    pub fn next_wake(&self) -> Micros {
        let periodic = self.next_probe_at.min(self.next_gossip_at);
        periodic.min(self.indirect_probe_due().unwrap_or(Micros::MAX))
    }

    /// Returns the time in µs at which other members are to be asked to ping the target of the
    /// probe.
    fn indirect_probe_due(&self) -> Option<Micros> {
        self.probe.as_ref().and_then(Probe::indirect_due)
    }

    /// Runs the work that is due at `now`: probes, gossip, and whatever has timed out.
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

    /// Leaves the fleet and notifies some members, so that they need not detect a failure.
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

    /// Returns the status of each member, in the order of their numbers.
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

    /// Returns the incarnation of this limiter.
    pub fn incarnation(&self) -> u64 {
        self.members[self.own_index()].incarnation
    }

    /// Returns the index of this limiter in the vectors indexed by limiter.
    fn own_index(&self) -> usize {
        self.settings.limiter as usize
    }
}

/// Returns the members at the start of a view: only this limiter is alive, and only the addresses
/// of this limiter and the seeds are known.
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
