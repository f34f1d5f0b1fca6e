//! Golden traces: the actions that the engines take in long sequences of events, compared by hash.

use crate::golden::{assert_matches, hex};
use crate::hosts::{Host, LeasedHost, ProcessHost};
use crate::settings::Scenario;
use crate::world::World;
use std::collections::BTreeSet;
use std::thread;

/// Minimum number of events in a sequence.
const EVENTS: usize = 20_000;
const WIRE_SEQUENCES: u64 = 24;
const LEASED_SEQUENCES: u64 = 8;

/// Result of one sequence.
struct SequenceResult {
    /// The line to compare with the recorded one: number of events, and hash of all actions.
    line: String,
    /// Names of events and actions, and codes of outcomes, that occurred.
    seen: BTreeSet<String>,
}

/// Runs one sequence on a host.
fn run_sequence(kind: &str, number: u64, host: &mut dyn Host) -> SequenceResult {
    let mut world = World::new(Scenario::new(number));
    let mut hash = blake3::Hasher::new();
    while world.events < EVENTS {
        let reply = host.exchange(&world.batch());
        for line in &reply {
            hash.update(line.as_bytes());
            hash.update(b"\n");
        }
        world.apply_reply(&reply);
    }
    SequenceResult {
        line: format!(
            "{kind} {number:02} {} {}\n",
            world.events,
            hex(hash.finalize().as_bytes())
        ),
        seen: world.seen,
    }
}

/// Runs all sequences of a kind on a few threads. Returns the lines to compare, and all names and
/// codes that occurred.
fn run_sequences(
    kind: &'static str,
    sequences: u64,
    host: fn() -> Box<dyn Host>,
) -> (String, BTreeSet<String>) {
    const THREADS: u64 = 4;
    let mut results: Vec<(u64, SequenceResult)> = thread::scope(|scope| {
        let worker = |first| {
            move || -> Vec<_> {
                let numbers = (first..sequences).step_by(THREADS as usize);
                numbers
                    .map(|number| (number, run_sequence(kind, number, &mut *host())))
                    .collect()
            }
        };
        let workers: Vec<_> = (0..THREADS)
            .map(|first| scope.spawn(worker(first)))
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("a sequence runs without a panic"))
            .collect()
    });
    results.sort_by_key(|(number, _)| *number);
    let lines = results
        .iter()
        .map(|(_, result)| result.line.as_str())
        .collect();
    (
        lines,
        results
            .into_iter()
            .flat_map(|(_, result)| result.seen)
            .collect(),
    )
}

#[test]
fn actions_of_the_simhost_match_the_recording() {
    let (lines, seen) = run_sequences("wire", WIRE_SEQUENCES, || Box::new(ProcessHost::start()));
    let events = "provision destroy fleet workItem opened resolved withdrawn deadlineHit checkResult mail reckoned";
    let actions = "submitTo dropAttempt bounce abort defer addAndGet tail";
    for name in events.split(' ').chain(actions.split(' ')) {
        assert!(seen.contains(name), "{name} does not occur in any sequence");
    }
    for code in [100, 301, 302, 303, 304, 305, 306, 307] {
        assert!(
            seen.contains(&format!("outcome {code}")),
            "no attempt ends with the outcome {code}"
        );
    }
    for code in [100, 302, 303, 304] {
        assert!(
            seen.contains(&format!("counter {code}")),
            "no counter call ends with the outcome {code}"
        );
    }
    assert_matches("traces-wire.txt", &lines);
}

#[test]
fn actions_with_leased_quotas_match_the_recording() {
    let (lines, seen) = run_sequences("leased", LEASED_SEQUENCES, || {
        Box::new(LeasedHost::default())
    });
    for name in ["lease", "leased", "submitTo", "bounce"] {
        assert!(seen.contains(name), "{name} does not occur in any sequence");
    }
    assert_matches("traces-leased.txt", &lines);
}
