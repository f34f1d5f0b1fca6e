//! Suspicions: how long a member that does not answer has to refute that it is dead.
//!
//! A suspicion times out sooner the more members confirm it, as in "Lifeguard: Local Health
//! Awareness for More Accurate Failure Detection" (Dadgar, Phillips, Currey, 2017).

use crate::decision::Micros;

/// Number of confirmations by further members that reduce the time-out of a suspicion to the
/// minimum.
const CONFIRMATIONS: usize = 3;
/// Minimum time-out of a suspicion in protocol periods for each power of ten of the fleet's size.
const MIN_TIMEOUT_PERIODS: f64 = 2.0;
/// Ratio of the maximum time-out of a suspicion to the minimum.
const MAX_TIMEOUT_FACTOR: f64 = 3.0;
/// Progress from the maximum time-out to the minimum, from 0 to 1, in a fleet so small that no
/// member can confirm a suspicion.
const UNCONFIRMABLE_PROGRESS: f64 = 0.4;

/// A suspicion of one member.
#[derive(Debug)]
pub(super) struct Suspicion {
    /// Time in µs at which this limiter began to suspect the member.
    pub(super) began: Micros,
    /// Whether a probe by this limiter itself failed. It goes on pinging the member then.
    pub(super) failed_own_probe: bool,
    /// Numbers of the limiters whose own probes of the member failed.
    reporters: Vec<u32>,
}

impl Suspicion {
    /// Returns a suspicion that limiter `reporter` reported, in the view of limiter `own`.
    pub(super) fn new(now: Micros, reporter: u32, own: u32) -> Self {
        Self {
            began: now,
            failed_own_probe: reporter == own,
            reporters: vec![reporter],
        }
    }

    /// Adds a report by limiter `reporter`. Returns false if it changes nothing, as that limiter
    /// has reported the suspicion before or further reports do not shorten it.
    pub(super) fn confirm(&mut self, reporter: u32, own: u32) -> bool {
        if self.reporters.len() > CONFIRMATIONS || self.reporters.contains(&reporter) {
            return false;
        }
        self.reporters.push(reporter);
        self.failed_own_probe |= reporter == own;
        true
    }

    /// Returns the time in protocol periods after which the member is declared dead, in a fleet of
    /// `limiters`.
    pub(super) fn timeout_periods(&self, limiters: usize) -> f64 {
        let min_timeout = MIN_TIMEOUT_PERIODS * (limiters as f64).log10().max(1.0);
        // Three limiters can't confirm the suspicion: the suspected member, this limiter, and the
        // one that first reported it.
        let possible = CONFIRMATIONS.min(limiters.saturating_sub(3));
        let confirmations = self.reporters.len().saturating_sub(1).min(possible);
        let progress = if possible == 0 {
            UNCONFIRMABLE_PROGRESS
        } else {
            (confirmations as f64 + 1.0).ln() / (possible as f64 + 1.0).ln()
        };
        min_timeout * (MAX_TIMEOUT_FACTOR - (MAX_TIMEOUT_FACTOR - 1.0) * progress)
    }
}
