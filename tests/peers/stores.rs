//! Scripted quota counters and service discovery.

use super::servers::{http_reply, start_http_peer, PeerAction};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Returns the name of the counter and the amount to add from the request line of a call to the
/// quota counter.
pub fn parse_counter_call(request_line: &str) -> (String, f64) {
    let (name, rest) = request_line
        .trim_start_matches("POST /v1/count/")
        .split_once('?')
        .expect("the call has a query");
    let amount = rest
        .trim_start_matches("add=")
        .split('&')
        .next()
        .and_then(|text| text.parse().ok());
    (name.to_owned(), amount.expect("the call adds a number"))
}

/// Starts a quota counter over HTTP. Returns its address and the totals by counter name.
pub fn quota_counter() -> (SocketAddr, Arc<Mutex<HashMap<String, f64>>>) {
    let totals: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let shared_totals = totals.clone();
    let address = start_http_peer(move |request_line, _, _| {
        let (name, amount) = parse_counter_call(request_line);
        let mut totals = shared_totals.lock().expect("the lock is not poisoned");
        let total = totals.entry(name).or_default();
        *total += amount;
        http_reply("200 OK", &total.to_string())
    });
    (address, totals)
}

/// Starts service discovery that answers a request with the full list of these servers, and never
/// sends an update on a watch.
pub fn discovery_with_full_list(servers: Vec<Value>) -> SocketAddr {
    let list = json!({"generation": 3, "reset": true, "instances": servers}).to_string();
    start_http_peer(
        move |request_line, _, _| match request_line.contains("watch") {
            true => {
                PeerAction::Reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into())
            }
            false => http_reply("200 OK", &list),
        },
    )
}

/// Starts service discovery that sends nothing after the head of its answer.
pub fn silent_discovery() -> SocketAddr {
    start_http_peer(|_, _, _| {
        PeerAction::Reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into())
    })
}

/// Returns an entry of the endpoint list.
pub fn endpoint_entry(name: &str, address: SocketAddr, lifecycle: &str) -> Value {
    json!({"instanceId": name, "hostPort": address.to_string(), "zone": "z", "cell": 0, "lifecycle": lifecycle,
        "weight": 1.0, "startedAtMs": 0})
}
