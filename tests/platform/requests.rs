//! Requests, retries and answers between clients and upstream servers.

use crate::peers::{asking, next, peer, resp_peer, serve, Act, Client};
use crate::support::started_limiter;
use mossrill::upstream::is_open_and_silent;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Words of a command with the time left made plain: the client's less than what it gave.
fn normalized(words: Option<Vec<String>>) -> String {
    let mut words = words.expect("a command");
    let wait = words[3]
        .split(',')
        .find_map(|f| f.strip_prefix("d="))
        .expect("a time")
        .to_owned();
    let less = wait.parse::<u64>().is_ok_and(|w| (1..=800).contains(&w));
    words[3] = words[3].replace(
        &format!("d={wait}"),
        if less { "d=LEFT" } else { "d=TOO-LONG" },
    );
    words.join(" ")
}

#[test]
fn request_is_forwarded_unchanged_and_its_value_returned() {
    let (server, seen) = resp_peer(|_, words| serve(&format!("value of {}", words[2])));
    let limiter = started_limiter(&[("s-1", server)]);
    let mut client = Client::ready(&limiter);
    client.ask("look", "id-1", 1500);
    insta::assert_snapshot!(format!(
        "{}\n{}",
        normalized(next(&seen).1),
        client.answer()
    ));
}

#[test]
fn replies_keep_the_order_of_pipelined_and_partially_read_commands() {
    // The first is held until the second has been served.
    let served = std::sync::Arc::new((std::sync::Mutex::new(false), std::sync::Condvar::new()));
    let (server, _seen) = resp_peer(move |_, words| {
        let (done, told) = &*served;
        let mut done = done.lock().expect("whole");
        if words[2] == "slow" {
            done = told.wait_while(done, |done| !*done).expect("whole");
        }
        *done = true;
        told.notify_all();
        serve(&words[2])
    });
    // Two servers: the module starts with one attempt out for each.
    let limiter = started_limiter(&[("s-1", server), ("s-2", server)]);
    let mut client = Client::ready(&limiter);
    let text = asking("look", "slow", 1500) + &asking("look", "quick", 1500) + "*1\r\n$4\r\nPI";
    client.say(&text);
    client.say("NG\r\n*2\r\n$3\r\nWAT\r\n$1\r\nx\r\n");
    let answers: Vec<String> = (0..4).map(|_| client.answer()).collect();
    insta::assert_snapshot!(answers.join("\n"));
}

#[test]
fn possibly_executed_request_is_retried_only_if_idempotent() {
    let count = AtomicUsize::new(0);
    // Every first command is dropped after it was read whole: it may have run.
    let (server, seen) =
        resp_peer(
            move |_, words| match count.fetch_add(1, Ordering::SeqCst) % 2 {
                0 => Act::Close,
                _ => serve(&words[2]),
            },
        );
    let (other, also) = resp_peer(|_, words| serve(&words[2]));
    let limiter = started_limiter(&[("s-1", server)]);
    let mut client = Client::ready(&limiter);
    client.ask("pay", "pay-1", 1500);
    let paid = client.answer();
    assert_eq!(next(&seen).1.expect("a command")[2], "pay-1");
    client.ask("look", "look-1", 1500);
    let looked = client.answer();
    drop((other, also));
    insta::assert_snapshot!(format!("pay: {paid}\nlook: {looked}"));
    // One command for the payment, however often the server would have taken it.
    assert!(seen
        .try_iter()
        .filter_map(|(_, words)| words)
        .all(|words| words[2] != "pay-1"));
}

#[test]
fn rejecting_or_absent_server_does_not_prevent_a_non_idempotent_request_elsewhere() {
    // Under the ports that are given out: one just given back may be another test's peer by the time it is tried.
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let (full, _) = resp_peer(|_, _| Act::Say("-BUSY queue full\r\n".into()));
    let (good, _seen) = resp_peer(|_, words| serve(&words[2]));
    let limiter = started_limiter(&[("s-1", nowhere), ("s-2", full), ("s-3", good)]);
    let mut client = Client::ready(&limiter);
    for number in 0..6 {
        client.ask("pay", &format!("pay-{number}"), 1500);
        assert_eq!(client.answer(), format!("pay-{number}"));
    }
}

#[test]
fn request_at_a_silent_server_times_out_and_its_late_answer_is_dropped() {
    let (server, seen) = resp_peer(|_, words| {
        if words[2] == "pay-1" {
            Act::Hang
        } else {
            serve(&words[2])
        }
    });
    let limiter = started_limiter(&[("s-1", server)]);
    let mut client = Client::ready(&limiter);
    client.ask("pay", "pay-1", 300);
    let first = client.answer();
    let (line, _) = next(&seen);
    // The limiter gave the attempt up by closing its connection.
    assert_eq!(next(&seen), (line, None));
    client.ask("look", "look-1", 1500);
    insta::assert_snapshot!(format!("{first}\n{}", client.answer()));
}

#[test]
fn abandoned_idempotent_request_is_answered_with_retry_after() {
    // A bare refusal had clients come again at once, to be refused again.
    let (server, _seen) = resp_peer(|_, _| Act::Hang);
    let limiter = started_limiter(&[("s-1", server)]);
    let mut client = Client::ready(&limiter);
    client.ask("look", "look-1", 300);
    assert_eq!(client.answer(), "-BUSY 200");
    client.ask("look", "look-2", 20);
    assert_eq!(client.answer(), "-BUSY 200");
}

#[test]
fn connection_closed_by_its_server_is_detected_before_reuse() {
    // To write a payment to it would be a reset, and the payment in doubt.
    let (tell, close) = std::sync::mpsc::channel::<()>();
    let close = std::sync::Mutex::new(close);
    let server = peer(move |_, stream| {
        _ = close.lock().expect("whole").recv();
        drop(stream);
    });
    let stream = std::net::TcpStream::connect(server).expect("a connection");
    assert!(is_open_and_silent(&stream));
    drop(tell);
    // The end takes a moment to arrive, and no moment too short to be sure of.
    while is_open_and_silent(&stream) {
        std::thread::yield_now();
    }
}

#[test]
fn attempts_of_a_closed_client_are_cancelled() {
    let (server, seen) = resp_peer(|_, _| Act::Hang);
    let limiter = started_limiter(&[("s-1", server)]);
    let mut client = Client::ready(&limiter);
    client.ask("look", "look-1", 1500);
    let (line, words) = next(&seen);
    assert!(words.is_some());
    drop(client);
    assert_eq!(next(&seen), (line, None));
}
