//! Waits before polls of the endpoint list, and timeouts of the responses. The server of the list
//! handles its callers one after another.
//!
//! A change of the list counts as known to a limiter 6 s after the server became reachable,
//! whatever happened to earlier polls. The timeouts and waits here stay within that time: a watch
//! that became silent, a poll that was rejected or not answered, a poll whose response was lost,
//! and the waits between them add up to less than 6 s.

use std::time::Duration;

/// Time that the server takes to handle one caller.
pub const POLL_TIME: Duration = Duration::from_millis(20);
/// Upper bound of the fleet poll time, see [`fleet_poll_time`].
const MAX_FLEET_POLL_TIME: Duration = Duration::from_secs(2);
/// Upper bound of the wait after a rejected poll in a small fleet.
pub const MIN_REJECTED_WAIT_LIMIT: Duration = Duration::from_secs(1);
/// Upper bound of the wait after a rejected poll in a large fleet.
pub const MAX_REJECTED_WAIT_LIMIT: Duration = Duration::from_millis(3_800);
/// Upper bound of the wait after a rejected poll, in fleet poll times.
const REJECTED_WAIT_FLEET_POLL_TIMES: u32 = 3;
/// Maximum wait before a poll that was not preceded by a rejection, as a fraction of the drain
/// grace.
///
/// Guards against a limiter of a large fleet that polls too late: a limiter counts as knowing a
/// change from the moment at which it could have polled, and must not send requests to a drained
/// upstream server after that.
const PROMPT_WAIT_FRACTION: f64 = 0.7;
/// Maximum wait before a poll that was not preceded by a rejection, for any drain grace.
const MAX_PROMPT_WAIT: Duration = Duration::from_millis(700);
/// Timeout of a connection attempt to service discovery.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum silence of a watch, after which it counts as broken. The server sends an empty line
/// every 2 s.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(3_200);
/// Timeout of the head of a response, and of a full list, if the previous poll was answered.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the head of a response, and of a full list, if the previous poll was not answered.
const RETRY_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum wait after a rejected poll, as a fraction of the wait limit.
const REJECTED_MIN_WAIT_FRACTION: f64 = 0.5;
/// Minimum wait after a poll that was not rejected, as a fraction of the wait limit.
const MIN_WAIT_FRACTION: f64 = 0.1;

/// The result of a poll.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollResult {
    /// An update was received, a watch lasted for at least [`WATCH_TIMEOUT`], or no poll was made
    /// yet.
    Succeeded,
    /// The connection failed, before or after the head of a response was received.
    Failed,
    /// The server rejected the poll.
    Rejected,
}

/// Returns the maximum wait before a poll that was not preceded by a rejection, for a drain grace.
pub fn prompt_wait_limit(drain_grace: Duration) -> Duration {
    drain_grace
        .mul_f64(PROMPT_WAIT_FRACTION)
        .clamp(POLL_TIME, MAX_PROMPT_WAIT)
}

/// Returns the timeout of a response, after this number of consecutive polls without a response.
pub fn response_timeout(unanswered_polls: u32) -> Duration {
    if unanswered_polls == 0 {
        RESPONSE_TIMEOUT
    } else {
        RETRY_RESPONSE_TIMEOUT
    }
}

/// Returns the time in which each limiter of a fleet of this size can poll once, up to 2 s.
pub fn fleet_poll_time(limiter_count: u32) -> Duration {
    (POLL_TIME * limiter_count.max(1)).min(MAX_FLEET_POLL_TIME)
}

/// Returns the maximum wait before the next poll, given the previous maximum and the result of the
/// last poll.
///
/// After a rejection the maximum doubles, up to three fleet poll times, which are clamped to
/// [`MIN_REJECTED_WAIT_LIMIT`] and [`MAX_REJECTED_WAIT_LIMIT`]. After a failure it doubles up to
/// `prompt_limit`. After a success it is one fleet poll time, and at most `prompt_limit`.
///
/// The backoff guards against synchronized polls of a fleet whose limiters lost their connections
/// or started at the same time: the server then rejects most callers, and limiters that polled
/// every second would keep it overloaded.
pub fn next_wait(
    last_limit: Duration,
    fleet_poll_time: Duration,
    prompt_limit: Duration,
    result: PollResult,
) -> Duration {
    let backoff = (last_limit * 2).max(fleet_poll_time);
    match result {
        PollResult::Succeeded => fleet_poll_time.min(prompt_limit),
        PollResult::Failed => backoff.min(prompt_limit),
        PollResult::Rejected => {
            let limit = (fleet_poll_time * REJECTED_WAIT_FLEET_POLL_TIMES)
                .clamp(MIN_REJECTED_WAIT_LIMIT, MAX_REJECTED_WAIT_LIMIT);
            backoff.min(limit)
        }
    }
}

/// Returns a random wait of at least a tenth of `limit`, or half of it after a rejection, and at
/// most `limit`. `random` is in 0..1.
///
/// The longer minimum after a rejection matters because `limit` is bounded: the short waits then
/// determine how often a fleet polls a server that is busy rejecting callers.
pub fn jittered_wait(limit: Duration, result: PollResult, random: f64) -> Duration {
    let min_fraction = match result {
        PollResult::Rejected => REJECTED_MIN_WAIT_FRACTION,
        PollResult::Succeeded | PollResult::Failed => MIN_WAIT_FRACTION,
    };
    limit.mul_f64(min_fraction + (1.0 - min_fraction) * random)
}
