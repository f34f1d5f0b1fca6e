//! Servers, counters and clients whose progress the tests control.

use crate::peers::{
    asking, call, quota_counter, resp_peer, serve, settings, until, Client, Running, Seen,
};
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Well over the time in which a limiter is to find out that a client has left.
pub const CLOSE_DETECTION_LIMIT: Duration = Duration::from_millis(1_000);

/// A door that is opened once.
#[derive(Clone, Default)]
pub struct Gate(pub Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    pub fn open(&self) {
        *self.0 .0.lock().expect("whole") = true;
        self.0 .1.notify_all();
    }

    pub fn pass(&self) {
        drop(
            self.0
                 .1
                .wait_while(self.0 .0.lock().expect("whole"), |open| !*open)
                .expect("whole"),
        );
    }
}

/// Clients wait long, and nothing is given up before its time.
pub fn settings_with_long_deadlines(list: SocketAddr, servers: &[(&str, SocketAddr)]) -> Value {
    let mut told = settings(list, quota_counter().0, servers);
    for class in told["settings"]["classes"].as_array_mut().expect("classes") {
        (class["slo"], class["deadline"]) = (10_000_000.into(), 20_000_000.into());
    }
    told["settings"]["limits"]["connectTimeout"] = 15_000_000.into();
    told["control"] = "127.0.0.1:0".into();
    told
}

/// Waits until so many requests are open.
pub fn wait_for_in_flight(limiter: &Running, many: usize) {
    let line = format!("limiter.in_flight={many}\n");
    until(
        || call(limiter.control.expect("a line"), "show-stat\n"),
        |stat| stat.contains(&line),
    );
}

/// A server that keeps `held` waiting at a gate and serves all else, the gate, and what it has seen.
pub fn gated_server(held: &'static str) -> (SocketAddr, Gate, Seen) {
    let gate = Gate::default();
    let own = gate.clone();
    let (at, seen) = resp_peer(move |_, words| {
        if words[2] == held {
            own.pass();
        }
        serve(&words[2])
    });
    (at, gate, seen)
}

/// Ids of what a server has seen.
pub fn request_ids(seen: &Seen) -> Vec<String> {
    seen.try_iter()
        .filter_map(|(_, words)| Some(words?[2].clone()))
        .collect()
}

/// A server whose connections don't come up until it is let.
pub struct UnresponsiveServer {
    pub at: SocketAddr,
    pub listener: TcpListener,
    pub full: Vec<TcpStream>,
}

impl UnresponsiveServer {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a port");
        socket.listen(0).expect("a listener");
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().expect("an address");
        let wait = Duration::from_millis(200);
        let full = std::iter::from_fn(|| TcpStream::connect_timeout(&at, wait).ok()).collect();
        Self { at, listener, full }
    }

    /// Waits until a connection that is not the test's own has been asked for, and does not come up.
    pub fn wait_for_connect(&self) {
        let port = format!(":{:04X}", self.at.port());
        let table = || std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
        // Whom to, and 02: asked for, not answered.
        let waits = |line: &str| {
            let words: Vec<_> = line.split_whitespace().collect();
            words[2].ends_with(&port) && words[3] == "02"
        };
        until(table, |table| table.lines().any(waits));
    }

    /// Lets connections come up: what comes on the first that is not the test's own, up to its end.
    pub fn open(self) -> Vec<u8> {
        self.listener.set_nonblocking(true).expect("a listener");
        let accept = || {
            until(|| self.listener.accept().ok(), Option::is_some)
                .expect("a connection")
                .0
        };
        for _ in &self.full {
            drop(accept());
        }
        let mut stream = accept();
        let mut come = Vec::new();
        _ = stream.set_read_timeout(Some(CLOSE_DETECTION_LIMIT));
        _ = stream.read_to_end(&mut come);
        come
    }
}

/// A client closes its connection. A process that another test is just starting may hold a copy of the descriptor: to
/// drop it alone would close the connection later.
pub fn close(client: Client) {
    _ = client.0.get_ref().shutdown(Shutdown::Both);
}

/// What holds up the reader of a client that sends it: 0.36 s in all, from one command to the next.
pub fn malformed_commands() -> String {
    asking("dance", "bad", 500).repeat(8)
}
