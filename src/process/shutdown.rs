//! Durations of a graceful shutdown, from the request to stop until the supervisor kills the
//! process.

use std::time::Duration;

/// Time for which connections are still accepted, as they keep arriving for up to 0.4 s after the
/// request to stop.
pub const ACCEPT_TIME: Duration = Duration::from_millis(450);
/// Maximum wait for clients that have sent part of a command.
pub const PARTIAL_COMMAND_WAIT: Duration = Duration::from_secs(2);
/// Interval at which clients are checked for partial commands.
pub const PARTIAL_COMMAND_POLL: Duration = Duration::from_millis(50);
/// The supervisor kills the process after the longest deadline plus this time, counted from the
/// request to stop.
pub const KILL_DELAY: Duration = Duration::from_millis(700);
/// Upper bound of the longest deadline in that calculation; a longer one counts as this time.
pub const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time for writing the last replies.
pub const REPLY_WRITE_TIME: Duration = Duration::from_millis(150);

/// Returns how long requests are still served after idle connections are closed. Requests received
/// before that are answered within their deadlines, later ones before the process is killed.
pub fn drain_time(longest_deadline: Duration) -> Duration {
    let killed_after = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
    // The time for writing replies is doubled, as the process may have only a fraction of a
    // processor core.
    killed_after.saturating_sub(ACCEPT_TIME + REPLY_WRITE_TIME * 2)
}
