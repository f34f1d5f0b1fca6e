//! Events on upstream connections: resets, draining, late answers and connections that are
//! established late.

use crate::peers::{
    admin_call, endpoint_entry, next_command, quota_counter, read_command, read_http_message,
    served_reply, settings, silent_discovery, start_limiter, start_peer, start_resp_peer,
    wait_until, Client, PeerAction,
};
use crate::support::{
    settings_with_long_deadlines, Gate, UnresponsiveServer, CLOSE_DETECTION_LIMIT,
};
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Sends a keyed request to a server that starts draining and then answers with an error. The retry
/// goes to another server, whose connection is not established until `before_open` has returned.
/// `window` is the idempotency window.
///
/// Returns the client's answer, empty if `before_open` returns no client, and the bytes that the
/// other server receives.
fn retry_at_unresponsive_server(
    window: Duration,
    before_open: impl FnOnce(Client) -> Option<Client>,
) -> (String, Vec<u8>) {
    let (gate, update_gate) = (Gate::default(), Gate::default());
    let server_gate = gate.clone();
    let (server, seen) = start_resp_peer(move |_, _| {
        server_gate.wait();
        PeerAction::Reply("-ERR failed\r\n".into())
    });
    let other = UnresponsiveServer::new();
    let entries = vec![
        endpoint_entry("s-1", server, "terminating"),
        endpoint_entry("s-2", other.address, "in_service"),
    ];
    let update =
        serde_json::json!({"generation": 9, "reset": true, "instances": entries}).to_string();
    let discovery_gate = update_gate.clone();
    let discovery = start_peer(move |_, stream| {
        let mut reader = BufReader::new(stream);
        _ = read_http_message(&mut reader, false);
        discovery_gate.wait();
        let chunk = format!("{:x}\r\n{update}\r\n", update.len());
        let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
        reader
            .get_mut()
            .write_all(text.as_bytes())
            .expect("response is written");
        _ = read_http_message(&mut reader, false);
    });
    let mut config = settings_with_long_deadlines(discovery, &[("s-1", server)]);
    config["settings"]["classes"][1]["memorySpan"] = (window.as_micros() as u64).into();
    let limiter = start_limiter(&config);
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("hold", "id-1", 20_000);
    next_command(&seen);
    update_gate.open();
    let statistics = || {
        admin_call(
            limiter.admin_address.expect("limiter has an admin address"),
            "show-stat\n",
        )
    };
    wait_until(statistics, |statistics| {
        statistics.contains("limiter.servers_known=2\n")
    });
    gate.open();
    // The limiter has processed the end of the first attempt once it connects for the second.
    other.wait_for_connect();
    let client = before_open(client);
    let received = other.open();
    (
        client
            .map(|mut client| client.read_reply())
            .unwrap_or_default(),
        received,
    )
}

#[test]
fn retry_is_not_written_if_its_connection_is_established_after_the_idempotency_window() {
    let window = Duration::from_secs(3);
    let outcome = retry_at_unresponsive_server(window, |client| {
        thread::sleep(window);
        Some(client)
    });
    assert_eq!(outcome, ("-ERR failed".into(), Vec::new()));
}

#[test]
fn retry_is_not_written_if_its_client_closed_before_the_connection_was_established() {
    let outcome = retry_at_unresponsive_server(Duration::from_secs(20), |client| {
        drop(client);
        thread::sleep(CLOSE_DETECTION_LIMIT);
        None
    });
    assert_eq!(outcome, (String::new(), Vec::new()));
}

#[test]
fn cancelled_attempt_is_not_written_when_its_connection_is_established() {
    let server = UnresponsiveServer::new();
    let limiter = start_limiter(&settings_with_long_deadlines(
        silent_discovery(),
        &[("s-1", server.address)],
    ));
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("pay", "pay-1", 2_000);
    server.wait_for_connect();
    assert!(client.read_reply().starts_with('-'));
    assert_eq!(String::from_utf8_lossy(&server.open()), "");
}

#[test]
fn reset_at_or_after_the_last_request_byte_counts_as_possibly_executed() {
    let reset = |stream: &TcpStream| {
        SockRef::from(stream)
            .set_linger(Some(Duration::ZERO))
            .expect("linger is set on the socket")
    };
    let (id_sender, received_ids) = channel();
    let id_sender = Mutex::new(id_sender);
    let server = start_peer(move |_, mut stream| {
        let mut bytes = Vec::new();
        while let Some(words) = read_command(&mut stream, &mut bytes) {
            let id = words[2].clone();
            _ = id_sender
                .lock()
                .expect("lock is not poisoned")
                .send(id.clone());
            let PeerAction::Reply(text) = served_reply(&id) else {
                unreachable!("served_reply returns PeerAction::Reply")
            };
            match id.split('-').next() {
                Some("at") => return reset(&stream),
                Some("half") => {
                    stream
                        .write_all(&text.as_bytes()[..text.len() / 2])
                        .expect("response is written");
                    return reset(&stream);
                }
                _ => stream
                    .write_all(text.as_bytes())
                    .expect("response is written"),
            }
        }
    });
    let limiter = start_limiter(&settings_with_long_deadlines(
        silent_discovery(),
        &[("s-1", server), ("s-2", server)],
    ));
    let mut client = Client::connect_when_ready(&limiter);
    let mut answers = Vec::new();
    for id in ["at-1", "half-1", "at-2", "half-2", "well"] {
        client.send_request("pay", id, 20_000);
        answers.push(client.read_reply());
    }
    assert_eq!(
        answers,
        [
            "-ERR failed",
            "-ERR failed",
            "-ERR failed",
            "-ERR failed",
            "well"
        ]
    );
    assert_eq!(
        received_ids.try_iter().collect::<Vec<_>>(),
        ["at-1", "half-1", "at-2", "half-2", "well"]
    );
}

#[test]
fn connection_with_a_short_idle_timeout_is_reused_within_it() {
    let (server, seen) = start_resp_peer(|_, words| served_reply(&words[2]));
    let mut config = settings_with_long_deadlines(silent_discovery(), &[("s-1", server)]);
    config["settings"]["limits"]["connIdle"] = 2_000_000.into();
    let limiter = start_limiter(&config);
    let mut client = Client::connect_when_ready(&limiter);
    // The pause exceeds the 20 ms after which a connection may be reused; a slow server only makes
    // the pause longer.
    for number in 0..5 {
        client.send_request("look", &number.to_string(), 20_000);
        assert_eq!(client.read_reply(), number.to_string());
        thread::sleep(Duration::from_millis(50));
    }
    let connections: Vec<_> = seen
        .try_iter()
        .filter(|(_, words)| words.is_some())
        .map(|(connection, _)| connection)
        .collect();
    assert!(
        connections.windows(2).any(|pair| pair[0] == pair[1]),
        "no two successive requests on one connection: {connections:?}"
    );
}

#[test]
fn attempt_waiting_for_a_connection_is_not_sent_to_a_server_that_starts_draining() {
    for full_list in [false, true] {
        let (server, spare_server) = (
            UnresponsiveServer::new(),
            start_resp_peer(|_, words| served_reply(&words[2])).0,
        );
        let (gate, draining_entry, spare_entry) = (
            Gate::default(),
            endpoint_entry("s-1", server.address, "terminating"),
            endpoint_entry("s-2", spare_server, "in_service"),
        );
        let (discovery_gate, entries) = (
            gate.clone(),
            if full_list {
                vec![spare_entry]
            } else {
                vec![draining_entry, spare_entry]
            },
        );
        let update = serde_json::json!({"generation": 9, "reset": full_list, "instances": entries})
            .to_string();
        let discovery = start_peer(move |_, stream| {
            let mut reader = BufReader::new(stream);
            _ = read_http_message(&mut reader, false);
            let writer = reader.get_mut();
            writer
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .expect("response is written");
            discovery_gate.wait();
            writer
                .write_all(format!("{:x}\r\n{update}\r\n", update.len()).as_bytes())
                .expect("response is written");
            _ = read_http_message(&mut reader, false);
        });
        let limiter = start_limiter(&settings_with_long_deadlines(
            discovery,
            &[("s-1", server.address)],
        ));
        let mut client = Client::connect_when_ready(&limiter);
        client.send_request("pay", "pay-1", 20_000);
        server.wait_for_connect();
        gate.open();
        let known = |known| format!("limiter.servers_known={known}\n");
        let statistics = || {
            admin_call(
                limiter.admin_address.expect("limiter has an admin address"),
                "show-stat\n",
            )
        };
        wait_until(statistics, |statistics| {
            statistics.contains(&known(if full_list { 1 } else { 2 }))
                && statistics.contains("limiter.in_flight=1\n")
        });
        let (bytes_sender, received) = channel();
        thread::spawn(move || bytes_sender.send(server.open()));
        // The first attempt was never sent, so even a request without idempotency is retried at the
        // other server.
        assert_eq!(client.read_reply(), "pay-1");
        assert_eq!(
            received.recv().expect("the first server gets a connection"),
            b"",
            "full list: {full_list}"
        );
    }
}

#[test]
fn late_second_answer_is_not_taken_for_the_answer_to_the_next_request() {
    // If the next request comes on the same connection within 10 ms, the server sends the previous
    // answer once more before the new one.
    let previous_answers: Mutex<HashMap<usize, (Instant, String)>> = Mutex::default();
    let (server, _seen) = start_resp_peer(move |connection_number, words| {
        let mut previous_answers = previous_answers.lock().expect("lock is not poisoned");
        let repeated = previous_answers
            .get(&connection_number)
            .filter(|(at, _)| at.elapsed() < Duration::from_millis(10));
        let PeerAction::Reply(answer) = served_reply(&words[2]) else {
            unreachable!("served_reply returns PeerAction::Reply")
        };
        let text = repeated
            .map(|(_, previous)| previous.clone())
            .unwrap_or_default()
            + &answer;
        previous_answers.insert(connection_number, (Instant::now(), answer));
        PeerAction::Reply(text)
    });
    let limiter = start_limiter(&settings(
        silent_discovery(),
        quota_counter().0,
        &[("s-1", server)],
    ));
    let mut client = Client::connect_when_ready(&limiter);
    for number in 0..5 {
        client.send_request("pay", &format!("pay-{number}"), 1500);
        assert_eq!(client.read_reply(), format!("pay-{number}"));
    }
}

#[test]
fn endless_answer_closes_its_connection_and_is_not_delivered() {
    let (end_sender, write_ended) = channel();
    let end_sender = Mutex::new(end_sender);
    let server = start_peer(move |connection_number, mut stream| {
        let mut bytes = Vec::new();
        while let Some(words) = read_command(&mut stream, &mut bytes) {
            if connection_number == 0 {
                // A line without an end, written until the limiter closes the connection.
                while stream.write_all(&[b'x'; 4_096]).is_ok() {}
                return end_sender
                    .lock()
                    .expect("lock is not poisoned")
                    .send(())
                    .expect("the test still receives");
            }
            let PeerAction::Reply(text) = served_reply(&words[2]) else {
                unreachable!("served_reply returns PeerAction::Reply")
            };
            _ = stream.write_all(text.as_bytes());
        }
    });
    // The endless bytes come where the limiter expects the first byte of an answer or the text of a
    // simple string.
    let limiter = start_limiter(&settings(
        silent_discovery(),
        quota_counter().0,
        &[("s-1", server)],
    ));
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("pay", "pay-1", 1500);
    assert_eq!(client.read_reply(), "-ERR failed");
    write_ended
        .recv()
        .expect("writing fails once the connection is closed");
    client.send_request("pay", "pay-2", 1500);
    assert_eq!(client.read_reply(), "pay-2");
}
