//! How long a limiter waits before it calls the node list, which takes one caller after another.

use std::time::Duration;

/// The node list takes its callers one after another: time for each limiter of the fleet.
pub const TURN: Duration = Duration::from_millis(20);
/// The longest time for all turns of a fleet that was turned away.
const LONGEST_TURNS: Duration = Duration::from_secs(2);
/// The longest wait of a limiter that was turned away: at least, and at most.
pub const LONGEST_WAIT: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(5)];

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
        Call::TurnedAway => (last * 2).max(turns).min((turns * 3).clamp(LONGEST_WAIT[0], LONGEST_WAIT[1])),
    }
}

/// A random part of a wait, a tenth of it at least.
pub fn spread(wait: Duration, chance: f64) -> Duration {
    wait.mul_f64(0.1 + 0.9 * chance)
}
