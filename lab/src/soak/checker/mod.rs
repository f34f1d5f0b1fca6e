//! Checks the records of a soak against the rules of the protocol page. It shares no code with the
//! limiter.

mod index;

use super::record::{Class, Event, Micros, Record, Reply, Signalled};
use index::{Arrival, Index, Sent};
use std::collections::{HashMap, HashSet};
use std::fmt;

/// One millisecond.
const MILLISECOND: Micros = 1_000;
/// A final answer may come this much after the deadline; it only earns nothing then.
const ANSWER_GRACE: Micros = 550 * MILLISECOND;
/// An attempt may begin this much after its client has closed.
const LEFT_GRACE: Micros = 100 * MILLISECOND;
/// An attempt may name this much more time than is left.
const TOLD_GRACE: Micros = 150 * MILLISECOND;
/// How far the times of two observers may be apart, as threads wait for a processor.
const MEASURING_SLACK: Micros = 50 * MILLISECOND;
/// A close that crosses a request on its way shows within this time.
const CROSSING_TIME: Micros = 300 * MILLISECOND;

/// The figures of the rules in one run.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Memory limit of a limiter, in KiB.
    pub memory_kib: u64,
    /// Number of descriptors of a limiter.
    pub descriptors: u64,
    /// Nothing may be sent to a server for longer than this after it drains.
    pub drain_grace: Micros,
    /// For how long servers discard repeats of a key.
    pub key_window: Micros,
    /// Whether connections to servers fail, so that a value that has begun may be cut off.
    pub servers_fail: bool,
}

/// A rule of the protocol page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each request gets one final answer in time.
    Answer,
    /// What a client is served was made for its request.
    Value,
    /// Nothing runs twice that must not.
    Repeat,
    /// Nothing begins after its client has gone.
    LateStart,
    /// An attempt names at most the time that is left.
    ToldTime,
    /// Nothing is sent to a draining server.
    Drain,
    /// Memory and descriptors stay within their limits.
    Limits,
    /// No process ends by itself.
    Crash,
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Break {
    /// When.
    pub at: Micros,
    /// The rule.
    pub rule: Rule,
    /// Id of the request, if it is about one.
    pub id: Option<String>,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Break {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.at as f64 / 1e6;
        write!(to, "{seconds:.3} {:?}: {}", self.rule, self.text)
    }
}

/// Returns the rules that the records break, in the order of time.
pub fn check(records: &[Record], rules: &Rules) -> Vec<Break> {
    let index = Index::new(records);
    let mut breaks = Vec::new();
    for sent in &index.sent {
        breaks.extend(index.check_answer(sent, rules));
        breaks.extend(index.check_attempts(sent));
    }
    breaks.extend(index.check_repeats(rules));
    breaks.extend(check_drains(records, rules));
    breaks.extend(check_limits(records, rules));
    breaks.extend(index.check_crashes(records));
    breaks.sort_by_key(|broken| broken.at);
    breaks
}

impl Index<'_> {
    /// One final answer in time, with the right value.
    fn check_answer(&self, sent: &Sent<'_>, rules: &Rules) -> Option<Break> {
        let broken = |at, rule, text: String| {
            Some(Break {
                at,
                rule,
                id: Some(sent.id.to_owned()),
                text: format!("{} ({}) {text}", sent.id, sent.class.name()),
            })
        };
        let due = sent.at + sent.deadline + ANSWER_GRACE + MEASURING_SLACK;
        match self.ends.get(&(sent.connection, sent.id)) {
            None => broken(due, Rule::Answer, "got no answer".into()),
            Some((at, Event::Replied { .. })) if self.begin_of_answer(sent, *at) > due => {
                let late = (at - sent.at - sent.deadline) / MILLISECOND;
                broken(*at, Rule::Answer, format!("was answered {late} ms late"))
            }
            Some((at, Event::Replied { reply, .. })) if *reply == Reply::WrongValue => {
                broken(*at, Rule::Value, "was served another value".into())
            }
            Some((at, Event::Replied { reply, .. }))
                if *reply == Reply::CutOff && !self.may_be_cut_off(sent, *at, rules) =>
            {
                broken(*at, Rule::Value, "was served a part of its value".into())
            }
            Some((at, Event::Replied { reply, .. }))
                if *reply == Reply::Served && self.arrivals_of(sent.id).is_empty() =>
            {
                broken(
                    *at,
                    Rule::Value,
                    "was served though no server got it".into(),
                )
            }
            Some((at, Event::Unanswered { .. })) if !self.may_be_unanswered(sent, *at) => {
                broken(*at, Rule::Answer, "was closed on with no answer".into())
            }
            Some(_) => None,
        }
    }

    /// Whether a connection may end without an answer: its process was killed with no warning, the
    /// close crossed a request that was not read, or the value ahead of it was cut off, which only
    /// the close tells the client.
    fn may_be_unanswered(&self, sent: &Sent<'_>, at: Micros) -> bool {
        let is_forwarded = self.arrivals_of(sent.id).iter().any(|a| a.begun_at <= at);
        let crosses = at <= sent.at + CROSSING_TIME && !is_forwarded;
        let is_behind_cut_off = self.cut_off.contains(&sent.connection);
        crosses || is_behind_cut_off || self.was_killed(sent.limiter, sent.at, at)
    }

    /// Whether a value that has begun may end before its end: its server failed, or its process was
    /// killed.
    fn may_be_cut_off(&self, sent: &Sent<'_>, at: Micros, rules: &Rules) -> bool {
        let was_killed = self.signals.iter().any(|(killed_at, limiter, _, signal)| {
            *limiter == sent.limiter && *signal == Signalled::Kill && *killed_at <= at
        });
        rules.servers_fail || was_killed
    }

    /// Whether a process of the limiter got SIGKILL, and no SIGTERM before, around this time.
    fn was_killed(&self, limiter: usize, from: Micros, to: Micros) -> bool {
        let from = from.saturating_sub(MEASURING_SLACK);
        self.signals.iter().any(|(at, of, process, signal)| {
            let is_kill = *of == limiter && *signal == Signalled::Kill;
            let in_time = (from..=to + MEASURING_SLACK).contains(at);
            is_kill && in_time && !self.was_terminated(*process)
        })
    }

    fn was_terminated(&self, process: u32) -> bool {
        self.signals
            .iter()
            .any(|(_, _, of, signal)| *of == process && *signal == Signalled::Terminate)
    }

    /// No attempt begins after the client has gone, or names more time than is left.
    fn check_attempts(&self, sent: &Sent<'_>) -> Vec<Break> {
        let left_at = match self.ends.get(&(sent.connection, sent.id)) {
            Some((at, Event::Left { .. })) => Some(*at),
            _ => None,
        };
        let mut breaks = Vec::new();
        for arrival in self.arrivals_of(sent.id) {
            if self.was_sent_again(sent, arrival.begun_at) {
                continue;
            }
            let broken = |rule, text: String| Break {
                at: arrival.at,
                rule,
                id: Some(sent.id.to_owned()),
                text: format!("{} at {}: {text}", sent.id, arrival.server),
            };
            if let Some(left_at) = left_at {
                if arrival.begun_at > left_at + LEFT_GRACE + MEASURING_SLACK {
                    let late = (arrival.begun_at - left_at) / MILLISECOND;
                    let text = format!("began {late} ms after its client left");
                    breaks.push(broken(Rule::LateStart, text));
                }
            }
            let left = (sent.at + sent.deadline).saturating_sub(arrival.begun_at);
            if arrival.told > left + TOLD_GRACE + MEASURING_SLACK {
                let text = format!(
                    "told {} ms where {} are left",
                    arrival.told / MILLISECOND,
                    left / MILLISECOND
                );
                breaks.push(broken(Rule::ToldTime, text));
            }
        }
        breaks
    }

    /// Whether the id was sent again before this time, so that an attempt may belong to that.
    fn was_sent_again(&self, sent: &Sent<'_>, before: Micros) -> bool {
        self.sent.iter().any(|other| {
            let is_later = other.id == sent.id && other.at > sent.at;
            is_later && other.at <= before + MEASURING_SLACK
        })
    }

    /// Nothing runs twice that must not.
    fn check_repeats(&self, rules: &Rules) -> Vec<Break> {
        let mut breaks = Vec::new();
        let mut checked = HashSet::new();
        for sent in &self.sent {
            if sent.class == Class::Look || !checked.insert(sent.id) {
                continue;
            }
            let arrivals = self.arrivals_of(sent.id);
            for (index, arrival) in arrivals.iter().enumerate() {
                let earlier = arrivals[..index]
                    .iter()
                    .find(|earlier| !self.may_follow(sent, earlier, arrival, rules));
                if let Some(earlier) = earlier {
                    breaks.push(Break {
                        at: arrival.at,
                        rule: Rule::Repeat,
                        id: Some(sent.id.to_owned()),
                        text: format!(
                            "{} ({}) at {} after an attempt at {} that may have run",
                            sent.id,
                            sent.class.name(),
                            arrival.server,
                            earlier.server
                        ),
                    });
                }
            }
        }
        breaks
    }

    /// Whether an attempt may follow an earlier one.
    fn may_follow(
        &self,
        sent: &Sent<'_>,
        earlier: &Arrival<'_>,
        arrival: &Arrival<'_>,
        rules: &Rules,
    ) -> bool {
        let turned_away = self.turned_away.get(&(earlier.server, sent.id));
        let never_ran = turned_away.is_some_and(|times| times.iter().any(|at| *at <= arrival.at));
        let is_discarded = sent.class == Class::Hold
            && arrival.group == earlier.group
            && arrival.begun_at <= earlier.begun_at + rules.key_window + MEASURING_SLACK;
        never_ran || is_discarded || self.is_at_another_limiter(sent.id, earlier, arrival)
    }

    /// Whether an id was sent once more meanwhile, to another limiter or to one that has started anew
    /// since: neither can know of the earlier attempt.
    fn is_at_another_limiter(
        &self,
        id: &str,
        earlier: &Arrival<'_>,
        arrival: &Arrival<'_>,
    ) -> bool {
        let of_id = || self.sent.iter().filter(|sent| sent.id == id);
        let before = of_id().rfind(|sent| sent.at <= earlier.at);
        let again = of_id().rfind(|sent| sent.at <= arrival.at);
        let (Some(before), Some(again)) = (before, again) else {
            return false;
        };
        let has_started_anew = self.new_starts.iter().any(|(at, limiter)| {
            *limiter == again.limiter && (before.at..=arrival.at).contains(at)
        });
        before.limiter != again.limiter || has_started_anew
    }

    /// A process ends only after a signal.
    fn check_crashes(&self, records: &[Record]) -> Vec<Break> {
        let mut breaks = Vec::new();
        for Record { at, event } in records {
            let Event::Ended {
                limiter,
                process,
                status,
            } = event
            else {
                continue;
            };
            let ends = [Signalled::Kill, Signalled::Terminate];
            let was_signalled = self
                .signals
                .iter()
                .any(|(_, _, of, signal)| of == process && ends.contains(signal));
            if !was_signalled {
                breaks.push(Break {
                    at: *at,
                    rule: Rule::Crash,
                    id: None,
                    text: format!("limiter {limiter} ended by itself: {status}"),
                });
            }
        }
        breaks
    }
}

/// Nothing is sent to a server that drains.
fn check_drains(records: &[Record], rules: &Rules) -> Vec<Break> {
    let mut drains: HashMap<&str, Micros> = HashMap::new();
    let mut breaks = Vec::new();
    for Record { at, event } in records {
        match event {
            Event::Drains { server } => _ = drains.entry(server).or_insert(*at),
            Event::Arrived {
                server,
                id,
                begun_at,
                ..
            } => {
                let since = drains.get(server.as_str());
                let until = since.map(|since| since + rules.drain_grace + MEASURING_SLACK);
                if until.is_some_and(|until| *begun_at > until) {
                    breaks.push(Break {
                        at: *at,
                        rule: Rule::Drain,
                        id: Some(id.clone()),
                        text: format!("{id} was sent to {server}, which drains"),
                    });
                }
            }
            _ => {}
        }
    }
    breaks
}

/// Memory and descriptors stay within their limits.
fn check_limits(records: &[Record], rules: &Rules) -> Vec<Break> {
    let mut breaks = Vec::new();
    for Record { at, event } in records {
        let Event::Measured {
            limiter,
            resident_kib,
            descriptors,
        } = event
        else {
            continue;
        };
        if *resident_kib > rules.memory_kib || *descriptors > rules.descriptors {
            breaks.push(Break {
                at: *at,
                rule: Rule::Limits,
                id: None,
                text: format!(
                    "limiter {limiter} holds {resident_kib} KiB of {} and {descriptors} \
                     descriptors of {}",
                    rules.memory_kib, rules.descriptors
                ),
            });
        }
    }
    breaks
}
