//! Times of an orderly end.

use mossrill::process::shutdown::{
    last_requests, KILLED, LAST_ANSWERS, LONGEST_COUNTED, STILL_COMING,
};
use std::time::Duration;
#[test]
fn all_is_answered_before_the_limiter_is_killed_whatever_the_deadlines() {
    for longest in [50, 400, 900, 2_000, 3_000, 5_000, 20_000].map(Duration::from_millis) {
        let counted = longest.min(LONGEST_COUNTED);
        let ends = STILL_COMING + last_requests(longest) + LAST_ANSWERS;
        assert!(ends < counted + KILLED, "{longest:?}: {ends:?}");
        // And no sooner than what came just after the word to stop is owed its answer.
        assert!(ends >= counted + LAST_ANSWERS, "{longest:?}: {ends:?}");
    }
}
