//! A client closes its connection while its requests wait.

use crate::peers::{
    answer, asking, asking_for, counted, http_peer, limiter, next, quiet_list, resp_peer, serve,
    Client, Running, Seen,
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

/// A request and what its client sends behind it, `many` requests with the one that holds them up, wait for a server; the
/// client does something more and leaves, and the server is free again so much later: nothing of it is sent on.
fn check_close_while_queued(
    behind: &str,
    many: usize,
    told: impl Fn(&mut Client),
    free_after: Duration,
) {
    let (server, gate, seen) = gated_server("first");
    let limiter = limiter(&settings_with_long_deadlines(
        quiet_list(),
        &[("s-1", server)],
    ));
    let mut first = Client::ready(&limiter);
    first.ask("look", "first", 20_000);
    next(&seen);
    let mut left = Client::ready(&limiter);
    left.say(&(asking("look", "left", 20_000) + behind));
    wait_for_in_flight(&limiter, many);
    told(&mut left);
    close(left);
    thread::sleep(free_after);
    gate.open();
    assert_eq!(first.answer(), "first");
    first.ask("look", "after", 20_000);
    assert_eq!(first.answer(), "after");
    wait_for_in_flight(&limiter, 0);
    assert_eq!(request_ids(&seen), ["after"]);
}

#[test]
fn queued_request_is_not_forwarded_after_its_client_closed() {
    check_close_while_queued("", 2, |_| {}, CLOSE_DETECTION_LIMIT);
}

#[test]
fn queued_request_is_not_forwarded_after_a_close_behind_unread_input() {
    let told = |client: &mut Client| {
        // What can't be read ends the reading; the rest of it is not read up to the client's end.
        _ = client.0.get_mut().write_all(b"*x\r\n");
        _ = client.0.get_mut().write_all(&vec![b'x'; 512 * 1024]);
    };
    check_close_while_queued("", 2, told, CLOSE_DETECTION_LIMIT);
}

#[test]
fn pipelined_requests_are_not_forwarded_after_their_client_closed() {
    let told = |client: &mut Client| {
        ["pay", "look", "hold"]
            .iter()
            .for_each(|class| client.ask(class, &format!("left-{class}"), 20_000));
    };
    check_close_while_queued("", 2, told, CLOSE_DETECTION_LIMIT);
}

#[test]
fn nothing_is_forwarded_after_a_close_while_the_reader_is_paused() {
    // The reader rests, with nothing, further requests of the client or half of one behind the request that waits.
    let further = asking("pay", "behind", 20_000) + &asking("hold", "last", 20_000);
    let half = asking("pay", "half", 20_000).split_at(30).0.to_owned();
    for (behind, many) in [
        (malformed_commands(), 2),
        (further + &malformed_commands(), 4),
        (malformed_commands() + &half, 2),
    ] {
        check_close_while_queued(&behind, many, |_| {}, Duration::ZERO);
    }
}

#[test]
fn requests_behind_a_running_one_are_not_forwarded_after_their_client_closed() {
    let (server, gate, seen) = gated_server("held");
    let limiter = limiter(&settings_with_long_deadlines(
        quiet_list(),
        &[("s-1", server)],
    ));
    let mut client = Client::ready(&limiter);
    client.ask("look", "held", 20_000);
    next(&seen);
    ["pay", "look", "hold"]
        .iter()
        .for_each(|class| client.ask(class, &format!("left-{class}"), 20_000));
    wait_for_in_flight(&limiter, 4);
    drop(client);
    wait_for_in_flight(&limiter, 0);
    gate.open();
    let mut client = Client::ready(&limiter);
    client.ask("look", "after", 20_000);
    assert_eq!(client.answer(), "after");
    assert_eq!(request_ids(&seen), ["after"]);
}

/// A limiter whose part of a quota is less than a request takes, and a client whose request waits until the counter, which
/// is held at the gate, has let it have the rest; what the server sees.
fn limiter_waiting_for_counter() -> (Running, Client, Gate, Seen) {
    let (gate, (tell, called)) = (Gate::default(), channel());
    let (own, tell) = (gate.clone(), Mutex::new(tell));
    let counter = http_peer(move |first, _, _| {
        _ = tell.lock().expect("whole").send(());
        own.pass();
        answer("200 OK", &counted(first).1.to_string())
    });
    let (server, seen) = resp_peer(|_, words| serve(&words[2]));
    let mut told = settings_with_long_deadlines(quiet_list(), &[("s-1", server)]);
    told["counter"] = counter.to_string().into();
    told["settings"]["balancers"] = 4.into();
    (
        told["settings"]["tariffs"][0]["refill"],
        told["settings"]["tariffs"][0]["peakUnits"],
    ) = (0.5.into(), 4.0.into());
    told["settings"]["specifics"]["counterTimeout"] = 20_000_000.into();
    let limiter = limiter(&told);
    let mut client = Client::ready(&limiter);
    client.say(&asking_for("00000000b4d65521", 4, "pay", "claimed", 20_000));
    called.recv().expect("a call");
    wait_for_in_flight(&limiter, 1);
    (limiter, client, gate, seen)
}

#[test]
fn request_waiting_for_the_counter_is_not_forwarded_after_its_client_closed() {
    let (limiter, client, gate, seen) = limiter_waiting_for_counter();
    drop(client);
    wait_for_in_flight(&limiter, 0);
    gate.open();
    let mut client = Client::ready(&limiter);
    client.say(&asking_for("00000000b4d65522", 1, "pay", "after", 20_000));
    assert_eq!(client.answer(), "after");
    assert_eq!(request_ids(&seen), ["after"]);
}

#[test]
fn request_read_after_its_client_closed_is_not_forwarded() {
    let (server, seen) = resp_peer(|_, words| serve(&words[2]));
    let limiter = limiter(&settings_with_long_deadlines(
        quiet_list(),
        &[("s-1", server)],
    ));
    let mut client = Client::ready(&limiter);
    // Whoever sends nonsense is read from more slowly; the client is gone before its request's turn.
    let bad = |times| asking("dance", "bad", 500).repeat(times);
    client.say(&(bad(8) + &asking("look", "left", 20_000) + &bad(2)));
    client
        .0
        .get_ref()
        .shutdown(Shutdown::Write)
        .expect("an end");
    while !client.line().is_empty() {}
    client = Client::ready(&limiter);
    client.ask("look", "after", 20_000);
    assert_eq!(client.answer(), "after");
    assert_eq!(request_ids(&seen), ["after"]);
}

#[test]
fn request_is_not_written_if_its_client_closed_before_the_upstream_connection_was_established() {
    let server = UnresponsiveServer::new();
    let mut told = settings_with_long_deadlines(quiet_list(), &[("s-1", server.at)]);
    // Also where nothing that is out may be called back.
    told["settings"]["limits"]["mayCancel"] = false.into();
    let limiter = limiter(&told);
    let mut client = Client::ready(&limiter);
    client.ask("look", "left", 20_000);
    server.wait_for_connect();
    drop(client);
    wait_for_in_flight(&limiter, 0);
    assert_eq!(String::from_utf8_lossy(&server.open()), "");
}

#[test]
fn claimed_request_is_not_forwarded_after_its_client_closed() {
    for stays in [true, false] {
        let (limiter, mut client, gate, seen) = limiter_waiting_for_counter();
        client.say(&malformed_commands());
        thread::sleep(Duration::from_millis(40));
        let client = match stays {
            true => Some(client),
            false => {
                close(client);
                None
            }
        };
        gate.open();
        wait_for_in_flight(&limiter, 0);
        // What is claimed is sent on, but for a client that has left.
        assert_eq!(request_ids(&seen).len(), usize::from(client.is_some()));
    }
}

#[test]
fn request_waiting_for_a_resting_connection_is_not_forwarded_after_its_client_closed() {
    let (server, seen) = resp_peer(|_, words| serve(&words[2]));
    let limiter = limiter(&settings_with_long_deadlines(
        quiet_list(),
        &[("s-1", server)],
    ));
    let mut first = Client::ready(&limiter);
    // A round in which the client left too late, as on a busy machine, says nothing.
    let round = |number: &usize| {
        let mut left = Client::ready(&limiter);
        let began = Instant::now();
        first.ask("look", "first", 20_000);
        assert_eq!(first.answer(), "first");
        // On the connection of the first, which may be used again 20 ms after its answer.
        left.say(&(asking("look", &format!("left-{number}"), 20_000) + &malformed_commands()));
        thread::sleep(Duration::from_millis(4));
        close(left);
        began.elapsed() < Duration::from_millis(18)
    };
    let good = (0..500).find(round).expect("a good round");
    wait_for_in_flight(&limiter, 0);
    let seen = request_ids(&seen);
    assert!(!seen.contains(&format!("left-{good}")), "{seen:?}");
}
