//! Failure detection: direct probes in a shuffled round, indirect probes through other members, and
//! the local health that slows both down.

use super::action::Action;
use super::table::StateUpdate;
use super::View;
use crate::decision::Micros;
use crate::membership::datagram::MessageKind;
use crate::membership::member_state::MemberState;
use crate::membership::rejection::Rejection;

/// Members that are asked to ping a member that does not answer.
const INDIRECT_PROBES: usize = 3;
/// Time in protocol periods to wait for an ack before other members are asked.
const PROBE_TIMEOUT_PERIODS: f64 = 0.4;
/// Fraction of the own probes that may stay unanswered in good local health: with 6% of the datagrams
/// lost, 12% of the pings or their acks are.
const EXPECTED_LOSS: f64 = 0.15;
/// Factor by which the loss above [`EXPECTED_LOSS`] slows this member down.
const LOCAL_HEALTH_WEIGHT: f64 = 8.0;
/// Weight of the last probe in the moving average of lost probes.
const LOCAL_HEALTH_GAIN: f64 = 0.1;
/// The most pings sent for other members that wait for an ack.
const MAX_RELAYED_PROBES: usize = 32;
/// Time in protocol periods after which a relayed probe is given up.
const RELAYED_PROBE_PERIODS: Micros = 8;
/// Random draws for each member that [`View::random_alive`] returns at the most.
const DRAWS_PER_MEMBER: usize = 16;

/// The probe of the current protocol period.
pub(super) struct Probe {
    pub(super) target: usize,
    /// Sequence number of the ping.
    number: u64,
    /// When other members are asked.
    indirect_at: Micros,
    indirect_sent: bool,
    acknowledged: bool,
    indirectly_acknowledged: bool,
}

impl Probe {
    /// Returns when other members are to be asked to ping the target; `None` if they were or need not
    /// be.
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
    expires_at: Micros,
}

impl RelayedProbe {
    fn is_acknowledged(&self, now: Micros, sender: usize, acknowledged: u64) -> bool {
        self.target == sender && acknowledged >= self.number && now < self.expires_at
    }
}

impl View {
    /// Returns the factor, at least 1, by which this member slows its probes and time-outs down.
    ///
    /// It grows with the fraction of the own probes that are lost while others reach the same members,
    /// as the fault is then with this member or its network.
    pub fn local_health(&self) -> f64 {
        1.0 + LOCAL_HEALTH_WEIGHT * (self.probe_loss - EXPECTED_LOSS).max(0.0)
    }

    /// Ends the last probe: updates the local health, and suspects a member that nobody reached.
    pub(super) fn finish_probe(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let target = &self.members[probe.target];
        let alive = target.state.is_alive();
        let incarnation = target.incarnation;
        let unreachable = !probe.acknowledged && !probe.indirectly_acknowledged;
        // One member that nobody reaches is no evidence of a lossy network; two in a row are.
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

    /// Probes the next member alive, and pings a member that is not.
    pub(super) fn probe_next(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let target = self.next_alive();
        if let Some(target) = target {
            self.start_probe(now, target, actions);
        }
        // A lost member may have restarted, or a network partition may have healed.
        let lost_pings = if target.is_some() { 1 } else { INDIRECT_PROBES };
        for _ in 0..lost_pings {
            if let Some(lost) = self.next_lost() {
                self.send(now, lost, MessageKind::Ping(true), actions);
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

    /// Returns the next member alive of the round, which is shuffled before it begins.
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

    /// Returns the next member of the round that is not alive.
    fn next_lost(&mut self) -> Option<usize> {
        for _ in 0..self.round.len() {
            self.lost_position = (self.lost_position + 1) % self.round.len();
            let member = self.round[self.lost_position];
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
        for helper in self.random_alive(INDIRECT_PROBES, Some(target)) {
            self.send(
                now,
                helper,
                MessageKind::PingRequest(target as u32),
                actions,
            );
        }
    }

    /// Returns up to `limit` random members that are alive and not suspected, without this limiter
    /// and `excluded`.
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

    /// Records that `sender` has received the datagrams up to number `acknowledged`.
    pub(super) fn record_ack(&mut self, sender: usize, acknowledged: u64) {
        if let Some(probe) = &mut self.probe {
            if probe.target == sender && acknowledged >= probe.number {
                probe.acknowledged = true;
            }
        }
    }

    /// Records that another member has reached `target`.
    pub(super) fn record_indirect_ack(&mut self, target: usize) {
        if let Some(probe) = &mut self.probe {
            if probe.target == target && probe.indirect_sent {
                probe.indirectly_acknowledged = true;
            }
        }
    }

    /// Pings a member for another one.
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

    /// Notifies the members for which `target` was pinged that it has answered.
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
