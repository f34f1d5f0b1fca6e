//! How long a limiter waits before it calls the node list, which takes one caller after another, and for its answer.
//!
//! What the list has to tell counts as told 6 s after it could be reached, whatever came of the calls before: a watch that
//! falls silent, a call that was turned away or had no answer, one of which the answer was lost, and the waits between
//! them stay under that together.

use std::time::Duration;

/// The node list takes its callers one after another: time for each limiter of the fleet.
pub const TURN: Duration = Duration::from_millis(20);
/// The longest time for all turns of a fleet that was turned away.
const LONGEST_TURNS: Duration = Duration::from_secs(2);
/// The longest wait of a limiter that was turned away: at least, and at most.
pub const LONGEST_WAIT: [Duration; 2] = [Duration::from_secs(1), Duration::from_millis(3_800)];
/// The longest wait before a list is asked that may answer at once, as a part of the time for which a node told to be
/// draining may still be sent to, and at most.
///
/// Guards against a limiter of a large fleet that asks too late: what the list has to tell counts as told from the start on
/// to a limiter that could have asked, and nothing may go to a drained node after that time.
const FIRST_PART: f64 = 0.7;
const LONGEST_FIRST: Duration = Duration::from_millis(700);
/// A connection that does not come up in this time is given up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// An empty line comes every 2 s; a watch silent for longer than this is broken.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(3_200);
/// The answer to a call begins, and a whole list ends, within this time, or the call is given up: the first time, and
/// after calls that were given up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const LONGEST_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest wait before a call that may be answered at once, where a draining node may be sent to for so long.
pub fn first_wait(drain_grace: Duration) -> Duration {
    drain_grace.mul_f64(FIRST_PART).clamp(TURN, LONGEST_FIRST)
}

/// How long the answer to a call is waited for, after so many in a row were given up.
pub fn answer_timeout(given_up: u32) -> Duration {
    if given_up == 0 {
        ANSWER_TIMEOUT
    } else {
        LONGEST_ANSWER_TIMEOUT
    }
}

/// Time in which a fleet of so many limiters asks.
pub fn turns(limiters: u32) -> Duration {
    (TURN * limiters.max(1)).min(LONGEST_TURNS)
}

/// What came of a call of the node list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// The list was heard, or the call is the first.
    Heard,
    /// It broke off, before or after its head.
    Broke,
    /// The list said no.
    TurnedAway,
}

/// The longest that may be waited before a call, after one that may have been waited for `last`: `first` at the most,
/// but where the list turned away all turns of the fleet, and three times as long at the most.
///
/// Guards against a fleet that was cut off or started together and asks again together: a node list turns most callers
/// away then, and limiters that asked each second kept it so for the rest of the day.
pub fn next_wait(last: Duration, turns: Duration, first: Duration, call: Call) -> Duration {
    match call {
        Call::Heard => turns.min(first),
        Call::Broke => (last * 2).max(turns).min(first),
        Call::TurnedAway => (last * 2)
            .max(turns)
            .min((turns * 3).clamp(LONGEST_WAIT[0], LONGEST_WAIT[1])),
    }
}

/// A random part of a wait: a tenth of it at least, or half of it where the list turned the limiter away.
///
/// Guards against a list that a fleet keeps busy with turning it away: the longest wait is bounded, so the shorter ones make
/// up how often it is called.
pub fn spread(wait: Duration, call: Call, chance: f64) -> Duration {
    let least = if call == Call::TurnedAway { 0.5 } else { 0.1 };
    wait.mul_f64(least + (1.0 - least) * chance)
}
