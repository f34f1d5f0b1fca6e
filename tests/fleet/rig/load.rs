//! Clients that send one request after another to each limiter.

use crate::checker::{Event, RequestResult};
use crate::peers::{request_command_for, wait_until, Client};
use crate::rig::stand_ins::Record;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

/// The address at which each limiter listens; `None` while it is down. A client connects with the
/// entry locked, and an entry is cleared before its limiter stops.
///
/// Guards against clients that connect to a port whose limiter has stopped. The system gives such a
/// port to the next listener, of this test or of another process, which answers with the values of
/// another record or not at all.
pub type Addresses = Arc<Vec<Mutex<Option<SocketAddr>>>>;

/// Running clients, one for each limiter under load.
pub struct Load {
    /// Whether the clients are to stop.
    pub stop: Arc<AtomicBool>,
    /// Number of requests that have ended, whatever their result.
    pub ended_requests: Arc<AtomicUsize>,
    pub clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Waits until more than `count` further requests have ended.
    pub fn wait_for_requests(&self, count: usize) {
        let start = self.ended_requests.load(Ordering::SeqCst);
        wait_until(
            || self.ended_requests.load(Ordering::SeqCst),
            |ended| *ended > start + count,
        );
    }

    /// Stops the clients once their current requests have ended. Returns the number of requests of
    /// the whole load.
    pub fn stop(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .for_each(|client| client.join().expect("the client ends without a panic"));
        self.ended_requests.load(Ordering::SeqCst)
    }
}

/// Connects to a limiter; `None` if it is down or refuses the connection.
pub fn connect(address: &Mutex<Option<SocketAddr>>) -> Option<TcpStream> {
    let address = address.lock().expect("lock the address");
    TcpStream::connect((*address)?).ok()
}

/// Sends requests to one limiter until `stop` is set. Reconnects to the limiter's new address when
/// it has been restarted.
pub fn run_client(
    limiter: usize,
    addresses: &Addresses,
    spread: usize,
    accounts: usize,
    record: &Record,
    stop: &AtomicBool,
    ended_requests: &AtomicUsize,
) {
    let mut number = 0;
    let mut connection: Option<Client> = None;
    while !stop.load(Ordering::SeqCst) {
        let Some(client) = connection.as_mut() else {
            connection = connect(&addresses[limiter]).and_then(Client::from_stream);
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        let class = if number % 2 == 0 { "look" } else { "pay" };
        let account = format!("{:016x}", 0xb4d6_0000 + number % accounts);
        let id = format!("{class}-{limiter}-{number}");
        number += 1;
        let request = request_command_for(&account, spread, class, &id, 1_500);
        let sent = Event::RequestSent {
            id: id.clone(),
            limiter,
            class,
            account,
            units: 2,
        };
        record.lock().expect("lock the record").push(sent);
        let result = match client.try_request(&request) {
            Some(line) if line.starts_with("-BUSY") => RequestResult::Refused,
            Some(line) if line.starts_with('-') => RequestResult::Failed,
            Some(value) => RequestResult::Served(value),
            None => {
                connection = None;
                RequestResult::ConnectionClosed
            }
        };
        if result == RequestResult::Refused {
            thread::sleep(Duration::from_millis(10));
        }
        record
            .lock()
            .expect("lock the record")
            .push(Event::RequestEnded { id, result });
        ended_requests.fetch_add(1, Ordering::SeqCst);
    }
}
