//! Signals and closed connections while requests are in flight.

use crate::peers::{
    next_command, quota_counter, read_command, request_command, served_reply, settings,
    silent_discovery, start_limiter, start_peer, start_resp_peer, Client, PeerAction, Program,
};
use crate::support::{gated_server, request_ids, settings_with_long_deadlines, Gate};
use serde_json::Value;
use socket2::SockRef;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

#[test]
fn shutdown_with_resetting_watches_does_not_raise_the_poll_rate() {
    let (call_sender, calls) = channel();
    let call_sender = Mutex::new(call_sender);
    let discovery = start_peer(move |_, stream| {
        _ = call_sender.lock().expect("lock is not poisoned").send(());
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("linger is set on the socket");
    });
    let (server, seen) = start_resp_peer(|_, _| PeerAction::Hang);
    let mut config = settings(discovery, quota_counter().0, &[("s-1", server)]);
    config["settings"]["safety"]["drainGrace"] = 1_000_000.into();
    let program = Program::start("list-resets", &config);
    let mut held = Client::connect_when_ready_at(program.client_address);
    held.send_request("pay", "held", 2000);
    next_command(&seen);
    program.signal("TERM");
    assert!(held.read_reply().starts_with('-'));
    program.terminate();
    // At least 2 ms, a tenth of the poll time of 20 ms, pass between two polls. Without a wait
    // there are thousands of calls.
    let call_count = calls.try_iter().count();
    assert!(
        call_count < 500,
        "{call_count} calls of service discovery, want < 500"
    );
}

/// Sets the deadlines of all classes to 0.4 s, which is less than the 0.45 s in which connections are
/// still accepted after the request to stop.
fn shorten_deadlines(config: &mut Value) {
    let classes = config["settings"]["classes"].as_array_mut();
    for class in classes.expect("classes are an array") {
        (class["slo"], class["deadline"]) = (200_000.into(), 400_000.into());
    }
}

#[test]
fn shutdown_with_hanging_servers_answers_each_request_once() {
    let (server, seen) = start_resp_peer(|_, _| PeerAction::Hang);
    let mut config = settings(
        silent_discovery(),
        quota_counter().0,
        &[("s-1", server), ("s-2", server), ("s-3", server)],
    );
    shorten_deadlines(&mut config);
    let program = Program::start("all-hang", &config);
    let send_request = |class: &str| {
        let mut client = Client::connect_when_ready_at(program.client_address);
        client.send_request(class, class, 400);
        client
    };
    let mut clients: Vec<_> = ["look", "hold", "pay"]
        .iter()
        .map(|class| send_request(class))
        .collect();
    next_command(&seen);
    program.signal("TERM");
    // Further requests on the same connection are each answered, or the connection closes before
    // the answer.
    for client in &mut clients {
        let first_answer = client.read_reply();
        assert!(
            first_answer.starts_with('-'),
            "got {first_answer}, want an error"
        );
        while let Some(further_answer) = client.try_request(&request_command("look", "more", 400)) {
            assert!(
                further_answer.starts_with('-'),
                "got {further_answer}, want an error"
            );
        }
    }
    program.terminate();
}

#[test]
fn request_sent_during_shutdown_is_answered_or_never_forwarded() {
    let (server, seen) = start_resp_peer(|_, words| {
        thread::sleep(Duration::from_millis(5));
        served_reply(&words[2])
    });
    let mut config = settings(
        silent_discovery(),
        quota_counter().0,
        &[("s-1", server), ("s-2", server), ("s-3", server)],
    );
    (
        config["settings"]["tariffs"][0]["refill"],
        config["settings"]["tariffs"][0]["peakUnits"],
    ) = (1e6.into(), 1e6.into());
    let program = Program::start("request-during-shutdown", &config);
    let address = program.client_address;
    // Each client sends one request after another on a connection, and opens a new one once that
    // closes, until the limiter no longer accepts connections.
    let clients: Vec<_> = (0..6)
        .map(|client_number| {
            thread::spawn(move || {
                let (mut request_number, mut unanswered) = (0, Vec::new());
                while let Some(mut client) = Client::try_connect_at(address) {
                    loop {
                        request_number += 1;
                        let id = format!("{client_number}-{request_number}");
                        match client.try_request(&request_command("pay", &id, 2000)) {
                            Some(answer) => {
                                assert!(
                                    answer == id || answer.starts_with('-'),
                                    "{id} got the answer {answer}, want the id or an error"
                                )
                            }
                            None => {
                                unanswered.push(id);
                                break;
                            }
                        }
                    }
                }
                unanswered
            })
        })
        .collect();
    (0..50).for_each(|_| drop(next_command(&seen)));
    program.signal("TERM");
    let unanswered: Vec<_> = clients
        .into_iter()
        .flat_map(|client| {
            client
                .join()
                .expect("each answer is the request's id or an error")
        })
        .collect();
    program.terminate();
    let forwarded = request_ids(&seen);
    let lost_requests: Vec<_> = unanswered
        .iter()
        .filter(|id| forwarded.contains(id))
        .collect();
    assert_eq!(
        lost_requests,
        Vec::<&String>::new(),
        "forwarded requests without an answer; {} requests in total had none",
        unanswered.len()
    );
}

#[test]
fn request_read_before_the_idle_close_is_answered() {
    let (server, _seen) = start_resp_peer(|_, words| served_reply(&words[2]));
    let limiter = start_limiter(&settings_with_long_deadlines(
        silent_discovery(),
        &[("s-1", server)],
    ));
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("look", "first", 20_000);
    assert_eq!(client.read_reply(), "first");
    let stop_thread = thread::spawn(move || limiter.stop());
    // Idle connections are closed 0.45 s after the request to stop. No answer is pending on this
    // connection then, but its reader, which malformed commands pause for 0.36 s, has received the
    // request already.
    thread::sleep(Duration::from_millis(250));
    client.send(
        &(request_command("dance", "bad", 500).repeat(8)
            + &request_command("pay", "in-hand", 20_000)),
    );
    let answers: Vec<_> = (0..9).map(|_| client.read_reply()).collect();
    assert_eq!(answers[8], "in-hand");
    stop_thread.join().expect("limiter stops without a panic");
}

#[test]
fn request_accepted_after_the_core_ended_is_answered_and_its_connection_closed() {
    let (server, _seen) = start_resp_peer(|_, words| served_reply(&words[2]));
    let mut config = settings(silent_discovery(), quota_counter().0, &[("s-1", server)]);
    // Shorter than the time in which connections are still accepted, so the core ends with that
    // time, 0.45 s after the request to stop.
    for class in config["settings"]["classes"]
        .as_array_mut()
        .expect("classes are an array")
    {
        (class["slo"], class["deadline"]) = (50_000.into(), 50_000.into());
    }
    let limiter = start_limiter(&config);
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("look", "first", 50);
    assert!(!client.read_reply().is_empty());
    let stop_thread = thread::spawn(move || limiter.stop());
    thread::sleep(Duration::from_millis(300));
    // The reader has received all of this, and gets to the request after the pauses of 0.36 s for
    // the malformed commands.
    client.send(
        &(request_command("dance", "bad", 500).repeat(8) + &request_command("pay", "in-hand", 50)),
    );
    stop_thread.join().expect("limiter stops without a panic");
    let answers: Vec<_> = (0..10).map(|_| client.read_reply()).collect();
    assert_eq!(answers[8..], ["-ERR failed", ""]);
}

#[test]
fn connection_accepted_after_the_idle_close_has_its_first_request_served() {
    let (server, gate, seen) = gated_server("held");
    let limiter = start_limiter(&settings_with_long_deadlines(
        silent_discovery(),
        &[("s-1", server), ("s-2", server)],
    ));
    let address = limiter.client_address;
    let (mut idle, mut held) = (
        Client::connect_when_ready_at(address),
        Client::connect_when_ready_at(address),
    );
    held.send_request("look", "held", 20_000);
    next_command(&seen);
    let stop_thread = thread::spawn(move || limiter.stop());
    assert_eq!(
        idle.read_line(),
        "",
        "idle connection is closed during shutdown"
    );
    let mut late = Client::connect_at(address);
    late.send_request("pay", "late", 20_000);
    assert_eq!(late.read_reply(), "late");
    gate.open();
    assert_eq!(held.read_reply(), "held");
    stop_thread.join().expect("limiter stops without a panic");
}

#[test]
fn simultaneous_sigterm_and_sighup_still_serve_accepted_requests() {
    let (server, gate, seen) = gated_server("held");
    let program = Program::start(
        "both-signals",
        &settings_with_long_deadlines(silent_discovery(), &[("s-1", server)]),
    );
    let mut held = Client::connect_when_ready_at(program.client_address);
    held.send_request("pay", "held", 20_000);
    next_command(&seen);
    program.signal("HUP");
    program.signal("TERM");
    program.signal("HUP");
    // The limiter closes the new connection as idle, so it has handled SIGTERM.
    assert_eq!(
        Client::connect_when_ready_at(program.client_address).read_line(),
        ""
    );
    gate.open();
    assert_eq!(held.read_reply(), "held");
    program.terminate();
}

#[test]
fn shutdown_during_a_partial_answer_delivers_the_complete_answer() {
    let (first_half_sent, gate) = (Gate::default(), Gate::default());
    let (server_first_half_sent, server_gate) = (first_half_sent.clone(), gate.clone());
    let server = start_peer(move |_, mut stream| {
        let mut bytes = Vec::new();
        while let Some(words) = read_command(&mut stream, &mut bytes) {
            let PeerAction::Reply(response) = served_reply(&words[2]) else {
                unreachable!("served_reply returns PeerAction::Reply")
            };
            let (first_half, second_half) = response.split_at(response.len() / 2);
            stream
                .write_all(first_half.as_bytes())
                .expect("response is written");
            server_first_half_sent.open();
            server_gate.wait();
            stream
                .write_all(second_half.as_bytes())
                .expect("response is written");
        }
    });
    let limiter = start_limiter(&settings_with_long_deadlines(
        silent_discovery(),
        &[("s-1", server)],
    ));
    let (mut idle, mut client) = (
        Client::connect_when_ready(&limiter),
        Client::connect_when_ready(&limiter),
    );
    client.send_request("pay", "pay-1", 20_000);
    first_half_sent.wait();
    let stop_thread = thread::spawn(move || limiter.stop());
    assert_eq!(
        idle.read_line(),
        "",
        "idle connection is closed during shutdown"
    );
    gate.open();
    assert_eq!(
        (client.read_reply(), client.read_line()),
        ("pay-1".into(), String::new())
    );
    stop_thread.join().expect("limiter stops without a panic");
}

/// Length of a long value, in bytes.
const LONG_VALUE_BYTES: usize = 200_000;
/// Number of pieces in which an upstream server writes a long value.
const VALUE_PIECES: usize = 100;
/// Time between two of these pieces. The value is whole 2 s after its first bytes.
const PIECE_INTERVAL: Duration = Duration::from_millis(20);

/// Guards against a shutdown that cuts off a long value at its own deadline, 0.8 s after the request
/// to stop with these deadlines, though the upstream server still gives it and the client reads it.
#[test]
fn shutdown_passes_on_a_long_value_whole_and_the_answer_behind_it() {
    let (begun_sender, begun) = channel();
    let begun_sender = Mutex::new(begun_sender);
    let server = start_peer(move |_, mut stream| {
        let mut bytes = Vec::new();
        while let Some(words) = read_command(&mut stream, &mut bytes) {
            let mut reply = format!("*3\r\n${LONG_VALUE_BYTES}\r\n").into_bytes();
            reply.resize(reply.len() + LONG_VALUE_BYTES, b'v');
            reply.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
            if words[2] == "short" {
                reply = b"*3\r\n$5\r\nshort\r\n$-1\r\n$-1\r\n".to_vec();
            }
            for piece in reply.chunks(LONG_VALUE_BYTES / VALUE_PIECES) {
                if stream.write_all(piece).is_err() {
                    return;
                }
                _ = begun_sender.lock().expect("lock is not poisoned").send(());
                thread::sleep(PIECE_INTERVAL);
            }
        }
    });
    let mut config = settings(
        silent_discovery(),
        quota_counter().0,
        &[("s-1", server), ("s-2", server), ("s-3", server)],
    );
    shorten_deadlines(&mut config);
    let program = Program::start("long-value", &config);
    let mut client = Client::connect_when_ready_at(program.client_address);
    client.send_request("pay", "long", 400);
    begun.recv().expect("the server writes a long value");
    client.send_request("pay", "short", 400);
    program.signal("TERM");
    assert_eq!(client.read_line(), format!("${LONG_VALUE_BYTES}"));
    assert_eq!(client.read_line(), "v".repeat(LONG_VALUE_BYTES));
    assert_eq!(client.read_reply(), "short");
    program.terminate();
}
