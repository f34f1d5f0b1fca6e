//! Stand-in for discovery: the whole list and a watch over HTTP/1.1, counted by zone.

use crate::clock;
use crate::error::LabError;
use crate::messages::{Command, Reply};
use crate::scenario::Scenario;
use crate::server_list::ServerList;
use crate::stand_in::{self, ZoneCounters};
use mossrill::protocol::http::{ReadError, Reader};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// As long as nothing changes, an empty line is sent so often.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// A connection of a zone that is cut off looks so often whether it is back.
const SILENT_POLL: Duration = Duration::from_millis(50);

/// The list, and the word that it has changed.
struct Shared {
    list: Mutex<ServerList>,
    changed: Condvar,
}

impl Shared {
    fn list(&self) -> MutexGuard<'_, ServerList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves until it is told to finish.
pub fn run(scenario: &Scenario, seed: u64) -> Result<(), LabError> {
    let sizes = &scenario.sizes;
    let list = ServerList::new(sizes.servers, sizes.services, sizes.zones, seed);
    let shared = Arc::new(Shared {
        list: Mutex::new(list),
        changed: Condvar::new(),
    });
    let zones: Vec<Arc<ZoneCounters>> = (0..sizes.zones).map(|_| Arc::default()).collect();
    let served = shared.clone();
    let ports = stand_in::listen(&zones, move |stream, zone: &ZoneCounters| {
        // A connection that ends is the reader's to open again.
        _ = serve(&served, &stream, zone);
    });
    stand_in::reply(&Reply::Ready(ports?))?;
    publish(&shared)?;
    for command in stand_in::commands() {
        match command {
            Command::ChangeList(count) => {
                shared.list().restart_some(count, clock::now() / 1_000);
                publish(&shared)?;
            }
            Command::SetZone { zone, in_service } => {
                shared
                    .list()
                    .set_zone(zone, in_service, clock::now() / 1_000);
                publish(&shared)?;
            }
            Command::Cut { zones: cut, silent } => {
                cut.iter()
                    .filter_map(|zone| zones.get(*zone as usize))
                    .for_each(|z| z.set_silent(silent));
            }
            Command::Report => stand_in::reply(&load(&zones))?,
            Command::Begin | Command::AwaitVersion { .. } => {}
            Command::Finish => break,
        }
    }
    stand_in::reply(&load(&zones))
}

fn load(zones: &[Arc<ZoneCounters>]) -> Reply {
    Reply::Load(zones.iter().map(|zone| zone.load()).collect())
}

fn publish(shared: &Shared) -> Result<(), LabError> {
    let (generation, bytes) = {
        let list = shared.list();
        let last = list
            .changes_after(list.generation() - 1)
            .and_then(<[_]>::last)
            .map(|text| text.len());
        (list.generation(), last.unwrap_or(list.whole().len()))
    };
    let at = clock::now();
    shared.changed.notify_all();
    stand_in::reply(&Reply::Published {
        generation,
        at,
        bytes,
    })
}

fn serve(shared: &Shared, stream: &TcpStream, zone: &ZoneCounters) -> Result<(), ReadError> {
    let mut reader = Reader::new(stream);
    loop {
        let ask = reader.read_request()?;
        // The request line, the host line and the empty one.
        zone.call(ask.method.len() + ask.target.len() + 12 + header_bytes(&ask.headers) + 2);
        wait_for_way(zone);
        match watched_from(&ask.target) {
            None => send_whole(shared, stream, zone)?,
            Some(from) => return Ok(watch(shared, stream, zone, from)?),
        }
    }
}

fn header_bytes(headers: &[(String, Vec<u8>)]) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + 4)
        .sum()
}

fn wait_for_way(zone: &ZoneCounters) {
    while zone.is_silent() {
        std::thread::sleep(SILENT_POLL);
    }
}

/// The version after which changes are wanted; none where the whole list is.
fn watched_from(target: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    };
    (value("watch") == Some("1")).then(|| {
        value("from")
            .and_then(|from| from.parse().ok())
            .unwrap_or(0)
    })
}

fn send_whole(shared: &Shared, mut stream: &TcpStream, zone: &ZoneCounters) -> io::Result<()> {
    let text = shared.list().whole();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
    zone.whole_list();
    zone.answer(head.len() + text.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(text.as_bytes())
}

fn watch(
    shared: &Shared,
    mut stream: &TcpStream,
    zone: &ZoneCounters,
    from: u64,
) -> io::Result<()> {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    zone.answer(head.len());
    stream.write_all(head.as_bytes())?;
    let mut told = from;
    loop {
        let news = next_news(shared, &mut told, zone);
        wait_for_way(zone);
        for text in &news {
            write_chunk(stream, zone, text)?;
        }
        if news.is_empty() {
            write_chunk(stream, zone, "\n")?;
        }
    }
}

/// What has changed since `told`, waited for until an empty line is due.
fn next_news(shared: &Shared, told: &mut u64, zone: &ZoneCounters) -> Vec<Arc<str>> {
    let unchanged = |list: &mut ServerList| list.generation() == *told;
    let (list, _) = shared
        .changed
        .wait_timeout_while(shared.list(), KEEP_ALIVE, unchanged)
        .unwrap_or_else(PoisonError::into_inner);
    let news = match list.changes_after(*told) {
        Some(changes) => changes.to_vec(),
        None => {
            zone.whole_list();
            vec![list.whole()]
        }
    };
    *told = list.generation();
    news
}

fn write_chunk(mut stream: &TcpStream, zone: &ZoneCounters, text: &str) -> io::Result<()> {
    let size = format!("{:x}\r\n", text.len());
    zone.answer(size.len() + text.len() + 2);
    stream.write_all(size.as_bytes())?;
    stream.write_all(text.as_bytes())?;
    stream.write_all(b"\r\n")
}
