//! Quota leases at the edges: frames on a connection, configuration, and what the decision module asks for.

mod common;

use common::*;
use mossrill::config;
use mossrill::decision::*;
use mossrill::quota_lease::frame::{self, FrameError, Timeouts};
use mossrill::quota_lease::message::MAX_BYTES;
use serde_json::{json, Value};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const DESCRIPTION: &str = include_str!("../deploy/ferry.openapi.json");
const LIMITER: &str = include_str!("../deploy/leases.json");
const ALLOCATOR: &str = include_str!("../deploy/allocator.json");
const PATIENCE: Duration = Duration::from_secs(20);
const PATIENT: Timeouts = Timeouts {
    idle: PATIENCE,
    frame: PATIENCE,
};

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let near =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    (near, listener.accept().expect("a connection").0)
}

/// What is read of these bytes, after which the connection ends.
fn read_of(bytes: &[u8]) -> Result<Vec<u8>, FrameError> {
    let (mut near, far) = pair();
    near.write_all(bytes).expect("written");
    drop(near);
    frame::read(&far, PATIENT)
}

#[test]
fn frames_come_whole_and_in_order() {
    let (near, far) = pair();
    let messages = [
        vec![7],
        vec![1; 300],
        (0..MAX_BYTES).map(|at| at as u8).collect::<Vec<_>>(),
    ];
    let sent = messages.clone();
    let writer = thread::spawn(move || {
        sent.iter()
            .for_each(|message| frame::write(&near, message, PATIENCE).expect("written"));
    });
    for message in &messages {
        assert!(frame::read(&far, PATIENT).expect("a frame") == *message);
    }
    writer.join().expect("an end");
    assert!(matches!(
        frame::read(&far, PATIENT),
        Err(FrameError::Closed)
    ));
}

#[test]
fn spoilt_frames_are_told_apart() {
    assert!(matches!(read_of(&[]), Err(FrameError::Closed)));
    assert!(matches!(read_of(&[0, 0]), Err(FrameError::Truncated)));
    assert!(matches!(
        read_of(&[0, 0, 0, 3, 1, 2]),
        Err(FrameError::Truncated)
    ));
    assert!(matches!(read_of(&[0; 4]), Err(FrameError::Empty)));
    let too_long = MAX_BYTES as u32 + 1;
    let read = read_of(&too_long.to_be_bytes());
    assert!(
        matches!(read, Err(FrameError::TooLong(length)) if length == MAX_BYTES + 1),
        "{read:?}"
    );
    let (near, _far) = pair();
    assert!(matches!(
        frame::write(&near, &[], PATIENCE),
        Err(FrameError::Empty)
    ));
    assert!(matches!(
        frame::write(&near, &vec![0; MAX_BYTES + 1], PATIENCE),
        Err(FrameError::TooLong(_))
    ));
}

#[test]
fn silent_and_slow_connections_are_given_up() {
    let timeouts = Timeouts {
        idle: Duration::from_millis(20),
        frame: Duration::from_millis(20),
    };
    let (mut near, far) = pair();
    assert!(matches!(
        frame::read(&far, timeouts),
        Err(FrameError::IdleTimeout)
    ));
    near.write_all(&[0, 0, 0, 9, 1]).expect("written");
    assert!(matches!(
        frame::read(&far, timeouts),
        Err(FrameError::FrameTimeout)
    ));
    // Bytes that trickle in don't prolong the time for a frame.
    let (mut near, far) = pair();
    let trickle = thread::spawn(move || {
        while near.write_all(&[0, 0, 0, 255]).is_ok() {
            thread::sleep(Duration::from_millis(5));
        }
    });
    let timeouts = Timeouts {
        idle: PATIENCE,
        frame: Duration::from_millis(60),
    };
    let read = (0..1_000).find_map(|_| frame::read(&far, timeouts).err());
    assert!(
        matches!(
            read,
            Some(FrameError::FrameTimeout | FrameError::Empty | FrameError::TooLong(_))
        ),
        "{read:?}"
    );
    drop(far);
    trickle.join().expect("an end");
    // One that reads nothing is not waited for longer than that.
    let (near, _far) = pair();
    let message = vec![1; MAX_BYTES];
    let timeout = Duration::from_millis(50);
    let written = (0..1_000).find_map(|_| frame::write(&near, &message, timeout).err());
    assert!(
        matches!(written, Some(FrameError::FrameTimeout)),
        "{written:?}"
    );
}

/// What is done to a good file.
type Change<'a> = &'a dyn Fn(&mut Value);

fn limiter_fault(change: impl Fn(&mut Value)) -> String {
    let mut file: Value = serde_json::from_str(LIMITER).expect("JSON");
    change(&mut file["store"]);
    match config::openapi(&file.to_string(), |_| Ok(DESCRIPTION.to_owned())) {
        Ok(_) => "taken".into(),
        Err(fault) => fault.to_string(),
    }
}

#[test]
fn a_limiter_s_file_names_the_key_that_is_wrong() {
    assert_eq!(limiter_fault(|_| ()), "taken");
    let cases: [(&str, Change<'_>); 15] = [
        ("store.lifetime", &|store| store["lifetime"] = json!(1)),
        ("store.lifetime_ms", &|store| {
            store["lifetime_ms"] = json!(0)
        }),
        ("store.lifetime_ms", &|store| {
            store["lifetime_ms"] = json!(-5)
        }),
        ("store.lifetime_ms", &|store| {
            store["lifetime_ms"] = json!(u64::MAX)
        }),
        ("store.interval_ms", &|store| {
            store["interval_ms"] = json!(9_999)
        }),
        ("store.interval_ms", &|store| {
            store["interval_ms"] = json!("1 s")
        }),
        ("store.answer_ms", &|store| store["answer_ms"] = json!(0)),
        ("store.connect_ms", &|store| store["connect_ms"] = json!(0)),
        ("store.fallback", &|store| store["fallback"] = json!(-0.1)),
        ("store.fallback", &|store| store["fallback"] = json!(1.5)),
        ("store.allocators", &|store| store["allocators"] = json!([])),
        ("store.allocators[1].number", &|store| {
            store["allocators"][1]["number"] = json!(0)
        }),
        ("store.allocators[1].number", &|store| {
            store["allocators"][1]["number"] = json!(7)
        }),
        ("store.allocators[2].address", &|store| {
            store["allocators"][2]["address"] = store["allocators"][0]["address"].clone();
        }),
        ("store.allocators[3].address", &|store| {
            store["allocators"][3]["address"] = json!("nowhere")
        }),
    ];
    for (key, change) in cases {
        let fault = limiter_fault(change);
        assert!(fault.contains(&format!("key \"{key}")), "{key}: {fault}");
    }
    let unknown = limiter_fault(|store| store["allocators"][0]["weight"] = json!(1));
    assert!(
        unknown.contains("store.allocators[0]") && unknown.contains("weight"),
        "{unknown}"
    );
    let missing =
        limiter_fault(|store| _ = store.as_object_mut().map(|keys| keys.remove("allocators")));
    assert!(
        missing.contains("store") && missing.contains("allocators"),
        "{missing}"
    );
    let crowd = |store: &mut Value| {
        let entry = |n: u32| json!({"number": n, "address": format!("127.0.0.1:{}", 7_301 + n)});
        store["allocators"] = (0..65).map(entry).collect();
    };
    assert!(limiter_fault(crowd).contains("store.allocators"));
}

fn allocator_fault(change: impl Fn(&mut Value)) -> String {
    let mut file: Value = serde_json::from_str(ALLOCATOR).expect("JSON");
    change(&mut file);
    match config::allocator("allocator.json", &file.to_string()) {
        Ok(_) => "taken".into(),
        Err(fault) => fault.to_string(),
    }
}

#[test]
fn an_allocator_s_file_names_the_key_that_is_wrong() {
    assert_eq!(allocator_fault(|_| ()), "taken");
    let cases: [(&str, Value); 13] = [
        ("number", json!(7)),
        ("number", json!(-1)),
        ("allocators", json!(0)),
        ("allocators", json!(65)),
        ("listen", json!("nowhere")),
        ("limiters", json!(0)),
        ("limiters", json!(1_000_000)),
        ("lifetime_ms", json!(0)),
        ("idle_ms", json!(0)),
        ("frame_ms", json!(0)),
        ("accounts", json!(0)),
        ("connections", json!(0)),
        ("fleet", json!(null)),
    ];
    for (key, value) in cases {
        let fault = allocator_fault(|file| file[key] = value.clone());
        let named =
            fault.starts_with("allocator.json: ") && fault.contains(&format!("key \"{key}\""));
        assert!(named, "{key}: {fault}");
    }
    let unknown = allocator_fault(|file| file["lifetme_ms"] = json!(1));
    assert!(unknown.contains("lifetme_ms"), "{unknown}");
    let nested = allocator_fault(|file| file["fleet"]["perod_ms"] = json!(1));
    assert!(nested.contains("fleet.perod_ms"), "{nested}");
    assert!(config::allocator("f", "{").is_err());
    assert!(config::allocator_from_file(std::path::Path::new("/nonexistent")).is_err());
}

fn leased(open: u32) -> Bench {
    let mut settings = Settings {
        quota_leases: true,
        counter: false,
        ..settings()
    };
    settings.plans[0].max_concurrent = open;
    Bench::new(settings, 2)
}

fn leases(actions: &[Action]) -> Vec<(RequestId, f64)> {
    let pick = |action: &Action| match action {
        Action::RequestLease { id, units, .. } => Some((id.clone(), *units)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

#[test]
fn a_request_is_sent_once_its_units_are_leased() {
    let mut bench = leased(0);
    let asked = bench.ask("a", 0, 0, "c");
    assert_eq!(leases(&asked), [("a".into(), 1.0)]);
    assert!(sends(&asked).is_empty() && refused(&asked) == 0);
    // However long that takes, it is neither sent nor asked for again before.
    let waits = bench.pass(100_000);
    assert!(sends(&waits).is_empty() && leases(&waits).is_empty() && counts(&waits) == 0);
    let sent = bench.on(Event::LeaseReply {
        id: "a".into(),
        granted: true,
    });
    assert_eq!(sends(&sent).len(), 1);
    assert_eq!(counts(&sent), 0);
}

#[test]
fn a_request_without_units_is_refused_at_once() {
    let mut bench = leased(0);
    bench.ask("a", 0, 0, "c");
    bench.ask("b", 0, 0, "c");
    let answered = bench.on(Event::LeaseReply {
        id: "a".into(),
        granted: false,
    });
    assert_eq!((refused(&answered), sends(&answered).len()), (1, 0));
    let answered = bench.on(Event::LeaseReply {
        id: "b".into(),
        granted: true,
    });
    assert_eq!((refused(&answered), sends(&answered).len()), (0, 1));
    // Units for a request that has ended meanwhile change nothing.
    assert!(bench
        .on(Event::LeaseReply {
            id: "a".into(),
            granted: true
        })
        .is_empty());
}

#[test]
fn a_cap_on_open_attempts_holds_beside_leases() {
    let mut bench = leased(2);
    for id in ["a", "b", "c"] {
        bench.ask(id, 0, 0, "c");
    }
    // Through two gateways, so one of the two places is this one's.
    let sent: usize = ["a", "b", "c"]
        .map(|id| {
            sends(&bench.on(Event::LeaseReply {
                id: id.into(),
                granted: true,
            }))
            .len()
        })
        .iter()
        .sum();
    assert_eq!(sent, 1);
}

#[test]
fn a_whole_burst_is_asked_for_whatever_this_gateway_used_before() {
    // Where the counter is called, more than a fair part is cut off before it is asked for.
    let mut bench = leased(0);
    let asked: usize = (0..40)
        .map(|n| leases(&bench.ask(&format!("r{n}"), 0, 0, "c")).len())
        .sum();
    assert_eq!(asked, 40);
}
