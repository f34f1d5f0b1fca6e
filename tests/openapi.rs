//! Tests of the OpenAPI front with the description in `deploy/`, against scripted upstream servers
//! and counters on loopback.

mod peers;

use mossrill::config;
use mossrill::openapi::description::Description;
use peers::*;
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const DESCRIPTION: &str = include_str!("../deploy/ferry.openapi.json");
const CONFIGURATION: &str = include_str!("../deploy/openapi.json");

/// Returns the configuration in `deploy/` with these upstream servers and store, and a free port to
/// listen on.
fn configuration(servers: &[SocketAddr], store: Value) -> Value {
    let mut configuration: Value =
        serde_json::from_str(CONFIGURATION).expect("deploy/openapi.json is valid JSON");
    let servers = servers.iter().enumerate().map(
        |(index, address)| json!({"name": format!("node-{index}"), "address": address.to_string()}),
    );
    configuration["listen"] = json!("127.0.0.1:0");
    configuration["ticket_nodes"] = servers.collect();
    configuration["store"] = store;
    configuration
}

/// Starts an upstream server that handles its first requests as `script` states and serves all
/// further ones. A step of the script is "close", "hang" or a status. Returns the server's address
/// and a log of the requests that it received.
fn scripted_server(script: &[&'static str]) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let (script, received) = (
        Mutex::new(script.to_vec()),
        Arc::new(Mutex::new(Vec::new())),
    );
    let log = received.clone();
    let address = start_http_peer(move |request_line, headers, body| {
        let time_left_ms = headers
            .iter()
            .find_map(|line| line.strip_prefix("X-Deadline-Ms: ")?.parse::<u64>().ok());
        let has_valid_deadline = time_left_ms.is_some_and(|ms| ms > 0 && ms <= 5_000);
        log.lock()
            .expect("the request log is not poisoned")
            .push(format!(
                "{request_line} | {body} | time left told: {has_valid_deadline}"
            ));
        let mut script = script.lock().expect("the script is not poisoned");
        match (!script.is_empty()).then(|| script.remove(0)) {
            Some("close") => PeerAction::Close,
            Some("hang") => PeerAction::Hang,
            Some(status) => http_reply(status, "{}"),
            None => http_reply("200 OK", "{\"ok\":true}"),
        }
    });
    (address, received)
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

/// Sends a request and reads the response. Returns its status line, the header lines that are
/// listed here and its body.
fn exchange(client: &mut Client, text: &str) -> String {
    client.send(text);
    let is_head = text.starts_with("HEAD");
    let (status_line, headers, body) =
        read_http_message(&mut client.0, is_head).expect("the limiter sends a complete response");
    let reported_headers = [
        "Retry-After",
        "Allow",
        "WWW-Authenticate",
        "Connection",
        "X-From",
        "Content-Length",
    ];
    let header_lines = headers
        .into_iter()
        .filter(|line| reported_headers.iter().any(|name| line.starts_with(name)));
    let header_lines = header_lines.filter(|line| is_head || !line.starts_with("Content-Length"));
    std::iter::once(status_line)
        .chain(header_lines)
        .chain([body])
        .collect::<Vec<_>>()
        .join(" | ")
}

const GET_SEATS: &str = "GET /v1/sailings/KMP-7/seats?class=2";
const HOLD_SEATS: &str = "POST /v1/sailings/KMP-7/holds";
const BUY_TICKET: &str = "POST /v1/tickets";
const GET_REPORT: &str = "GET /v1/reports/daily";
const KEY_HEADER: &str = "Idempotency-Key: 77\r\n";

#[test]
fn each_operation_is_charged_its_units_and_retried_by_its_idempotency() {
    let mut results = Vec::new();
    for (operation, headers, body) in [
        (GET_SEATS, "", ""),
        (HOLD_SEATS, KEY_HEADER, "two"),
        (BUY_TICKET, "", "pay"),
        (GET_REPORT, "", ""),
    ] {
        // A request answered with 500 may have run. One answered with 503 never ran, as the
        // description states for all operations but the report.
        for first_response in ["none", "500 Oops", "503 Busy", "close"] {
            let (server, received) = scripted_server(if first_response == "none" {
                &[]
            } else {
                std::slice::from_ref(&first_response)
            });
            let (counter, totals) = quota_counter();
            // With two limiters configured, the limiter reports its units to the counter.
            let mut configuration = configuration(
                &[server, server],
                json!({"kind": "quota-counter", "address": counter.to_string()}),
            );
            configuration["limiters"] = json!({"me": 0, "all": 2});
            let limiter = start_openapi_limiter(&configuration, DESCRIPTION);
            let mut client = Client::connect(&limiter);
            let response = exchange(&mut client, &request(operation, headers, body));
            let received = received
                .lock()
                .expect("the request log is not poisoned")
                .join("\n    ");
            // Units that are reported in the background reach the counter within a second.
            let charged = wait_until(
                || {
                    totals
                        .lock()
                        .expect("the totals are not poisoned")
                        .values()
                        .sum::<f64>()
                },
                |total| *total > 0.0,
            );
            results.push(format!(
                "{operation}, {first_response}: {response}\n    charged {charged}\n    {received}"
            ));
        }
    }
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn http_errors_of_the_front() {
    let (server, received) = scripted_server(&[]);
    let limiter = start_openapi_limiter(&configuration(&[server], json!({})), DESCRIPTION);
    let mut client = Client::connect(&limiter);
    let mut results = Vec::new();
    for text in [
        request("GET /v1/nowhere", "", ""),
        request("DELETE /v1/tickets", "", ""),
        request("POST /v1/sailings/KMP-7/seats", "", ""),
        request(GET_SEATS, "", "").replace("agen-utama", "nobody"),
        request(HOLD_SEATS, "", "no key"),
        request(BUY_TICKET, "Expect: 100-continue\r\n", "patient"),
        request(GET_SEATS, "", "").replace("GET", "HEAD"),
        request(BUY_TICKET, "Transfer-Encoding: chunked\r\n", "")
            .replace("\r\n\r\n", "\r\n\r\n3\r\npay\r\n2\r\n!!\r\n0\r\n\r\n"),
    ] {
        results.push(exchange(&mut client, &text));
        // An interim response is followed by the final one.
        if results.last().is_some_and(|line| line.contains(" 100 ")) {
            results.push(exchange(&mut client, ""));
        }
    }
    // After each of these requests the limiter closes the connection.
    for text in [
        request(BUY_TICKET, "Content-Length: 70000\r\n", ""),
        request(BUY_TICKET, "Content-Length: +5\r\n", ""),
        request(
            BUY_TICKET,
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "",
        ),
        "GET /v1/reports/daily HTTP/1.1\r\n\r\n".into(),
        "NONSENSE\r\n\r\n".into(),
        request(
            GET_SEATS,
            &format!("X-Long: {}\r\n", "x".repeat(70_000)),
            "",
        ),
        request(GET_SEATS, "Connection: close\r\n", ""),
    ] {
        let mut client = Client::connect(&limiter);
        results.push(format!(
            "{} then {:?}",
            exchange(&mut client, &text),
            client.read_line()
        ));
    }
    let received = received
        .lock()
        .expect("the request log is not poisoned")
        .join("\n");
    insta::assert_snapshot!(format!("{}\n{received}", results.join("\n")));
}

#[test]
fn rejections_server_failures_and_deadlines_become_statuses() {
    let (failing, _) =
        scripted_server(&["500 Oops", "500 Oops", "500 Oops", "500 Oops", "500 Oops"]);
    let (silent, _) = scripted_server(&["hang"]);
    let mut results = Vec::new();
    let limiter = start_openapi_limiter(&configuration(&[failing], json!({})), DESCRIPTION);
    results.push(exchange(
        &mut Client::connect(&limiter),
        &request(BUY_TICKET, "", "pay"),
    ));
    let short_deadline = DESCRIPTION.replace(
        "\"aim-ms\": 1200, \"deadline-ms\": 3000",
        "\"aim-ms\": 200, \"deadline-ms\": 200",
    );
    let limiter = start_openapi_limiter(&configuration(&[silent], json!({})), &short_deadline);
    results.push(exchange(
        &mut Client::connect(&limiter),
        &request(BUY_TICKET, "", "pay"),
    ));
    // The plan's burst suffices for one payment, and its rate is too low for a second one during
    // the test.
    let (server, received) = scripted_server(&[]);
    let mut configuration = configuration(&[server], json!({}));
    configuration["plans"][2] = json!({"name": "utama", "rate": 0.001, "burst": 4});
    let limiter = start_openapi_limiter(&configuration, DESCRIPTION);
    let mut client = Client::connect(&limiter);
    for _ in 0..2 {
        results.push(exchange(&mut client, &request(BUY_TICKET, "", "pay")));
    }
    results.push(format!(
        "sent on: {}",
        received
            .lock()
            .expect("the request log is not poisoned")
            .len()
    ));
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn incomplete_descriptions_are_rejected() {
    let mut results = Vec::new();
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
        assert!(
            DESCRIPTION.contains(from),
            "the description does not contain {from}"
        );
        let errors = Description::read(&DESCRIPTION.replacen(from, to, 1)).expect_err(to);
        let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
        results.push(format!("{from} -> {to}\n    {}", errors.join("\n    ")));
    }
    let complete = Description::read(DESCRIPTION).expect("the unchanged description is valid");
    results.push(format!(
        "never repeated, as unmarked: {:?}",
        complete.without_effect
    ));
    for (key, value) in [
        ("description", json!(null)),
        ("accounts", json!([{"name": "a", "plan": "gratis"}])),
        ("listen", json!(5)),
    ] {
        let mut configuration = configuration(&[], json!({}));
        configuration[key] = value;
        results.push(
            config::openapi(&configuration.to_string(), |_| Ok(DESCRIPTION.into()))
                .err()
                .expect(key)
                .to_string(),
        );
    }
    insta::assert_snapshot!(results.join("\n"));
}

#[test]
fn reload_moves_upstream_servers_and_store() {
    let ((old_server, old_received), (new_server, new_received)) =
        (scripted_server(&[]), scripted_server(&[]));
    let ((old_counter, _), (new_counter, totals)) = (quota_counter(), quota_counter());
    let store =
        |address: SocketAddr| json!({"kind": "quota-counter", "address": address.to_string()});
    let configuration_with = |server, counter| {
        let mut configuration = configuration(&[server], store(counter));
        configuration["limiters"] = json!({"me": 0, "all": 2});
        configuration
    };
    let limiter = start_reloaded_openapi_limiter(
        &configuration_with(old_server, old_counter),
        Some(&configuration_with(new_server, new_counter)),
        DESCRIPTION,
    );
    let mut client = Client::connect(&limiter);
    assert!(exchange(&mut client, &request(GET_SEATS, "", "")).starts_with("HTTP/1.1 200 OK"));
    let request_count = |received: &Mutex<Vec<String>>| {
        received
            .lock()
            .expect("the request log is not poisoned")
            .len()
    };
    assert_eq!(
        (request_count(&old_received), request_count(&new_received)),
        (0, 1),
        "requests at the old and the new upstream server"
    );
    wait_until(
        || totals.lock().expect("the totals are not poisoned").len(),
        |counter_count| *counter_count > 0,
    );
}

#[test]
fn long_body_is_streamed_and_a_truncated_one_is_detectable() {
    const LENGTH: usize = 1 << 20;
    // Tells the server after the first half of a body whether to send the second half or to close
    // the connection.
    let (send_rest, send_rest_receiver) = std::sync::mpsc::channel::<bool>();
    let send_rest_receiver = Mutex::new(send_rest_receiver);
    let server = start_peer(move |_, stream| {
        let mut from = BufReader::new(stream);
        while read_http_message(&mut from, false).is_ok() {
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n{}",
                "a".repeat(LENGTH / 2)
            );
            _ = from.get_mut().write_all(head.as_bytes());
            let sends_rest = send_rest_receiver
                .lock()
                .expect("the receiver is not poisoned")
                .recv();
            if sends_rest != Ok(true) {
                return;
            }
            _ = from.get_mut().write_all("b".repeat(LENGTH / 2).as_bytes());
        }
    });
    let limiter = start_openapi_limiter(&configuration(&[server], json!({})), DESCRIPTION);
    let mut client = Client::connect(&limiter);
    // Two requests on one connection; the body of the second is truncated.
    for is_complete in [true, false] {
        client.send(&request(GET_SEATS, "", ""));
        while !client.read_line().is_empty() {}
        // The client receives the first half before the server has sent the second.
        let mut half = vec![0; LENGTH / 2];
        client
            .0
            .read_exact(&mut half)
            .expect("the client receives the first half");
        send_rest
            .send(is_complete)
            .expect("the upstream server waits for its instruction");
        let read = client.0.read_exact(&mut half);
        assert_eq!(
            read.is_ok(),
            is_complete,
            "reading the second half gave {read:?}"
        );
        assert!(!is_complete || half.iter().all(|byte| *byte == b'b'));
    }
}

/// Guards against a front that queues requests beyond the memory limit, as the platform's once did.
#[test]
fn request_that_exceeds_the_memory_budget_is_rejected_and_the_next_one_served() {
    let (server, received) = scripted_server(&[]);
    let mut configuration = configuration(&[server], json!({"kind": "none"}));
    configuration["limits"]["memory_mb"] = json!(1);
    let limiter = start_openapi_limiter(&configuration, DESCRIPTION);
    let mut client = Client::connect(&limiter);
    let body = "b".repeat(60 * 1024);
    let rejected = exchange(&mut client, &request(HOLD_SEATS, KEY_HEADER, &body));
    let served = exchange(&mut client, &request(HOLD_SEATS, KEY_HEADER, "two"));
    assert!(rejected.starts_with("HTTP/1.1 429 "), "got {rejected}");
    assert!(rejected.contains("Retry-After: "), "got {rejected}");
    assert!(served.starts_with("HTTP/1.1 200 "), "got {served}");
    let received = received.lock().expect("the request log is not poisoned");
    assert_eq!(received.len(), 1, "got {received:?}");
}

/// Guards against a shutdown that cuts off a long body at its own deadline, 3.4 s after the request
/// to stop with this description, though the upstream server still gives it.
#[test]
fn shutdown_passes_on_a_long_body_whole() {
    const BODY_BYTES: usize = 200_000;
    const PIECES: usize = 90;
    let server = start_peer(|_, stream| {
        let mut reader = BufReader::new(stream);
        if read_http_message(&mut reader, false).is_err() {
            return;
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        let mut response = head.into_bytes();
        response.resize(response.len() + BODY_BYTES, b'v');
        for piece in response.chunks(BODY_BYTES / PIECES) {
            if reader.get_mut().write_all(piece).is_err() {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
    });
    let folder = std::env::temp_dir().join(format!("mossrill-long-body-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder is created");
    let mut configuration = configuration(&[server], json!({"kind": "none"}));
    configuration["description"] = json!("description.json");
    let program = Program::start_openapi("long-body", &configuration, DESCRIPTION, &folder);
    let mut client = Client::connect_at(program.client_address);
    client.send(&request(BUY_TICKET, "", "pay"));
    let first_line = client.read_line();
    program.signal("TERM");
    assert_eq!(first_line, "HTTP/1.1 200 OK");
    while !client.read_line().is_empty() {}
    let mut body = Vec::new();
    let mut rest = client.0.take(BODY_BYTES as u64);
    _ = rest.read_to_end(&mut body);
    assert_eq!(body.len(), BODY_BYTES);
    drop(rest);
    program.terminate();
    _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a connection that is closed behind 64 open requests, with no answer to those that
/// were sent with them.
#[test]
fn each_of_many_requests_at_once_is_answered() {
    let server = start_http_peer(|_, _, _| PeerAction::Hang);
    let configuration = configuration(&[server], json!({"kind": "none"}));
    let limiter = start_openapi_limiter(&configuration, DESCRIPTION);
    let mut client = Client::connect(&limiter);
    client.send(&request(GET_SEATS, "", "").repeat(80));
    let statuses: Vec<String> = (0..80)
        .map_while(|_| read_http_message(&mut client.0, false).ok())
        .map(|(status, _, _)| status)
        .collect();
    assert_eq!(statuses.len(), 80, "got {statuses:?}");
    let is_expected = |status: &String| status.contains(" 429 ") || status.contains(" 504 ");
    assert!(statuses.iter().all(is_expected), "got {statuses:?}");
    let next = exchange(&mut client, &request("GET /v1/none", "", ""));
    assert!(next.starts_with("HTTP/1.1 404 "), "got {next}");
}
