//! Golden bytes of the protocols on stream connections: RESP, HTTP, service discovery, counter
//! calls, admin replies, and frames of leases and of the hand-over.

use crate::golden::assert_matches;
use mossrill::admin;
use mossrill::client::{ClientProtocol, CloseReason};
use mossrill::core::Answer;
use mossrill::counter::http::HttpCounterProtocol;
use mossrill::counter::redis::RedisCounterProtocol;
use mossrill::counter::{Addition, CounterProtocol};
use mossrill::decision::{Idempotency, Outcome, ServerId};
use mossrill::discovery;
use mossrill::handover::link::Link;
use mossrill::handover::message::HandoverMessage;
use mossrill::metrics::{Metrics, RequestOutcome};
use mossrill::openapi::client_protocol::HttpClientProtocol;
use mossrill::openapi::description::{Description, Operation};
use mossrill::openapi::upstream_protocol::{
    HttpBody, HttpRequest, HttpResponse, HttpUpstreamProtocol,
};
use mossrill::platform::client_protocol::PlatformClientProtocol;
use mossrill::platform::upstream_protocol::{PlatformCall, PlatformUpstreamProtocol, Served};
use mossrill::protocol::buffers::Buffer;
use mossrill::protocol::http::{Body, Head};
use mossrill::protocol::resp;
use mossrill::quota_lease::frame;
use mossrill::simulator::Names;
use mossrill::upstream::UpstreamProtocol;
use slog::{o, Discard, Logger};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::atomic::AtomicU32;
use std::sync::Arc;
use std::time::Duration;

/// Returns the bytes that `write` writes to a connection.
fn written_bytes(write: impl FnOnce(&TcpStream)) -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free on loopback");
    let stream = TcpStream::connect(listener.local_addr().expect("the listener is bound"))
        .expect("the listener can be connected to");
    let (mut peer, _) = listener.accept().expect("the connection is accepted");
    write(&stream);
    stream
        .shutdown(Shutdown::Write)
        .expect("the connection is open");
    let mut bytes = Vec::new();
    peer.read_to_end(&mut bytes)
        .expect("the written bytes can be read");
    bytes
}

const CLOSE_REASONS: [(&str, CloseReason); 2] = [
    ("closing-slow", CloseReason::TooSlow),
    ("closing-many", CloseReason::TooMany),
];

/// Returns one line of a recorded file: a name, and bytes of which unprintable ones are escaped.
fn recorded_line(name: &str, bytes: &[u8]) -> String {
    format!("{name} {}\n", bytes.escape_ascii())
}

fn additions() -> Vec<(&'static str, Addition)> {
    let addition = |amount, ttl| Addition {
        call_number: 9,
        counter: 4_611_686_018_427_387_904,
        amount,
        ttl,
    };
    vec![
        ("add", addition(2.5, Duration::from_secs(60))),
        ("read", addition(0.0, Duration::from_millis(1_500))),
        ("give-back", addition(-3.0, Duration::from_micros(100))),
        ("sum", addition(0.1 + 0.2, Duration::from_secs(60))),
    ]
}

#[test]
fn counter_calls_match_the_recording() {
    let address: SocketAddr = "127.0.0.9:4000".parse().expect("the address is valid");
    let mut text = String::new();
    for (name, addition) in additions() {
        text += &recorded_line(
            &format!("http-{name}"),
            &HttpCounterProtocol.encode(&addition, address),
        );
        text += &recorded_line(
            &format!("redis-{name}"),
            &RedisCounterProtocol.encode(&addition, address),
        );
    }
    assert_matches("counter-calls.txt", &text);
}

const COMMAND: &[u8] =
    b"*5\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000a1f\r\n$4\r\nid-1\r\n$28\r\nc=a,t=p,d=900,units=2,spread=1\r\n$4\r\nbody\r\n";

fn platform_call(has_deadline: bool) -> PlatformCall {
    let (words, _) = resp::parse_command(&command())
        .expect("the command is valid")
        .expect("the command is complete");
    let mut buffer = Buffer::take();
    buffer[..command().len()].copy_from_slice(&command());
    let deadline_start = words[3].start + b"c=a,t=p,d=".len();
    PlatformCall {
        buffer,
        words,
        deadline_at: if has_deadline {
            deadline_start..deadline_start + 3
        } else {
            0..0
        },
    }
}

/// Returns [`COMMAND`] with the correct length of its fields.
fn command() -> Vec<u8> {
    let fields = "c=a,t=p,d=900,units=2,spread=1".len();
    String::from_utf8_lossy(COMMAND)
        .replace("$28\r\n", &format!("${fields}\r\n"))
        .into_bytes()
}

#[test]
fn commands_to_upstream_servers_match_the_recording() {
    let protocol = PlatformUpstreamProtocol(vec!["queue".into()]);
    let mut text = String::new();
    for (name, time_left_ms) in [("whole", 900), ("shorter", 7), ("longer", 12_345)] {
        let time_left = Duration::from_millis(time_left_ms);
        let bytes = written_bytes(|to| {
            protocol
                .write(&platform_call(true), to, time_left)
                .expect("the command is written")
        });
        text += &recorded_line(&format!("attempt-{name}"), &bytes);
    }
    let bytes = written_bytes(|to| {
        protocol
            .write(&platform_call(false), to, Duration::ZERO)
            .expect("the command is written")
    });
    text += &recorded_line("attempt-without-deadline", &bytes);
    text += &recorded_line(
        "probe",
        &written_bytes(|to| {
            to.set_read_timeout(Some(Duration::from_millis(1)))
                .expect("the read timeout is set");
            assert_eq!(protocol.check_health(to).outcome, Outcome::Timeout);
        }),
    );
    let mut words = Vec::new();
    resp::write_command(&mut words, [&b"GET"[..], b"", b"\r\n"].into_iter());
    text += &recorded_line("command", &words);
    assert_matches("upstream-commands.txt", &text);
}

#[test]
fn replies_to_platform_clients_match_the_recording() {
    let names = Names::from_settings(
        &serde_json::json!({"classes": [{"name": "a"}], "tariffs": [{"name": "p"}]}),
    );
    let classes = vec![(Duration::from_secs(2), Idempotency::Idempotent)];
    let protocol = PlatformClientProtocol {
        names,
        classes,
        max_units: 6.0,
        limiter_count: 3,
    };
    let mut buffer = Buffer::take();
    buffer[..16].copy_from_slice(b"*3\r\n$5\r\nvalue\r\n$");
    let rejected = |retry_after_us, timed_out| Answer::Rejected {
        retry_after: Duration::from_micros(retry_after_us),
        timed_out,
    };
    let answers = [
        (
            "served",
            Answer::Served(Served::Whole {
                buffer,
                value: 8..13,
            }),
        ),
        ("refused", rejected(0, false)),
        ("refused-later", rejected(1_001, false)),
        ("refused-late", rejected(250_000, true)),
        ("failed", Answer::Failed { timed_out: false }),
        ("failed-late", Answer::Failed { timed_out: true }),
    ];
    let mut text = String::new();
    for (name, answer) in answers {
        text += &recorded_line(
            name,
            &written_bytes(|to| {
                assert!(protocol
                    .write(to, (), answer)
                    .expect("the reply is written"))
            }),
        );
    }
    for (name, reason) in CLOSE_REASONS {
        text += &recorded_line(name, &protocol.closing_reply(reason).1);
    }
    assert_matches("platform-replies.txt", &text);
}

const DESCRIPTION: &str = include_str!("../../deploy/ferry.openapi.json");

fn http_protocol() -> HttpClientProtocol {
    let description = Description::read(DESCRIPTION).expect("the description is valid");
    HttpClientProtocol::new(description, "X-Agent-Account".into(), HashMap::new())
}

/// Returns a response of an upstream server with headers of which some must not be forwarded.
fn upstream_response(status: u16, body: &[u8]) -> HttpResponse {
    let headers = vec![
        ("Content-Type".to_owned(), b"text/plain".to_vec()),
        ("Connection".to_owned(), b"keep-alive, X-Hop".to_vec()),
        ("X-Hop".to_owned(), b"1".to_vec()),
        ("X-Kept".to_owned(), b"a, b".to_vec()),
        ("Content-Length".to_owned(), b"77".to_vec()),
    ];
    let head = Head {
        status,
        reason: "Reason".into(),
        body: Body::Length(body.len()),
        keep_alive: true,
        headers,
    };
    HttpResponse {
        head,
        body: HttpBody::Complete(body.to_vec()),
        charge: None,
    }
}

/// Returns the bytes of a message with its date replaced by `*`.
fn without_date(bytes: &[u8]) -> Vec<u8> {
    let text = String::from_utf8(bytes.to_vec()).expect("the message is UTF-8");
    let lines = text.split_inclusive("\r\n").map(|line| {
        if line.starts_with("Date: ") {
            "Date: *\r\n"
        } else {
            line
        }
    });
    lines.collect::<String>().into_bytes()
}

#[test]
fn replies_to_http_clients_match_the_recording() {
    let protocol = http_protocol();
    let rejected = |retry_after_us, timed_out| Answer::Rejected {
        retry_after: Duration::from_micros(retry_after_us),
        timed_out,
    };
    let answers = [
        ("served", Answer::Served(upstream_response(200, b"body"))),
        ("no-content", Answer::Served(upstream_response(204, b""))),
        ("refused", rejected(0, false)),
        ("refused-later", rejected(1_000_001, false)),
        ("refused-late", rejected(250_000, true)),
        ("failed", Answer::Failed { timed_out: false }),
        ("failed-late", Answer::Failed { timed_out: true }),
    ];
    let mut text = String::new();
    for (name, answer) in answers {
        let (context, _) = protocol.closing_reply(CloseReason::TooMany);
        let bytes = written_bytes(|to| {
            protocol
                .write(to, context, answer)
                .expect("the reply is written");
        });
        text += &recorded_line(name, &without_date(&bytes));
    }
    for (name, reason) in CLOSE_REASONS {
        text += &recorded_line(name, &without_date(&protocol.closing_reply(reason).1));
    }
    assert_matches("http-replies.txt", &text);
}

#[test]
fn requests_to_http_servers_match_the_recording() {
    let operation = || Operation {
        name: "op".into(),
        class: 0,
        units: 1.0,
        key_header: None,
        never_ran: Vec::new(),
    };
    let call = |method: &str, body: &[u8]| HttpRequest {
        method: method.into(),
        target: "/seats?from=a".into(),
        headers: upstream_response(200, b"").head.headers,
        body: body.to_vec(),
        operation: operation(),
    };
    let mut text = String::new();
    for (name, call) in [
        ("get", call("GET", b"")),
        ("post", call("POST", b"")),
        ("put", call("PUT", b"seat")),
    ] {
        for time_left_ms in [0, 250] {
            let time_left = Duration::from_millis(time_left_ms);
            let bytes = written_bytes(|to| {
                HttpUpstreamProtocol
                    .write(&call, to, time_left)
                    .expect("the request is written")
            });
            text += &recorded_line(&format!("{name}-{time_left_ms}"), &bytes);
        }
    }
    assert_matches("http-requests.txt", &text);
}

/// Accepts a connection, reads the head of its request and writes `reply`. Returns the head, in
/// which the port of the listener is replaced by `PORT`, and the connection.
fn reply_to_next_request(listener: &TcpListener, reply: &str) -> (Vec<u8>, TcpStream) {
    let (mut stream, _) = listener.accept().expect("the connection is accepted");
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream
            .read_exact(&mut byte)
            .expect("the request has a complete head");
        head.push(byte[0]);
    }
    stream
        .write_all(reply.as_bytes())
        .expect("the connection is open");
    let port = listener
        .local_addr()
        .expect("the listener is bound")
        .port()
        .to_string();
    (
        String::from_utf8_lossy(&head)
            .replace(&port, "PORT")
            .into_bytes(),
        stream,
    )
}

#[test]
fn discovery_requests_match_the_recording() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free on loopback");
    let address = listener.local_addr().expect("the listener is bound");
    let new_listener = TcpListener::bind("127.0.0.1:0").expect("a port is free on loopback");
    let (limiters, grace) = (Arc::new(AtomicU32::new(1)), Duration::from_millis(10));
    let log = Logger::root(Discard, o!());
    let watch = discovery::watch(address, 41, (limiters, grace, 7), |_| {}, log)
        .expect("the watch thread starts");
    let (watch_request, open_connection) = reply_to_next_request(
        &listener,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    watch.move_to(new_listener.local_addr().expect("the listener is bound"));
    let list = "{\"generation\":7,\"reset\":true,\"instances\":[]}";
    let reply = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    );
    let (list_request, _list_connection) = reply_to_next_request(&new_listener, &reply);
    let text = recorded_line("watch", &watch_request) + &recorded_line("whole", &list_request);
    drop(open_connection);
    assert_matches("discovery-requests.txt", &text);
}

#[test]
fn lease_frames_match_the_recording() {
    let bytes = written_bytes(|to| {
        frame::write(to, b"message", Duration::from_secs(1)).expect("the frame is written")
    });
    assert_matches("lease-frames.txt", &recorded_line("frame", &bytes));
}

#[test]
fn hand_over_frames_on_a_connection_match_the_recording() {
    let (socket, mut peer) = UnixStream::pair().expect("a socket pair is created");
    let link = Link::new(socket).expect("the link is created");
    link.send(HandoverMessage::Join(1), None)
        .expect("the frame is sent");
    link.send(HandoverMessage::Ended("account".into()), None)
        .expect("the frame is sent");
    link.shutdown();
    let mut bytes = Vec::new();
    peer.read_to_end(&mut bytes)
        .expect("the sent frames can be read");
    assert_matches("hand-over-link.txt", &recorded_line("frames", &bytes));
}

#[test]
fn admin_replies_match_the_recording() {
    let metrics = Metrics::new(vec!["a".into(), "b".into()]);
    metrics.begin_request(1).finish(RequestOutcome::Served);
    metrics.begin_request(1).finish(RequestOutcome::Rejected);
    drop(metrics.begin_request(0));
    let _in_flight = metrics.begin_request(0);
    metrics.count_attempt();
    metrics.set_server_counts(5, 2);
    let mut text = recorded_line(
        "show-stat",
        admin::render_metrics(&metrics, vec![("fleet.alive".into(), 3)]).as_bytes(),
    );
    text += &recorded_line("yes", admin::acknowledgement(Ok(())).as_bytes());
    text += &recorded_line("no", admin::acknowledgement(Err("why")).as_bytes());
    for call in [
        "ready",
        "show-stat",
        "show-fleet",
        "disable-server a",
        "enable-server a",
    ] {
        assert!(
            admin::Call::parse(call.as_bytes()).is_ok(),
            "the admin call {call} is not parsed"
        );
    }
    let disabled = admin::Call::DisableServer(ServerId::from("a"));
    assert_eq!(admin::Call::parse(b"disable-server a"), Ok(disabled));
    assert_matches("admin-replies.txt", &text);
}
