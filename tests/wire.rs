//! The wire: what is read, what is written, and plain words on bad input.

use mossrill::decision::*;
use mossrill::simulator::{parse, write, Line, Lookup, Names};
use std::io::Write;
use std::process::{Command, Stdio};

const START: &str = r#"["provision",3,18446744073709551615,{"me":1,"balancers":2,"az":"z","unknown":[1],
"classes":[{"name":"look","semantics":"read_like","slo":500000,"deadline":2000000,"importance":1.5}],
"tariffs":[{"name":"basic","refill":2.5,"peakUnits":5}],"specifics":{"mayCount":true}}]"#;

struct One(Names);

impl Lookup for One {
    fn names(&self, instance: u64) -> Option<&Names> {
        (instance == 3).then_some(&self.0)
    }
}

fn one() -> One {
    One(Names::from_line(&START.replace('\n', "")))
}

#[test]
fn settings_ignore_what_is_unknown_and_default_what_is_absent() {
    let Ok(Line::Start {
        instance: 3,
        seed: u64::MAX,
        settings,
    }) = parse(&START.replace('\n', ""), &one())
    else {
        panic!("not a start")
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
fn events_and_actions_have_the_page_s_order() {
    let line = r#"["workItem",3,"rq","look","basic","key:a",240000,2,3,1,false,false]"#;
    let Ok(Line::Event {
        instance: 3,
        event: Event::Request(r),
    }) = parse(line, &one())
    else {
        panic!("not a request")
    };
    assert_eq!(
        (r.timeout, r.units, r.limiter_count, r.first_limiter),
        (240_000, 2.0, 3, 1)
    );
    let line = r#"["resolved",3,"rq",null,86,18500,"b",303,1,false,null]"#;
    let Ok(Line::Event {
        instance: 3,
        event: Event::AttemptEnded(e),
    }) = parse(line, &one())
    else {
        panic!("not an outcome")
    };
    assert_eq!(
        (e.outcome, e.attempt, e.is_final, e.latency),
        (Outcome::Timeout, 1, false, 18_500)
    );
    let send = Action::Send {
        id: "rq".into(),
        server: "b".into(),
        timeout: 80_000,
        write_before: Micros::MAX,
    };
    assert_eq!(write(3, &send), r#"["submitTo",3,"rq",80000,"b"]"#);
    let count = Action::AddToCounter {
        key: 9,
        amount: 4.0,
        ttl: 3_000_000,
    };
    assert_eq!(write(3, &count), r#"["addAndGet",3,9,4.0,3000000]"#);
}

#[test]
fn bad_lines_are_named_in_plain_words() {
    for (line, words) in [
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
        let fault = parse(line, &one()).expect_err(line).to_string();
        assert!(fault.contains(words), "{line}: {fault}");
    }
}

fn host(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mossrill-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(input.as_bytes())
        .expect("reads");
    let out = child.wait_with_output().expect("ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (out.status.success(), text(out.stdout), text(out.stderr))
}

#[test]
fn the_host_answers_batches_and_ends_at_the_end_of_input() {
    let (ok, out, err) = host("[\"batch\",5]\n[\"end\"]\n");
    assert_eq!((ok, out.as_str(), err.as_str()), (true, "[\"next\"]\n", ""));
}

#[test]
fn the_host_names_a_bad_line_and_gives_no_part_of_a_reply() {
    let start = START.replace('\n', "");
    let (ok, out, err) = host(&format!(
        "[\"batch\",5]\n{start}\n[\"fleet\",3,\"Odd\",1,[]]\n[\"end\"]\n"
    ));
    assert!(!ok && out.is_empty());
    assert_eq!(err.lines().count(), 1);
    assert!(err.contains("line 3: fleet: value 2"), "{err}");
}
