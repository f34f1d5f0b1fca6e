//! Service discovery.

use super::{listen, lock, Server, SILENT_POLL};
use crate::soak::wire;
use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which a watch looks for news, and sends an empty line if there is none.
const WATCH_POLL: Duration = Duration::from_millis(20);
const WATCH_KEEP_ALIVE: Duration = Duration::from_secs(2);

/// An entry of the list of servers.
#[derive(Clone)]
struct Entry {
    id: String,
    address: SocketAddr,
    group: u32,
    lifecycle: &'static str,
    started_at_ms: u64,
}

impl Entry {
    fn text(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"z\",\"machineType\":\"m\",\
             \"cell\":{},\"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":{}}}",
            self.id, self.address, self.group, self.lifecycle, self.started_at_ms
        )
    }
}

#[derive(Default)]
struct List {
    entries: HashMap<String, Entry>,
    /// Text of the entries that each version changed, from version 1 on.
    changes: Vec<String>,
}

impl List {
    fn generation(&self) -> usize {
        self.changes.len()
    }

    fn message(&self, generation: usize, is_whole: bool, entries: &str) -> String {
        format!("{{\"generation\":{generation},\"reset\":{is_whole},\"instances\":[{entries}]}}")
    }

    fn whole(&self) -> String {
        let entries: Vec<String> = self.entries.values().map(Entry::text).collect();
        self.message(self.generation(), true, &entries.join(","))
    }
}

/// Service discovery.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
    is_silent: Arc<AtomicBool>,
    /// Watches that were opened before the last reset have an earlier number, and end.
    resets: Arc<AtomicU64>,
}

impl Discovery {
    /// Starts service discovery with an empty list.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub fn start() -> io::Result<Self> {
        let list: Arc<Mutex<List>> = Arc::default();
        let (is_silent, resets) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
        let (served, silent, opened) = (list.clone(), is_silent.clone(), resets.clone());
        let address = listen(move |stream| {
            // The limiter opens a connection that ends again.
            _ = serve_discovery(&stream, &served, &silent, &opened);
        })?;
        Ok(Self {
            address,
            list,
            is_silent,
            resets,
        })
    }

    /// Lists a server in a lifecycle.
    pub fn put(&self, server: &Server, lifecycle: &'static str, started_at_ms: u64) {
        let entry = Entry {
            id: server.id(),
            address: server.address,
            group: server.group(),
            lifecycle,
            started_at_ms,
        };
        let mut list = lock(&self.list);
        list.changes.push(entry.text());
        if lifecycle == "terminated" {
            list.entries.remove(&entry.id);
        } else {
            list.entries.insert(entry.id.clone(), entry);
        }
    }

    /// Returns the whole list, as a limiter's configuration has it.
    pub fn whole(&self) -> String {
        lock(&self.list).whole()
    }

    /// Sets whether it says nothing.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, SeqCst);
    }

    /// Ends all watches.
    pub fn reset_watches(&self) {
        self.resets.fetch_add(1, SeqCst);
    }
}

fn serve_discovery(
    mut stream: &TcpStream,
    list: &Mutex<List>,
    is_silent: &AtomicBool,
    resets: &AtomicU64,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(target) = wire::read_http_target(&mut reader)? {
        while is_silent.load(SeqCst) {
            thread::sleep(SILENT_POLL);
        }
        if !target.contains("watch=1") {
            let whole = lock(list).whole();
            stream.write_all(wire::http_response(&whole).as_bytes())?;
            continue;
        }
        let from = target
            .split("from=")
            .nth(1)
            .and_then(|from| from.parse().ok());
        return watch(stream, list, is_silent, resets, from.unwrap_or(0));
    }
    Ok(())
}

fn watch(
    mut stream: &TcpStream,
    list: &Mutex<List>,
    is_silent: &AtomicBool,
    resets: &AtomicU64,
    mut sent: usize,
) -> io::Result<()> {
    let opened = resets.load(SeqCst);
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut idle = Duration::ZERO;
    while resets.load(SeqCst) == opened {
        let is_quiet = is_silent.load(SeqCst);
        let (generation, changes) = {
            let list = lock(list);
            let changes = list.changes.get(sent..).unwrap_or_default().join(",");
            let generation = list.generation();
            (generation, list.message(generation, false, &changes))
        };
        if generation > sent && !is_quiet {
            stream.write_all(wire::http_chunk(&(changes + "\n")).as_bytes())?;
            (sent, idle) = (generation, Duration::ZERO);
        } else if idle >= WATCH_KEEP_ALIVE && !is_quiet {
            stream.write_all(wire::http_chunk("\n").as_bytes())?;
            idle = Duration::ZERO;
        }
        thread::sleep(WATCH_POLL);
        idle += WATCH_POLL;
    }
    Ok(())
}
