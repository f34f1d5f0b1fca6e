//! Tests of the simulator protocol: parsing of lines, encoding of actions, and errors for invalid
//! input.

use mossrill::decision::*;
use mossrill::simulator::{encode_action, parse_line, Line, Lookup, Names};
use std::io::Write;
use std::process::{Command, Stdio};

const START: &str = r#"["provision",3,18446744073709551615,{"me":1,"balancers":2,"az":"z","unknown":[1],
"classes":[{"name":"look","semantics":"read_like","slo":500000,"deadline":2000000,"importance":1.5}],
"tariffs":[{"name":"basic","refill":2.5,"peakUnits":5}],"specifics":{"mayCount":true}}]"#;

/// Names of instance 3, the only one that is running.
struct SingleInstance(Names);

impl Lookup for SingleInstance {
    fn names(&self, instance: u64) -> Option<&Names> {
        (instance == 3).then_some(&self.0)
    }
}

fn single_instance() -> SingleInstance {
    SingleInstance(Names::from_line(&START.replace('\n', "")))
}

#[test]
fn settings_ignore_unknown_keys_and_default_absent_ones() {
    let Ok(Line::Start {
        instance: 3,
        seed: u64::MAX,
        settings,
    }) = parse_line(&START.replace('\n', ""), &single_instance())
    else {
        panic!("the line is not parsed as the start of instance 3 with its seed")
    };
    assert_eq!(
        (
            settings.limiter,
            settings.plans[0].rate,
            settings.plans[0].max_concurrent
        ),
        (1, 2.5, 0)
    );
    assert!(settings.counter && !settings.limits.hedging);
}

#[test]
fn values_of_events_and_actions_have_the_documented_order() {
    let line = r#"["workItem",3,"rq","look","basic","key:a",240000,2,3,1,false,false]"#;
    let Ok(Line::Event {
        instance: 3,
        event: Event::Request(request),
    }) = parse_line(line, &single_instance())
    else {
        panic!("{line} is not parsed as a request of instance 3")
    };
    assert_eq!(
        (
            request.timeout,
            request.units,
            request.limiter_count,
            request.first_limiter
        ),
        (240_000, 2.0, 3, 1)
    );
    let line = r#"["resolved",3,"rq",null,86,18500,"b",303,1,false,null]"#;
    let Ok(Line::Event {
        instance: 3,
        event: Event::AttemptEnded(result),
    }) = parse_line(line, &single_instance())
    else {
        panic!("{line} is not parsed as an attempt result of instance 3")
    };
    assert_eq!(
        (
            result.outcome,
            result.attempt,
            result.is_final,
            result.latency
        ),
        (Outcome::Timeout, 1, false, 18_500)
    );
    let send = Action::Send {
        id: "rq".into(),
        server: "b".into(),
        timeout: 80_000,
        write_before: Micros::MAX,
    };
    assert_eq!(encode_action(3, &send), r#"["submitTo",3,"rq",80000,"b"]"#);
    let counter_call = Action::AddToCounter {
        key: 9,
        amount: 4.0,
        ttl: 3_000_000,
    };
    assert_eq!(
        encode_action(3, &counter_call),
        r#"["addAndGet",3,9,4.0,3000000]"#
    );
}

#[test]
fn parse_errors_name_the_message_and_the_invalid_value() {
    for (line, expected) in [
        ("{", "not JSON"),
        ("7", "not a list"),
        (r#"["what",3]"#, "unknown message what"),
        (r#"["deadlineHit",3]"#, "deadlineHit: value 2 is missing"),
        (r#"["deadlineHit",4,7]"#, "no instance 4 runs"),
        (
            r#"["withdrawn",3,5]"#,
            "withdrawn: value 2 is 5, wanted text",
        ),
        (
            r#"["resolved",3,"r",0,0,1,"b",999,0,true]"#,
            "wanted an outcome code",
        ),
        (
            r#"["workItem",3,"r","none","basic","k",1]"#,
            "unknown class none",
        ),
    ] {
        let error = parse_line(line, &single_instance())
            .expect_err(line)
            .to_string();
        assert!(
            error.contains(expected),
            "{line} gives the error {error:?}, expected {expected:?}"
        );
    }
}

/// Runs the simhost with this input. Returns whether it succeeded, and its standard output and
/// standard error.
fn run_simhost(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mossrill-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the simhost starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input.as_bytes())
        .expect("the simhost reads its input");
    let output = child.wait_with_output().expect("the simhost exits");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is UTF-8");
    (
        output.status.success(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test]
fn simhost_replies_to_a_batch_and_exits_at_the_end_of_input() {
    let (is_success, stdout, stderr) = run_simhost("[\"batch\",5]\n[\"end\"]\n");
    assert_eq!(
        (is_success, stdout.as_str(), stderr.as_str()),
        (true, "[\"next\"]\n", "")
    );
}

#[test]
fn simhost_reports_an_invalid_line_and_writes_no_partial_reply() {
    let start = START.replace('\n', "");
    let (is_success, stdout, stderr) = run_simhost(&format!(
        "[\"batch\",5]\n{start}\n[\"fleet\",3,\"Odd\",1,[]]\n[\"end\"]\n"
    ));
    assert!(
        !is_success && stdout.is_empty(),
        "success: {is_success}, standard output: {stdout:?}"
    );
    assert_eq!(stderr.lines().count(), 1);
    assert!(stderr.contains("line 3: fleet: value 2"), "{stderr}");
}
