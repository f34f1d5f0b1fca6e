//! Tests of the admin interface over loopback: calls, metrics compared with what scripted peers
//! observed, and disabled upstream servers.

mod peers;

use peers::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

fn start_limiter_with_servers(servers: &[(&str, SocketAddr)]) -> RunningLimiter {
    let mut config = settings(silent_discovery(), quota_counter().0, servers);
    config["control"] = "127.0.0.1:0".into();
    start_limiter(&config)
}

fn call(limiter: &RunningLimiter, line: &str) -> String {
    peers::admin_call(
        limiter
            .admin_address
            .expect("the limiter has an admin interface"),
        line,
    )
}

/// Returns the metrics that `show-stat` prints, without the prefix of their names.
fn metrics(limiter: &RunningLimiter) -> BTreeMap<String, u64> {
    let text = call(limiter, "show-stat\n");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.last(), Some(&"END"));
    let parse = |line: &&str| {
        let (name, value) = line.strip_prefix("limiter.")?.split_once('=')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    lines[..lines.len() - 1]
        .iter()
        .map(|line| parse(line).expect("the line is a metric with a whole number"))
        .collect()
}

#[test]
fn figures_match_what_clients_and_upstream_servers_observed() {
    // One `look` fails once before it is served, the server closes the connection of one `pay`, and
    // the client of one `hold` disconnects.
    let (received, look_attempts) = (Arc::new(AtomicUsize::new(0)), AtomicUsize::new(0));
    let count = received.clone();
    let (server, _seen) = start_resp_peer(move |_, words| {
        count.fetch_add(1, Ordering::SeqCst);
        match &*words[2] {
            "pay-1" => PeerAction::Close,
            "hold-1" => PeerAction::Hang,
            "look-1" if look_attempts.fetch_add(1, Ordering::SeqCst) == 0 => {
                PeerAction::Reply("-ERR failed\r\n".into())
            }
            id => served_reply(id),
        }
    });
    let limiter = start_limiter_with_servers(&[("s-1", server), ("s-2", server)]);
    let mut client = Client::connect_when_ready(&limiter);
    // Pipelined, so that one thread writes all replies.
    let text = request_command("look", "look-1", 1500)
        + &request_command("pay", "pay-1", 1500)
        + &request_command("pay", "pay-2", 1500);
    client.send(&text);
    assert_eq!(client.read_reply(), "look-1");
    assert_eq!(client.read_reply(), "-ERR failed");
    assert_eq!(client.read_reply(), "pay-2");
    // The first request is rejected by the decision engine; the second one by the front itself,
    // although it names a class.
    client.send_request("look", "look-2", 3);
    assert!(client.read_reply().starts_with("-BUSY"));
    client.send(&request_command("look", "look-3", 1500).replace("d=1500", "d=ever"));
    assert_eq!(client.read_reply(), "-ERR bad d");
    let mut leaving = Client::connect_when_ready(&limiter);
    leaving.send_request("hold", "hold-1", 1500);
    // A request that is received but not yet forwarded counts no attempt if its client disconnects,
    // so wait for the attempt first.
    wait_until(|| metrics(&limiter)["attempts"], |attempts| *attempts == 5);
    drop(leaving);
    wait_until(
        || metrics(&limiter)["in_flight"],
        |in_flight| *in_flight == 0,
    );
    let all = metrics(&limiter);
    assert_eq!(all["attempts"], received.load(Ordering::SeqCst) as u64);
    insta::assert_snapshot!(all
        .iter()
        .map(|(name, value)| format!("{name}={value}\n"))
        .collect::<String>());
}

#[test]
fn malformed_and_incomplete_admin_calls_do_not_block_others() {
    let (server, _seen) = start_resp_peer(|_, words| served_reply(&words[2]));
    let limiter = start_limiter_with_servers(&[("s-1", server)]);
    let address = limiter
        .admin_address
        .expect("the limiter has an admin interface");
    // More connections than are served at a time, and none of them ever sends a complete line.
    let mut incomplete: Vec<TcpStream> = (0..40)
        .map(|_| TcpStream::connect(address).expect("the admin interface accepts connections"))
        .collect();
    incomplete
        .iter_mut()
        .for_each(|stream| _ = stream.write_all(b"rea"));
    wait_until(|| call(&limiter, "ready\n"), |answer| answer == "YES\n");
    let too_long = "x".repeat(5_000) + "\n";
    let bad_calls = [
        "nonsense\n",
        "ready now\n",
        "disable-server\n",
        "disable-server never-listed\n",
        "\n",
        &too_long,
    ];
    for line in bad_calls {
        let answer = call(&limiter, line);
        assert!(
            answer.starts_with("NO ") && answer.ends_with('\n'),
            "expected one line with NO to {line:.20}, got {answer:?}"
        );
    }
    for mut stream in incomplete {
        let mut answer = Vec::new();
        // With or without an answer, the limiter closes the connection.
        _ = stream.read_to_end(&mut answer);
    }
    let mut config = settings(silent_discovery(), quota_counter().0, &[]);
    config["control"] = "nowhere".into();
    let error = mossrill::config::platform(&config.to_string(), |_| None)
        .err()
        .expect("the address of the admin interface is rejected")
        .to_string();
    assert!(
        error.contains("\"control\""),
        "expected the key \"control\" in the error, got {error}"
    );
}

#[test]
fn disabled_server_gets_no_attempt_until_it_is_enabled() {
    let (server, seen) = start_resp_peer(|_, words| served_reply(&words[2]));
    let limiter = start_limiter_with_servers(&[("s-1", server)]);
    let mut client = Client::connect_when_ready(&limiter);
    client.send_request("look", "before", 1500);
    assert_eq!(client.read_reply(), "before");
    assert_eq!(call(&limiter, "disable-server s-1\n"), "YES\n");
    assert_eq!(call(&limiter, "disable-server s-1\n"), "YES\n");
    assert_eq!(metrics(&limiter)["servers_excluded"], 1);
    // With every server disabled there is nothing to wait for: the request is rejected at once,
    // with a time after which to retry.
    client.send_request("pay", "while-disabled", 1500);
    assert_eq!(client.read_reply(), "-BUSY 200");
    assert!(seen
        .try_iter()
        .filter_map(|(_, words)| words)
        .all(|words| words[2] != "while-disabled"));
    assert_eq!(call(&limiter, "enable-server s-1\n"), "YES\n");
    // In its slow start the server gets only a part of the requests, but it gets some.
    let mut served = (0..200).filter(|number| {
        client.send_request("look", &format!("after-{number}"), 1500);
        client.read_reply().starts_with("after")
    });
    assert!(
        served.next().is_some(),
        "none of 200 requests reached the server after it was enabled"
    );
    assert_eq!(metrics(&limiter)["servers_excluded"], 0);
}
