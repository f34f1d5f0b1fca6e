//! Malformed input from clients and from upstream servers.

use crate::peers::{
    asking, limiter, next, quiet_list, quota_counter, resp_peer, serve, settings, Act, Client,
};
use crate::support::started_limiter;

#[test]
fn malformed_input_is_answered_and_closes_only_its_own_connection() {
    let (server, _seen) = resp_peer(|_, words| serve(&words[2]));
    let limiter = started_limiter(&[("s-1", server)]);
    let mut good = Client::ready(&limiter);
    let mut told = Vec::new();
    for text in [
        "GET / HTTP/1.1\r\n\r\n".to_owned(),
        "*3\r\n$9\r\nSVC.QUERY\r\n$-1\r\n".into(),
        "*1\r\n$70000\r\n".into(),
        "*2\r\n$4\r\nPING\r\n:1\r\n".into(),
    ] {
        let mut client = Client::connect(&limiter);
        client.say(&text);
        told.push(format!("{} then {:?}", client.line(), client.line()));
    }
    for text in [
        asking("dance", "id-1", 500),
        asking("look", "id-2", 500).replace("t=basic", "t=nobod"),
        asking("look", "id-3", 500).replace("d=500", "d=-50"),
        asking("look", "id-4", 500).replace("units=2", "units=x"),
        asking("look", "id-5", 500),
    ] {
        good.say(&text);
        told.push(good.answer());
    }
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn invalid_request_is_rejected_before_the_engine_or_a_server_sees_it() {
    let (server, seen) = resp_peer(|_, words| {
        if words[2] == "open" {
            Act::Hang
        } else {
            serve(&words[2])
        }
    });
    let limiter = started_limiter(&[("s-1", server)]);
    let mut open = Client::ready(&limiter);
    open.ask("pay", "open", 1500);
    next(&seen);
    let mut told = Vec::new();
    for (what, by) in [
        ("00000000b4d65521", "000000200000000"),
        ("00000000b4d65521", "0000000200000000"),
        ("00000000b4d65521", "+0000000b4d65521"),
        ("$2\r\nid\r\n", "$0\r\n\r\n"),
        ("$2\r\nid\r\n", "$4\r\nopen\r\n"),
        ("k=5c0f,", ""),
        ("SVC.SUBMIT", "SVC.QUERYX"),
        ("$10\r\nSVC.SUBMIT", "$9\r\nSVC.QUERY"),
        ("units=2", "units=7"),
        ("units=2", "units=0"),
        ("units=2", "units=NaN"),
        ("spread=1", "spread=2"),
        ("first=0", "first=1"),
        ("first=0", "first=-1"),
        ("d=500", "d=inf"),
        ("d=500,", ""),
    ] {
        let mut fields = asking("hold", "id", 500).replacen(what, by, 1);
        // The lengths of the words changed are put right.
        let words: Vec<String> = fields
            .split("\r\n")
            .skip(2)
            .step_by(2)
            .map(str::to_owned)
            .collect();
        fields = format!("*{}\r\n", words.len());
        words
            .iter()
            .for_each(|w| fields += &format!("${}\r\n{w}\r\n", w.len()));
        let mut client = Client::connect(&limiter);
        client.say(&fields);
        told.push(format!("{by}: {}", client.answer()));
    }
    assert!(seen.try_iter().next().is_none());
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn silent_half_written_and_malformed_connections_are_closed() {
    let (server, _seen) = resp_peer(|_, _| Act::Hang);
    let mut settings = settings(quiet_list(), quota_counter().0, &[("s-1", server)]);
    for time in ["slo", "deadline"] {
        settings["settings"]["classes"][2][time] = 30_000_000.into();
    }
    let limiter = limiter(&settings);
    // By now the pings below are answered as on any other day.
    drop(Client::ready(&limiter));
    let at = limiter.at;
    let ends = |text: String| {
        let mut client = Client::connect_at(at);
        client.say(&text);
        let lines: Vec<String> =
            std::iter::from_fn(|| Some(client.line()).filter(|l| !l.is_empty())).collect();
        lines[lines.len().saturating_sub(2)..].join(" / ")
    };
    let open = |id: &str| asking("pay", id, 30_000);
    let texts = [
        String::new(),
        "*4\r\n$9\r\nSVC.Q".into(),
        // Nothing open any more, and held for good.
        "*1\r\n$4\r\nWHAT\r\n".into(),
        // Behind a request that no server answers: its own client is not kept waiting for the rest.
        open("open-1") + "*x\r\n",
        open("open-2") + &"*1\r\n$4\r\nPING\r\n".repeat(100),
        asking("dance", "id", 500).repeat(20),
    ];
    let told: Vec<String> = std::thread::scope(|scope| {
        let asked = texts.map(|text| scope.spawn(|| ends(text)));
        asked
            .into_iter()
            .map(|client| client.join().expect("an end"))
            .collect()
    });
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn malformed_answer_is_not_delivered_and_its_connection_not_reused() {
    let spoilt = [
        "+OK\r\n",
        ":12\r\n",
        "-\u{1}\u{2}\r\n",
        "*2\r\n$5\r\nvalue\r\n$-1\r\n",
        "*4\r\n$5\r\nvalue\r\n",
        "*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        "*3\r\n$4\r\nvalue\r\n$-1\r\n$-1\r\n",
        "*3\r\n$3000000000\r\nvalue",
        "$5\r\nvalue\r\n",
    ];
    // Good ones, with figures that can't be read or with more behind them than belongs to them.
    let good = [
        "*3\r\n$5\r\nvalue\r\n:x\r\n$9\r\nqueue=NaN\r\n",
        "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n",
    ];
    let texts: Vec<String> = spoilt
        .iter()
        .chain(&good)
        .map(|text| (*text).to_owned())
        .collect();
    let (count, script) = (texts.len(), std::sync::Mutex::new(texts.into_iter()));
    let (server, seen) = resp_peer(move |_, words| match script.lock().expect("whole").next() {
        Some(text) => Act::Say(text),
        None => serve(&words[2]),
    });
    let limiter = started_limiter(&[("s-1", server)]);
    let mut client = Client::ready(&limiter);
    let mut told = Vec::new();
    for number in 0..=count {
        client.ask("pay", &format!("pay-{number}"), 1500);
        told.push(client.answer());
        // A connection rests before it is used again.
        std::thread::sleep(std::time::Duration::from_millis(60));
    }
    // Only the good one with nothing behind it left a connection that could be used again.
    let lines = seen
        .try_iter()
        .filter(|(_, words)| words.is_some())
        .map(|(line, _)| line.to_string());
    insta::assert_snapshot!(told.join("\n") + "\n" + &lines.collect::<Vec<_>>().join(" "));
}
