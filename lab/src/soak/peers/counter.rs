//! The quota counter.

use super::{listen, lock, SILENT_POLL};
use crate::soak::wire;
use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

/// The quota counter.
#[derive(Clone)]
pub struct Counter {
    /// Where it listens.
    pub address: SocketAddr,
    is_silent: Arc<AtomicBool>,
}

impl Counter {
    /// Starts a counter.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub fn start() -> io::Result<Self> {
        let totals: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
        let is_silent = Arc::<AtomicBool>::default();
        let silent = is_silent.clone();
        let address = listen(move |stream| {
            // The limiter opens a connection that ends again.
            _ = serve_counter(&stream, &totals, &silent);
        })?;
        Ok(Self { address, is_silent })
    }

    /// Sets whether it says nothing.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, SeqCst);
    }
}

fn serve_counter(
    mut stream: &TcpStream,
    totals: &Mutex<HashMap<String, f64>>,
    is_silent: &AtomicBool,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(target) = wire::read_http_target(&mut reader)? {
        while is_silent.load(SeqCst) {
            thread::sleep(SILENT_POLL);
        }
        let (name, query) = target.split_once('?').unwrap_or((&target, ""));
        let amount = query.split('&').find_map(|pair| pair.strip_prefix("add="));
        let amount: f64 = amount.and_then(|text| text.parse().ok()).unwrap_or(0.0);
        let total = {
            let mut totals = lock(totals);
            let total = totals.entry(name.to_owned()).or_default();
            *total += amount;
            *total
        };
        stream.write_all(wire::http_response(&total.to_string()).as_bytes())?;
    }
    Ok(())
}
