//! Tests of the operators' line over loopback: calls, figures against what scripted peers saw, nodes taken out.

mod peers;

use peers::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

fn started(nodes: &[(&str, SocketAddr)]) -> Running {
    let mut settings = settings(quiet_list(), quota_counter().0, nodes);
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
fn the_figures_add_up_to_what_agents_and_ticket_nodes_saw() {
    // A look fails once before it is served, a payment is dropped and a hold given up.
    let (written, looked) = (Arc::new(AtomicUsize::new(0)), AtomicUsize::new(0));
    let count = written.clone();
    let (node, _seen) = resp_peer(move |_, words| {
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
    let limiter = started(&[("s-1", node), ("s-2", node)]);
    let mut agent = Client::ready(&limiter);
    // Pipelined, so that one thread writes all the answers.
    let text = asking("look", "look-1", 1500)
        + &asking("pay", "pay-1", 1500)
        + &asking("pay", "pay-2", 1500);
    agent.say(&text);
    assert_eq!(agent.answer(), "look-1");
    assert_eq!(agent.answer(), "-ERR failed");
    assert_eq!(agent.answer(), "pay-2");
    // Refused by the module, and turned away by the front itself, though it names a class.
    agent.ask("look", "look-2", 3);
    assert!(agent.answer().starts_with("-BUSY"));
    agent.say(&asking("look", "look-3", 1500).replace("d=1500", "d=ever"));
    assert_eq!(agent.answer(), "-ERR bad d");
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
fn bad_calls_and_silent_callers_are_answered_or_left_and_hold_up_nobody() {
    let (node, _seen) = resp_peer(|_, words| serve(&words[2]));
    let limiter = started(&[("s-1", node)]);
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
    let fault = mossrill::config::platform(&settings.to_string(), |_| None)
        .err()
        .expect("a fault")
        .to_string();
    assert!(fault.contains("\"control\""), "{fault}");
}

#[test]
fn nothing_goes_to_a_node_from_the_yes_until_it_is_put_back() {
    let (a, seen) = resp_peer(|_, words| serve(&words[2]));
    let limiter = started(&[("s-1", a)]);
    let mut agent = Client::ready(&limiter);
    agent.ask("look", "before", 1500);
    assert_eq!(agent.answer(), "before");
    assert_eq!(call(&limiter, "disable-server s-1\n"), "YES\n");
    assert_eq!(call(&limiter, "disable-server s-1\n"), "YES\n");
    assert_eq!(figures(&limiter)["servers_excluded"], 1);
    // With every node out there is nothing to wait for: refused at once, with a time to come back.
    agent.ask("pay", "while", 1500);
    assert_eq!(agent.answer(), "-BUSY 200");
    assert!(seen
        .try_iter()
        .filter_map(|(_, words)| words)
        .all(|words| words[2] != "while"));
    assert_eq!(call(&limiter, "enable-server s-1\n"), "YES\n");
    // It is cold, so only a part goes to it, but some does.
    let mut used = (0..200).filter(|number| {
        agent.ask("look", &format!("after-{number}"), 1500);
        agent.answer().starts_with("after")
    });
    assert!(used.next().is_some(), "never used again");
    assert_eq!(figures(&limiter)["servers_excluded"], 0);
}
