//! Stand-ins for the limiter's peers, which fail on demand: upstream servers, service discovery and
//! the quota counter.

use super::record::{Event, Recorder};
use super::wire;
use crate::stand_in::spawn;
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How long a server works on a request.
const WORK_TIME: Duration = Duration::from_millis(8);
/// How long a slow server works on a request.
const SLOW_WORK_TIME: Duration = Duration::from_millis(250);
/// Interval at which a silent peer looks whether it is to answer again.
const SILENT_POLL: Duration = Duration::from_millis(20);
/// Interval at which a watch looks for news, and sends an empty line if there is none.
const WATCH_POLL: Duration = Duration::from_millis(20);
const WATCH_KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Length of a long value, in bytes.
pub const LONG_VALUE_BYTES: usize = 300_000;
/// Ids of requests whose value is long begin with this.
pub const LONG_PREFIX: &str = "long";

/// How a server treats the attempts that it reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// It serves them.
    Serve,
    /// It serves them slowly.
    Slow,
    /// It reads them and says nothing.
    Silent,
    /// It turns them away.
    TurnAway,
    /// It reads them and closes the connection.
    Reset,
}

/// Which server answers at an address.
#[derive(Clone)]
struct Identity {
    id: String,
    group: u32,
    conduct: Conduct,
    /// Counts the processes at this address: connections of an earlier one are not served.
    process: u64,
}

/// An upstream server.
#[derive(Clone)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    identity: Arc<Mutex<Identity>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    recorder: Recorder,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Accepts connections on a free port and serves each on its own thread.
fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    spawn(move || {
        for stream in listener.incoming().flatten() {
            _ = stream.set_nodelay(true);
            let serve = serve.clone();
            _ = spawn(move || serve(stream));
        }
    })?;
    Ok(address)
}

impl Server {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub fn start(id: &str, group: u32, recorder: &Recorder) -> io::Result<Self> {
        let identity = Arc::new(Mutex::new(Identity {
            id: id.to_owned(),
            group,
            conduct: Conduct::Serve,
            process: 0,
        }));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let worker = ServerWorker {
            identity: identity.clone(),
            recorder: recorder.clone(),
        };
        let registered = connections.clone();
        let address = listen(move |stream| {
            lock(&registered).extend(stream.try_clone());
            // A connection that fails or sends something else is closed.
            _ = worker.serve(&stream);
            _ = stream.shutdown(Shutdown::Both);
        })?;
        Ok(Self {
            address,
            identity,
            connections,
            recorder: recorder.clone(),
        })
    }

    /// Returns its id.
    pub fn id(&self) -> String {
        lock(&self.identity).id.clone()
    }

    /// Returns the group of servers that discard repeats of a key with it.
    pub fn group(&self) -> u32 {
        lock(&self.identity).group
    }

    /// Sets how it treats attempts from now on.
    pub fn set_conduct(&self, conduct: Conduct) {
        lock(&self.identity).conduct = conduct;
    }

    /// Resets all connections, as if the machine were back after a failure.
    pub fn reset_connections(&self) {
        for stream in lock(&self.connections).drain(..) {
            _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Another server takes this one's place at its address; what the old one had taken is gone.
    pub fn replace(&self, id: &str, group: u32) {
        let mut identity = lock(&self.identity);
        identity.id = id.to_owned();
        identity.group = group;
        identity.conduct = Conduct::Serve;
        identity.process += 1;
        drop(identity);
        self.reset_connections();
    }

    /// Records that discovery lists it as draining from now on.
    pub fn note_drain(&self) {
        self.recorder.note(Event::Drains { server: self.id() });
    }
}

/// Serves the connections of a server.
#[derive(Clone)]
struct ServerWorker {
    identity: Arc<Mutex<Identity>>,
    recorder: Recorder,
}

impl ServerWorker {
    fn identity(&self) -> Identity {
        lock(&self.identity).clone()
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        let process = self.identity().process;
        let mut reader = BufReader::new(stream);
        loop {
            if reader.fill_buf()?.is_empty() {
                return Ok(());
            }
            let begun_at = self.recorder.now();
            let Some(words) = wire::read_command(&mut reader)? else {
                return Ok(());
            };
            if self.identity().process != process {
                return Ok(());
            }
            match words[0].as_slice() {
                b"INFO" => write(stream, &wire::bulk(b"queue=0,inflight=0,util=0.1"))?,
                b"PING" => write(stream, b"+PONG\r\n")?,
                _ if words.len() < 4 => write(stream, b"-ERR unknown\r\n")?,
                _ => self.attempt(stream, &words, begun_at, process)?,
            }
        }
    }

    fn attempt(
        &self,
        stream: &TcpStream,
        words: &[Vec<u8>],
        begun_at: u64,
        process: u64,
    ) -> io::Result<()> {
        let identity = self.identity();
        let id = String::from_utf8_lossy(&words[2]).into_owned();
        self.recorder.note(Event::Arrived {
            server: identity.id.clone(),
            group: identity.group,
            id: id.clone(),
            begun_at,
            told_ms: told_ms(&words[3]),
        });
        match identity.conduct {
            Conduct::Serve => thread::sleep(WORK_TIME),
            Conduct::Slow => thread::sleep(SLOW_WORK_TIME),
            Conduct::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
            Conduct::TurnAway => {
                self.recorder.note(Event::TurnedAway {
                    server: identity.id,
                    id,
                });
                return write(stream, b"-BUSY\r\n");
            }
            Conduct::Silent => {
                while self.identity().conduct == Conduct::Silent
                    && self.identity().process == process
                {
                    thread::sleep(SILENT_POLL);
                }
            }
        }
        let mut answer = b"*3\r\n".to_vec();
        answer.extend_from_slice(&wire::bulk(&value_of(&id)));
        answer.extend_from_slice(b"$-1\r\n$-1\r\n");
        write(stream, &answer)
    }
}

fn write(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes)
}

/// Returns the value that a server makes for a request.
pub fn value_of(id: &str) -> Vec<u8> {
    let mut value = format!("value of {id} ").into_bytes();
    if id.starts_with(LONG_PREFIX) {
        value.resize(LONG_VALUE_BYTES, b'v');
    }
    value
}

/// Returns the time that an attempt names as left, in milliseconds.
fn told_ms(fields: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(fields);
    let told = text
        .split(',')
        .find_map(|pair| pair.strip_prefix("d=")?.parse().ok());
    told.unwrap_or(0)
}

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
