//! Times of an orderly end.

use mossrill::process::shutdown::{
    drain_time, ACCEPT_TIME, KILL_DELAY, MAX_COUNTED_DEADLINE, REPLY_WRITE_TIME,
};
use std::time::Duration;
#[test]
fn all_is_answered_before_the_limiter_is_killed_whatever_the_deadlines() {
    for longest in [50, 400, 900, 2_000, 3_000, 5_000, 20_000].map(Duration::from_millis) {
        let counted = longest.min(MAX_COUNTED_DEADLINE);
        let ends = ACCEPT_TIME + drain_time(longest) + REPLY_WRITE_TIME;
        assert!(ends < counted + KILL_DELAY, "{longest:?}: {ends:?}");
        // And no sooner than what came just after the word to stop is owed its answer.
        assert!(ends >= counted + REPLY_WRITE_TIME, "{longest:?}: {ends:?}");
    }
}
