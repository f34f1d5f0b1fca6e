//! Tests of the times of a graceful shutdown.

use mossrill::process::shutdown::{
    drain_time, ACCEPT_TIME, KILL_DELAY, MAX_COUNTED_DEADLINE, REPLY_WRITE_TIME,
};
use std::time::Duration;

#[test]
fn shutdown_ends_after_the_counted_deadline_and_before_the_kill() {
    for longest in [50, 400, 900, 2_000, 3_000, 5_000, 20_000].map(Duration::from_millis) {
        let counted_deadline = longest.min(MAX_COUNTED_DEADLINE);
        let end = ACCEPT_TIME + drain_time(longest) + REPLY_WRITE_TIME;
        assert!(
            end < counted_deadline + KILL_DELAY,
            "longest deadline {longest:?}, end after {end:?}"
        );
        // Nor does it end before requests that arrived just after the request to stop have reached
        // their deadlines, as far as these count.
        assert!(
            end >= counted_deadline + REPLY_WRITE_TIME,
            "longest deadline {longest:?}, end after {end:?}"
        );
    }
}
