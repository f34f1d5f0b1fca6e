//! Clients that send one request after another.

use crate::files::ACCOUNT;
use crate::peers::http;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

/// Clients at each limiter, and how long one waits between two requests: together they ask for several times the quota.
pub const CLIENTS: u32 = 2;

pub const CLIENT_PAUSE: Duration = Duration::from_millis(12);

/// Clients that ask one request after another.
pub struct Load {
    pub stop: Arc<AtomicBool>,
    pub asked: Arc<AtomicUsize>,
    pub clients: Vec<JoinHandle<()>>,
}

impl Load {
    pub fn start(limiters: impl Iterator<Item = SocketAddr>) -> Self {
        let (stop, asked) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let clients = limiters
            .flat_map(|at| (0..CLIENTS).map(move |_| at))
            .map(|at| {
                let (stop, asked) = (stop.clone(), asked.clone());
                thread::spawn(move || {
                    while !stop.load(Ordering::SeqCst) {
                        client(at, &stop, &asked);
                        thread::sleep(CLIENT_PAUSE);
                    }
                })
            });
        let clients = clients.collect();
        Self {
            stop,
            asked,
            clients,
        }
    }

    /// Ends it; how many requests there were.
    pub fn end(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .for_each(|client| client.join().expect("an end"));
        self.asked.load(Ordering::SeqCst)
    }
}

/// Asks on one connection, with a number of its own in each request, until it is told to stop or the connection ends.
pub fn client(at: SocketAddr, stop: &AtomicBool, asked: &AtomicUsize) {
    let Ok(stream) = TcpStream::connect(at) else {
        return;
    };
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    stream.set_nodelay(true).expect("a socket");
    let mut from = std::io::BufReader::new(stream);
    while !stop.load(Ordering::SeqCst) {
        let number = asked.fetch_add(1, Ordering::SeqCst);
        let text = format!(
            "GET /v1/sailings/{number}/seats HTTP/1.1\r\nHost: x\r\nX-Agent-Account: {ACCOUNT}\r\n\r\n"
        );
        if from.get_mut().write_all(text.as_bytes()).is_err() || http(&mut from, false).is_err() {
            return;
        }
        thread::sleep(CLIENT_PAUSE);
    }
}
