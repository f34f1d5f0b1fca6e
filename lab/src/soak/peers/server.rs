//! An upstream server.

use super::{listen, lock, SILENT_POLL};
use crate::soak::record::{Event, Recorder};
use crate::soak::wire;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long a server works on a request.
const WORK_TIME: Duration = Duration::from_millis(8);
/// How long a slow server works on a request.
const SLOW_WORK_TIME: Duration = Duration::from_millis(250);
/// Length of a long value, in bytes.
pub const LONG_VALUE_BYTES: usize = 300_000;
/// Ids of requests whose value is long begin with this.
pub const LONG_PREFIX: &str = "long";
/// Ids of requests of slow clients whose value is long begin with this.
pub const SLOW_PREFIX: &str = "longslow";
/// How long a server stands still in the middle of a value.
const STALL_TIME: Duration = Duration::from_millis(7_000);

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
    /// It stands still in the middle of values for slow clients, and then gives the rest.
    Stall,
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
            Conduct::Serve | Conduct::Stall => thread::sleep(WORK_TIME),
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
        if identity.conduct == Conduct::Stall && id.starts_with(SLOW_PREFIX) {
            let (first, rest) = answer.split_at(answer.len() / 2);
            write(stream, first)?;
            thread::sleep(STALL_TIME);
            return write(stream, rest);
        }
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
