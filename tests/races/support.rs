//! Upstream servers and clients whose progress the tests control.

use crate::peers::{
    admin_call, quota_counter, request_command, served_reply, settings, start_resp_peer,
    wait_until, Client, RunningLimiter, Seen,
};
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Well above the time within which a limiter must detect that a client closed its connection.
pub const CLOSE_DETECTION_LIMIT: Duration = Duration::from_millis(1_000);

/// A gate that is opened once; threads wait at it until then.
#[derive(Clone, Default)]
pub struct Gate(pub Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    /// Opens the gate and wakes all threads that wait at it.
    pub fn open(&self) {
        *self.0 .0.lock().expect("gate lock is not poisoned") = true;
        self.0 .1.notify_all();
    }

    /// Blocks until the gate is open.
    pub fn wait(&self) {
        drop(
            self.0
                 .1
                .wait_while(
                    self.0 .0.lock().expect("gate lock is not poisoned"),
                    |open| !*open,
                )
                .expect("gate lock is not poisoned"),
        );
    }
}

/// Returns a configuration with an admin address, and with deadlines and a connect timeout that are
/// too long to pass during a race.
pub fn settings_with_long_deadlines(
    discovery: SocketAddr,
    servers: &[(&str, SocketAddr)],
) -> Value {
    let mut config = settings(discovery, quota_counter().0, servers);
    for class in config["settings"]["classes"]
        .as_array_mut()
        .expect("classes are an array")
    {
        (class["slo"], class["deadline"]) = (10_000_000.into(), 20_000_000.into());
    }
    config["settings"]["limits"]["connectTimeout"] = 15_000_000.into();
    config["control"] = "127.0.0.1:0".into();
    config
}

/// Waits until the limiter reports `count` in-flight requests.
pub fn wait_for_in_flight(limiter: &RunningLimiter, count: usize) {
    let line = format!("limiter.in_flight={count}\n");
    wait_until(
        || {
            admin_call(
                limiter.admin_address.expect("limiter has an admin address"),
                "show-stat\n",
            )
        },
        |statistics| statistics.contains(&line),
    );
}

/// Starts a server that holds the request with the id `held_id` back at a gate and serves all
/// others. Returns its address, the gate and the commands that it receives.
pub fn gated_server(held_id: &'static str) -> (SocketAddr, Gate, Seen) {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let (address, seen) = start_resp_peer(move |_, words| {
        if words[2] == held_id {
            server_gate.wait();
        }
        served_reply(&words[2])
    });
    (address, gate, seen)
}

/// Returns the ids of the requests that a server has received and that were not read from `seen`
/// before.
pub fn request_ids(seen: &Seen) -> Vec<String> {
    seen.try_iter()
        .filter_map(|(_, words)| Some(words?[2].clone()))
        .collect()
}

/// A server whose listen backlog is full, so that further connections are not established until
/// [`open`](Self::open).
pub struct UnresponsiveServer {
    pub address: SocketAddr,
    pub listener: TcpListener,
    /// Connections of the test that fill the backlog.
    pub backlog_fillers: Vec<TcpStream>,
}

impl UnresponsiveServer {
    /// Binds a listener and opens connections to it until one is no longer established within 200
    /// ms.
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket is created");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("socket is bound to a free port");
        socket.listen(0).expect("socket listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("listener has a local address");
        let timeout = Duration::from_millis(200);
        let backlog_fillers =
            std::iter::from_fn(|| TcpStream::connect_timeout(&address, timeout).ok()).collect();
        Self {
            address,
            listener,
            backlog_fillers,
        }
    }

    /// Waits until the limiter tries to connect to this server and the connection is not
    /// established yet.
    pub fn wait_for_connect(&self) {
        let port = format!(":{:04X}", self.address.port());
        let table = || std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
        // The third field is the remote address; state 02 is SYN_SENT.
        let connecting = |line: &str| {
            let fields: Vec<_> = line.split_whitespace().collect();
            fields[2].ends_with(&port) && fields[3] == "02"
        };
        wait_until(table, |table| table.lines().any(connecting));
    }

    /// Lets connections be established, and returns the bytes received on the first one that is not
    /// the test's own, until it closes or is silent for [`CLOSE_DETECTION_LIMIT`].
    pub fn open(self) -> Vec<u8> {
        self.listener
            .set_nonblocking(true)
            .expect("listener is made non-blocking");
        let accept = || {
            wait_until(|| self.listener.accept().ok(), Option::is_some)
                .expect("a connection is accepted")
                .0
        };
        for _ in &self.backlog_fillers {
            drop(accept());
        }
        let mut stream = accept();
        let mut received = Vec::new();
        _ = stream.set_read_timeout(Some(CLOSE_DETECTION_LIMIT));
        _ = stream.read_to_end(&mut received);
        received
    }
}

/// Closes the connection of a client with a shutdown of the socket. A process that another test is
/// starting at the moment may have inherited the descriptor; dropping the client alone would then
/// close the connection later.
pub fn close(client: Client) {
    _ = client.0.get_ref().shutdown(Shutdown::Both);
}

/// Returns eight commands of an unknown class. The limiter pauses reading from the client after
/// each of them, for 0.36 s in total.
pub fn malformed_commands() -> String {
    request_command("dance", "bad", 500).repeat(8)
}
