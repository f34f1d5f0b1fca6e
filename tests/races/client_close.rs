//! A client closes its connection while its requests wait: none of these may be forwarded to an
//! upstream server.

use crate::peers::{
    http_reply, next_command, parse_counter_call, request_command, request_command_for,
    served_reply, silent_discovery, start_http_peer, start_limiter, start_resp_peer, Client,
    RunningLimiter, Seen,
};
use crate::support::{
    close, gated_server, malformed_commands, request_ids, settings_with_long_deadlines,
    wait_for_in_flight, Gate, UnresponsiveServer, CLOSE_DETECTION_LIMIT,
};
use std::io::Write;
use std::net::Shutdown;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Checks that no request of a client is forwarded if the client closes while they are queued for a
/// busy server.
///
/// The client sends a request and `sent_after`; there are then `in_flight` requests, including the
/// one that occupies the server. The client runs `before_close` and closes its connection, and the
/// server is released `gate_delay` later.
fn check_close_while_queued(
    sent_after: &str,
    in_flight: usize,
    before_close: impl Fn(&mut Client),
    gate_delay: Duration,
) {
    let (server, gate, seen) = gated_server("first");
    let limiter = start_limiter(&settings_with_long_deadlines(
        silent_discovery(),
        &[("s-1", server)],
    ));
    let mut first = Client::connect_when_ready(&limiter);
    first.send_request("look", "first", 20_000);
    next_command(&seen);
    let mut closing_client = Client::connect_when_ready(&limiter);
    closing_client.send(&(request_command("look", "left", 20_000) + sent_after));
    wait_for_in_flight(&limiter, in_flight);
    before_close(&mut closing_client);
    close(closing_client);
    thread::sleep(gate_delay);
    gate.open();
    assert_eq!(first.read_reply(), "first");
    first.send_request("look", "after", 20_000);
    assert_eq!(first.read_reply(), "after");
    wait_for_in_flight(&limiter, 0);
    assert_eq!(request_ids(&seen), ["after"]);
}

#[test]
fn queued_request_is_not_forwarded_after_its_client_closed() {
    check_close_while_queued("", 2, |_| {}, CLOSE_DETECTION_LIMIT);
}

#[test]
fn queued_request_is_not_forwarded_after_a_close_behind_unread_input() {
    let before_close = |client: &mut Client| {
        // The limiter stops reading at a malformed command, so it does not read up to the end of
        // the connection.
        _ = client.0.get_mut().write_all(b"*x\r\n");
        _ = client.0.get_mut().write_all(&vec![b'x'; 512 * 1024]);
    };
    check_close_while_queued("", 2, before_close, CLOSE_DETECTION_LIMIT);
}

#[test]
fn pipelined_requests_are_not_forwarded_after_their_client_closed() {
    let before_close = |client: &mut Client| {
        ["pay", "look", "hold"]
            .iter()
            .for_each(|class| client.send_request(class, &format!("left-{class}"), 20_000));
    };
    check_close_while_queued("", 2, before_close, CLOSE_DETECTION_LIMIT);
}

#[test]
fn nothing_is_forwarded_after_a_close_while_the_reader_is_paused() {
    // The reader is paused by malformed commands, which follow the queued request directly, follow
    // further requests, or precede a part of a request.
    let further_requests =
        request_command("pay", "behind", 20_000) + &request_command("hold", "last", 20_000);
    let partial_request = request_command("pay", "half", 20_000)
        .split_at(30)
        .0
        .to_owned();
    for (sent_after, in_flight) in [
        (malformed_commands(), 2),
        (further_requests + &malformed_commands(), 4),
        (malformed_commands() + &partial_request, 2),
    ] {
        check_close_while_queued(&sent_after, in_flight, |_| {}, Duration::ZERO);
    }
}

#[test]
fn requests_behind_a_running_one_are_not_forwarded_after_their_client_closed() {
    let (server, gate, seen) = gated_server("held");
    let limiter = start_limiter(&settings_with_long_deadlines(
        silent_discovery(),
        &[("s-1", server)],
    ));
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("look", "held", 20_000);
    next_command(&seen);
    ["pay", "look", "hold"]
        .iter()
        .for_each(|class| client.send_request(class, &format!("left-{class}"), 20_000));
    wait_for_in_flight(&limiter, 4);
    drop(client);
    wait_for_in_flight(&limiter, 0);
    gate.open();
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("look", "after", 20_000);
    assert_eq!(client.read_reply(), "after");
    assert_eq!(request_ids(&seen), ["after"]);
}

/// Starts a limiter whose share of a quota is smaller than the units of a request, and a client
/// whose request waits until the counter, which waits at the gate, grants the rest. Returns them
/// with the gate and the commands that the server receives.
fn limiter_waiting_for_counter() -> (RunningLimiter, Client, Gate, Seen) {
    let (gate, (call_sender, calls)) = (Gate::default(), channel());
    let (counter_gate, call_sender) = (gate.clone(), Mutex::new(call_sender));
    let counter = start_http_peer(move |request_line, _, _| {
        _ = call_sender.lock().expect("lock is not poisoned").send(());
        counter_gate.wait();
        http_reply("200 OK", &parse_counter_call(request_line).1.to_string())
    });
    let (server, seen) = start_resp_peer(|_, words| served_reply(&words[2]));
    let mut config = settings_with_long_deadlines(silent_discovery(), &[("s-1", server)]);
    config["counter"] = counter.to_string().into();
    config["settings"]["balancers"] = 4.into();
    (
        config["settings"]["tariffs"][0]["refill"],
        config["settings"]["tariffs"][0]["peakUnits"],
    ) = (0.5.into(), 4.0.into());
    config["settings"]["specifics"]["counterTimeout"] = 20_000_000.into();
    let limiter = start_limiter(&config);
    let mut client = Client::connect_when_ready(&limiter);
    client.send(&request_command_for(
        "00000000b4d65521",
        4,
        "pay",
        "claimed",
        20_000,
    ));
    calls.recv().expect("the limiter calls the counter");
    wait_for_in_flight(&limiter, 1);
    (limiter, client, gate, seen)
}

#[test]
fn request_waiting_for_the_counter_is_not_forwarded_after_its_client_closed() {
    let (limiter, client, gate, seen) = limiter_waiting_for_counter();
    drop(client);
    wait_for_in_flight(&limiter, 0);
    gate.open();
    let mut client = Client::connect_when_ready(&limiter);
    client.send(&request_command_for(
        "00000000b4d65522",
        1,
        "pay",
        "after",
        20_000,
    ));
    assert_eq!(client.read_reply(), "after");
    assert_eq!(request_ids(&seen), ["after"]);
}

#[test]
fn request_read_after_its_client_closed_is_not_forwarded() {
    let (server, seen) = start_resp_peer(|_, words| served_reply(&words[2]));
    let limiter = start_limiter(&settings_with_long_deadlines(
        silent_discovery(),
        &[("s-1", server)],
    ));
    let mut client = Client::connect_when_ready(&limiter);
    // The limiter pauses after each malformed command, so that the client has closed before its
    // request is read.
    let malformed = |times| request_command("dance", "bad", 500).repeat(times);
    client.send(&(malformed(8) + &request_command("look", "left", 20_000) + &malformed(2)));
    client
        .0
        .get_ref()
        .shutdown(Shutdown::Write)
        .expect("the write side of the connection is shut down");
    while !client.read_line().is_empty() {}
    client = Client::connect_when_ready(&limiter);
    client.send_request("look", "after", 20_000);
    assert_eq!(client.read_reply(), "after");
    assert_eq!(request_ids(&seen), ["after"]);
}

#[test]
fn request_is_not_written_if_its_client_closed_before_the_upstream_connection_was_established() {
    let server = UnresponsiveServer::new();
    let mut config = settings_with_long_deadlines(silent_discovery(), &[("s-1", server.address)]);
    // The rule also applies where open attempts may not be cancelled.
    config["settings"]["limits"]["mayCancel"] = false.into();
    let limiter = start_limiter(&config);
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("look", "left", 20_000);
    server.wait_for_connect();
    drop(client);
    wait_for_in_flight(&limiter, 0);
    assert_eq!(String::from_utf8_lossy(&server.open()), "");
}

#[test]
fn claimed_request_is_not_forwarded_after_its_client_closed() {
    for client_stays in [true, false] {
        let (limiter, mut client, gate, seen) = limiter_waiting_for_counter();
        client.send(&malformed_commands());
        thread::sleep(Duration::from_millis(40));
        let client = match client_stays {
            true => Some(client),
            false => {
                close(client);
                None
            }
        };
        gate.open();
        wait_for_in_flight(&limiter, 0);
        // A request with granted units is forwarded unless its client has closed.
        assert_eq!(request_ids(&seen).len(), usize::from(client.is_some()));
    }
}

#[test]
fn request_waiting_for_a_resting_connection_is_not_forwarded_after_its_client_closed() {
    let (server, seen) = start_resp_peer(|_, words| served_reply(&words[2]));
    let limiter = start_limiter(&settings_with_long_deadlines(
        silent_discovery(),
        &[("s-1", server)],
    ));
    let mut first = Client::connect_when_ready(&limiter);
    // A round in which the client closed too late, as on a busy machine, is not counted.
    let closes_in_time = |number: &usize| {
        let mut closing_client = Client::connect_when_ready(&limiter);
        let round_started_at = Instant::now();
        first.send_request("look", "first", 20_000);
        assert_eq!(first.read_reply(), "first");
        // This request waits for the connection of the first one, which may be reused 20 ms after
        // its answer.
        closing_client.send(
            &(request_command("look", &format!("left-{number}"), 20_000) + &malformed_commands()),
        );
        thread::sleep(Duration::from_millis(4));
        close(closing_client);
        round_started_at.elapsed() < Duration::from_millis(18)
    };
    let valid_round = (0..500)
        .find(closes_in_time)
        .expect("one of 500 rounds closes the client within 18 ms");
    wait_for_in_flight(&limiter, 0);
    let seen = request_ids(&seen);
    assert!(
        !seen.contains(&format!("left-{valid_round}")),
        "request of the closed client was forwarded: {seen:?}"
    );
}
