//! Stand-in for service discovery: the whole server list and a watch on its changes over HTTP/1.1.
//! Traffic is counted by zone.

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

/// Interval of the empty lines that a watch sends while the list does not change.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Interval at which a connection of a cut-off zone checks whether the zone is connected again.
const SILENT_POLL: Duration = Duration::from_millis(50);

/// The server list, and the condition variable that signals its changes.
struct Shared {
    list: Mutex<ServerList>,
    changed: Condvar,
}

impl Shared {
    fn list(&self) -> MutexGuard<'_, ServerList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves until the controller sends [`Command::Finish`].
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
        // The limiter reopens a connection that ends.
        _ = serve(&served, &stream, zone);
    });
    stand_in::send_reply(&Reply::Ready(ports?))?;
    publish(&shared)?;
    for command in stand_in::commands() {
        match command {
            Command::ChangeList(count) => {
                shared.list().restart_servers(count, clock::now() / 1_000);
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
            Command::Report => stand_in::send_reply(&load(&zones))?,
            Command::Begin | Command::AwaitVersion { .. } => {}
            Command::Finish => break,
        }
    }
    stand_in::send_reply(&load(&zones))
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
    stand_in::send_reply(&Reply::Published {
        generation,
        at,
        bytes,
    })
}

fn serve(shared: &Shared, stream: &TcpStream, zone: &ZoneCounters) -> Result<(), ReadError> {
    let mut reader = Reader::new(stream);
    loop {
        let request = reader.read_request()?;
        // Bytes of the request line, the header lines and the empty line.
        zone.call(
            request.method.len() + request.target.len() + 12 + header_bytes(&request.headers) + 2,
        );
        wait_while_cut_off(zone);
        match watch_start(&request.target) {
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

fn wait_while_cut_off(zone: &ZoneCounters) {
    while zone.is_silent() {
        std::thread::sleep(SILENT_POLL);
    }
}

/// Returns the version after which a watch wants changes, or `None` if the whole list is requested.
fn watch_start(target: &str) -> Option<u64> {
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
    let mut sent_generation = from;
    loop {
        let updates = wait_for_updates(shared, &mut sent_generation, zone);
        wait_while_cut_off(zone);
        for text in &updates {
            write_chunk(stream, zone, text)?;
        }
        if updates.is_empty() {
            write_chunk(stream, zone, "\n")?;
        }
    }
}

/// Waits for changes after version `sent_generation` and returns them, or nothing if there are none
/// within [`KEEP_ALIVE`].
fn wait_for_updates(
    shared: &Shared,
    sent_generation: &mut u64,
    zone: &ZoneCounters,
) -> Vec<Arc<str>> {
    let unchanged = |list: &mut ServerList| list.generation() == *sent_generation;
    let (list, _) = shared
        .changed
        .wait_timeout_while(shared.list(), KEEP_ALIVE, unchanged)
        .unwrap_or_else(PoisonError::into_inner);
    let updates = match list.changes_after(*sent_generation) {
        Some(changes) => changes.to_vec(),
        None => {
            zone.whole_list();
            vec![list.whole()]
        }
    };
    *sent_generation = list.generation();
    updates
}

fn write_chunk(mut stream: &TcpStream, zone: &ZoneCounters, text: &str) -> io::Result<()> {
    let size = format!("{:x}\r\n", text.len());
    zone.answer(size.len() + text.len() + 2);
    stream.write_all(size.as_bytes())?;
    stream.write_all(text.as_bytes())?;
    stream.write_all(b"\r\n")
}
