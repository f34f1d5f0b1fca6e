//! Failure detection: direct probes in a shuffled round, indirect probes through others, and local health.

use super::table::Update;
use super::{Action, View};
use crate::decision::Micros;
use crate::membership::datagram::{Fault, State, Word};

/// Others that are asked to ask for one who does not answer.
const INDIRECT_PROBES: usize = 3;

/// An answer is waited for so long, in periods, before others are asked.
const PROBE_TIMEOUT_PERIODS: f64 = 0.4;

/// Of one's own questions so many may stay unanswered before one doubts oneself: with 6% of the datagrams lost, 12%
/// of the questions and answers are.
const EXPECTED_LOSS: f64 = 0.15;

/// How far doubt slows a member down, at the most.
const LOCAL_HEALTH_WEIGHT: f64 = 8.0;
const LOCAL_HEALTH_GAIN: f64 = 0.1;

/// Questions asked for others that are remembered.
const MAX_RELAYED_PROBES: usize = 32;

/// A question that is out.
pub(super) struct Probe {
    pub(super) target: usize,
    pub(super) number: u64,
    pub(super) indirect_at: Micros,
    pub(super) indirect_sent: bool,
    pub(super) acked: bool,
    pub(super) indirect_ack: bool,
}

/// A question asked for another member.
pub(super) struct RelayedProbe {
    pub(super) asker: usize,
    pub(super) target: usize,
    pub(super) number: u64,
    pub(super) until: Micros,
}

impl View {
    /// How much slower than usual: a member whose questions are lost, though others are answered, is the one that is
    /// ill, or all of them are.
    pub fn local_health(&self) -> f64 {
        1.0 + LOCAL_HEALTH_WEIGHT * (self.loss - EXPECTED_LOSS).max(0.0)
    }

    /// Ends the last probe: nobody reached the member, or local health has changed.
    pub(super) fn finish_probe(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let target = &self.members[probe.target];
        let (lives, incarnation) = (target.state.lives(), target.incarnation);
        let silent = !probe.acked && !probe.indirect_ack;
        // One that nobody reaches says nothing of the way there; two in a row do.
        if !silent || self.unanswered {
            let lost = f64::from(u8::from(!probe.acked));
            self.loss += LOCAL_HEALTH_GAIN * (lost - self.loss);
        }
        self.unanswered = silent;
        if silent && lives {
            let (who, state, by) = (probe.target, State::Suspect, self.setup.me);
            self.apply_update(
                now,
                Update {
                    who,
                    state,
                    incarnation,
                    contact: None,
                    by,
                },
                actions,
            );
        }
    }

    /// Probes the next living member, and a member that is not living.
    pub(super) fn probe_next(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let target = self.next_living();
        if let Some(target) =
            target.filter(|target| self.send(now, *target, Word::Ping(true), actions))
        {
            let wait = self.setup.period as f64 * PROBE_TIMEOUT_PERIODS * self.local_health();
            self.probe = Some(Probe {
                target,
                number: self.members[target].number,
                indirect_at: now + wait as Micros,
                indirect_sent: false,
                acked: false,
                indirect_ack: false,
            });
        }
        // Who is not among the living may be back, or on the other side of a split that has healed.
        let lost_probes = if target.is_some() { 1 } else { INDIRECT_PROBES };
        for _ in 0..lost_probes {
            if let Some(lost) = self.next_lost() {
                self.send(now, lost, Word::Ping(true), actions);
            }
        }
    }

    /// The next living member of the round, which is shuffled before it begins.
    fn next_living(&mut self) -> Option<usize> {
        (0..self.round.len()).find_map(|_| {
            if self.place == 0 {
                self.rng.shuffle(&mut self.round);
            }
            let who = self.round[self.place];
            self.place = (self.place + 1) % self.round.len();
            (self.living[who] && self.members[who].address.is_some()).then_some(who)
        })
    }

    /// The next member of the round that is not living.
    fn next_lost(&mut self) -> Option<usize> {
        (0..self.round.len()).find_map(|_| {
            self.lost = (self.lost + 1) % self.round.len();
            let who = self.round[self.lost];
            (!self.living[who] && self.members[who].address.is_some()).then_some(who)
        })
    }

    /// Asks others to probe the member that has not answered in time.
    pub(super) fn probe_indirectly(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(probe) = &mut self.probe else { return };
        probe.indirect_sent = true;
        let target = probe.target;
        for helper in self.random_living(INDIRECT_PROBES, Some(target)) {
            self.send(now, helper, Word::Ask(target as u32), actions);
        }
    }

    /// Living members by chance, without this one.
    pub(super) fn random_living(&mut self, most: usize, without: Option<usize>) -> Vec<usize> {
        let mut some = Vec::new();
        for _ in 0..self.round.len().min(16 * most) {
            let who = self.round[self.rng.usize(..self.round.len())];
            if some.len() < most
                && Some(who) != without
                && self.members[who].state == State::Alive
                && !some.contains(&who)
            {
                some.push(who);
            }
        }
        some
    }

    /// Probes a member for another one.
    pub(super) fn relay_probe(
        &mut self,
        now: Micros,
        asker: usize,
        target: usize,
        actions: &mut Vec<Action>,
    ) {
        if target >= self.members.len() || target == asker || target == self.setup.me as usize {
            return self.fault(Fault::Strange);
        }
        self.relayed.retain(|asked| now < asked.until);
        if self.relayed.len() < MAX_RELAYED_PROBES
            && self.send(now, target, Word::Ping(true), actions)
        {
            let (number, until) = (self.members[target].number, now + 8 * self.setup.period);
            self.relayed.push(RelayedProbe {
                asker,
                target,
                number,
                until,
            });
        }
    }

    /// Tells those for whom a member was probed that it has answered.
    pub(super) fn relay_ack(
        &mut self,
        now: Micros,
        target: usize,
        heard: u64,
        actions: &mut Vec<Action>,
    ) {
        let acked = |a: &RelayedProbe| a.target == target && heard >= a.number && now < a.until;
        let askers: Vec<_> = self
            .relayed
            .iter()
            .filter(|a| acked(a))
            .map(|a| a.asker)
            .collect();
        self.relayed.retain(|a| !acked(a));
        for asker in askers {
            self.send(now, asker, Word::Vouch(target as u32), actions);
        }
    }
}
