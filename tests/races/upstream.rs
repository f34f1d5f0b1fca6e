//! Events at upstream connections: resets, draining, late answers and connections that are established late.

use crate::peers::{
    call, command, entry, http, limiter, next, peer, quiet_list, quota_counter, resp_peer, serve,
    settings, until, Act, Client,
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

/// Takes a hold to a server that answers with an error once it drains and another is there, which is shut: the
/// repeat, if there is one, waits for its connection. What the client gets, and what comes to the other once `then` is done.
fn retry_at_unresponsive_server(
    window: Duration,
    then: impl FnOnce(Client) -> Option<Client>,
) -> (String, Vec<u8>) {
    let (gate, drained) = (Gate::default(), Gate::default());
    let own = gate.clone();
    let (server, seen) = resp_peer(move |_, _| {
        own.pass();
        Act::Say("-ERR failed\r\n".into())
    });
    let other = UnresponsiveServer::new();
    let list = vec![
        entry("s-1", server, "terminating"),
        entry("s-2", other.at, "in_service"),
    ];
    let news = serde_json::json!({"generation": 9, "reset": true, "instances": list}).to_string();
    let own = drained.clone();
    let list = peer(move |_, stream| {
        let mut from = BufReader::new(stream);
        _ = http(&mut from, false);
        own.pass();
        let chunk = format!("{:x}\r\n{news}\r\n", news.len());
        let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
        from.get_mut().write_all(text.as_bytes()).expect("written");
        _ = http(&mut from, false);
    });
    let mut told = settings_with_long_deadlines(list, &[("s-1", server)]);
    told["settings"]["classes"][1]["memorySpan"] = (window.as_micros() as u64).into();
    let limiter = limiter(&told);
    let mut client = Client::ready(&limiter);
    client.ask("hold", "id-1", 20_000);
    next(&seen);
    drained.open();
    let stat = || call(limiter.control.expect("a line"), "show-stat\n");
    until(stat, |stat| stat.contains("limiter.servers_known=2\n"));
    gate.open();
    // The end of the first attempt has been heard: the second is under way.
    other.wait_for_connect();
    let client = then(client);
    let come = other.open();
    (
        client.map(|mut client| client.answer()).unwrap_or_default(),
        come,
    )
}

#[test]
fn retry_is_not_written_if_its_connection_is_established_after_the_idempotency_window() {
    let window = Duration::from_secs(3);
    let late = retry_at_unresponsive_server(window, |client| {
        thread::sleep(window);
        Some(client)
    });
    assert_eq!(late, ("-ERR failed".into(), Vec::new()));
}

#[test]
fn retry_is_not_written_if_its_client_closed_before_the_connection_was_established() {
    let left = retry_at_unresponsive_server(Duration::from_secs(20), |client| {
        drop(client);
        thread::sleep(CLOSE_DETECTION_LIMIT);
        None
    });
    assert_eq!(left, (String::new(), Vec::new()));
}

#[test]
fn cancelled_attempt_is_not_written_when_its_connection_is_established() {
    let server = UnresponsiveServer::new();
    let limiter = limiter(&settings_with_long_deadlines(
        quiet_list(),
        &[("s-1", server.at)],
    ));
    let mut client = Client::ready(&limiter);
    client.ask("pay", "pay-1", 2_000);
    server.wait_for_connect();
    assert!(client.answer().starts_with('-'));
    assert_eq!(String::from_utf8_lossy(&server.open()), "");
}

#[test]
fn reset_at_or_after_the_last_request_byte_counts_as_possibly_executed() {
    let reset = |stream: &TcpStream| {
        SockRef::from(stream)
            .set_linger(Some(Duration::ZERO))
            .expect("a socket")
    };
    let (tell, seen) = channel();
    let tell = Mutex::new(tell);
    let server = peer(move |_, mut stream| {
        let mut bytes = Vec::new();
        while let Some(words) = command(&mut stream, &mut bytes) {
            let id = words[2].clone();
            _ = tell.lock().expect("whole").send(id.clone());
            let Act::Say(text) = serve(&id) else {
                unreachable!("it serves")
            };
            match id.split('-').next() {
                Some("at") => return reset(&stream),
                Some("half") => {
                    stream
                        .write_all(&text.as_bytes()[..text.len() / 2])
                        .expect("written");
                    return reset(&stream);
                }
                _ => stream.write_all(text.as_bytes()).expect("written"),
            }
        }
    });
    let limiter = limiter(&settings_with_long_deadlines(
        quiet_list(),
        &[("s-1", server), ("s-2", server)],
    ));
    let mut client = Client::ready(&limiter);
    let mut told = Vec::new();
    for id in ["at-1", "half-1", "at-2", "half-2", "well"] {
        client.ask("pay", id, 20_000);
        told.push(client.answer());
    }
    assert_eq!(
        told,
        [
            "-ERR failed",
            "-ERR failed",
            "-ERR failed",
            "-ERR failed",
            "well"
        ]
    );
    assert_eq!(
        seen.try_iter().collect::<Vec<_>>(),
        ["at-1", "half-1", "at-2", "half-2", "well"]
    );
}

#[test]
fn connection_with_a_short_idle_timeout_is_reused_within_it() {
    let (server, seen) = resp_peer(|_, words| serve(&words[2]));
    let mut told = settings_with_long_deadlines(quiet_list(), &[("s-1", server)]);
    told["settings"]["limits"]["connIdle"] = 2_000_000.into();
    let limiter = limiter(&told);
    let mut client = Client::ready(&limiter);
    // With a rest between them, of which a server that is slow to be looked at only makes more.
    for number in 0..5 {
        client.ask("look", &number.to_string(), 20_000);
        assert_eq!(client.answer(), number.to_string());
        thread::sleep(Duration::from_millis(50));
    }
    let lines: Vec<_> = seen
        .try_iter()
        .filter(|(_, words)| words.is_some())
        .map(|(line, _)| line)
        .collect();
    assert!(lines.windows(2).any(|two| two[0] == two[1]), "{lines:?}");
}

#[test]
fn attempt_waiting_for_a_connection_is_not_sent_to_a_server_that_starts_draining() {
    for whole in [false, true] {
        let (server, other) = (
            UnresponsiveServer::new(),
            resp_peer(|_, words| serve(&words[2])).0,
        );
        let (gate, drained, spare) = (
            Gate::default(),
            entry("s-1", server.at, "terminating"),
            entry("s-2", other, "in_service"),
        );
        let (own, list) = (
            gate.clone(),
            if whole {
                vec![spare]
            } else {
                vec![drained, spare]
            },
        );
        let news =
            serde_json::json!({"generation": 9, "reset": whole, "instances": list}).to_string();
        let list = peer(move |_, stream| {
            let mut from = BufReader::new(stream);
            _ = http(&mut from, false);
            let to = from.get_mut();
            to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .expect("written");
            own.pass();
            to.write_all(format!("{:x}\r\n{news}\r\n", news.len()).as_bytes())
                .expect("written");
            _ = http(&mut from, false);
        });
        let limiter = limiter(&settings_with_long_deadlines(list, &[("s-1", server.at)]));
        let mut client = Client::ready(&limiter);
        client.ask("pay", "pay-1", 20_000);
        server.wait_for_connect();
        gate.open();
        let known = |known| format!("limiter.servers_known={known}\n");
        let stat = || call(limiter.control.expect("a line"), "show-stat\n");
        until(stat, |stat| {
            stat.contains(&known(if whole { 1 } else { 2 }))
                && stat.contains("limiter.in_flight=1\n")
        });
        let (tell, come) = channel();
        thread::spawn(move || tell.send(server.open()));
        // It never ran, so that even a payment goes to the other.
        assert_eq!(client.answer(), "pay-1");
        assert_eq!(come.recv().expect("a connection"), b"", "whole: {whole}");
    }
}

#[test]
fn late_second_answer_is_not_taken_for_the_answer_to_the_next_request() {
    // Some milliseconds after the first, and before the next on the same connection.
    let last: Mutex<HashMap<usize, (Instant, String)>> = Mutex::default();
    let (server, _seen) = resp_peer(move |number, words| {
        let mut last = last.lock().expect("whole");
        let before = last
            .get(&number)
            .filter(|(at, _)| at.elapsed() < Duration::from_millis(10));
        let Act::Say(own) = serve(&words[2]) else {
            unreachable!("it serves")
        };
        let text = before.map(|(_, again)| again.clone()).unwrap_or_default() + &own;
        last.insert(number, (Instant::now(), own));
        Act::Say(text)
    });
    let limiter = limiter(&settings(
        quiet_list(),
        quota_counter().0,
        &[("s-1", server)],
    ));
    let mut client = Client::ready(&limiter);
    for number in 0..5 {
        client.ask("pay", &format!("pay-{number}"), 1500);
        assert_eq!(client.answer(), format!("pay-{number}"));
    }
}

#[test]
fn endless_answer_closes_its_connection_and_is_not_delivered() {
    let (tell, ended) = channel();
    let tell = Mutex::new(tell);
    let server = peer(move |number, mut stream| {
        let mut bytes = Vec::new();
        while let Some(words) = command(&mut stream, &mut bytes) {
            if number == 0 {
                // A line that goes on for as long as anybody reads it.
                while stream.write_all(&[b'x'; 4_096]).is_ok() {}
                return tell.lock().expect("whole").send(()).expect("the test");
            }
            let Act::Say(text) = serve(&words[2]) else {
                unreachable!("it serves")
            };
            _ = stream.write_all(text.as_bytes());
        }
    });
    // In the place of an answer's first byte, and of a simple string's text.
    let limiter = limiter(&settings(
        quiet_list(),
        quota_counter().0,
        &[("s-1", server)],
    ));
    let mut client = Client::ready(&limiter);
    client.ask("pay", "pay-1", 1500);
    assert_eq!(client.answer(), "-ERR failed");
    ended.recv().expect("an end of the writing");
    client.ask("pay", "pay-2", 1500);
    assert_eq!(client.answer(), "pay-2");
}
