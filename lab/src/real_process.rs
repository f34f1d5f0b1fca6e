//! A real limiter process: starts it with its configuration, signals it, and queries its admin
//! interface.

use crate::error::LabError;
use crate::real_files::ProcessSetup;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Timeout of a call to the admin interface.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for a started process to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a starting process is asked whether it is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running limiter process. It is killed when this value is dropped.
pub struct RealProcess {
    process: Child,
    /// Its ports and its configuration file.
    pub setup: ProcessSetup,
}

impl RealProcess {
    /// Starts a limiter and waits until it is ready. Its log is written to a file beside its
    /// configuration.
    pub fn start(program: &Path, setup: ProcessSetup) -> Result<Self, LabError> {
        let log = File::create(setup.file.with_extension("log"))?;
        let process = Command::new(program)
            .arg(&setup.file)
            // Processes that share this folder would try to take over from each other.
            .env_remove("TMPDIR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(LabError::path(program))?;
        let mut started = Self { process, setup };
        started.await_ready()?;
        Ok(started)
    }

    fn await_ready(&mut self) -> Result<(), LabError> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.process.try_wait() {
                let log = std::fs::read_to_string(self.setup.file.with_extension("log"))
                    .unwrap_or_default();
                return Err(LabError::LimiterEnded {
                    limiter: self.setup.number,
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
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(LabError::LimiterNotReady {
            limiter: self.setup.number,
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<(), LabError> {
        let pid = i32::try_from(self.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(LabError::NoProcess)?;
        Ok(kill_process(pid, signal).map_err(std::io::Error::from)?)
    }

    /// Kills the process and waits until it has ended, so that its ports are free.
    pub fn kill(&mut self) -> Result<(), LabError> {
        let ended = self.process.kill().and_then(|()| self.process.wait());
        Ok(ended.map(drop)?)
    }

    /// Returns the number of upstream servers that the limiter knows, or `None` if it does not
    /// answer.
    pub fn servers_known(&self) -> Option<u32> {
        let text = self.call("show-stat").ok()?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("limiter.servers_known="))?;
        line.trim().parse().ok()
    }

    /// Calls the admin interface and returns the answer.
    fn call(&self, command: &str) -> std::io::Result<String> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.setup.control));
        let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
        stream.set_read_timeout(Some(CALL_TIMEOUT))?;
        stream.write_all(format!("{command}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }
}

impl Drop for RealProcess {
    fn drop(&mut self) {
        // Fails if the process has already exited. A process paused by SIGSTOP can be killed too.
        _ = self.process.kill();
        _ = self.process.wait();
    }
}
