//! The membership table: which update of a member goes before what is known, and when the dead are forgotten.

use super::suspicion::{Suspicion, CONFIRMATIONS};
use super::{Action, Change, View};
use crate::decision::Micros;
use crate::membership::datagram::State;
use std::net::SocketAddrV4;

/// What is said of a member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Update {
    /// Its number.
    pub(super) who: usize,
    pub(super) state: State,
    /// Its incarnation that this is true of.
    pub(super) incarnation: u64,
    /// Where it is reached and its version, if that is said too.
    pub(super) contact: Option<(SocketAddrV4, u32)>,
    /// Who said so first.
    pub(super) by: u32,
}

impl View {
    /// Forgets who has been dead for long, and looks for leases that are to be released.
    pub(super) fn forget(&mut self, now: Micros) {
        if now >= self.release_at {
            self.release_at = self.released.scan(now, &self.leases);
        }
        if now < self.forget_at {
            return;
        }
        self.forget_at = Micros::MAX;
        for (who, member) in self.members.iter_mut().enumerate() {
            if !matches!(member.state, State::Dead | State::Left) {
                continue;
            }
            let due = member.since + self.setup.forget;
            if now < due {
                self.forget_at = self.forget_at.min(due);
                continue;
            }
            (member.state, member.forgotten, member.since) = (State::Unknown, true, now);
            self.retransmits[who] = 0;
            if !member.seed {
                member.address = None;
            }
        }
    }

    /// Takes what is said of a member, if it is newer than what is known: of a later incarnation, or worse.
    pub(super) fn apply_update(&mut self, now: Micros, update: Update, actions: &mut Vec<Action>) {
        let Update {
            who,
            state,
            incarnation,
            contact,
            by,
        } = update;
        if who == self.setup.me as usize {
            return self.refute(state, incarnation);
        }
        let member = &mut self.members[who];
        let known = if member.forgotten {
            State::Left
        } else {
            member.state
        };
        if (incarnation, state) <= (member.incarnation, known) {
            if (incarnation, state, known) == (member.incarnation, State::Suspect, State::Suspect) {
                self.confirm_suspicion(who, by);
            }
            return;
        }
        let before = member.state;
        (member.state, member.incarnation, member.by) = (state, incarnation, by);
        member.forgotten = false;
        if let Some((at, version)) = contact {
            member.version = version;
            if !member.seed {
                member.address = Some(at);
            }
        }
        member.suspicion = (state == State::Suspect).then(|| Suspicion {
            began: now,
            own: by == self.setup.me,
            accusers: vec![by],
        });
        self.suspects.retain(|suspect| *suspect != who);
        if state == State::Suspect {
            self.suspects.push(who);
        }
        if state.lives() != before.lives() {
            self.living[who] = state.lives();
            self.release_at = now;
            self.released
                .changed(now, who, state.lives(), &mut self.leases[who]);
        }
        if state != before {
            self.members[who].since = now;
            if !state.lives() {
                self.forget_at = self.forget_at.min(now + self.setup.forget);
            }
            actions.push(Action::Changed(Change {
                who: who as u32,
                before,
                state,
                incarnation,
                by,
            }));
        }
        self.enqueue(who);
    }

    /// Says that this member lives, under a higher incarnation, if something else is said of it.
    fn refute(&mut self, state: State, incarnation: u64) {
        let me = self.setup.me as usize;
        let own = &mut self.members[me];
        let accused = incarnation == own.incarnation && state != State::Alive;
        if accused || incarnation > own.incarnation {
            own.incarnation = incarnation + 1;
            self.counts.refuted += 1;
            self.enqueue(me);
        }
    }

    /// Another member has the same suspicion of itself.
    fn confirm_suspicion(&mut self, who: usize, by: u32) {
        let member = &mut self.members[who];
        let Some(suspicion) = &mut member.suspicion else {
            return;
        };
        if suspicion.accusers.len() <= CONFIRMATIONS && !suspicion.accusers.contains(&by) {
            suspicion.accusers.push(by);
            suspicion.own |= by == self.setup.me;
            member.by = by;
            self.enqueue(who);
        }
    }
}
