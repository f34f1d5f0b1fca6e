//! Scripted quota counter and service discovery.

use super::servers::{answer, http_peer, Act};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The name and the amount of a call of the counter.
pub fn counted(first: &str) -> (String, f64) {
    let (name, rest) = first
        .trim_start_matches("POST /v1/count/")
        .split_once('?')
        .expect("a call");
    let by = rest
        .trim_start_matches("add=")
        .split('&')
        .next()
        .and_then(|b| b.parse().ok());
    (name.to_owned(), by.expect("an amount"))
}

/// A counter that adds, over HTTP.
pub fn quota_counter() -> (SocketAddr, Arc<Mutex<HashMap<String, f64>>>) {
    let totals: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let own = totals.clone();
    let at = http_peer(move |first, _, _| {
        let (name, by) = counted(first);
        let mut totals = own.lock().expect("whole");
        let total = totals.entry(name).or_default();
        *total += by;
        answer("200 OK", &total.to_string())
    });
    (at, totals)
}

/// A server list that tells of these servers when asked for it whole, and has no further news.
pub fn whole_list(servers: Vec<Value>) -> SocketAddr {
    let list = json!({"generation": 3, "reset": true, "instances": servers}).to_string();
    http_peer(move |first, _, _| match first.contains("watch") {
        true => Act::Say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into()),
        false => answer("200 OK", &list),
    })
}

/// A server list that says nothing after the head of its watch.
pub fn quiet_list() -> SocketAddr {
    http_peer(|_, _, _| Act::Say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into()))
}

/// An entry of the server list.
pub fn entry(name: &str, at: SocketAddr, lifecycle: &str) -> Value {
    json!({"instanceId": name, "hostPort": at.to_string(), "zone": "z", "cell": 0, "lifecycle": lifecycle,
        "weight": 1.0, "startedAtMs": 0})
}
