//! Waits before polls of the endpoint list, whose server handles one caller after another, and timeouts of responses.
//!
//! A change of the list counts as known 6 s after the server could be reached, whatever happened to the polls before: a
//! watch that fell silent, a poll that was rejected or had no response, one whose response was lost, and the waits
//! between them together take less.

use std::time::Duration;

/// The time that the server takes for one caller.
pub const POLL_TIME: Duration = Duration::from_millis(20);
/// The longest time assumed for one poll by each limiter of a fleet.
const MAX_FLEET_POLL_TIME: Duration = Duration::from_secs(2);
/// The wait limit of a rejected limiter in a small fleet.
pub const LEAST_REJECTED_WAIT_LIMIT: Duration = Duration::from_secs(1);
/// The wait limit of a rejected limiter in a large fleet.
pub const MAX_REJECTED_WAIT_LIMIT: Duration = Duration::from_millis(3_800);
/// The wait limit after a poll that was rejected, in fleet poll times.
const REJECTED_WAIT_FLEET_POLLS: u32 = 3;
/// The longest wait before a poll that may be answered at once, as a part of the drain grace.
///
/// Guards against a limiter of a large fleet that polls too late: a change counts as known to a limiter from the moment
/// at which it could have polled, and nothing may be sent to a drained upstream server after that.
const PROMPT_WAIT_PART: f64 = 0.7;
/// The longest wait before a poll that may be answered at once.
const MAX_PROMPT_WAIT: Duration = Duration::from_millis(700);
/// Timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A watch that is silent for longer than this is broken; the server sends an empty line every 2 s.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(3_200);
/// Timeout of the head of a response, and of a whole list, where the poll before was answered.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The same after a poll without a response.
const LATER_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The least part of a wait limit that a rejected limiter waits.
const REJECTED_LEAST_WAIT_PART: f64 = 0.5;
/// The least part of a wait limit that other limiters wait.
const LEAST_WAIT_PART: f64 = 0.1;

/// The result of a poll.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollResult {
    /// An update or a lasting watch was received, or no poll was made yet.
    Succeeded,
    /// The connection failed before or after the head of the response.
    Failed,
    /// The server refused it.
    Rejected,
}

/// The longest wait before a poll that may be answered at once, for a drain grace.
pub fn prompt_wait_limit(drain_grace: Duration) -> Duration {
    drain_grace
        .mul_f64(PROMPT_WAIT_PART)
        .clamp(POLL_TIME, MAX_PROMPT_WAIT)
}

/// Timeout of a response after a number of consecutive polls without one.
pub fn response_timeout(unanswered_polls: u32) -> Duration {
    if unanswered_polls == 0 {
        FIRST_RESPONSE_TIMEOUT
    } else {
        LATER_RESPONSE_TIMEOUT
    }
}

/// The time in which each limiter of a fleet of this size can poll once.
pub fn fleet_poll_time(limiter_count: u32) -> Duration {
    (POLL_TIME * limiter_count.max(1)).min(MAX_FLEET_POLL_TIME)
}

/// The longest wait before the next poll, by the limit of the wait before and the result since.
///
/// After a rejection the limit doubles, up to three fleet poll times; otherwise it stays below `prompt_limit`.
///
/// Guards against a fleet that was cut off or started together and polls in step: the server then rejects most callers,
/// and limiters that polled each second would keep it so.
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
            let limit = (fleet_poll_time * REJECTED_WAIT_FLEET_POLLS)
                .clamp(LEAST_REJECTED_WAIT_LIMIT, MAX_REJECTED_WAIT_LIMIT);
            backoff.min(limit)
        }
    }
}

/// A random wait up to a limit: at least a tenth of it, or half of it after a rejection. `random` is in 0..1.
///
/// The limit is bounded, so short waits decide how often a fleet polls a server that is busy with rejections.
pub fn jittered_wait(limit: Duration, result: PollResult, random: f64) -> Duration {
    let least = match result {
        PollResult::Rejected => REJECTED_LEAST_WAIT_PART,
        PollResult::Succeeded | PollResult::Failed => LEAST_WAIT_PART,
    };
    limit.mul_f64(least + (1.0 - least) * random)
}
