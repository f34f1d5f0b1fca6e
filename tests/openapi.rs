//! Tests of the OpenAPI front, over loopback: the description in `deploy/` against scripted peers.

mod peers;

use mossrill::config;
use mossrill::openapi::description::Description;
use peers::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const DESCRIPTION: &str = include_str!("../deploy/ferry.openapi.json");
const FILE: &str = include_str!("../deploy/openapi.json");

/// The file in `deploy/` with ports of this test.
fn file(servers: &[SocketAddr], store: Value) -> Value {
    let mut file: Value = serde_json::from_str(FILE).expect("JSON");
    let servers = servers
        .iter()
        .enumerate()
        .map(|(n, at)| json!({"name": format!("node-{n}"), "address": at.to_string()}));
    file["listen"] = json!("127.0.0.1:0");
    file["ticket_nodes"] = servers.collect();
    file["store"] = store;
    file
}

/// A upstream server that answers its first requests by this list and serves the rest; what it was asked.
fn server(first: &[&'static str]) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let (script, asked) = (Mutex::new(first.to_vec()), Arc::new(Mutex::new(Vec::new())));
    let own = asked.clone();
    let at = http_peer(move |first, headers, body| {
        let left = headers
            .iter()
            .find_map(|l| l.strip_prefix("X-Deadline-Ms: ")?.parse::<u64>().ok());
        let in_time = left.is_some_and(|ms| ms > 0 && ms <= 5_000);
        own.lock()
            .expect("whole")
            .push(format!("{first} | {body} | time left told: {in_time}"));
        let mut script = script.lock().expect("whole");
        match (!script.is_empty()).then(|| script.remove(0)) {
            Some("close") => Act::Close,
            Some("hang") => Act::Hang,
            Some(status) => answer(status, "{}"),
            None => answer("200 OK", "{\"ok\":true}"),
        }
    });
    (at, asked)
}

fn request(line: &str, headers: &str, body: &str) -> String {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{line} HTTP/1.1\r\nHost: x\r\nX-Agent-Account: agen-utama\r\n{headers}{length}\r\n{body}"
    )
}

/// Sends a request and reads its answer: status line, the header lines that a client acts on, body.
fn exchange(client: &mut Client, text: &str) -> String {
    client.say(text);
    let (first, headers, body) = http(&mut client.0, text.starts_with("HEAD")).expect("an answer");
    let told = [
        "Retry-After",
        "Allow",
        "WWW-Authenticate",
        "Connection",
        "X-From",
        "Content-Length",
    ];
    let told = headers
        .into_iter()
        .filter(|l| told.iter().any(|t| l.starts_with(t)));
    let told = told.filter(|l| text.starts_with("HEAD") || !l.starts_with("Content-Length"));
    std::iter::once(first)
        .chain(told)
        .chain([body])
        .collect::<Vec<_>>()
        .join(" | ")
}

const LOOK: &str = "GET /v1/sailings/KMP-7/seats?class=2";
const HOLD: &str = "POST /v1/sailings/KMP-7/holds";
const PAY: &str = "POST /v1/tickets";
const REPORT: &str = "GET /v1/reports/daily";
const KEY: &str = "Idempotency-Key: 77\r\n";

#[test]
fn each_operation_is_charged_its_units_and_retried_by_its_idempotency() {
    let mut told = Vec::new();
    for (operation, headers, body) in [
        (LOOK, "", ""),
        (HOLD, KEY, "two"),
        (PAY, "", "pay"),
        (REPORT, "", ""),
    ] {
        // A 500 may have run; a 503 never did, as the description states of all but the report.
        for trouble in ["none", "500 Oops", "503 Busy", "close"] {
            let (at, asked) = server(if trouble == "none" {
                &[]
            } else {
                std::slice::from_ref(&trouble)
            });
            let (counter, totals) = quota_counter();
            // Two limiters: units are told to the others.
            let mut file = file(
                &[at, at],
                json!({"kind": "quota-counter", "address": counter.to_string()}),
            );
            file["limiters"] = json!({"me": 0, "all": 2});
            let limiter = openapi_limiter(&file, DESCRIPTION);
            let mut client = Client::connect(&limiter);
            let answer = exchange(&mut client, &request(operation, headers, body));
            let asked = asked.lock().expect("whole").join("\n    ");
            // What is told of in passing is told within a second.
            let charged = until(
                || totals.lock().expect("whole").values().sum::<f64>(),
                |total| *total > 0.0,
            );
            told.push(format!(
                "{operation}, {trouble}: {answer}\n    charged {charged}\n    {asked}"
            ));
        }
    }
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn http_errors_of_the_front() {
    let (at, asked) = server(&[]);
    let limiter = openapi_limiter(&file(&[at], json!({})), DESCRIPTION);
    let mut client = Client::connect(&limiter);
    let mut told = Vec::new();
    for text in [
        request("GET /v1/nowhere", "", ""),
        request("DELETE /v1/tickets", "", ""),
        request("POST /v1/sailings/KMP-7/seats", "", ""),
        request(LOOK, "", "").replace("agen-utama", "nobody"),
        request(HOLD, "", "no key"),
        request(PAY, "Expect: 100-continue\r\n", "patient"),
        request(LOOK, "", "").replace("GET", "HEAD"),
        request(PAY, "Transfer-Encoding: chunked\r\n", "")
            .replace("\r\n\r\n", "\r\n\r\n3\r\npay\r\n2\r\n!!\r\n0\r\n\r\n"),
    ] {
        told.push(exchange(&mut client, &text));
        if told.last().is_some_and(|t| t.contains(" 100 ")) {
            told.push(exchange(&mut client, ""));
        }
    }
    // Each of these ends its connection.
    for text in [
        request(PAY, "Content-Length: 70000\r\n", ""),
        request(PAY, "Content-Length: +5\r\n", ""),
        request(
            PAY,
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "",
        ),
        "GET /v1/reports/daily HTTP/1.1\r\n\r\n".into(),
        "NONSENSE\r\n\r\n".into(),
        request(LOOK, &format!("X-Long: {}\r\n", "x".repeat(70_000)), ""),
        request(LOOK, "Connection: close\r\n", ""),
    ] {
        let mut client = Client::connect(&limiter);
        told.push(format!(
            "{} then {:?}",
            exchange(&mut client, &text),
            client.line()
        ));
    }
    let asked = asked.lock().expect("whole").join("\n");
    insta::assert_snapshot!(format!("{}\n{asked}", told.join("\n")));
}

#[test]
fn rejections_server_failures_and_deadlines_become_statuses() {
    let (dead, _) = server(&["500 Oops", "500 Oops", "500 Oops", "500 Oops", "500 Oops"]);
    let (hung, _) = server(&["hang"]);
    let mut told = Vec::new();
    let limiter = openapi_limiter(&file(&[dead], json!({})), DESCRIPTION);
    told.push(exchange(
        &mut Client::connect(&limiter),
        &request(PAY, "", "pay"),
    ));
    let short = DESCRIPTION.replace(
        "\"aim-ms\": 1200, \"deadline-ms\": 3000",
        "\"aim-ms\": 200, \"deadline-ms\": 200",
    );
    let limiter = openapi_limiter(&file(&[hung], json!({})), &short);
    told.push(exchange(
        &mut Client::connect(&limiter),
        &request(PAY, "", "pay"),
    ));
    // A plan whose store holds one payment, and fills far too slowly for another.
    let (at, asked) = server(&[]);
    let mut file = file(&[at], json!({}));
    file["plans"][2] = json!({"name": "utama", "rate": 0.001, "burst": 4});
    let limiter = openapi_limiter(&file, DESCRIPTION);
    let mut client = Client::connect(&limiter);
    for _ in 0..2 {
        told.push(exchange(&mut client, &request(PAY, "", "pay")));
    }
    told.push(format!("sent on: {}", asked.lock().expect("whole").len()));
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn incomplete_descriptions_are_rejected() {
    let mut told = Vec::new();
    for (from, to) in [
        ("\"openapi\": \"3.0.3\"", "\"openapi\": \"2.0\""),
        (
            "\"operationId\": \"tahanKursi\"",
            "\"operationId\": \"cekKursi\"",
        ),
        ("\"/reports/daily\"", "\"/sailings/{other}/seats\""),
        ("\"/reports/daily\"", "\"/tickets\""),
        ("\"x-quota-units\": 4,", ""),
        (
            "\"x-quota-units\": 4",
            "\"x-quota-units\": 4, \"x-quota-units\": 1",
        ),
        (
            "\"x-quota-effect\": \"unsafe\"",
            "\"x-quota-effect\": \"often\"",
        ),
        (
            "#/components/responses/TurnedAway\"}\n        }\n      }\n    },\n    \"/reports",
            "#/nowhere\"}}}},\"/reports",
        ),
        (
            "\"x-quota-class\": \"laporan\"",
            "\"x-quota-class\": \"lapor\"",
        ),
        ("\"503\": {\"$ref\"", "\"default\": {\"$ref\""),
        ("\"worth\": 5, ", ""),
    ] {
        assert!(DESCRIPTION.contains(from), "{from}");
        let errors = Description::read(&DESCRIPTION.replacen(from, to, 1)).expect_err(to);
        let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
        told.push(format!("{from} -> {to}\n    {}", errors.join("\n    ")));
    }
    let good = Description::read(DESCRIPTION).expect("a good description");
    told.push(format!(
        "never repeated, as unmarked: {:?}",
        good.without_effect
    ));
    for (key, value) in [
        ("description", json!(null)),
        ("accounts", json!([{"name": "a", "plan": "gratis"}])),
        ("listen", json!(5)),
    ] {
        let mut file = file(&[], json!({}));
        file[key] = value;
        told.push(
            config::openapi(&file.to_string(), |_| Ok(DESCRIPTION.into()))
                .err()
                .expect(key)
                .to_string(),
        );
    }
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn reload_moves_upstream_servers_and_store() {
    let ((old, at_old), (new, at_new)) = (server(&[]), server(&[]));
    let ((before, _), (after, totals)) = (quota_counter(), quota_counter());
    let store = |at: SocketAddr| json!({"kind": "quota-counter", "address": at.to_string()});
    let with = |server, counter| {
        let mut file = file(&[server], store(counter));
        file["limiters"] = json!({"me": 0, "all": 2});
        file
    };
    let limiter = openapi_reloaded(&with(old, before), Some(&with(new, after)), DESCRIPTION);
    let mut client = Client::connect(&limiter);
    assert!(exchange(&mut client, &request(LOOK, "", "")).starts_with("HTTP/1.1 200 OK"));
    let asked = |at: &Mutex<Vec<String>>| at.lock().expect("whole").len();
    assert_eq!((asked(&at_old), asked(&at_new)), (0, 1));
    until(|| totals.lock().expect("whole").len(), |counts| *counts > 0);
}

#[test]
fn long_body_is_streamed_and_a_truncated_one_is_detectable() {
    const LENGTH: usize = 1 << 20;
    let (go_on, told) = std::sync::mpsc::channel::<bool>();
    let told = Mutex::new(told);
    let at = peer(move |_, stream| {
        let mut from = BufReader::new(stream);
        while http(&mut from, false).is_ok() {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n{}",
                "a".repeat(LENGTH / 2)
            );
            _ = from.get_mut().write_all(head.as_bytes());
            if told.lock().expect("whole").recv() != Ok(true) {
                return;
            }
            _ = from.get_mut().write_all("b".repeat(LENGTH / 2).as_bytes());
        }
    });
    let limiter = openapi_limiter(&file(&[at], json!({})), DESCRIPTION);
    let mut client = Client::connect(&limiter);
    // Twice on one connection, the second time to no good end.
    for goes_on in [true, false] {
        client.say(&request(LOOK, "", ""));
        while !client.line().is_empty() {}
        // The first half, while the second has not left the server.
        let mut half = vec![0; LENGTH / 2];
        client.0.read_exact(&mut half).expect("the first half");
        go_on.send(goes_on).expect("a node");
        let read = client.0.read_exact(&mut half);
        assert_eq!(read.is_ok(), goes_on, "{read:?}");
        assert!(!goes_on || half.iter().all(|b| *b == b'b'));
    }
}
