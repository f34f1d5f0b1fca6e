//! What must hold of a record of all processes, whatever was done to them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

/// A cold node topples when it is sent so many times what it can do.
const MULTIPLE: f64 = 4.0;

/// How a request was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Served(String),
    Refused,
    Failed,
    /// The connection ended first.
    Nothing,
}

/// What happened. Times are left out where the order of the record is enough.
#[derive(Clone, Debug)]
pub enum Entry {
    /// A client has asked: at which limiter, in which class, for how many units of which account.
    Asked {
        id: String,
        limiter: usize,
        class: &'static str,
        account: String,
        units: u32,
    },
    Answered {
        id: String,
        told: Told,
    },
    /// A upstream server has taken it.
    Ran {
        id: String,
        node: usize,
        at: Instant,
    },
    /// A limiter was killed or told to stop: what it had taken may be without an answer.
    Ended {
        limiter: usize,
    },
    /// From here on nothing new may go to this node.
    Barred {
        node: usize,
        at: Instant,
    },
    /// This node has just started: it can do so much of what a warm one can, and all of it after `warm` seconds.
    Cold {
        node: usize,
        at: Instant,
        share: f64,
        warm: f64,
    },
}

/// What the checker is told of the day.
pub struct Bounds {
    /// Units that one account may use at once, and in a second.
    pub burst: f64,
    pub rate: f64,
    /// For so long it was asked, in seconds.
    pub span: f64,
    /// What goes beyond these by chance of windows and claims, as a part.
    pub slack: f64,
}

/// Every broken rule, in words.
pub fn check(record: &[Entry], bounds: Option<&Bounds>) -> Vec<String> {
    let mut faults = Vec::new();
    let mut asked = HashMap::new();
    let (mut answers, mut runs) = (
        HashMap::<&str, Vec<&Told>>::new(),
        HashMap::<&str, usize>::new(),
    );
    let (mut barred, mut cold) = (HashMap::new(), Vec::new());
    let mut ran = BTreeMap::<usize, Vec<Instant>>::new();
    let end = |entry: &Entry| match entry {
        Entry::Ended { limiter } => Some(*limiter),
        _ => None,
    };
    let ended: HashSet<usize> = record.iter().filter_map(end).collect();
    for entry in record {
        match entry {
            Entry::Asked {
                id,
                limiter,
                class,
                account,
                units,
            } => {
                asked.insert(&**id, (*limiter, *class, &**account, *units));
            }
            Entry::Answered { id, told } => answers.entry(id).or_default().push(told),
            Entry::Ran { id, node, at } => {
                *runs.entry(id).or_default() += 1;
                if barred.get(node).is_some_and(|from| at > from) {
                    faults.push(format!("{id} went to node {node}, which takes nothing new"));
                }
                ran.entry(*node).or_default().push(*at);
            }
            Entry::Ended { .. } => {}
            Entry::Barred { node, at } => _ = barred.insert(*node, *at),
            Entry::Cold {
                node,
                at,
                share,
                warm,
            } => cold.push((*node, *at, *share, *warm)),
        }
    }
    let mut used = BTreeMap::<&str, f64>::new();
    for (id, (limiter, class, account, units)) in &asked {
        let told = answers.get(id).map_or(&[][..], Vec::as_slice);
        match told {
            [Told::Nothing] | [] if ended.contains(limiter) => {}
            [Told::Nothing] | [] => faults.push(format!(
                "{id} got no answer of limiter {limiter}, which lived"
            )),
            [Told::Served(value)] if value != id => {
                faults.push(format!("{id} was served with {value}"))
            }
            [Told::Served(_)] if !runs.contains_key(id) => {
                faults.push(format!("{id} was served and never ran"))
            }
            [_] => {}
            more => faults.push(format!("{id} got {} answers", more.len())),
        }
        let times = runs.get(id).copied().unwrap_or(0);
        if *class == "pay" && times > 1 {
            faults.push(format!("{id} may not run twice, and ran {times} times"));
        }
        if times > 0 {
            *used.entry(account).or_default() += f64::from(*units);
        }
    }
    if let Some(bounds) = bounds {
        let most = (bounds.burst + bounds.rate * bounds.span) * (1.0 + bounds.slack);
        for (account, units) in used.iter().filter(|(_, units)| **units > most) {
            faults.push(format!(
                "{units} units of {account} were sent on, {most:.0} at the most"
            ));
        }
    }
    // What a warm node gets it can do; the cold one can do its share of that.
    let within = |node: usize, from: Instant| {
        let second = from..from + Duration::from_secs(1);
        ran.get(&node).map_or(0, |times| {
            times.iter().filter(|at| second.contains(at)).count()
        }) as f64
    };
    for (node, started, share, warm) in cold {
        let tenths =
            (0..(warm * 10.0) as u64).map(|tenth| started + Duration::from_millis(100 * tenth));
        let too_much = tenths.clone().find_map(|from| {
            let others = ran.keys().filter(|other| **other != node);
            let busiest = others.map(|other| within(*other, from)).fold(1.0, f64::max);
            let age = from.duration_since(started).as_secs_f64() + 1.0;
            let able = MULTIPLE * busiest * (share + (1.0 - share) * (age / warm).min(1.0));
            let (came, most) = (within(node, from), able + 3.0 * able.sqrt() + 3.0);
            (came > most).then_some((came, most))
        });
        if let Some((came, most)) = too_much {
            faults.push(format!(
                "cold node {node} got {came} requests in a second, {most:.0} at the most"
            ));
        }
    }
    faults.sort();
    faults
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    fn good() -> Vec<Entry> {
        let now = Instant::now();
        let asked = |id: &str, limiter, class| Entry::Asked {
            id: id.into(),
            limiter,
            class,
            account: "a".into(),
            units: 2,
        };
        let told = |id: &str, told| Entry::Answered {
            id: id.into(),
            told,
        };
        let ran = |id: &str, node| Entry::Ran {
            id: id.into(),
            node,
            at: now,
        };
        vec![
            asked("look-1", 0, "look"),
            ran("look-1", 0),
            ran("look-1", 1),
            told("look-1", Told::Served("look-1".into())),
            asked("pay-1", 1, "pay"),
            ran("pay-1", 0),
            told("pay-1", Told::Failed),
            Entry::Ended { limiter: 1 },
            asked("pay-2", 1, "pay"),
            told("pay-2", Told::Nothing),
            asked("look-2", 0, "look"),
            told("look-2", Told::Refused),
        ]
    }

    #[test]
    fn a_good_record_has_no_fault_and_each_broken_one_has_its_own() {
        let bounds = Bounds {
            burst: 4.0,
            rate: 0.0,
            span: 1.0,
            slack: 0.0,
        };
        assert_eq!(check(&good(), Some(&bounds)), Vec::<String>::new());
        let later = Instant::now() + Duration::from_secs(5);
        type Break = fn(&mut Vec<Entry>, Instant);
        let broken: [(Break, &str); 9] = [
            (|r, _| _ = r.remove(3), "look-1 got no answer"),
            (|r, _| r.push(r[3].clone()), "look-1 got 2 answers"),
            (
                |r, _| {
                    r[3] = Entry::Answered {
                        id: "look-1".into(),
                        told: Told::Served("x".into()),
                    }
                },
                "served with x",
            ),
            (
                |r, _| drop(r.drain(1..3)),
                "look-1 was served and never ran",
            ),
            (|r, _| r.push(r[5].clone()), "pay-1 may not run twice"),
            (|r, _| _ = r.remove(7), "pay-2 got no answer"),
            (
                |r, at| {
                    r.insert(
                        0,
                        Entry::Barred {
                            node: 1,
                            at: at - Duration::from_secs(10),
                        },
                    );
                },
                "look-1 went to node 1",
            ),
            (
                |r, _| {
                    if let Entry::Asked { units, .. } = &mut r[0] {
                        *units = 3;
                    }
                },
                "5 units of a",
            ),
            (
                |r, at| {
                    r.insert(
                        0,
                        Entry::Cold {
                            node: 2,
                            at,
                            share: 0.2,
                            warm: 13.0,
                        },
                    );
                    r.extend((0..20).map(|n| Entry::Ran {
                        id: format!("{n}"),
                        node: 2,
                        at,
                    }));
                },
                "cold node 2 got 20 requests",
            ),
        ];
        for (break_it, fault) in broken {
            let mut record = good();
            break_it(&mut record, later);
            let faults = check(&record, Some(&bounds));
            assert!(
                faults.iter().any(|f| f.contains(fault)),
                "{fault}: {faults:?}"
            );
        }
    }
}
