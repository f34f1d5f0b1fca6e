//! Scripted upstream servers, quota counter and service discovery.

use crate::checker::Event;
use crate::peers::{
    http_reply, parse_counter_call, read_http_message, served_reply, start_http_peer, start_peer,
    start_resp_peer, PeerAction,
};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The events of a test, in the order in which they were observed.
pub type Record = Arc<Mutex<Vec<Event>>>;

/// The endpoint list that service discovery serves. A test can change it.
#[derive(Default)]
pub struct EndpointList {
    pub generation: u64,
    pub entries: Vec<Value>,
}

impl EndpointList {
    /// Returns the message with the whole list, in the format of the platform's service discovery.
    pub fn to_message(&self) -> Value {
        json!({"generation": self.generation, "reset": true, "instances": self.entries})
    }
}

/// Starts an upstream server, which records each request that it receives. Returns its address.
pub fn start_server(number: usize, record: &Record) -> SocketAddr {
    let own = record.clone();
    let (at, _) = start_resp_peer(move |_, words| {
        let executed = Event::RequestExecuted {
            id: words[2].clone(),
            server: number,
            at: Instant::now(),
        };
        own.lock().expect("lock the record").push(executed);
        thread::sleep(Duration::from_millis(5));
        served_reply(&words[2])
    });
    at
}

/// Starts a quota counter, which leaves calls unanswered while `answers` is false. Returns its
/// address.
pub fn start_counter(answers: &Arc<AtomicBool>) -> SocketAddr {
    let (answers, totals) = (answers.clone(), Mutex::<HashMap<String, f64>>::default());
    start_http_peer(move |request_line, _, _| {
        if !answers.load(Ordering::SeqCst) {
            return PeerAction::Hang;
        }
        let (name, units) = parse_counter_call(request_line);
        let mut totals = totals.lock().expect("lock the totals");
        let total = totals.entry(name).or_default();
        *total += units;
        http_reply("200 OK", &total.to_string())
    })
}

/// Starts service discovery, which answers a request with the whole list and a watch with the whole
/// list at each change. Returns its address.
pub fn start_discovery(list: &Arc<Mutex<EndpointList>>) -> SocketAddr {
    let own = list.clone();
    start_peer(move |_, stream| {
        let mut connection = std::io::BufReader::new(stream);
        let Ok((request_line, ..)) = read_http_message(&mut connection, false) else {
            return;
        };
        let message = |list: &EndpointList| list.to_message().to_string();
        let send = |stream: &mut TcpStream, text: &str| {
            std::io::Write::write_all(stream, text.as_bytes()).is_ok()
        };
        if !request_line.contains("watch") {
            let body = message(&own.lock().expect("lock the endpoint list"));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            _ = send(connection.get_mut(), &(head + &body));
            return;
        }
        let mut sent_generation = 0;
        let mut connected = send(
            connection.get_mut(),
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        );
        while connected {
            let update = {
                let list = own.lock().expect("lock the endpoint list");
                (list.generation != sent_generation)
                    .then(|| (list.generation, message(&list) + "\n"))
            };
            let text = match update {
                Some((generation, text)) => {
                    sent_generation = generation;
                    text
                }
                None => "\n".into(),
            };
            connected = send(
                connection.get_mut(),
                &format!("{:x}\r\n{text}\r\n", text.len()),
            );
            thread::sleep(Duration::from_millis(20));
        }
    })
}
