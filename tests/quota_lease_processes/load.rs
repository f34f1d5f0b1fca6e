//! Load on the limiters: clients that send one request after another.

use crate::files::ACCOUNT;
use crate::peers::read_http_message;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

/// Number of clients at each limiter. All clients together request several times the quota.
pub const CLIENTS: u32 = 2;

/// Time between two requests of a client.
pub const CLIENT_PAUSE: Duration = Duration::from_millis(12);

/// Running clients.
pub struct Load {
    /// Tells the clients to stop.
    pub stop: Arc<AtomicBool>,
    /// Number of requests that the clients sent.
    pub requests_sent: Arc<AtomicUsize>,
    /// Threads of the clients.
    pub clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the clients of the limiters with these addresses.
    pub fn start(limiters: impl Iterator<Item = SocketAddr>) -> Self {
        let (stop, requests_sent) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let clients = limiters
            .flat_map(|at| (0..CLIENTS).map(move |_| at))
            .map(|at| {
                let (stop, requests_sent) = (stop.clone(), requests_sent.clone());
                thread::spawn(move || {
                    while !stop.load(Ordering::SeqCst) {
                        run_client(at, &stop, &requests_sent);
                        thread::sleep(CLIENT_PAUSE);
                    }
                })
            });
        let clients = clients.collect();
        Self {
            stop,
            requests_sent,
            clients,
        }
    }

    /// Stops the clients and returns the number of requests that they sent.
    pub fn end(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .for_each(|client| client.join().expect("a client thread should not panic"));
        self.requests_sent.load(Ordering::SeqCst)
    }
}

/// Sends requests on one connection until `stop` is set or the connection ends. Each request contains a
/// different number.
pub fn run_client(at: SocketAddr, stop: &AtomicBool, requests_sent: &AtomicUsize) {
    let Ok(stream) = TcpStream::connect(at) else {
        return;
    };
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("setting the read timeout should succeed");
    stream
        .set_nodelay(true)
        .expect("setting TCP_NODELAY should succeed");
    let mut connection = std::io::BufReader::new(stream);
    while !stop.load(Ordering::SeqCst) {
        let number = requests_sent.fetch_add(1, Ordering::SeqCst);
        let text = format!(
            "GET /v1/sailings/{number}/seats HTTP/1.1\r\nHost: x\r\nX-Agent-Account: {ACCOUNT}\r\n\r\n"
        );
        if connection.get_mut().write_all(text.as_bytes()).is_err()
            || read_http_message(&mut connection, false).is_err()
        {
            return;
        }
        thread::sleep(CLIENT_PAUSE);
    }
}
