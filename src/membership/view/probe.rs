//! Failure detection: direct probes in a shuffled round, indirect probes through other members, and
//! the local health that slows both down.

use super::action::Action;
use super::table::StateUpdate;
use super::View;
use crate::decision::Micros;
use crate::membership::datagram::MessageKind;
use crate::membership::member_state::MemberState;
use crate::membership::rejection::Rejection;

/// Number of members that are asked to ping a member that does not answer.
const INDIRECT_PROBES: usize = 3;
/// Time in protocol periods to wait for an ack before other members are asked to ping the target.
const PROBE_TIMEOUT_PERIODS: f64 = 0.4;
/// Fraction of a member's own probes that may stay unanswered without impairing its local health.
/// If 6% of the datagrams are lost, 12% of the probes lose their ping or ack.
const EXPECTED_LOSS: f64 = 0.15;
/// Increase of the local health factor for each unit of probe loss above [`EXPECTED_LOSS`].
const LOCAL_HEALTH_WEIGHT: f64 = 8.0;
/// Weight of the last probe in the moving average of lost probes.
const LOCAL_HEALTH_GAIN: f64 = 0.1;
/// Maximum number of pings sent for other members that may wait for an ack at a time.
const MAX_RELAYED_PROBES: usize = 32;
/// Time in protocol periods after which an unanswered relayed probe is discarded.
const RELAYED_PROBE_PERIODS: Micros = 8;
/// Maximum number of random draws of [`View::random_alive`] for each member requested.
const DRAWS_PER_MEMBER: usize = 16;

/// The probe of the current protocol period.
pub(super) struct Probe {
    pub(super) target: usize,
    /// Sequence number of the ping.
    number: u64,
    /// Time in µs at which other members are asked to ping the target.
    indirect_at: Micros,
    indirect_sent: bool,
    acknowledged: bool,
    indirectly_acknowledged: bool,
}

impl Probe {
    /// Returns the time in µs at which other members are to be asked to ping the target; `None` if
    /// they have been asked or the target has answered.
    pub(super) fn indirect_due(&self) -> Option<Micros> {
        if self.indirect_sent || self.acknowledged {
            return None;
        }
        Some(self.indirect_at)
    }
}

/// A ping sent for another member.
pub(super) struct RelayedProbe {
    requester: usize,
    target: usize,
    /// Sequence number of the ping.
    number: u64,
    /// Time in µs after which an ack no longer counts.
    expires_at: Micros,
}

impl RelayedProbe {
    /// Returns whether a datagram of `sender` that acknowledges this number answers the ping.
    fn is_acknowledged(&self, now: Micros, sender: usize, acknowledged: u64) -> bool {
        self.target == sender && acknowledged >= self.number && now < self.expires_at
    }
}

impl View {
    /// Returns the factor, at least 1, by which this member lengthens its protocol period and
    /// time-outs.
    ///
    /// It grows with the fraction of its own probes that are lost while other members reach the
    /// same targets, as the fault then lies with this member or its network.
    pub fn local_health(&self) -> f64 {
        1.0 + LOCAL_HEALTH_WEIGHT * (self.probe_loss - EXPECTED_LOSS).max(0.0)
    }

    /// Ends the last probe: updates the local health, and suspects the target if no member reached
    /// it.
    pub(super) fn finish_probe(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let target = &self.members[probe.target];
        let alive = target.state.is_alive();
        let incarnation = target.incarnation;
        let unreachable = !probe.acknowledged && !probe.indirectly_acknowledged;
        // A single target that no member reaches has probably failed and is no evidence of a lossy
        // network; two in a row are.
        if !unreachable || self.last_probe_failed {
            let lost = if probe.acknowledged { 0.0 } else { 1.0 };
            self.probe_loss += LOCAL_HEALTH_GAIN * (lost - self.probe_loss);
        }
        self.last_probe_failed = unreachable;
        if unreachable && alive {
            let update = StateUpdate {
                member: probe.target,
                state: MemberState::Suspect,
                incarnation,
                contact: None,
                reported_by: self.settings.limiter,
            };
            self.apply_update(now, update, actions);
        }
    }

    /// Probes the next member alive, and pings a member that is not alive, or several if none is
    /// alive.
    pub(super) fn probe_next(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let target = self.next_alive();
        if let Some(target) = target {
            self.start_probe(now, target, actions);
        }
        // A member not alive may have restarted, or a network partition may have healed.
        let pings = if target.is_some() { 1 } else { INDIRECT_PROBES };
        for _ in 0..pings {
            if let Some(member) = self.next_not_alive() {
                self.send(now, member, MessageKind::Ping(true), actions);
            }
        }
    }

    fn start_probe(&mut self, now: Micros, target: usize, actions: &mut Vec<Action>) {
        if !self.send(now, target, MessageKind::Ping(true), actions) {
            return;
        }
        let period = self.settings.protocol_period as f64;
        let timeout = period * PROBE_TIMEOUT_PERIODS * self.local_health();
        self.probe = Some(Probe {
            target,
            number: self.members[target].last_sent,
            indirect_at: now + timeout as Micros,
            indirect_sent: false,
            acknowledged: false,
            indirectly_acknowledged: false,
        });
    }

    /// Returns the next member alive in the round, which is shuffled anew whenever it begins.
    fn next_alive(&mut self) -> Option<usize> {
        for _ in 0..self.round.len() {
            if self.round_position == 0 {
                self.rng.shuffle(&mut self.round);
            }
            let member = self.round[self.round_position];
            self.round_position = (self.round_position + 1) % self.round.len();
            if self.alive[member] && self.members[member].address.is_some() {
                return Some(member);
            }
        }
        None
    }

    /// Returns the next member in the round that is not alive but has an address.
    fn next_not_alive(&mut self) -> Option<usize> {
        for _ in 0..self.round.len() {
            self.not_alive_position = (self.not_alive_position + 1) % self.round.len();
            let member = self.round[self.not_alive_position];
            if !self.alive[member] && self.members[member].address.is_some() {
                return Some(member);
            }
        }
        None
    }

    /// Asks other members to ping the target, which has not answered in time.
    pub(super) fn probe_indirectly(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(probe) = &mut self.probe else { return };
        probe.indirect_sent = true;
        let target = probe.target;
        for relay in self.random_alive(INDIRECT_PROBES, Some(target)) {
            self.send(now, relay, MessageKind::PingRequest(target as u32), actions);
        }
    }

    /// Returns up to `limit` random members that are alive and not suspected, other than this
    /// limiter and `excluded`.
    pub(super) fn random_alive(&mut self, limit: usize, excluded: Option<usize>) -> Vec<usize> {
        let mut chosen = Vec::new();
        for _ in 0..self.round.len().min(DRAWS_PER_MEMBER * limit) {
            let member = self.round[self.rng.usize(..self.round.len())];
            let eligible = Some(member) != excluded
                && self.members[member].state == MemberState::Alive
                && !chosen.contains(&member);
            if chosen.len() < limit && eligible {
                chosen.push(member);
            }
        }
        chosen
    }

    /// Records that `sender` has acknowledged the sequence number `acknowledged`, which answers the
    /// current probe if its ping was not sent later.
    pub(super) fn record_ack(&mut self, sender: usize, acknowledged: u64) {
        if let Some(probe) = &mut self.probe {
            if probe.target == sender && acknowledged >= probe.number {
                probe.acknowledged = true;
            }
        }
    }

    /// Records that another member has reached `target` for this limiter.
    pub(super) fn record_indirect_ack(&mut self, target: usize) {
        if let Some(probe) = &mut self.probe {
            if probe.target == target && probe.indirect_sent {
                probe.indirectly_acknowledged = true;
            }
        }
    }

    /// Pings `target` for the member `requester`.
    pub(super) fn relay_probe(
        &mut self,
        now: Micros,
        requester: usize,
        target: usize,
        actions: &mut Vec<Action>,
    ) {
        if target >= self.members.len() || target == requester || target == self.own_index() {
            return self.count_rejection(Rejection::OutOfRange);
        }
        self.relayed.retain(|probe| now < probe.expires_at);
        if self.relayed.len() >= MAX_RELAYED_PROBES {
            return;
        }
        if self.send(now, target, MessageKind::Ping(true), actions) {
            self.relayed.push(RelayedProbe {
                requester,
                target,
                number: self.members[target].last_sent,
                expires_at: now + RELAYED_PROBE_PERIODS * self.settings.protocol_period,
            });
        }
    }

    /// Sends an indirect ack to each member for which `target` was pinged, if `acknowledged`
    /// answers the ping.
    pub(super) fn relay_ack(
        &mut self,
        now: Micros,
        target: usize,
        acknowledged: u64,
        actions: &mut Vec<Action>,
    ) {
        let mut requesters = Vec::new();
        self.relayed.retain(|probe| {
            let answered = probe.is_acknowledged(now, target, acknowledged);
            if answered {
                requesters.push(probe.requester);
            }
            !answered
        });
        for requester in requesters {
            self.send(
                now,
                requester,
                MessageKind::IndirectAck(target as u32),
                actions,
            );
        }
    }
}
