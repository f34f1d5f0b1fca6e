//! A client of the OpenAPI front closes its connection while its request waits: the request may not
//! be forwarded.

use crate::peers::{
    http_reply, start_http_peer, start_openapi_limiter, wait_until, Client, Program,
};
use crate::support::{close, wait_for_in_flight, Gate};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const FERRY_DESCRIPTION: &str = include_str!("../../deploy/ferry.openapi.json");

/// Returns the configuration of a limiter with an OpenAPI front, the gate at which its upstream
/// server holds requests for reports back, and the paths that the server receives.
fn gated_openapi_limiter() -> (Value, Gate, std::sync::mpsc::Receiver<String>) {
    let (gate, (path_sender, seen)) = (Gate::default(), channel());
    let (server_gate, path_sender) = (gate.clone(), Mutex::new(path_sender));
    let server = start_http_peer(move |request_line, _, _| {
        _ = path_sender.lock().expect("lock is not poisoned").send(
            request_line
                .split(' ')
                .nth(1)
                .unwrap_or_default()
                .to_owned(),
        );
        if request_line.contains("reports") {
            server_gate.wait();
        }
        http_reply("200 OK", "{}")
    });
    let mut config: Value = serde_json::from_str(include_str!("../../deploy/openapi.json"))
        .expect("deploy/openapi.json is JSON");
    (config["listen"], config["control"]) = ("127.0.0.1:0".into(), "127.0.0.1:0".into());
    (config["store"], config["ticket_nodes"]) = (
        serde_json::json!({}),
        serde_json::json!([{"name": "node-0", "address": server.to_string()}]),
    );
    (config, gate, seen)
}

/// Connects to the limiter and sends a request with this method and path.
fn send_http(address: SocketAddr, method_and_path: &str) -> Client {
    let mut client = Client::connect_at(address);
    client.send(&format!(
        "{method_and_path} HTTP/1.1\r\nHost: x\r\nX-Agent-Account: agen-utama\r\nContent-Length: 0\r\n\r\n"
    ));
    client
}

#[test]
fn http_request_is_not_forwarded_after_a_close_while_the_limiter_was_stopped() {
    // The limiter is stopped while the attempt waits for the upstream connection, which may be
    // reused 20 ms after its last answer. When the limiter continues, that time has passed and the
    // client has closed. A round in which the limiter was stopped too late is not counted.
    let round = |number: &usize| {
        let (config, gate, seen) = gated_openapi_limiter();
        let folder = std::env::temp_dir().join(format!(
            "mossrill-stopped-limiter-{number}-{}",
            std::process::id()
        ));
        std::fs::create_dir_all(&folder).expect("temporary folder is created");
        let program =
            Program::start_openapi("stopped-limiter", &config, FERRY_DESCRIPTION, &folder);
        program.call_until("ready", "YES");
        let mut first = send_http(program.client_address, "GET /v1/reports/daily");
        assert_eq!(
            seen.recv().expect("the server receives a request"),
            "/v1/reports/daily"
        );
        let closing_client = send_http(program.client_address, "POST /v1/tickets");
        wait_until(
            || program.call("show-stat"),
            |statistics| statistics.contains("limiter.in_flight=2\n"),
        );
        let gate_opened_at = Instant::now();
        gate.open();
        assert_eq!(first.read_line(), "HTTP/1.1 200 OK");
        program.pause();
        let in_time = gate_opened_at.elapsed() < Duration::from_millis(15);
        thread::sleep(Duration::from_millis(30));
        close(closing_client);
        program.resume();
        wait_until(
            || program.call("show-stat"),
            |statistics| statistics.contains("limiter.in_flight=0\n"),
        );
        _ = std::fs::remove_dir_all(&folder);
        in_time.then(|| seen.try_iter().collect::<Vec<_>>())
    };
    let valid_rounds: Vec<_> = (0..100)
        .filter_map(|number| round(&number))
        .take(5)
        .collect();
    assert_eq!(valid_rounds, vec![Vec::<String>::new(); 5]);
}

#[test]
fn queued_http_request_is_not_forwarded_after_its_client_closed() {
    let (config, gate, seen) = gated_openapi_limiter();
    let limiter = start_openapi_limiter(&config, FERRY_DESCRIPTION);
    let send = |method_and_path: &str| send_http(limiter.client_address, method_and_path);
    let mut first = send("GET /v1/reports/daily");
    assert_eq!(
        seen.recv().expect("the server receives a request"),
        "/v1/reports/daily"
    );
    let closing_client = send("POST /v1/tickets");
    wait_for_in_flight(&limiter, 2);
    drop(closing_client);
    wait_for_in_flight(&limiter, 1);
    gate.open();
    assert_eq!(first.read_line(), "HTTP/1.1 200 OK");
    assert_eq!(
        send("GET /v1/sailings/KMP-7/seats").read_line(),
        "HTTP/1.1 200 OK"
    );
    assert_eq!(
        seen.try_iter().collect::<Vec<_>>(),
        ["/v1/sailings/KMP-7/seats"]
    );
}
