//! Times of an orderly end: from the word to stop until the limiter is killed.

use std::time::Duration;

/// Connections keep coming for up to 0.4 s after the word to stop.
pub const STILL_COMING: Duration = Duration::from_millis(450);
/// Agents in the middle of a command are waited for so long.
pub const LAST_COMMANDS: Duration = Duration::from_secs(2);
/// Between two looks at whether any agent still is in the middle of a command.
pub const STILL_WRITTEN: Duration = Duration::from_millis(50);
/// A limiter is killed this long after the word to stop and the longest deadline.
pub const KILLED: Duration = Duration::from_millis(700);
/// What the longest deadline counts for at most in the time of [`KILLED`].
pub const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// Time for the last answers to be written.
pub const LAST_ANSWERS: Duration = Duration::from_millis(150);

/// How long requests go on once idle connections are closed, where this is the longest deadline. What was taken before is
/// answered within its deadline, and all that agents still send before the limiter is killed.
pub fn last_requests(longest: Duration) -> Duration {
    let killed = longest.min(LONGEST_COUNTED) + KILLED;
    // Twice, as answers are written by a part of a processor.
    killed.saturating_sub(STILL_COMING + LAST_ANSWERS * 2)
}
