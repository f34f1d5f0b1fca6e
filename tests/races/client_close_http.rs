//! A client of the OpenAPI front closes its connection while its request waits.

use crate::peers::{answer, http_peer, openapi_limiter, until, Client, Program};
use crate::support::{close, wait_for_in_flight, Gate};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const FERRY: &str = include_str!("../../deploy/ferry.openapi.json");

/// The file of a limiter with an OpenAPI front, whose server keeps reports waiting at a gate; what the server has seen.
fn gated_openapi_limiter() -> (Value, Gate, std::sync::mpsc::Receiver<String>) {
    let (gate, (tell, seen)) = (Gate::default(), channel());
    let (own, tell) = (gate.clone(), Mutex::new(tell));
    let server = http_peer(move |first, _, _| {
        _ = tell
            .lock()
            .expect("whole")
            .send(first.split(' ').nth(1).unwrap_or_default().to_owned());
        if first.contains("reports") {
            own.pass();
        }
        answer("200 OK", "{}")
    });
    let mut file: Value =
        serde_json::from_str(include_str!("../../deploy/openapi.json")).expect("JSON");
    (file["listen"], file["control"]) = ("127.0.0.1:0".into(), "127.0.0.1:0".into());
    (file["store"], file["ticket_nodes"]) = (
        serde_json::json!({}),
        serde_json::json!([{"name": "node-0", "address": server.to_string()}]),
    );
    (file, gate, seen)
}

fn send_http(at: SocketAddr, line: &str) -> Client {
    let mut client = Client::connect_at(at);
    client.say(&format!(
        "{line} HTTP/1.1\r\nHost: x\r\nX-Agent-Account: agen-utama\r\nContent-Length: 0\r\n\r\n"
    ));
    client
}

#[test]
fn http_request_is_not_forwarded_after_a_close_while_the_limiter_was_stopped() {
    // It is stopped while the attempt waits for the server's connection, which may be used again 20 ms after its last answer.
    // As the limiter goes on, that time has passed and the client has left. A round in which it was stopped too late says
    // nothing.
    let round = |number: &usize| {
        let (file, gate, seen) = gated_openapi_limiter();
        let folder =
            std::env::temp_dir().join(format!("mossrill-still-{number}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let program = Program::start_openapi("still", &file, FERRY, &folder);
        program.call_until("ready", "YES");
        let mut first = send_http(program.at, "GET /v1/reports/daily");
        assert_eq!(seen.recv().expect("a request"), "/v1/reports/daily");
        let left = send_http(program.at, "POST /v1/tickets");
        until(
            || program.call("show-stat"),
            |stat| stat.contains("limiter.in_flight=2\n"),
        );
        let began = Instant::now();
        gate.open();
        assert_eq!(first.line(), "HTTP/1.1 200 OK");
        program.stands_still();
        let in_time = began.elapsed() < Duration::from_millis(15);
        thread::sleep(Duration::from_millis(30));
        close(left);
        program.goes_on();
        until(
            || program.call("show-stat"),
            |stat| stat.contains("limiter.in_flight=0\n"),
        );
        _ = std::fs::remove_dir_all(&folder);
        in_time.then(|| seen.try_iter().collect::<Vec<_>>())
    };
    let good: Vec<_> = (0..100)
        .filter_map(|number| round(&number))
        .take(5)
        .collect();
    assert_eq!(good, vec![Vec::<String>::new(); 5]);
}

#[test]
fn queued_http_request_is_not_forwarded_after_its_client_closed() {
    let (file, gate, seen) = gated_openapi_limiter();
    let limiter = openapi_limiter(&file, FERRY);
    let ask = |line: &str| send_http(limiter.at, line);
    let mut first = ask("GET /v1/reports/daily");
    assert_eq!(seen.recv().expect("a request"), "/v1/reports/daily");
    let left = ask("POST /v1/tickets");
    wait_for_in_flight(&limiter, 2);
    drop(left);
    wait_for_in_flight(&limiter, 1);
    gate.open();
    assert_eq!(first.line(), "HTTP/1.1 200 OK");
    assert_eq!(
        ask("GET /v1/sailings/KMP-7/seats").line(),
        "HTTP/1.1 200 OK"
    );
    assert_eq!(
        seen.try_iter().collect::<Vec<_>>(),
        ["/v1/sailings/KMP-7/seats"]
    );
}
