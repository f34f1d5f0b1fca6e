//! A real limiter process: started with its file, signalled, and asked for its figures on the operators' line.

use crate::error::LabError;
use crate::real_files::Place;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A call on the operators' line may take so long.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// A process that is started serves by then.
const START_LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

/// A running limiter; it ends with this value.
pub struct RealProcess {
    process: Child,
    /// Where it listens.
    pub place: Place,
}

impl RealProcess {
    /// Starts a limiter and waits until it serves. Its log goes beside its file.
    pub fn start(program: &Path, place: Place) -> Result<Self, LabError> {
        let log = File::create(place.file.with_extension("log"))?;
        let process = Command::new(program)
            .arg(&place.file)
            // Processes that share a folder would take over from each other.
            .env_remove("TMPDIR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(LabError::path(program))?;
        let mut started = Self { process, place };
        started.await_ready()?;
        Ok(started)
    }

    fn await_ready(&mut self) -> Result<(), LabError> {
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.process.try_wait() {
                let log = std::fs::read_to_string(self.place.file.with_extension("log"))
                    .unwrap_or_default();
                return Err(LabError::LimiterEnded {
                    limiter: self.place.number,
                    status,
                    log,
                });
            }
            if self
                .call("ready")
                .is_ok_and(|answer| answer.starts_with("YES"))
            {
                return Ok(());
            }
            std::thread::sleep(POLL);
        }
        Err(LabError::LimiterNotReady {
            limiter: self.place.number,
        })
    }

    /// Its process number.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Signals it.
    pub fn signal(&self, signal: Signal) -> Result<(), LabError> {
        let pid = i32::try_from(self.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(LabError::NoProcess)?;
        Ok(kill_process(pid, signal).map_err(std::io::Error::from)?)
    }

    /// Ends it at once; its ports are free then.
    pub fn kill(&mut self) -> Result<(), LabError> {
        let ended = self.process.kill().and_then(|()| self.process.wait());
        Ok(ended.map(drop)?)
    }

    /// Entries of the server list that it uses.
    pub fn servers_known(&self) -> Option<u32> {
        let text = self.call("show-stat").ok()?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("limiter.servers_known="))?;
        line.trim().parse().ok()
    }

    fn call(&self, word: &str) -> std::io::Result<String> {
        let at = SocketAddr::from((Ipv4Addr::LOCALHOST, self.place.control));
        let mut stream = TcpStream::connect_timeout(&at, CALL_LIMIT)?;
        stream.set_read_timeout(Some(CALL_LIMIT))?;
        stream.write_all(format!("{word}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }
}

impl Drop for RealProcess {
    fn drop(&mut self) {
        // It may have ended of itself; one that was stopped can be killed all the same.
        _ = self.process.kill();
        _ = self.process.wait();
    }
}
