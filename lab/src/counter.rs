//! Stand-in for the platform's quota counter: named counts over HTTP/1.1. Traffic is counted by
//! zone.

use crate::error::LabError;
use crate::messages::{Command, Reply};
use crate::stand_in::{self, ZoneCounters};
use mossrill::protocol::http::{ReadError, Reader};
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Interval at which a connection of a cut-off zone checks whether the zone is connected again.
const SILENT_POLL: Duration = Duration::from_millis(20);
/// Number of shards of the table, to reduce lock contention between connections.
const SHARDS: usize = 64;

type Shard = Mutex<HashMap<u64, f64>>;

/// Counts by name. No count expires during a run.
#[derive(Default)]
pub struct Counts {
    shards: Vec<Shard>,
}

impl Counts {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
        }
    }

    /// Adds to a count and returns its total.
    pub fn add(&self, name: u64, amount: f64) -> f64 {
        let shard = &self.shards[name as usize % SHARDS];
        let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
        let total = shard.entry(name).or_default();
        *total += amount;
        *total
    }
}

/// Formats the HTTP response to a call.
pub fn answer(total: f64) -> String {
    let body = total.to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Serves until the controller sends [`Command::Finish`].
pub fn run(zones: u32) -> Result<(), LabError> {
    let zones: Vec<Arc<ZoneCounters>> = (0..zones).map(|_| Arc::default()).collect();
    let counts = Arc::new(Counts::new());
    let ports = stand_in::listen(&zones, move |stream, zone: &ZoneCounters| {
        // The limiter reopens a connection that ends.
        _ = serve(&counts, &stream, zone);
    });
    stand_in::send_reply(&Reply::Ready(ports?))?;
    for command in stand_in::commands() {
        match command {
            Command::Cut { zones: cut, silent } => {
                cut.iter()
                    .filter_map(|zone| zones.get(*zone as usize))
                    .for_each(|z| z.set_silent(silent));
            }
            Command::Report => stand_in::send_reply(&load(&zones))?,
            Command::Finish => break,
            _ => {}
        }
    }
    stand_in::send_reply(&load(&zones))
}

fn load(zones: &[Arc<ZoneCounters>]) -> Reply {
    Reply::Load(zones.iter().map(|zone| zone.load()).collect())
}

fn serve(counts: &Counts, mut stream: &TcpStream, zone: &ZoneCounters) -> Result<(), ReadError> {
    let mut reader = Reader::new(stream);
    loop {
        let request = reader.read_request()?;
        let headers: usize = request
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len() + 4)
            .sum();
        zone.call(request.method.len() + request.target.len() + 12 + headers + 2);
        while zone.is_silent() {
            std::thread::sleep(SILENT_POLL);
        }
        let text = match parse_addition(&request.target) {
            Some((name, amount)) => answer(counts.add(name, amount)),
            None => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned(),
        };
        zone.answer(text.len());
        stream.write_all(text.as_bytes())?;
    }
}

/// Parses the name of the count and the amount from the target of a call.
fn parse_addition(target: &str) -> Option<(u64, f64)> {
    let (name, query) = target.strip_prefix("/v1/count/")?.split_once('?')?;
    let amount = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("add="))?;
    Some((name.parse().ok()?, amount.parse().ok()?))
}
