//! Events at the connection to service discovery: resets, silence, split and malformed messages.

use crate::peers::{
    entry, http, limiter, peer, quota_counter, resp_peer, serve, settings, until, whole_list,
    Client, Program, Running,
};
use mossrill::protocol::http::{Body, Broken, Reader};
use serde_json::Value;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// A list whose first watch says this in two chunks cut in the middle, and later callers get `then`. What was asked.
fn discovery_with_split_event(
    text: String,
    then: String,
) -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    let (tell, asked) = channel();
    let tell = Mutex::new(tell);
    let at = peer(move |number, stream| {
        let mut from = BufReader::new(stream);
        let Ok((first, ..)) = http(&mut from, false) else {
            return;
        };
        _ = tell.lock().expect("whole").send(first.clone());
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if first.contains("watch") {
            let (one, two) = text.split_at(text.len() / 2);
            let chunks = [one, two]
                .map(|part| format!("{:x}\r\n{part}\r\n", part.len()))
                .concat();
            let chunks = if number == 0 { chunks } else { String::new() };
            from.get_mut()
                .write_all((head.to_owned() + &chunks).as_bytes())
                .expect("written");
        } else {
            let whole = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{then}",
                then.len()
            );
            from.get_mut().write_all(whole.as_bytes()).expect("written");
        }
        _ = http(&mut from, false);
    });
    (at, asked)
}

fn serves_until(limiter: &Running, value: &str) {
    let mut client = Client::ready(limiter);
    let client = Mutex::new(&mut client);
    let ask = || {
        let mut client = client.lock().expect("whole");
        client.ask("look", "id", 1500);
        client.answer()
    };
    until(ask, |answer| answer == value);
}

#[test]
fn watch_event_on_many_lines_and_longer_than_a_buffer_is_applied() {
    let (old, new) = (
        resp_peer(|_, _| serve("old")).0,
        resp_peer(|_, _| serve("new")).0,
    );
    let mut servers: Vec<_> = (0..1_000)
        .map(|n| entry(&format!("x-{n}"), old, "terminating"))
        .collect();
    servers.extend([
        entry("s-1", old, "terminating"),
        entry("s-2", new, "in_service"),
    ]);
    let news = serde_json::json!({"generation": 9, "reset": true, "instances": servers});
    let text = format!("\n{}\n", serde_json::to_string_pretty(&news).expect("text"));
    assert!(text.len() > 140_000);
    let (list, asked) = discovery_with_split_event(text, String::new());
    let limiter = limiter(&settings(list, quota_counter().0, &[("s-1", old)]));
    serves_until(&limiter, "new");
    assert_eq!(asked.try_iter().count(), 1, "on the one watch");
}

#[test]
fn malformed_watch_event_keeps_the_last_list_and_causes_a_full_read() {
    let (old, new) = (
        resp_peer(|_, _| serve("old")).0,
        resp_peer(|_, _| serve("new")).0,
    );
    let server = entry("s-2", new, "in_service");
    let whole = serde_json::json!({"generation": 9, "reset": true, "instances": [server]});
    for spoilt in [
        "{\"generation\":8,\"instances\":[}\n",
        "[]\n",
        "what\n",
        "{}\n",
    ] {
        let (list, asked) = discovery_with_split_event(spoilt.into(), whole.to_string());
        let limiter = limiter(&settings(list, quota_counter().0, &[("s-1", old)]));
        let heard: Vec<_> = (0..3).map(|_| asked.recv().expect("a call")).collect();
        let calls = ["?watch=1&from=7", "", "?watch=1&from=9"]
            .map(|q| format!("GET /v1/endpoints{q} HTTP/1.1"));
        assert_eq!(heard, calls, "{spoilt}");
        serves_until(&limiter, "new");
    }
}

/// A server that serves "old", and the news that it drains and another one, which serves "new", is there.
fn replaced_server() -> (SocketAddr, String) {
    let (old, new) = (
        resp_peer(|_, _| serve("old")).0,
        resp_peer(|_, _| serve("new")).0,
    );
    let change = [
        entry("s-1", old, "terminating"),
        entry("s-2", new, "in_service"),
    ];
    (
        old,
        serde_json::json!({"generation": 9, "reset": false, "instances": change}).to_string(),
    )
}

#[test]
fn repeatedly_reset_watch_is_reopened_within_the_drain_grace() {
    let (old, news) = replaced_server();
    let list = peer(move |number, stream| {
        let mut from = BufReader::new(stream);
        _ = http(&mut from, false);
        let chunk = if number < 24 {
            String::new()
        } else {
            format!("{:x}\r\n{news}\r\n", news.len())
        };
        let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
        from.get_mut().write_all(text.as_bytes()).expect("written");
        if number >= 24 {
            _ = http(&mut from, false);
        }
        SockRef::from(from.get_ref())
            .set_linger(Some(Duration::ZERO))
            .expect("a socket");
    });
    // One of many, that would wait for seconds each time if the list had turned it away: over a minute in all.
    let mut told = settings(list, quota_counter().0, &[("s-1", old)]);
    told["settings"]["balancers"] = 300.into();
    told["settings"]["safety"]["drainGrace"] = 150_000.into();
    let limiter = limiter(&told);
    serves_until(&limiter, "new");
}

#[test]
fn discovery_calls_without_or_with_endless_answers_time_out_early() {
    let (old, news) = replaced_server();
    let list = peer(move |number, stream| {
        let mut from = BufReader::new(stream);
        _ = http(&mut from, false);
        let to = from.get_mut();
        // Silent three times, and then a head that never ends, twice.
        if (3..5).contains(&number) {
            to.write_all(b"HTTP/1.1 200 OK\r\nX: ").expect("written");
            while to.write_all(b"x").is_ok() {
                thread::sleep(Duration::from_millis(20));
            }
            return;
        }
        if number >= 5 {
            let text = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{news}\r\n",
                news.len()
            );
            to.write_all(text.as_bytes()).expect("written");
        }
        _ = http(&mut from, false);
    });
    let mut told = settings(list, quota_counter().0, &[("s-1", old)]);
    told["settings"]["balancers"] = 300.into();
    told["settings"]["safety"]["drainGrace"] = 1_000_000.into();
    serves_until(&limiter(&told), "new");
}

#[test]
fn after_discovery_moves_events_of_the_old_address_are_ignored() {
    let (old, new) = (
        resp_peer(|_, _| serve("old")).0,
        resp_peer(|_, _| serve("new")).0,
    );
    let list = peer(move |_, stream| {
        let mut from = BufReader::new(stream);
        _ = http(&mut from, false);
        let to = from.get_mut();
        to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .expect("written");
        // As fast as it is read: whenever it is sent elsewhere, something of this is on its way.
        for generation in 8.. {
            let back = [
                entry("s-1", old, "in_service"),
                entry("s-2", new, "terminated"),
            ];
            let news =
                serde_json::json!({"generation": generation, "reset": false, "instances": back})
                    .to_string();
            if to
                .write_all(format!("{:x}\r\n{news}\r\n", news.len()).as_bytes())
                .is_err()
            {
                return;
            }
        }
    });
    let mut told = settings(list, quota_counter().0, &[("s-1", old)]);
    let mut program = Program::start("old-speaks", &told);
    program.logged("full: false");
    told["discovery"] = whole_list(vec![entry("s-2", new, "in_service")])
        .to_string()
        .into();
    program.reload(&told.to_string());
    program.logged("full: true");
    let mut client = Client::ready_at(program.at);
    for number in 0..10 {
        client.ask("look", &number.to_string(), 1500);
        assert_eq!(client.answer(), "new");
    }
    let after = program
        .log()
        .into_iter()
        .filter(|line| line.contains("endpoint update"));
    assert_eq!(after.collect::<Vec<_>>(), Vec::<String>::new());
}

#[test]
fn body_with_endless_trailers_is_rejected() {
    let text = "0\r\n".to_owned() + &"x: y\r\n".repeat(100_000);
    let body = Reader::new(text.as_bytes()).body(Body::Chunked, 1_024);
    assert!(matches!(body, Err(Broken::TooLarge)), "{body:?}");
}

#[test]
fn silent_watch_and_list_changed_during_a_full_read_are_polled_again() {
    let (old, new) = (
        resp_peer(|_, _| serve("old")).0,
        resp_peer(|_, _| serve("new")).0,
    );
    let news = |generation, full, servers: Vec<Value>| {
        serde_json::json!({"generation": generation, "reset": full, "instances": servers})
            .to_string()
            + "\n"
    };
    // The first watch says nothing, not even a head; the second can't be read. Between the whole list and the watch the
    // old server begins to drain and another comes.
    let whole = news(8, true, vec![entry("s-1", old, "in_service")]);
    let change = news(
        9,
        false,
        vec![
            entry("s-1", old, "terminating"),
            entry("s-2", new, "in_service"),
        ],
    );
    let (tell, asked) = channel();
    let tell = Mutex::new(tell);
    let list = peer(move |number, stream| {
        let mut from = BufReader::new(stream);
        let Ok((first, ..)) = http(&mut from, false) else {
            return;
        };
        _ = tell.lock().expect("whole").send(first);
        let chunked = |text: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{text}\r\n",
                text.len()
            )
        };
        let text = match number {
            0 => String::new(),
            1 => chunked("what\n"),
            2 => format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}",
                whole.len()
            ),
            _ => chunked(&change),
        };
        _ = from.get_mut().write_all(text.as_bytes());
        _ = http(&mut from, false);
    });
    let limiter = limiter(&settings(list, quota_counter().0, &[("s-1", old)]));
    let heard: Vec<_> = (0..4).map(|_| asked.recv().expect("a call")).collect();
    let calls = ["?watch=1&from=7", "?watch=1&from=7", "", "?watch=1&from=8"];
    assert_eq!(
        heard,
        calls.map(|q| format!("GET /v1/endpoints{q} HTTP/1.1"))
    );
    serves_until(&limiter, "new");
}
