//! Checks the recorded events of a fleet against the rules that hold whatever faults a test injects.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

/// Load, as a multiple of its capacity, at which a cold server collapses.
const OVERLOAD_MULTIPLE: f64 = 4.0;

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestResult {
    Served(String),
    Refused,
    Failed,
    /// The connection was closed before an answer came.
    ConnectionClosed,
}

/// An event of a test. An event has a time only if a check needs more than its place in the record.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client sent a request of `units` quota units to a limiter.
    RequestSent {
        id: String,
        limiter: usize,
        class: &'static str,
        account: String,
        units: u32,
    },
    RequestEnded {
        id: String,
        result: RequestResult,
    },
    /// An upstream server received the request.
    RequestExecuted {
        id: String,
        server: usize,
        at: Instant,
    },
    /// A limiter was killed or told to stop. Requests that it had accepted may go unanswered.
    LimiterStopped {
        limiter: usize,
    },
    /// From this time on, no new request may be sent to this server.
    ServerDrained {
        server: usize,
        at: Instant,
    },
    /// This server has just started. Its capacity is the fraction `initial_share` of that of a warm
    /// server, and reaches all of it after `warm_up_s` seconds.
    ServerColdStarted {
        server: usize,
        at: Instant,
        initial_share: f64,
        warm_up_s: f64,
    },
}

/// The quota against which the units of each account are checked.
pub struct QuotaBounds {
    /// Units that one account may use at once.
    pub burst: f64,
    /// Units per second that one account may use.
    pub rate: f64,
    /// Duration in seconds in which requests may have been sent.
    pub span_s: f64,
    /// Fraction by which the use of one account may exceed the quota, as the limits are enforced in
    /// windows and by claims.
    pub slack: f64,
}

/// Returns a description of each violation of a rule.
pub fn check(record: &[Event], bounds: Option<&QuotaBounds>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut requests = HashMap::new();
    let (mut results, mut executions) = (
        HashMap::<&str, Vec<&RequestResult>>::new(),
        HashMap::<&str, usize>::new(),
    );
    let (mut drained, mut cold_starts) = (HashMap::new(), Vec::new());
    let mut executed_at = BTreeMap::<usize, Vec<Instant>>::new();
    let stopped_limiter = |event: &Event| match event {
        Event::LimiterStopped { limiter } => Some(*limiter),
        _ => None,
    };
    let stopped: HashSet<usize> = record.iter().filter_map(stopped_limiter).collect();
    for event in record {
        match event {
            Event::RequestSent {
                id,
                limiter,
                class,
                account,
                units,
            } => {
                requests.insert(&**id, (*limiter, *class, &**account, *units));
            }
            Event::RequestEnded { id, result } => results.entry(id).or_default().push(result),
            Event::RequestExecuted { id, server, at } => {
                *executions.entry(id).or_default() += 1;
                if drained.get(server).is_some_and(|since| at > since) {
                    violations.push(format!(
                        "{id} was sent to server {server} after the server was drained"
                    ));
                }
                executed_at.entry(*server).or_default().push(*at);
            }
            Event::LimiterStopped { .. } => {}
            Event::ServerDrained { server, at } => _ = drained.insert(*server, *at),
            Event::ServerColdStarted {
                server,
                at,
                initial_share,
                warm_up_s,
            } => cold_starts.push((*server, *at, *initial_share, *warm_up_s)),
        }
    }
    let mut used_units = BTreeMap::<&str, f64>::new();
    for (id, (limiter, class, account, units)) in &requests {
        let request_results = results.get(id).map_or(&[][..], Vec::as_slice);
        match request_results {
            [RequestResult::ConnectionClosed] | [] if stopped.contains(limiter) => {}
            [RequestResult::ConnectionClosed] | [] => violations.push(format!(
                "{id} got no answer from limiter {limiter}, which was not stopped"
            )),
            [RequestResult::Served(value)] if value != id => {
                violations.push(format!("{id} was served with {value}, not with its own id"))
            }
            [RequestResult::Served(_)] if !executions.contains_key(id) => {
                violations.push(format!("{id} was served but no server executed it"))
            }
            [_] => {}
            several => violations.push(format!("{id} got {} answers", several.len())),
        }
        let times = executions.get(id).copied().unwrap_or(0);
        if *class == "pay" && times > 1 {
            violations.push(format!("{id} must not run twice, but ran {times} times"));
        }
        if times > 0 {
            *used_units.entry(account).or_default() += f64::from(*units);
        }
    }
    if let Some(bounds) = bounds {
        let max_units = (bounds.burst + bounds.rate * bounds.span_s) * (1.0 + bounds.slack);
        for (account, units) in used_units.iter().filter(|(_, units)| **units > max_units) {
            violations.push(format!(
                "{units} units of account {account} were sent upstream, expected at most {max_units:.0}"
            ));
        }
    }
    // The busiest of the other servers shows a load that a warm server can bear. A cold server can
    // bear its current share of that.
    let requests_in_second = |server: usize, from: Instant| {
        let second = from..from + Duration::from_secs(1);
        executed_at.get(&server).map_or(0, |times| {
            times.iter().filter(|at| second.contains(at)).count()
        }) as f64
    };
    for (server, started, initial_share, warm_up_s) in cold_starts {
        let tenths = (0..(warm_up_s * 10.0) as u64)
            .map(|tenth| started + Duration::from_millis(100 * tenth));
        let overload = tenths.clone().find_map(|from| {
            let others = executed_at.keys().filter(|other| **other != server);
            let busiest = others
                .map(|other| requests_in_second(*other, from))
                .fold(1.0, f64::max);
            let age_s = from.duration_since(started).as_secs_f64() + 1.0;
            let capacity = OVERLOAD_MULTIPLE
                * busiest
                * (initial_share + (1.0 - initial_share) * (age_s / warm_up_s).min(1.0));
            let (received, max) = (
                requests_in_second(server, from),
                capacity + 3.0 * capacity.sqrt() + 3.0,
            );
            (received > max).then_some((received, max))
        });
        if let Some((received, max)) = overload {
            violations.push(format!(
                "cold server {server} got {received} requests in a second, expected at most {max:.0}"
            ));
        }
    }
    violations.sort();
    violations
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    fn valid_record() -> Vec<Event> {
        let now = Instant::now();
        let sent = |id: &str, limiter, class| Event::RequestSent {
            id: id.into(),
            limiter,
            class,
            account: "a".into(),
            units: 2,
        };
        let ended = |id: &str, result| Event::RequestEnded {
            id: id.into(),
            result,
        };
        let executed = |id: &str, server| Event::RequestExecuted {
            id: id.into(),
            server,
            at: now,
        };
        vec![
            sent("look-1", 0, "look"),
            executed("look-1", 0),
            executed("look-1", 1),
            ended("look-1", RequestResult::Served("look-1".into())),
            sent("pay-1", 1, "pay"),
            executed("pay-1", 0),
            ended("pay-1", RequestResult::Failed),
            Event::LimiterStopped { limiter: 1 },
            sent("pay-2", 1, "pay"),
            ended("pay-2", RequestResult::ConnectionClosed),
            sent("look-2", 0, "look"),
            ended("look-2", RequestResult::Refused),
        ]
    }

    #[test]
    fn valid_record_passes_and_each_violation_is_reported() {
        let bounds = QuotaBounds {
            burst: 4.0,
            rate: 0.0,
            span_s: 1.0,
            slack: 0.0,
        };
        assert_eq!(check(&valid_record(), Some(&bounds)), Vec::<String>::new());
        let later = Instant::now() + Duration::from_secs(5);
        type Change = fn(&mut Vec<Event>, Instant);
        let changes: [(Change, &str); 9] = [
            (|r, _| _ = r.remove(3), "look-1 got no answer"),
            (|r, _| r.push(r[3].clone()), "look-1 got 2 answers"),
            (
                |r, _| {
                    r[3] = Event::RequestEnded {
                        id: "look-1".into(),
                        result: RequestResult::Served("x".into()),
                    }
                },
                "served with x",
            ),
            (
                |r, _| drop(r.drain(1..3)),
                "look-1 was served but no server executed it",
            ),
            (|r, _| r.push(r[5].clone()), "pay-1 must not run twice"),
            (|r, _| _ = r.remove(7), "pay-2 got no answer"),
            (
                |r, at| {
                    r.insert(
                        0,
                        Event::ServerDrained {
                            server: 1,
                            at: at - Duration::from_secs(10),
                        },
                    );
                },
                "look-1 was sent to server 1",
            ),
            (
                |r, _| {
                    if let Event::RequestSent { units, .. } = &mut r[0] {
                        *units = 3;
                    }
                },
                "5 units of account a",
            ),
            (
                |r, at| {
                    r.insert(
                        0,
                        Event::ServerColdStarted {
                            server: 2,
                            at,
                            initial_share: 0.2,
                            warm_up_s: 13.0,
                        },
                    );
                    r.extend((0..20).map(|n| Event::RequestExecuted {
                        id: format!("{n}"),
                        server: 2,
                        at,
                    }));
                },
                "cold server 2 got 20 requests",
            ),
        ];
        for (change, violation) in changes {
            let mut record = valid_record();
            change(&mut record, later);
            let violations = check(&record, Some(&bounds));
            assert!(
                violations.iter().any(|v| v.contains(violation)),
                "expected a violation with {violation:?}, got {violations:?}"
            );
        }
    }
}
