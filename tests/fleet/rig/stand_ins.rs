//! Scripted upstream servers, quota counter and service discovery.

use crate::checker::Entry;
use crate::peers::{answer, counted, http, http_peer, peer, resp_peer, serve, Act};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What happened, in the order in which it was seen.
pub type Record = Arc<Mutex<Vec<Entry>>>;

/// A list of upstream servers that can be changed, as the platform's client serves it.
#[derive(Default)]
pub struct EndpointList {
    pub generation: u64,
    pub entries: Vec<Value>,
}

impl EndpointList {
    pub fn whole(&self) -> Value {
        json!({"generation": self.generation, "reset": true, "instances": self.entries})
    }
}

pub fn node(number: usize, record: &Record) -> SocketAddr {
    let own = record.clone();
    let (at, _) = resp_peer(move |_, words| {
        let ran = Entry::Ran {
            id: words[2].clone(),
            node: number,
            at: Instant::now(),
        };
        own.lock().expect("whole").push(ran);
        thread::sleep(Duration::from_millis(5));
        serve(&words[2])
    });
    at
}

/// A counter that can be silenced.
pub fn counter(answers: &Arc<AtomicBool>) -> SocketAddr {
    let (answers, totals) = (answers.clone(), Mutex::<HashMap<String, f64>>::default());
    http_peer(move |first, _, _| {
        if !answers.load(Ordering::SeqCst) {
            return Act::Hang;
        }
        let (name, by) = counted(first);
        let mut totals = totals.lock().expect("whole");
        let total = totals.entry(name).or_default();
        *total += by;
        answer("200 OK", &total.to_string())
    })
}

pub fn list(list: &Arc<Mutex<EndpointList>>) -> SocketAddr {
    let own = list.clone();
    peer(move |_, stream| {
        let mut from = std::io::BufReader::new(stream);
        let Ok((first, ..)) = http(&mut from, false) else {
            return;
        };
        let whole = |list: &EndpointList| list.whole().to_string();
        let say = |stream: &mut TcpStream, text: &str| {
            std::io::Write::write_all(stream, text.as_bytes()).is_ok()
        };
        if !first.contains("watch") {
            let body = whole(&own.lock().expect("whole"));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            _ = say(from.get_mut(), &(head + &body));
            return;
        }
        let mut told = 0;
        let mut good = say(
            from.get_mut(),
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        );
        while good {
            let news = {
                let list = own.lock().expect("whole");
                (list.generation != told).then(|| (list.generation, whole(&list) + "\n"))
            };
            let text = match news {
                Some((generation, text)) => {
                    told = generation;
                    text
                }
                None => "\n".into(),
            };
            good = say(from.get_mut(), &format!("{:x}\r\n{text}\r\n", text.len()));
            thread::sleep(Duration::from_millis(20));
        }
    })
}
