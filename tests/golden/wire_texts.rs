//! Golden bytes of the text protocols: RESP, HTTP, service discovery, counter calls and frames on a connection.

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
use mossrill::protocol::http::Body as HttpForm;
use mossrill::protocol::http::Head;
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

/// What `write` writes to a connection.
fn written(write: impl FnOnce(&TcpStream)) -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let stream =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (mut other, _) = listener.accept().expect("a connection");
    write(&stream);
    stream.shutdown(Shutdown::Write).expect("a connection");
    let mut bytes = Vec::new();
    other.read_to_end(&mut bytes).expect("bytes");
    bytes
}

const CLOSE_REASONS: [(&str, CloseReason); 2] = [
    ("closing-slow", CloseReason::TooSlow),
    ("closing-many", CloseReason::TooMany),
];

/// One recorded line: a name, and bytes with line ends and other unprintable ones escaped.
fn line(name: &str, bytes: &[u8]) -> String {
    format!("{name} {}\n", bytes.escape_ascii())
}

fn additions() -> Vec<(&'static str, Addition)> {
    let addition = |by, ttl| Addition {
        call_number: 9,
        counter: 4_611_686_018_427_387_904,
        amount: by,
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
fn counter_calls_are_those_recorded() {
    let address: SocketAddr = "127.0.0.9:4000".parse().expect("an address");
    let mut text = String::new();
    for (name, addition) in additions() {
        text += &line(
            &format!("http-{name}"),
            &HttpCounterProtocol.encode(&addition, address),
        );
        text += &line(
            &format!("redis-{name}"),
            &RedisCounterProtocol.encode(&addition, address),
        );
    }
    assert_matches("counter-calls.txt", &text);
}

const COMMAND: &[u8] =
    b"*5\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000a1f\r\n$4\r\nid-1\r\n$28\r\nc=a,t=p,d=900,units=2,spread=1\r\n$4\r\nbody\r\n";

fn platform_call(deadline_given: bool) -> PlatformCall {
    let (words, _) = resp::command(&command())
        .expect("a command")
        .expect("a whole one");
    let mut buffer = Buffer::take();
    buffer[..command().len()].copy_from_slice(&command());
    let at = words[3].start + b"c=a,t=p,d=".len();
    PlatformCall {
        buffer,
        words,
        deadline_at: if deadline_given { at..at + 3 } else { 0..0 },
    }
}

/// The command with the length of its fields put right.
fn command() -> Vec<u8> {
    let fields = "c=a,t=p,d=900,units=2,spread=1".len();
    String::from_utf8_lossy(COMMAND)
        .replace("$28\r\n", &format!("${fields}\r\n"))
        .into_bytes()
}

#[test]
fn commands_to_upstream_servers_are_those_recorded() {
    let protocol = PlatformUpstreamProtocol(vec!["queue".into()]);
    let mut text = String::new();
    for (name, left) in [("whole", 900), ("shorter", 7), ("longer", 12_345)] {
        let left = Duration::from_millis(left);
        let bytes = written(|to| {
            protocol
                .write(&platform_call(true), to, left)
                .expect("a call")
        });
        text += &line(&format!("attempt-{name}"), &bytes);
    }
    let bytes = written(|to| {
        protocol
            .write(&platform_call(false), to, Duration::ZERO)
            .expect("a call")
    });
    text += &line("attempt-without-deadline", &bytes);
    text += &line(
        "probe",
        &written(|to| {
            to.set_read_timeout(Some(Duration::from_millis(1)))
                .expect("a timeout");
            assert_eq!(protocol.check_health(to).outcome, Outcome::Timeout);
        }),
    );
    let mut words = Vec::new();
    resp::write_command(&mut words, [&b"GET"[..], b"", b"\r\n"].into_iter());
    text += &line("command", &words);
    assert_matches("upstream-commands.txt", &text);
}

#[test]
fn replies_to_platform_clients_are_those_recorded() {
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
    let refused = |after, late| Answer::Rejected {
        retry_after: Duration::from_micros(after),
        timed_out: late,
    };
    let answers = [
        (
            "served",
            Answer::Served(Served::Whole {
                buffer,
                value: 8..13,
            }),
        ),
        ("refused", refused(0, false)),
        ("refused-later", refused(1_001, false)),
        ("refused-late", refused(250_000, true)),
        ("failed", Answer::Failed { timed_out: false }),
        ("failed-late", Answer::Failed { timed_out: true }),
    ];
    let mut text = String::new();
    for (name, answer) in answers {
        text += &line(
            name,
            &written(|to| assert!(protocol.write(to, (), answer).expect("a reply"))),
        );
    }
    for (name, why) in CLOSE_REASONS {
        text += &line(name, &protocol.closing_reply(why).1);
    }
    assert_matches("platform-replies.txt", &text);
}

const DESCRIPTION: &str = include_str!("../../deploy/ferry.openapi.json");

fn http_protocol() -> HttpClientProtocol {
    let description = Description::read(DESCRIPTION).expect("a description");
    HttpClientProtocol::new(description, "X-Agent-Account".into(), HashMap::new())
}

fn served(status: u16, body: &[u8]) -> HttpResponse {
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
        body: HttpForm::Length(body.len()),
        keep_alive: true,
        headers,
    };
    HttpResponse {
        head,
        body: HttpBody::Complete(body.to_vec()),
    }
}

/// The bytes of a message without the time of day in it.
fn without_date(bytes: &[u8]) -> Vec<u8> {
    let text = String::from_utf8(bytes.to_vec()).expect("text");
    let kept = text.split_inclusive("\r\n").map(|line| {
        if line.starts_with("Date: ") {
            "Date: *\r\n"
        } else {
            line
        }
    });
    kept.collect::<String>().into_bytes()
}

#[test]
fn replies_to_http_clients_are_those_recorded() {
    let protocol = http_protocol();
    let refused = |after, late| Answer::Rejected {
        retry_after: Duration::from_micros(after),
        timed_out: late,
    };
    let answers = [
        ("served", Answer::Served(served(200, b"body"))),
        ("no-content", Answer::Served(served(204, b""))),
        ("refused", refused(0, false)),
        ("refused-later", refused(1_000_001, false)),
        ("refused-late", refused(250_000, true)),
        ("failed", Answer::Failed { timed_out: false }),
        ("failed-late", Answer::Failed { timed_out: true }),
    ];
    let mut text = String::new();
    for (name, answer) in answers {
        let (context, _) = protocol.closing_reply(CloseReason::TooMany);
        let bytes = written(|to| {
            protocol.write(to, context, answer).expect("a reply");
        });
        text += &line(name, &without_date(&bytes));
    }
    for (name, why) in CLOSE_REASONS {
        text += &line(name, &without_date(&protocol.closing_reply(why).1));
    }
    assert_matches("http-replies.txt", &text);
}

#[test]
fn requests_to_http_servers_are_those_recorded() {
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
        headers: served(200, b"").head.headers,
        body: body.to_vec(),
        operation: operation(),
    };
    let mut text = String::new();
    for (name, call) in [
        ("get", call("GET", b"")),
        ("post", call("POST", b"")),
        ("put", call("PUT", b"seat")),
    ] {
        for left in [0, 250] {
            let left = Duration::from_millis(left);
            let bytes = written(|to| HttpUpstreamProtocol.write(&call, to, left).expect("a call"));
            text += &line(&format!("{name}-{}", left.as_millis()), &bytes);
        }
    }
    assert_matches("http-requests.txt", &text);
}

/// The head of the next request on a connection to `listener`, without its port, answered with `answer`.
fn asked(listener: &TcpListener, answer: &str) -> (Vec<u8>, TcpStream) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        head.push(byte[0]);
    }
    stream.write_all(answer.as_bytes()).expect("a connection");
    let port = listener
        .local_addr()
        .expect("an address")
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
fn discovery_requests_are_those_recorded() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let moved = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (limiters, grace) = (Arc::new(AtomicU32::new(1)), Duration::from_millis(10));
    let log = Logger::root(Discard, o!());
    let watch = discovery::watch(address, 41, (limiters, grace, 7), |_| {}, log).expect("a watch");
    let (watching, open) = asked(
        &listener,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    watch.move_to(moved.local_addr().expect("an address"));
    let list = "{\"generation\":7,\"reset\":true,\"instances\":[]}";
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    );
    let (whole, _whole) = asked(&moved, &answer);
    let text = line("watch", &watching) + &line("whole", &whole);
    drop(open);
    assert_matches("discovery-requests.txt", &text);
}

#[test]
fn lease_frames_are_those_recorded() {
    let bytes =
        written(|to| frame::write(to, b"message", Duration::from_secs(1)).expect("a frame"));
    assert_matches("lease-frames.txt", &line("frame", &bytes));
}

#[test]
fn hand_over_frames_on_a_connection_are_those_recorded() {
    let (own, mut other) = UnixStream::pair().expect("a connection");
    let link = Link::new(own).expect("a link");
    link.send(HandoverMessage::Join(1), None).expect("a frame");
    link.send(HandoverMessage::Ended("account".into()), None)
        .expect("a frame");
    link.shutdown();
    let mut bytes = Vec::new();
    other.read_to_end(&mut bytes).expect("bytes");
    assert_matches("hand-over-link.txt", &line("frames", &bytes));
}

#[test]
fn admin_replies_are_those_recorded() {
    let figures = Metrics::new(vec!["a".into(), "b".into()]);
    figures.begin_request(1).finish(RequestOutcome::Served);
    figures.begin_request(1).finish(RequestOutcome::Rejected);
    drop(figures.begin_request(0));
    let _open = figures.begin_request(0);
    figures.count_attempt();
    figures.set_server_counts(5, 2);
    let mut text = line(
        "show-stat",
        admin::render_metrics(&figures, vec![("fleet.alive".into(), 3)]).as_bytes(),
    );
    text += &line("yes", admin::acknowledgement(Ok(())).as_bytes());
    text += &line("no", admin::acknowledgement(Err("why")).as_bytes());
    for call in [
        "ready",
        "show-stat",
        "show-fleet",
        "disable-server a",
        "enable-server a",
    ] {
        assert!(
            admin::Call::parse(call.as_bytes()).is_ok(),
            "{call} is not understood"
        );
    }
    let disabled = admin::Call::DisableServer(ServerId::from("a"));
    assert_eq!(admin::Call::parse(b"disable-server a"), Ok(disabled));
    assert_matches("admin-replies.txt", &text);
}
