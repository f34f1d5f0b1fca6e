//! Limits on connections: idle, slow and silent clients.

use crate::peers::{
    asking, entry, http_peer, quota_counter, resp_peer, serve, settings, until, Act, Client,
    Program,
};
use crate::support::limiter_with_40_connections;
use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[test]
fn silent_connections_evict_each_other_and_not_a_client_with_requests() {
    let limiter = limiter_with_40_connections();
    let mut client = Client::ready(&limiter);
    client.ask("look", "id-0", 1500);
    assert_eq!(client.answer(), "id-0");
    // Every other one writes a part of a command and no more.
    let crowd = (0..200).map(|number| {
        let mut crowd = Client::connect(&limiter);
        _ = crowd.0.get_mut().write_all(if number % 2 == 0 {
            b"*5\r\n$9\r\nSVC."
        } else {
            b""
        });
        crowd
    });
    let silent: Vec<Client> = crowd.collect();
    client.ask("look", "id-1", 1500);
    let mut other = Client::connect(&limiter);
    other.ask("look", "id-2", 1500);
    assert_eq!(
        (client.answer(), other.answer()),
        ("id-1".into(), "id-2".into())
    );
    drop(silent);
}

#[test]
fn connections_with_pings_only_evict_each_other_and_not_a_client_with_requests() {
    let limiter = limiter_with_40_connections();
    let mut client = Client::ready(&limiter);
    client.ask("look", "id-1", 1500);
    assert_eq!(client.answer(), "id-1");
    // Each is later than the client's last word.
    let looks: Vec<Client> = (0..60).map(|_| Client::ready(&limiter)).collect();
    client.ask("look", "id-2", 1500);
    assert_eq!(client.answer(), "id-2");
    drop(looks);
}

/// IdleClients clients that hold as many connections as they can, and open a new one for each that is older than all others.
struct IdleClients {
    stop: Arc<AtomicBool>,
    opened: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<()>>,
}

impl IdleClients {
    fn at(at: SocketAddr) -> Self {
        let (stop, opened) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        // Nothing, half of a command, or no more than whether it is ready.
        let words = [&b""[..], b"*5\r\n$9\r\nSVC.", b"*1\r\n$4\r\nPING\r\n"];
        let client = |own: usize| {
            let (stop, opened) = (stop.clone(), opened.clone());
            thread::spawn(move || {
                let mut held = VecDeque::new();
                while !stop.load(Ordering::SeqCst) {
                    let Ok(mut stream) = TcpStream::connect(at) else {
                        continue;
                    };
                    _ = stream.write_all(words[(own + opened.fetch_add(1, Ordering::SeqCst)) % 3]);
                    held.push_back(stream);
                    if held.len() > 60 {
                        held.pop_front();
                        thread::sleep(Duration::from_millis(5));
                    }
                }
            })
        };
        let clients = (0..4).map(client).collect();
        Self {
            stop,
            opened,
            clients,
        }
    }

    /// Waits until they have taken all that they can.
    fn goes_on(&self) {
        let now = self.opened.load(Ordering::SeqCst);
        until(
            || self.opened.load(Ordering::SeqCst),
            |opened| *opened > now + 300,
        );
    }

    fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .for_each(|client| client.join().expect("an end"));
    }
}

#[test]
fn idle_clients_at_the_connection_limit_leave_discovery_counter_and_admin_interface_reachable() {
    let (old, new) = (
        resp_peer(|_, _| serve("old")).0,
        resp_peer(|_, _| serve("new")).0,
    );
    let change = [
        entry("s-1", old, "terminating"),
        entry("s-2", new, "in_service"),
    ];
    let news =
        serde_json::json!({"generation": 9, "reset": false, "instances": change}).to_string();
    let back = Arc::new(AtomicBool::new(false));
    let is_back = back.clone();
    // Takes every call and says nothing while it is down.
    let list = http_peer(move |_, _, _| match is_back.load(Ordering::SeqCst) {
        false => Act::Hang,
        true => {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            Act::Say(format!("{head}{:x}\r\n{news}\r\n", news.len()))
        }
    });
    let (counter, totals) = quota_counter();
    let mut told = settings(list, counter, &[("s-1", old)]);
    told["control"] = "127.0.0.1:0".into();
    told["limits"]["sockets"] = 128.into();
    told["settings"]["balancers"] = 2.into();
    let program = Program::start_bounded("idle-clients", &told);
    let idle = IdleClients::at(program.at);
    idle.goes_on();
    // A new connection may be closed unread then; whoever asks again gets in.
    let ask = |id: &str| {
        let text = asking("look", id, 1500).replace("spread=1", "spread=2");
        Client::try_at(program.at).and_then(|mut client| client.try_ask(&text))
    };
    for number in 0..10 {
        assert!(program.call("show-stat").ends_with("END\n"));
        // Of 128, the rest is for upstream servers, discovery, the counter and operators.
        let held = program.descriptors();
        assert!(held < 100, "{held} descriptors are held");
        until(
            || ask(&format!("down-{number}")),
            |answer| answer.as_deref() == Some("old"),
        );
    }
    idle.goes_on();
    assert!(
        !totals.lock().expect("whole").is_empty(),
        "the counter was not reached"
    );
    back.store(true, Ordering::SeqCst);
    until(|| ask("back"), |answer| answer.as_deref() == Some("new"));
    idle.end();
    program.ends();
}

#[test]
fn clients_that_keep_idle_connections_leave_room_for_others() {
    let limiter = limiter_with_40_connections();
    drop(Client::ready(&limiter));
    let mut held: Vec<Client> = (0..30).map(|_| Client::connect(&limiter)).collect();
    for (number, client) in held.iter_mut().enumerate() {
        client.ask("look", &format!("id-{number}"), 1500);
        assert_eq!(client.answer(), format!("id-{number}"));
    }
    // Those idle longest go, down to three quarters of what clients may hold, long before a connection is too old.
    for client in &mut held[..6] {
        assert_eq!(client.line(), "");
    }
    for client in &mut held[6..] {
        client.ask("look", "again", 1500);
        assert_eq!(client.answer(), "again");
    }
}

#[test]
fn slowly_writing_client_is_not_evicted_by_connections_that_stopped_half_way() {
    let limiter = limiter_with_40_connections();
    drop(Client::ready(&limiter));
    // For longer than one that has stopped writing is waited for, the oldest that has not asked for anything, but not the one from which nothing has come for longest.
    let (mut slow, text) = (Client::connect(&limiter), asking("look", "slow", 1500));
    let pieces: Vec<&[u8]> = text.as_bytes().chunks(text.len().div_ceil(12)).collect();
    let mut crowd = Vec::new();
    for piece in pieces {
        slow.0.get_mut().write_all(piece).expect("written");
        for _ in 0..10 {
            let mut half = Client::connect(&limiter);
            _ = half.0.get_mut().write_all(b"*5\r\n$9\r\nSVC.");
            crowd.push(half);
        }
        // Their turn has come once another is served.
        drop(Client::ready(&limiter));
        std::thread::sleep(std::time::Duration::from_millis(250));
    }
    assert_eq!(slow.answer(), "slow");
}
