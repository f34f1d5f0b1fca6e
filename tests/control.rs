//! Tests of the operators' line over loopback: calls, figures against what scripted peers saw, servers taken out.

mod peers;

use peers::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

fn started(servers: &[(&str, SocketAddr)]) -> Running {
    let mut settings = settings(quiet_list(), quota_counter().0, servers);
    settings["control"] = "127.0.0.1:0".into();
    limiter(&settings)
}

fn call(limiter: &Running, line: &str) -> String {
    peers::call(limiter.control.expect("an operators' line"), line)
}

fn figures(limiter: &Running) -> BTreeMap<String, u64> {
    let text = call(limiter, "show-stat\n");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.last(), Some(&"END"));
    let figure = |line: &&str| {
        let (name, value) = line.strip_prefix("limiter.")?.split_once('=')?;
        Some((name.to_owned(), value.parse().ok()?))
    };
    lines[..lines.len() - 1]
        .iter()
        .map(|l| figure(l).expect("a figure"))
        .collect()
}

#[test]
fn figures_match_what_clients_and_upstream_servers_observed() {
    // A look fails once before it is served, a payment is dropped and a hold given up.
    let (written, looked) = (Arc::new(AtomicUsize::new(0)), AtomicUsize::new(0));
    let count = written.clone();
    let (server, _seen) = resp_peer(move |_, words| {
        count.fetch_add(1, Ordering::SeqCst);
        match &*words[2] {
            "pay-1" => Act::Close,
            "hold-1" => Act::Hang,
            "look-1" if looked.fetch_add(1, Ordering::SeqCst) == 0 => {
                Act::Say("-ERR failed\r\n".into())
            }
            id => serve(id),
        }
    });
    let limiter = started(&[("s-1", server), ("s-2", server)]);
    let mut client = Client::ready(&limiter);
    // Pipelined, so that one thread writes all the answers.
    let text = asking("look", "look-1", 1500)
        + &asking("pay", "pay-1", 1500)
        + &asking("pay", "pay-2", 1500);
    client.say(&text);
    assert_eq!(client.answer(), "look-1");
    assert_eq!(client.answer(), "-ERR failed");
    assert_eq!(client.answer(), "pay-2");
    // Refused by the module, and turned away by the front itself, though it names a class.
    client.ask("look", "look-2", 3);
    assert!(client.answer().starts_with("-BUSY"));
    client.say(&asking("look", "look-3", 1500).replace("d=1500", "d=ever"));
    assert_eq!(client.answer(), "-ERR bad d");
    let mut gone = Client::ready(&limiter);
    gone.ask("hold", "hold-1", 1500);
    // Taken is not sent on yet: one that leaves before is no attempt.
    until(|| figures(&limiter)["attempts"], |written| *written == 5);
    drop(gone);
    until(|| figures(&limiter)["in_flight"], |open| *open == 0);
    let all = figures(&limiter);
    assert_eq!(all["attempts"], written.load(Ordering::SeqCst) as u64);
    insta::assert_snapshot!(all
        .iter()
        .map(|(name, value)| format!("{name}={value}\n"))
        .collect::<String>());
}

#[test]
fn malformed_and_silent_admin_connections_block_nobody() {
    let (server, _seen) = resp_peer(|_, words| serve(&words[2]));
    let limiter = started(&[("s-1", server)]);
    let at = limiter.control.expect("an operators' line");
    // More than are served at a time, and none of them ever says a whole line.
    let mut silent: Vec<TcpStream> = (0..40)
        .map(|_| TcpStream::connect(at).expect("a connection"))
        .collect();
    silent.iter_mut().for_each(|s| _ = s.write_all(b"rea"));
    until(|| call(&limiter, "ready\n"), |answer| answer == "YES\n");
    let long = "x".repeat(5_000) + "\n";
    let bad = [
        "nonsense\n",
        "ready now\n",
        "disable-server\n",
        "disable-server never-listed\n",
        "\n",
        &long,
    ];
    for line in bad {
        let answer = call(&limiter, line);
        assert!(
            answer.starts_with("NO ") && answer.ends_with('\n'),
            "{line:.20}: {answer}"
        );
    }
    for mut stream in silent {
        let mut answer = Vec::new();
        // An end or an answer, but an end.
        _ = stream.read_to_end(&mut answer);
    }
    let mut settings = settings(quiet_list(), quota_counter().0, &[]);
    settings["control"] = "nowhere".into();
    let error = mossrill::config::platform(&settings.to_string(), |_| None)
        .err()
        .expect("a fault")
        .to_string();
    assert!(error.contains("\"control\""), "{error}");
}

#[test]
fn disabled_server_gets_no_attempt_until_it_is_enabled() {
    let (a, seen) = resp_peer(|_, words| serve(&words[2]));
    let limiter = started(&[("s-1", a)]);
    let mut client = Client::ready(&limiter);
    client.ask("look", "before", 1500);
    assert_eq!(client.answer(), "before");
    assert_eq!(call(&limiter, "disable-server s-1\n"), "YES\n");
    assert_eq!(call(&limiter, "disable-server s-1\n"), "YES\n");
    assert_eq!(figures(&limiter)["servers_excluded"], 1);
    // With every server out there is nothing to wait for: refused at once, with a time to come back.
    client.ask("pay", "while", 1500);
    assert_eq!(client.answer(), "-BUSY 200");
    assert!(seen
        .try_iter()
        .filter_map(|(_, words)| words)
        .all(|words| words[2] != "while"));
    assert_eq!(call(&limiter, "enable-server s-1\n"), "YES\n");
    // It is cold, so only a part goes to it, but some does.
    let mut used = (0..200).filter(|number| {
        client.ask("look", &format!("after-{number}"), 1500);
        client.answer().starts_with("after")
    });
    assert!(used.next().is_some(), "never used again");
    assert_eq!(figures(&limiter)["servers_excluded"], 0);
}
