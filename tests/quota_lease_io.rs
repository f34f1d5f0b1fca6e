//! Quota leases: frames on a connection, errors of configuration files, and lease requests of the
//! decision engine.

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

const OPENAPI_DESCRIPTION: &str = include_str!("../deploy/ferry.openapi.json");
const LIMITER_CONFIG: &str = include_str!("../deploy/leases.json");
const ALLOCATOR_CONFIG: &str = include_str!("../deploy/allocator.json");
/// Timeout that no operation of a passing test reaches.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
const LONG_TIMEOUTS: Timeouts = Timeouts {
    idle: LONG_TIMEOUT,
    frame: LONG_TIMEOUT,
};

/// Returns the two ends of a TCP connection on loopback.
fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port should be free");
    let local = TcpStream::connect(
        listener
            .local_addr()
            .expect("the listener should have a local address"),
    )
    .expect("connecting to the listener should succeed");
    (
        local,
        listener
            .accept()
            .expect("accepting the connection should succeed")
            .0,
    )
}

/// Returns the result of reading a frame from a connection on which `bytes` were sent and which was
/// then closed.
fn read_frame_of(bytes: &[u8]) -> Result<Vec<u8>, FrameError> {
    let (mut local, remote) = pair();
    local
        .write_all(bytes)
        .expect("writing to the connection should succeed");
    drop(local);
    frame::read(&remote, LONG_TIMEOUTS)
}

#[test]
fn frames_arrive_complete_and_in_order() {
    let (local, remote) = pair();
    let messages = [
        vec![7],
        vec![1; 300],
        (0..MAX_BYTES).map(|at| at as u8).collect::<Vec<_>>(),
    ];
    let sent = messages.clone();
    let writer = thread::spawn(move || {
        sent.iter().for_each(|message| {
            frame::write(&local, message, LONG_TIMEOUT)
                .expect("writing to the connection should succeed")
        });
    });
    for message in &messages {
        assert!(
            frame::read(&remote, LONG_TIMEOUTS).expect("reading the frame should succeed")
                == *message
        );
    }
    writer.join().expect("the writer thread should not panic");
    assert!(matches!(
        frame::read(&remote, LONG_TIMEOUTS),
        Err(FrameError::Closed)
    ));
}

#[test]
fn malformed_frames_are_distinguished() {
    assert!(matches!(read_frame_of(&[]), Err(FrameError::Closed)));
    assert!(matches!(read_frame_of(&[0, 0]), Err(FrameError::Truncated)));
    assert!(matches!(
        read_frame_of(&[0, 0, 0, 3, 1, 2]),
        Err(FrameError::Truncated)
    ));
    assert!(matches!(read_frame_of(&[0; 4]), Err(FrameError::Empty)));
    let too_long = MAX_BYTES as u32 + 1;
    let read = read_frame_of(&too_long.to_be_bytes());
    assert!(
        matches!(read, Err(FrameError::TooLong(length)) if length == MAX_BYTES + 1),
        "{read:?}"
    );
    let (local, _remote) = pair();
    assert!(matches!(
        frame::write(&local, &[], LONG_TIMEOUT),
        Err(FrameError::Empty)
    ));
    assert!(matches!(
        frame::write(&local, &vec![0; MAX_BYTES + 1], LONG_TIMEOUT),
        Err(FrameError::TooLong(_))
    ));
}

#[test]
fn silent_and_slow_connections_time_out() {
    let timeouts = Timeouts {
        idle: Duration::from_millis(20),
        frame: Duration::from_millis(20),
    };
    let (mut local, remote) = pair();
    assert!(matches!(
        frame::read(&remote, timeouts),
        Err(FrameError::IdleTimeout)
    ));
    local
        .write_all(&[0, 0, 0, 9, 1])
        .expect("writing to the connection should succeed");
    assert!(matches!(
        frame::read(&remote, timeouts),
        Err(FrameError::FrameTimeout)
    ));
    // Bytes that arrive slowly do not extend the timeout of a frame.
    let (mut local, remote) = pair();
    let slow_sender = thread::spawn(move || {
        while local.write_all(&[0, 0, 0, 255]).is_ok() {
            thread::sleep(Duration::from_millis(5));
        }
    });
    let timeouts = Timeouts {
        idle: LONG_TIMEOUT,
        frame: Duration::from_millis(60),
    };
    let read = (0..1_000).find_map(|_| frame::read(&remote, timeouts).err());
    assert!(
        matches!(
            read,
            Some(FrameError::FrameTimeout | FrameError::Empty | FrameError::TooLong(_))
        ),
        "{read:?}"
    );
    drop(remote);
    slow_sender
        .join()
        .expect("the thread that sends slowly should not panic");
    // A write fails after the timeout if the receiver does not read.
    let (local, _remote) = pair();
    let message = vec![1; MAX_BYTES];
    let timeout = Duration::from_millis(50);
    let written = (0..1_000).find_map(|_| frame::write(&local, &message, timeout).err());
    assert!(
        matches!(written, Some(FrameError::FrameTimeout)),
        "{written:?}"
    );
}

/// Change of a valid configuration file.
type Change<'a> = &'a dyn Fn(&mut Value);

/// Returns the error of the limiter configuration after `change` has been applied to its `store`;
/// "taken" if the configuration is valid.
fn limiter_config_error(change: impl Fn(&mut Value)) -> String {
    let mut file: Value =
        serde_json::from_str(LIMITER_CONFIG).expect("the file in deploy/ should be JSON");
    change(&mut file["store"]);
    match config::openapi(&file.to_string(), |_| Ok(OPENAPI_DESCRIPTION.to_owned())) {
        Ok(_) => "taken".into(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn errors_of_a_limiter_configuration_name_the_key() {
    assert_eq!(limiter_config_error(|_| ()), "taken");
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
        let error = limiter_config_error(change);
        assert!(error.contains(&format!("key \"{key}")), "{key}: {error}");
    }
    let unknown = limiter_config_error(|store| store["allocators"][0]["weight"] = json!(1));
    assert!(
        unknown.contains("store.allocators[0]") && unknown.contains("weight"),
        "{unknown}"
    );
    let missing = limiter_config_error(|store| {
        _ = store.as_object_mut().map(|keys| keys.remove("allocators"))
    });
    assert!(
        missing.contains("store") && missing.contains("allocators"),
        "{missing}"
    );
    let too_many_allocators = |store: &mut Value| {
        let entry = |n: u32| json!({"number": n, "address": format!("127.0.0.1:{}", 7_301 + n)});
        store["allocators"] = (0..65).map(entry).collect();
    };
    assert!(limiter_config_error(too_many_allocators).contains("store.allocators"));
}

/// Returns the error of the allocator configuration after `change` has been applied; "taken" if the
/// configuration is valid.
fn allocator_config_error(change: impl Fn(&mut Value)) -> String {
    let mut file: Value =
        serde_json::from_str(ALLOCATOR_CONFIG).expect("the file in deploy/ should be JSON");
    change(&mut file);
    match config::allocator("allocator.json", &file.to_string()) {
        Ok(_) => "taken".into(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn errors_of_an_allocator_configuration_name_the_key() {
    assert_eq!(allocator_config_error(|_| ()), "taken");
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
        let error = allocator_config_error(|file| file[key] = value.clone());
        let names_key =
            error.starts_with("allocator.json: ") && error.contains(&format!("key \"{key}\""));
        assert!(names_key, "{key}: {error}");
    }
    let unknown = allocator_config_error(|file| file["lifetme_ms"] = json!(1));
    assert!(unknown.contains("lifetme_ms"), "{unknown}");
    let nested = allocator_config_error(|file| file["fleet"]["perod_ms"] = json!(1));
    assert!(nested.contains("fleet.perod_ms"), "{nested}");
    assert!(config::allocator("f", "{").is_err());
    assert!(config::allocator_from_file(std::path::Path::new("/nonexistent")).is_err());
}

/// Returns a harness whose engine has quota leases and whose first plan has the given concurrency
/// limit; 0 means none.
fn lease_harness(max_concurrent: u32) -> EngineHarness {
    let mut settings = Settings {
        quota_leases: true,
        counter: false,
        ..settings()
    };
    settings.plans[0].max_concurrent = max_concurrent;
    EngineHarness::new(settings, 2)
}

/// Returns the requests for which a lease is requested, with their units.
fn lease_requests(actions: &[Action]) -> Vec<(RequestId, f64)> {
    let lease_request = |action: &Action| match action {
        Action::RequestLease { id, units, .. } => Some((id.clone(), *units)),
        _ => None,
    };
    actions.iter().filter_map(lease_request).collect()
}

#[test]
fn request_is_forwarded_once_its_units_are_leased() {
    let mut harness = lease_harness(0);
    let requested = harness.request("a", 0, 0, "c");
    assert_eq!(lease_requests(&requested), [("a".into(), 1.0)]);
    assert!(sent_attempts(&requested).is_empty() && rejection_count(&requested) == 0);
    // Until the reply arrives, the request is not sent and its units are not requested again.
    let meanwhile = harness.advance(100_000);
    assert!(
        sent_attempts(&meanwhile).is_empty()
            && lease_requests(&meanwhile).is_empty()
            && counter_call_count(&meanwhile) == 0
    );
    let sent = harness.handle(Event::LeaseReply {
        id: "a".into(),
        granted: true,
    });
    assert_eq!(sent_attempts(&sent).len(), 1);
    assert_eq!(counter_call_count(&sent), 0);
}

#[test]
fn request_without_units_is_rejected_at_once() {
    let mut harness = lease_harness(0);
    harness.request("a", 0, 0, "c");
    harness.request("b", 0, 0, "c");
    let answered = harness.handle(Event::LeaseReply {
        id: "a".into(),
        granted: false,
    });
    assert_eq!(
        (rejection_count(&answered), sent_attempts(&answered).len()),
        (1, 0)
    );
    let answered = harness.handle(Event::LeaseReply {
        id: "b".into(),
        granted: true,
    });
    assert_eq!(
        (rejection_count(&answered), sent_attempts(&answered).len()),
        (0, 1)
    );
    // A reply for a request that has already ended has no effect.
    assert!(harness
        .handle(Event::LeaseReply {
            id: "a".into(),
            granted: true
        })
        .is_empty());
}

#[test]
fn concurrency_limit_holds_beside_leases() {
    let mut harness = lease_harness(2);
    for id in ["a", "b", "c"] {
        harness.request(id, 0, 0, "c");
    }
    // The limit of two is divided between two limiters, so this limiter may send one request.
    let sent: usize = ["a", "b", "c"]
        .map(|id| {
            sent_attempts(&harness.handle(Event::LeaseReply {
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
fn whole_burst_is_requested_regardless_of_earlier_use() {
    // With the counter, requests above a fair share are rejected before the counter is called. With
    // leases they are not.
    let mut harness = lease_harness(0);
    let requested: usize = (0..40)
        .map(|n| lease_requests(&harness.request(&format!("r{n}"), 0, 0, "c")).len())
        .sum();
    assert_eq!(requested, 40);
}
