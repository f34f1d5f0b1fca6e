//! Requests, retries and answers between clients and upstream servers.

use crate::peers::{
    next_command, request_command, served_reply, start_peer, start_resp_peer, Client, PeerAction,
};
use crate::support::started_limiter;
use mossrill::upstream::is_open_and_silent;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Joins the words of a command, and replaces its time left by `LEFT` if it is from 1 to 800
/// ms, which is less than the client's 1500 ms, else by `TOO-LONG`.
fn normalized(words: Option<Vec<String>>) -> String {
    let mut words = words.expect("the connection was closed without a command");
    let time_left = words[3]
        .split(',')
        .find_map(|field| field.strip_prefix("d="))
        .expect("the command has no field d=")
        .to_owned();
    let in_range = time_left
        .parse::<u64>()
        .is_ok_and(|millis| (1..=800).contains(&millis));
    words[3] = words[3].replace(
        &format!("d={time_left}"),
        if in_range { "d=LEFT" } else { "d=TOO-LONG" },
    );
    words.join(" ")
}

#[test]
fn request_is_forwarded_unchanged_and_its_value_returned() {
    let (server, seen) =
        start_resp_peer(|_, words| served_reply(&format!("value of {}", words[2])));
    let limiter = started_limiter(&[("s-1", server)]);
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("look", "id-1", 1500);
    insta::assert_snapshot!(format!(
        "{}\n{}",
        normalized(next_command(&seen).1),
        client.read_reply()
    ));
}

#[test]
fn replies_keep_the_order_of_pipelined_and_partially_read_commands() {
    // The server holds the first request until it serves the second one.
    let served = std::sync::Arc::new((std::sync::Mutex::new(false), std::sync::Condvar::new()));
    let (server, _seen) = start_resp_peer(move |_, words| {
        let (done, changed) = &*served;
        let mut done = done
            .lock()
            .expect("lock poisoned by a panic of another connection");
        if words[2] == "slow" {
            done = changed
                .wait_while(done, |done| !*done)
                .expect("lock poisoned by a panic of another connection");
        }
        *done = true;
        changed.notify_all();
        served_reply(&words[2])
    });
    // With two servers: the initial concurrency limit is one attempt per server.
    let limiter = started_limiter(&[("s-1", server), ("s-2", server)]);
    let mut client = Client::connect_when_ready(&limiter);
    let text = request_command("look", "slow", 1500)
        + &request_command("look", "quick", 1500)
        + "*1\r\n$4\r\nPI";
    client.send(&text);
    client.send("NG\r\n*2\r\n$3\r\nWAT\r\n$1\r\nx\r\n");
    let answers: Vec<String> = (0..4).map(|_| client.read_reply()).collect();
    insta::assert_snapshot!(answers.join("\n"));
}

#[test]
fn possibly_executed_request_is_retried_only_if_idempotent() {
    let count = AtomicUsize::new(0);
    // The server closes the connection after every other command that it has read: the request may
    // have run.
    let (server, seen) =
        start_resp_peer(
            move |_, words| match count.fetch_add(1, Ordering::SeqCst) % 2 {
                0 => PeerAction::Close,
                _ => served_reply(&words[2]),
            },
        );
    let (other, other_seen) = start_resp_peer(|_, words| served_reply(&words[2]));
    let limiter = started_limiter(&[("s-1", server)]);
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("pay", "pay-1", 1500);
    let pay_answer = client.read_reply();
    assert_eq!(
        next_command(&seen)
            .1
            .expect("the connection was closed without a command")[2],
        "pay-1"
    );
    client.send_request("look", "look-1", 1500);
    let look_answer = client.read_reply();
    drop((other, other_seen));
    insta::assert_snapshot!(format!("pay: {pay_answer}\nlook: {look_answer}"));
    // The payment is not idempotent, so the server got only one command for it.
    assert!(seen
        .try_iter()
        .filter_map(|(_, words)| words)
        .all(|words| words[2] != "pay-1"));
}

#[test]
fn rejecting_or_absent_server_does_not_prevent_a_non_idempotent_request_elsewhere() {
    // Port 1 is below the ephemeral range. A port that was bound and released could belong to a
    // peer of another test by the time of the attempt.
    let absent = SocketAddr::from(([127, 0, 0, 1], 1));
    let (rejecting, _) = start_resp_peer(|_, _| PeerAction::Reply("-BUSY queue full\r\n".into()));
    let (serving, _seen) = start_resp_peer(|_, words| served_reply(&words[2]));
    let limiter = started_limiter(&[("s-1", absent), ("s-2", rejecting), ("s-3", serving)]);
    let mut client = Client::connect_when_ready(&limiter);
    for number in 0..6 {
        client.send_request("pay", &format!("pay-{number}"), 1500);
        assert_eq!(client.read_reply(), format!("pay-{number}"));
    }
}

#[test]
fn request_at_a_silent_server_times_out_and_its_late_answer_is_dropped() {
    let (server, seen) = start_resp_peer(|_, words| {
        if words[2] == "pay-1" {
            PeerAction::Hang
        } else {
            served_reply(&words[2])
        }
    });
    let limiter = started_limiter(&[("s-1", server)]);
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("pay", "pay-1", 300);
    let first = client.read_reply();
    let (connection, _) = next_command(&seen);
    // The limiter cancelled the attempt by closing its connection.
    assert_eq!(next_command(&seen), (connection, None));
    client.send_request("look", "look-1", 1500);
    insta::assert_snapshot!(format!("{first}\n{}", client.read_reply()));
}

#[test]
fn abandoned_idempotent_request_is_answered_with_retry_after() {
    // Guards against rejections without a retry time: clients retried at once and were rejected
    // again.
    let (server, _seen) = start_resp_peer(|_, _| PeerAction::Hang);
    let limiter = started_limiter(&[("s-1", server)]);
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("look", "look-1", 300);
    assert_eq!(client.read_reply(), "-BUSY 200");
    client.send_request("look", "look-2", 20);
    assert_eq!(client.read_reply(), "-BUSY 200");
}

#[test]
fn connection_closed_by_its_server_is_detected_before_reuse() {
    // Guards against writing a payment to a closed connection: it would be reset, and the payment
    // might or might not have run.
    let (close_sender, close) = std::sync::mpsc::channel::<()>();
    let close = std::sync::Mutex::new(close);
    let server = start_peer(move |_, stream| {
        _ = close
            .lock()
            .expect("lock poisoned by a panic of another connection")
            .recv();
        drop(stream);
    });
    let stream = std::net::TcpStream::connect(server).expect("the peer accepts no connection");
    assert!(is_open_and_silent(&stream));
    drop(close_sender);
    // The close takes some time to arrive, and no fixed wait would be reliable.
    while is_open_and_silent(&stream) {
        std::thread::yield_now();
    }
}

#[test]
fn attempts_of_a_closed_client_are_cancelled() {
    let (server, seen) = start_resp_peer(|_, _| PeerAction::Hang);
    let limiter = started_limiter(&[("s-1", server)]);
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("look", "look-1", 1500);
    let (connection, words) = next_command(&seen);
    assert!(
        words.is_some(),
        "the connection was closed without a command"
    );
    drop(client);
    assert_eq!(next_command(&seen), (connection, None));
}
