//! Suspicion: how long a member that does not answer may still say that it lives.

use super::table::Update;
use super::{Action, View};
use crate::decision::Micros;
use crate::membership::datagram::{State, Word};

/// Further accusers that bring a suspicion down to its shortest time.
pub(super) const CONFIRMATIONS: usize = 3;

/// A suspicion lasts so many periods at the least, for each power of ten of the fleet, and so many times that at
/// the most.
const SUSPICION_PERIODS: f64 = 2.0;
const SUSPICION_MAX_FACTOR: f64 = 3.0;

/// A member that does not answer, until it says that it lives or is declared dead.
#[derive(Debug)]
pub(super) struct Suspicion {
    pub(super) began: Micros,
    /// Found by this one, which goes on asking.
    pub(super) own: bool,
    pub(super) accusers: Vec<u32>,
}

impl View {
    /// Declares dead whose suspicion has lasted long enough, and goes on asking the others.
    pub(super) fn check_suspicions(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for who in self.suspects.clone() {
            let member = &self.members[who];
            let Some(suspicion) = &member.suspicion else {
                continue;
            };
            let (own, incarnation) = (suspicion.own, member.incarnation);
            // Whom this one hears is not dead, whatever others make of it.
            let heard = member.heard.map_or(0, |at| at + 2 * self.setup.period);
            let over = heard.max(suspicion.began + self.suspicion_timeout(suspicion));
            if now >= over {
                self.counts.found_dead += 1;
                let (state, by) = (State::Dead, self.setup.me);
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
            } else if own {
                self.send(now, who, Word::Ping(true), actions);
            }
        }
    }

    /// How long a suspicion lasts: the shorter the more members have it of themselves.
    fn suspicion_timeout(&self, suspicion: &Suspicion) -> Micros {
        let least = SUSPICION_PERIODS * (self.members.len() as f64).log10().max(1.0);
        let wanted = CONFIRMATIONS.min(self.members.len().saturating_sub(3));
        let further = suspicion.accusers.len().saturating_sub(1).min(wanted);
        let confirmed = match wanted {
            // Nobody else could have it so.
            0 => 0.4,
            _ => (further as f64 + 1.0).ln() / (wanted as f64 + 1.0).ln(),
        };
        let periods = least * (SUSPICION_MAX_FACTOR - (SUSPICION_MAX_FACTOR - 1.0) * confirmed);
        (periods * self.local_health() * self.setup.period as f64) as Micros
    }
}
