//! Times of a graceful shutdown: from the request to stop until the supervisor kills the process.

use std::time::Duration;

/// Connections are still accepted for so long: they keep arriving for up to 0.4 s after the request to stop.
pub const ACCEPT_TIME: Duration = Duration::from_millis(450);
/// Longest wait for clients that have sent a part of a command.
pub const PARTIAL_COMMAND_WAIT: Duration = Duration::from_secs(2);
/// Interval at which clients are checked for partial commands.
pub const PARTIAL_COMMAND_POLL: Duration = Duration::from_millis(50);
/// The process is killed this long after the request to stop and the longest deadline.
pub const KILL_DELAY: Duration = Duration::from_millis(700);
/// The longest deadline counts for at most this much in the time of [`KILL_DELAY`].
pub const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time in which the last replies are written.
pub const REPLY_WRITE_TIME: Duration = Duration::from_millis(150);

/// How long requests are served once idle connections are closed, where `longest` is the longest deadline.
/// Requests received before are answered within their deadlines, later ones before the process is killed.
pub fn drain_time(longest: Duration) -> Duration {
    let killed = longest.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
    // Twice, as the process may have only a part of a processor to write replies with.
    killed.saturating_sub(ACCEPT_TIME + REPLY_WRITE_TIME * 2)
}
