//! Suspicions: how long a member that does not answer may refute that it is dead.
//!
//! A suspicion times out sooner the more members confirm it, as in "Lifeguard: Local Health Awareness
//! for More Accurate Failure Detection" (Dadgar, Phillips, Currey, 2017).

use crate::decision::Micros;

/// Confirmations by further members that bring a suspicion down to its shortest time.
const CONFIRMATIONS: usize = 3;
/// Shortest time of a suspicion in protocol periods, for each power of ten of the fleet's size.
const MIN_TIMEOUT_PERIODS: f64 = 2.0;
/// Ratio of the longest time of a suspicion to the shortest.
const MAX_TIMEOUT_FACTOR: f64 = 3.0;
/// Progress towards the shortest time in a fleet so small that nobody can confirm a suspicion.
const UNCONFIRMABLE_PROGRESS: f64 = 0.4;

/// A suspicion of one member.
#[derive(Debug)]
pub(super) struct Suspicion {
    /// When this limiter began to suspect the member.
    pub(super) began: Micros,
    /// This limiter found it by its own probes, and goes on probing the member.
    pub(super) found_here: bool,
    /// Numbers of the limiters that have found it by their own probes.
    accusers: Vec<u32>,
}

impl Suspicion {
    /// Returns a suspicion that limiter `accuser` reported, in the view of limiter `own`.
    pub(super) fn new(now: Micros, accuser: u32, own: u32) -> Self {
        Self {
            began: now,
            found_here: accuser == own,
            accusers: vec![accuser],
        }
    }

    /// Adds the report of a further accuser; returns false if it changes nothing.
    pub(super) fn confirm(&mut self, accuser: u32, own: u32) -> bool {
        if self.accusers.len() > CONFIRMATIONS || self.accusers.contains(&accuser) {
            return false;
        }
        self.accusers.push(accuser);
        self.found_here |= accuser == own;
        true
    }

    /// Returns the time in protocol periods after which the member is declared dead, in a fleet of
    /// `limiters`.
    pub(super) fn timeout_periods(&self, limiters: usize) -> f64 {
        let shortest = MIN_TIMEOUT_PERIODS * (limiters as f64).log10().max(1.0);
        // The suspected member, this limiter and one further can't confirm what the third reported.
        let possible = CONFIRMATIONS.min(limiters.saturating_sub(3));
        let confirmations = self.accusers.len().saturating_sub(1).min(possible);
        let progress = if possible == 0 {
            UNCONFIRMABLE_PROGRESS
        } else {
            (confirmations as f64 + 1.0).ln() / (possible as f64 + 1.0).ln()
        };
        shortest * (MAX_TIMEOUT_FACTOR - (MAX_TIMEOUT_FACTOR - 1.0) * progress)
    }
}
