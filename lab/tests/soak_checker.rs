//! The checker of the soak finds each break that is planted in records, and none in records without.

use mossrill_lab::soak::checker::{check, Rule, Rules};
use mossrill_lab::soak::record::{Class, Event, Record, Reply, Signalled};

const MS: u64 = 1_000;

fn rules() -> Rules {
    Rules {
        memory_kib: 32 * 1_024,
        descriptors: 256,
        drain_grace: 1_000 * MS,
        key_window: 5_000 * MS,
        servers_fail: false,
    }
}

fn at(ms: u64, event: Event) -> Record {
    Record { at: ms * MS, event }
}

fn sent(ms: u64, class: Class) -> Record {
    let event = Event::Sent {
        connection: 1,
        id: "a".into(),
        class,
        deadline_ms: 500,
        limiter: 0,
    };
    at(ms, event)
}

fn arrived(ms: u64, server: &str, group: u32, told_ms: u64) -> Record {
    let event = Event::Arrived {
        server: server.into(),
        group,
        id: "a".into(),
        begun_at: ms * MS,
        told_ms,
    };
    at(ms, event)
}

fn replied(ms: u64, reply: Reply) -> Record {
    let event = Event::Replied {
        connection: 1,
        id: "a".into(),
        reply,
    };
    at(ms, event)
}

fn unanswered(ms: u64) -> Record {
    let event = Event::Unanswered {
        connection: 1,
        id: "a".into(),
    };
    at(ms, event)
}

fn left(ms: u64) -> Record {
    let event = Event::Left {
        connection: 1,
        id: "a".into(),
    };
    at(ms, event)
}

fn turned_away(ms: u64, server: &str) -> Record {
    let event = Event::TurnedAway {
        server: server.into(),
        id: "a".into(),
    };
    at(ms, event)
}

fn signal(ms: u64, signal: Signalled) -> Record {
    let event = Event::Signal {
        limiter: 0,
        process: 7,
        signal,
    };
    at(ms, event)
}

fn ended(ms: u64) -> Record {
    let event = Event::Ended {
        limiter: 0,
        process: 7,
        status: "exit status: 101".into(),
    };
    at(ms, event)
}

fn drains(ms: u64) -> Record {
    let event = Event::Drains {
        server: "s0".into(),
    };
    at(ms, event)
}

fn measured(resident_kib: u64, descriptors: u64) -> Record {
    let event = Event::Measured {
        limiter: 0,
        resident_kib,
        descriptors,
    };
    at(0, event)
}

#[track_caller]
fn assert_broken(records: &[Record], rule: Rule) {
    let breaks: Vec<Rule> = check(records, &rules()).iter().map(|b| b.rule).collect();
    assert_eq!(breaks, [rule]);
}

#[track_caller]
fn assert_kept(records: &[Record]) {
    let breaks: Vec<String> = check(records, &rules())
        .iter()
        .map(|b| b.to_string())
        .collect();
    assert_eq!(breaks, Vec::<String>::new());
}

#[test]
fn records_of_a_quiet_run_break_no_rule() {
    let [sent, arrived] = [sent(0, Class::Pay), arrived(5, "s0", 0, 480)];
    assert_kept(&[
        sent,
        arrived,
        replied(20, Reply::Served),
        measured(20_000, 200),
    ]);
}

#[test]
fn missing_late_and_cut_off_answers_are_found() {
    assert_broken(&[sent(0, Class::Look)], Rule::Answer);
    let late = [sent(0, Class::Look), replied(1_150, Reply::Failed)];
    assert_broken(&late, Rule::Answer);
    assert_kept(&[sent(0, Class::Look), replied(950, Reply::Failed)]);
    let cut_off = [
        sent(0, Class::Pay),
        arrived(5, "s0", 0, 480),
        unanswered(40),
    ];
    assert_broken(&cut_off, Rule::Answer);
    let held = [sent(0, Class::Pay), unanswered(400)];
    assert_broken(&held, Rule::Answer);
}

#[test]
fn close_that_crosses_a_request_and_a_kill_without_warning_are_allowed() {
    assert_kept(&[sent(0, Class::Look), unanswered(40)]);
    let forwarded = [sent(0, Class::Pay), arrived(5, "s0", 0, 480)];
    let killed = [signal(30, Signalled::Kill), unanswered(31), ended(31)];
    assert_kept(&[&forwarded[..], &killed].concat());
    let warned = [&forwarded[..], &[signal(10, Signalled::Terminate)], &killed].concat();
    assert_broken(&warned, Rule::Answer);
}

#[test]
fn wrong_values_are_found() {
    let arrived = || arrived(5, "s0", 0, 480);
    let wrong = [
        sent(0, Class::Look),
        arrived(),
        replied(9, Reply::WrongValue),
    ];
    assert_broken(&wrong, Rule::Value);
    let cut_off = [
        sent(0, Class::Look),
        self::arrived(5, "s0", 0, 480),
        replied(9, Reply::CutOff),
    ];
    assert_broken(&cut_off, Rule::Value);
    let made_up = [sent(0, Class::Look), replied(9, Reply::Served)];
    assert_broken(&made_up, Rule::Value);
}

#[test]
fn repeats_are_found_where_they_do_harm() {
    let run = |class, second: &str, group| {
        [
            sent(0, class),
            arrived(5, "s0", 0, 480),
            arrived(90, second, group, 400),
            replied(200, Reply::Served),
        ]
    };
    assert_broken(&run(Class::Pay, "s2", 0), Rule::Repeat);
    assert_broken(&run(Class::Hold, "s1", 1), Rule::Repeat);
    assert_kept(&run(Class::Hold, "s2", 0));
    assert_kept(&run(Class::Look, "s1", 1));
    let mut turned = run(Class::Pay, "s1", 1).to_vec();
    turned.insert(2, turned_away(8, "s0"));
    assert_kept(&turned);
}

/// An id that comes again at a limiter that has started anew, which can't know it, is allowed.
#[test]
fn repeats_of_ids_that_come_again_are_found_at_a_limiter_that_knows_them() {
    let again = |ms| match sent(ms, Class::Pay).event {
        Event::Sent { id, class, .. } => at(
            ms,
            Event::Sent {
                connection: 2,
                id,
                class,
                deadline_ms: 500,
                limiter: 0,
            },
        ),
        event => at(ms, event),
    };
    let first = [sent(0, Class::Pay), arrived(5, "s0", 0, 480), left(20)];
    let end = Event::Replied {
        connection: 2,
        id: "a".into(),
        reply: Reply::Served,
    };
    let second = [again(60), arrived(70, "s1", 1, 480), at(90, end)];
    assert_broken(&[&first[..], &second].concat(), Rule::Repeat);
    let new_start = [at(40, Event::StartedAnew { limiter: 0 })];
    assert_kept(&[&first[..], &new_start, &second].concat());
}

#[test]
fn attempts_after_the_client_left_are_found() {
    let run = |ms| [sent(0, Class::Look), left(50), arrived(ms, "s0", 0, 300)];
    assert_broken(&run(210), Rule::LateStart);
    assert_kept(&run(190));
}

#[test]
fn attempts_that_name_too_much_time_are_found() {
    let run = |told| {
        [
            sent(0, Class::Look),
            arrived(100, "s0", 0, told),
            replied(300, Reply::Served),
        ]
    };
    assert_broken(&run(610), Rule::ToldTime);
    assert_kept(&run(590));
}

#[test]
fn attempts_at_draining_servers_are_found() {
    let run = |ms| {
        [
            drains(0),
            sent(ms, Class::Look),
            arrived(ms + 5, "s0", 0, 480),
            replied(ms + 20, Reply::Served),
        ]
    };
    assert_broken(&run(1_100), Rule::Drain);
    assert_kept(&run(1_000));
}

#[test]
fn memory_descriptors_and_crashes_are_found() {
    assert_broken(&[measured(33_000, 10)], Rule::Limits);
    assert_broken(&[measured(20_000, 257)], Rule::Limits);
    assert_broken(&[ended(5)], Rule::Crash);
    assert_kept(&[signal(3, Signalled::Terminate), ended(5)]);
}
