//! A new process of an upstream server at the address of the one before.

use crate::peers::{
    endpoint_entry, quota_counter, read_http_message, served_reply, settings, start_limiter,
    start_peer, start_resp_peer, Client,
};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time within which an event of discovery is applied.
const APPLY_TIME: Duration = Duration::from_millis(300);
/// Time after a response before its connection may be used again.
const REUSE_TIME: Duration = Duration::from_millis(50);

/// Starts service discovery whose watch sends the events that are put into the returned channel.
fn scripted_discovery() -> (SocketAddr, Sender<String>) {
    let (sender, events) = channel::<String>();
    let events = Mutex::new(events);
    let address = start_peer(move |_, stream| {
        let mut reader = BufReader::new(stream);
        while read_http_message(&mut reader, false).is_ok() {
            let stream = reader.get_mut();
            _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for event in events.lock().expect("the lock is not poisoned").iter() {
                _ = write!(stream, "{:x}\r\n{event}\n\r\n", event.len() + 1);
            }
        }
    });
    (address, sender)
}

/// Guards against a request on a connection to the process that has gone. A proxy between may keep
/// it open.
#[test]
fn connections_to_a_server_are_not_used_again_after_it_started_anew() {
    // Each value is the number of the connection on which its request came.
    let (server, _seen) = start_resp_peer(|connection, _| served_reply(&connection.to_string()));
    let (discovery, events) = scripted_discovery();
    let limiter = start_limiter(&settings(discovery, quota_counter().0, &[("s-1", server)]));
    let mut client = Client::connect_when_ready(&limiter);
    let mut connection_of = |id: &str| {
        thread::sleep(REUSE_TIME);
        client.send_request("look", id, 1_500);
        client.read_reply()
    };
    assert_eq!(connection_of("first"), connection_of("second"));
    let used = connection_of("third");
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is after 1970");
    let mut entry = endpoint_entry("s-1", server, "in_service");
    entry["startedAtMs"] = json!(started.as_millis() as u64);
    let event = json!({"generation": 8, "reset": false, "instances": [entry]});
    events
        .send(event.to_string())
        .expect("discovery takes the event");
    thread::sleep(APPLY_TIME);
    assert_ne!(connection_of("after"), used);
}
