//! Events on the connection to service discovery: resets, silence, split and malformed messages.

use crate::peers::{
    discovery_with_full_list, endpoint_entry, quota_counter, read_http_message, served_reply,
    settings, start_limiter, start_peer, start_resp_peer, wait_until, Client, Program,
    RunningLimiter,
};
use mossrill::protocol::http::{Body, ReadError, Reader};
use serde_json::Value;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Starts a service discovery server. It answers the first connection's watch with `event`, split
/// in the middle into two chunks, later watches with an empty stream, and full reads with
/// `full_list`. Returns its address and the request lines that it receives.
fn discovery_with_split_event(
    event: String,
    full_list: String,
) -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    let (request_sender, received) = channel();
    let request_sender = Mutex::new(request_sender);
    let address = start_peer(move |connection_number, stream| {
        let mut reader = BufReader::new(stream);
        let Ok((request_line, ..)) = read_http_message(&mut reader, false) else {
            return;
        };
        _ = request_sender
            .lock()
            .expect("lock is not poisoned")
            .send(request_line.clone());
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if request_line.contains("watch") {
            let (first_half, second_half) = event.split_at(event.len() / 2);
            let chunks = [first_half, second_half]
                .map(|half| format!("{:x}\r\n{half}\r\n", half.len()))
                .concat();
            let chunks = if connection_number == 0 {
                chunks
            } else {
                String::new()
            };
            reader
                .get_mut()
                .write_all((head.to_owned() + &chunks).as_bytes())
                .expect("response is written");
        } else {
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{full_list}",
                full_list.len()
            );
            reader
                .get_mut()
                .write_all(response.as_bytes())
                .expect("response is written");
        }
        _ = read_http_message(&mut reader, false);
    });
    (address, received)
}

/// Sends requests to the limiter until one is answered with `value`.
fn wait_until_served(limiter: &RunningLimiter, value: &str) {
    let mut client = Client::connect_when_ready(limiter);
    let client = Mutex::new(&mut client);
    let send_request = || {
        let mut client = client.lock().expect("lock is not poisoned");
        client.send_request("look", "id", 1500);
        client.read_reply()
    };
    wait_until(send_request, |answer| answer == value);
}

#[test]
fn watch_event_on_many_lines_and_longer_than_a_buffer_is_applied() {
    let (old_server, new_server) = (
        start_resp_peer(|_, _| served_reply("old")).0,
        start_resp_peer(|_, _| served_reply("new")).0,
    );
    let mut servers: Vec<_> = (0..1_000)
        .map(|number| endpoint_entry(&format!("x-{number}"), old_server, "terminating"))
        .collect();
    servers.extend([
        endpoint_entry("s-1", old_server, "terminating"),
        endpoint_entry("s-2", new_server, "in_service"),
    ]);
    let update = serde_json::json!({"generation": 9, "reset": true, "instances": servers});
    let event = format!(
        "\n{}\n",
        serde_json::to_string_pretty(&update).expect("update is serialized")
    );
    assert!(event.len() > 140_000);
    let (discovery, received) = discovery_with_split_event(event, String::new());
    let limiter = start_limiter(&settings(
        discovery,
        quota_counter().0,
        &[("s-1", old_server)],
    ));
    wait_until_served(&limiter, "new");
    assert_eq!(
        received.try_iter().count(),
        1,
        "number of calls: the event is received on the first watch"
    );
}

#[test]
fn malformed_watch_event_keeps_the_last_list_and_causes_a_full_read() {
    let (old_server, new_server) = (
        start_resp_peer(|_, _| served_reply("old")).0,
        start_resp_peer(|_, _| served_reply("new")).0,
    );
    let server = endpoint_entry("s-2", new_server, "in_service");
    let full_list = serde_json::json!({"generation": 9, "reset": true, "instances": [server]});
    for malformed in [
        "{\"generation\":8,\"instances\":[}\n",
        "[]\n",
        "what\n",
        "{}\n",
    ] {
        let (discovery, received) =
            discovery_with_split_event(malformed.into(), full_list.to_string());
        let limiter = start_limiter(&settings(
            discovery,
            quota_counter().0,
            &[("s-1", old_server)],
        ));
        let requests: Vec<_> = (0..3)
            .map(|_| {
                received
                    .recv()
                    .expect("the limiter calls service discovery")
            })
            .collect();
        let expected = ["?watch=1&from=7", "", "?watch=1&from=9"]
            .map(|query| format!("GET /v1/endpoints{query} HTTP/1.1"));
        assert_eq!(requests, expected, "after the event {malformed:?}");
        wait_until_served(&limiter, "new");
    }
}

/// Starts a server that answers "old" and one that answers "new". Returns the address of the first,
/// and the endpoint update by which the first drains and the second is added.
fn replaced_server() -> (SocketAddr, String) {
    let (old_server, new_server) = (
        start_resp_peer(|_, _| served_reply("old")).0,
        start_resp_peer(|_, _| served_reply("new")).0,
    );
    let changed_entries = [
        endpoint_entry("s-1", old_server, "terminating"),
        endpoint_entry("s-2", new_server, "in_service"),
    ];
    (
        old_server,
        serde_json::json!({"generation": 9, "reset": false, "instances": changed_entries})
            .to_string(),
    )
}

#[test]
fn repeatedly_reset_watch_is_reopened_within_the_drain_grace() {
    let (old_server, update) = replaced_server();
    let discovery = start_peer(move |connection_number, stream| {
        let mut reader = BufReader::new(stream);
        _ = read_http_message(&mut reader, false);
        let chunk = if connection_number < 24 {
            String::new()
        } else {
            format!("{:x}\r\n{update}\r\n", update.len())
        };
        let response = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
        reader
            .get_mut()
            .write_all(response.as_bytes())
            .expect("response is written");
        if connection_number >= 24 {
            _ = read_http_message(&mut reader, false);
        }
        SockRef::from(reader.get_ref())
            .set_linger(Some(Duration::ZERO))
            .expect("linger is set on the socket");
    });
    // In a fleet of 300, a limiter that treats a reset watch as a rejected poll waits for seconds
    // each time: over a minute for the 24 resets.
    let mut config = settings(discovery, quota_counter().0, &[("s-1", old_server)]);
    config["settings"]["balancers"] = 300.into();
    config["settings"]["safety"]["drainGrace"] = 150_000.into();
    let limiter = start_limiter(&config);
    wait_until_served(&limiter, "new");
}

#[test]
fn discovery_calls_without_or_with_endless_answers_time_out_early() {
    let (old_server, update) = replaced_server();
    let discovery = start_peer(move |connection_number, stream| {
        let mut reader = BufReader::new(stream);
        _ = read_http_message(&mut reader, false);
        let writer = reader.get_mut();
        // The first three calls get no response, the next two get a response head that never ends.
        if (3..5).contains(&connection_number) {
            writer
                .write_all(b"HTTP/1.1 200 OK\r\nX: ")
                .expect("response is written");
            while writer.write_all(b"x").is_ok() {
                thread::sleep(Duration::from_millis(20));
            }
            return;
        }
        if connection_number >= 5 {
            let response = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{update}\r\n",
                update.len()
            );
            writer
                .write_all(response.as_bytes())
                .expect("response is written");
        }
        _ = read_http_message(&mut reader, false);
    });
    let mut config = settings(discovery, quota_counter().0, &[("s-1", old_server)]);
    config["settings"]["balancers"] = 300.into();
    config["settings"]["safety"]["drainGrace"] = 1_000_000.into();
    wait_until_served(&start_limiter(&config), "new");
}

#[test]
fn after_discovery_moves_events_of_the_old_address_are_ignored() {
    let (old_server, new_server) = (
        start_resp_peer(|_, _| served_reply("old")).0,
        start_resp_peer(|_, _| served_reply("new")).0,
    );
    let discovery = start_peer(move |_, stream| {
        let mut reader = BufReader::new(stream);
        _ = read_http_message(&mut reader, false);
        let writer = reader.get_mut();
        writer
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .expect("response is written");
        // Events follow each other as fast as the limiter reads them, so that some are in transit
        // when it moves to the new address.
        for generation in 8.. {
            let entries = [
                endpoint_entry("s-1", old_server, "in_service"),
                endpoint_entry("s-2", new_server, "terminated"),
            ];
            let update =
                serde_json::json!({"generation": generation, "reset": false, "instances": entries})
                    .to_string();
            if writer
                .write_all(format!("{:x}\r\n{update}\r\n", update.len()).as_bytes())
                .is_err()
            {
                return;
            }
        }
    });
    let mut config = settings(discovery, quota_counter().0, &[("s-1", old_server)]);
    let mut program = Program::start("old-discovery", &config);
    program.wait_for_log("full: false");
    config["discovery"] =
        discovery_with_full_list(vec![endpoint_entry("s-2", new_server, "in_service")])
            .to_string()
            .into();
    program.reload(&config.to_string());
    program.wait_for_log("full: true");
    let mut client = Client::connect_when_ready_at(program.client_address);
    for number in 0..10 {
        client.send_request("look", &number.to_string(), 1500);
        assert_eq!(client.read_reply(), "new");
    }
    let later_updates = program
        .unread_log()
        .into_iter()
        .filter(|line| line.contains("endpoint update"));
    assert_eq!(later_updates.collect::<Vec<_>>(), Vec::<String>::new());
}

#[test]
fn body_with_endless_trailers_is_rejected() {
    let text = "0\r\n".to_owned() + &"x: y\r\n".repeat(100_000);
    let body = Reader::new(text.as_bytes()).read_body(Body::Chunked, 1_024);
    assert!(
        matches!(body, Err(ReadError::TooLarge)),
        "got {body:?}, want TooLarge"
    );
}

#[test]
fn silent_watch_and_list_changed_during_a_full_read_are_polled_again() {
    let (old_server, new_server) = (
        start_resp_peer(|_, _| served_reply("old")).0,
        start_resp_peer(|_, _| served_reply("new")).0,
    );
    let update = |generation, full, servers: Vec<Value>| {
        serde_json::json!({"generation": generation, "reset": full, "instances": servers})
            .to_string()
            + "\n"
    };
    // The first watch gets no response at all, the second a malformed event. Between the full read
    // and the next watch, the old server starts draining and a new one is added.
    let full_list = update(
        8,
        true,
        vec![endpoint_entry("s-1", old_server, "in_service")],
    );
    let changed_entries = update(
        9,
        false,
        vec![
            endpoint_entry("s-1", old_server, "terminating"),
            endpoint_entry("s-2", new_server, "in_service"),
        ],
    );
    let (request_sender, received) = channel();
    let request_sender = Mutex::new(request_sender);
    let discovery = start_peer(move |connection_number, stream| {
        let mut reader = BufReader::new(stream);
        let Ok((request_line, ..)) = read_http_message(&mut reader, false) else {
            return;
        };
        _ = request_sender
            .lock()
            .expect("lock is not poisoned")
            .send(request_line);
        let chunked = |event: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n",
                event.len()
            )
        };
        let response = match connection_number {
            0 => String::new(),
            1 => chunked("what\n"),
            2 => format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{full_list}",
                full_list.len()
            ),
            _ => chunked(&changed_entries),
        };
        _ = reader.get_mut().write_all(response.as_bytes());
        _ = read_http_message(&mut reader, false);
    });
    let limiter = start_limiter(&settings(
        discovery,
        quota_counter().0,
        &[("s-1", old_server)],
    ));
    let requests: Vec<_> = (0..4)
        .map(|_| {
            received
                .recv()
                .expect("the limiter calls service discovery")
        })
        .collect();
    let expected = ["?watch=1&from=7", "?watch=1&from=7", "", "?watch=1&from=8"];
    assert_eq!(
        requests,
        expected.map(|query| format!("GET /v1/endpoints{query} HTTP/1.1"))
    );
    wait_until_served(&limiter, "new");
}
