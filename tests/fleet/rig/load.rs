//! Clients that send one request after another to each limiter.

use crate::checker::{Entry, Told};
use crate::peers::{asking_for, until, Client};
use crate::rig::stand_ins::Record;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

/// Where each limiter listens now; none while it is gone. A client connects with the entry locked, and an entry is
/// cleared before its limiter ends.
///
/// Guards against clients that connect to a port whose limiter has ended: the system gives it to the next listener, of
/// this test or of another process, which answers with another record's values or not at all.
pub type Addresses = Arc<Vec<Mutex<Option<SocketAddr>>>>;

/// Clients that are asking.
pub struct Load {
    pub stop: Arc<AtomicBool>,
    pub asked: Arc<AtomicUsize>,
    pub agents: Vec<JoinHandle<()>>,
}

impl Load {
    /// Waits until so many more have been answered.
    pub fn goes_on(&self, more: usize) {
        let now = self.asked.load(Ordering::SeqCst);
        until(
            || self.asked.load(Ordering::SeqCst),
            |asked| *asked > now + more,
        );
    }

    pub fn end(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        self.agents
            .into_iter()
            .for_each(|agent| agent.join().expect("every answer"));
        self.asked.load(Ordering::SeqCst)
    }
}

/// A connection to a limiter, if it runs.
pub fn connect(address: &Mutex<Option<SocketAddr>>) -> Option<TcpStream> {
    let address = address.lock().expect("whole");
    TcpStream::connect((*address)?).ok()
}

/// Asks at one limiter, wherever it is again after it was gone.
pub fn agent(
    limiter: usize,
    addresses: &Addresses,
    spread: usize,
    accounts: usize,
    record: &Record,
    stop: &AtomicBool,
    asked: &AtomicUsize,
) {
    let mut number = 0;
    let mut connection: Option<Client> = None;
    while !stop.load(Ordering::SeqCst) {
        let Some(own) = connection.as_mut() else {
            connection = connect(&addresses[limiter]).and_then(Client::try_on);
            thread::sleep(Duration::from_millis(10));
            continue;
        };
        let class = if number % 2 == 0 { "look" } else { "pay" };
        let account = format!("{:016x}", 0xb4d6_0000 + number % accounts);
        let id = format!("{class}-{limiter}-{number}");
        number += 1;
        let text = asking_for(&account, spread, class, &id, 1_500);
        let entry = Entry::Asked {
            id: id.clone(),
            limiter,
            class,
            account,
            units: 2,
        };
        record.lock().expect("whole").push(entry);
        let told = match own.try_ask(&text) {
            Some(line) if line.starts_with("-BUSY") => Told::Refused,
            Some(line) if line.starts_with('-') => Told::Failed,
            Some(value) => Told::Served(value),
            None => {
                connection = None;
                Told::Nothing
            }
        };
        if told == Told::Refused {
            thread::sleep(Duration::from_millis(10));
        }
        record
            .lock()
            .expect("whole")
            .push(Entry::Answered { id, told });
        asked.fetch_add(1, Ordering::SeqCst);
    }
}
