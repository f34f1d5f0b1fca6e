//! The processes of the limiters of a soak, and what an operator does to them.

use super::record::{Event, Recorder, Signalled};
use crate::error::LabError;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const DEPLOY_FILE: &str = include_str!("../../../deploy/balancer.toml");

/// Time within which a process becomes ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which processes are looked at.
const POLL: Duration = Duration::from_millis(20);
/// A process is killed this long after the longest deadline, counted from SIGTERM.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time after which a new process has closed the descriptors of this one.
const EXEC_TIME: Duration = Duration::from_millis(100);
/// For how long a process is held up.
const PAUSE: Duration = Duration::from_millis(140);
/// For how long the system starts no thread for a disturbed process.
const THREAD_GAP: Duration = Duration::from_millis(150);
/// Timeout of a call to the admin interface.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The library that disturbs the system calls and the wall clock of a process.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// The shared library.
    pub library: PathBuf,
    /// Seed of the failures.
    pub seed: u64,
    /// How far the wall clock steps, in seconds.
    pub clock_step_s: i64,
}

/// How the processes of a limiter are started.
#[derive(Clone)]
pub struct Setup {
    /// Number of the limiter.
    pub number: usize,
    /// The program.
    pub program: PathBuf,
    /// Folder of its configuration, its logs and its upgrades.
    pub folder: PathBuf,
    /// The configuration, without the address of the admin interface.
    pub config: serde_json::Value,
    /// The longest deadline of any class.
    pub longest_deadline: Duration,
    /// What disturbs processes that are started while a disturbance is on.
    pub disturbance: Option<Disturbance>,
}

struct Process {
    child: Child,
    started: Instant,
}

/// A limiter: the process that serves, and another one during an upgrade. Clones share it.
#[derive(Clone)]
pub struct Limiter {
    setup: Setup,
    processes: Arc<Mutex<Vec<Process>>>,
    /// Number of processes started so far.
    starts: Arc<Mutex<u32>>,
    recorder: Recorder,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns an address of loopback whose port is free.
///
/// # Errors
///
/// If no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

impl Limiter {
    /// Returns a limiter without a process.
    pub fn new(setup: Setup, recorder: &Recorder) -> Self {
        Self {
            setup,
            processes: Arc::default(),
            starts: Arc::default(),
            recorder: recorder.clone(),
        }
    }

    /// Starts a process and waits until it is ready. Returns its id.
    ///
    /// # Errors
    ///
    /// If it can't be started or is not ready in time.
    pub fn start(&self, is_disturbed: bool) -> Result<u32, LabError> {
        let start = {
            let mut starts = lock(&self.starts);
            *starts += 1;
            *starts
        };
        let control = free_address()?;
        let file = self.setup.folder.join(format!("config-{start}.json"));
        let mut config = self.setup.config.clone();
        config["control"] = control.to_string().into();
        fs::write(&file, config.to_string())?;
        let log = File::create(self.setup.folder.join(format!("log-{start}.txt")))?;
        let mut command = Command::new(&self.setup.program);
        command.envs(deployed_environment());
        command
            .env("EDGE_CONFIG", &file)
            .env("TMPDIR", &self.setup.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(disturbance) = self.setup.disturbance.as_ref().filter(|_| is_disturbed) {
            let injected = self.setup.folder.join(format!("injected-{start}.txt"));
            command
                .env("LD_PRELOAD", &disturbance.library)
                .env("INTERPOSE_SEED", disturbance.seed.to_string())
                .env("INTERPOSE_CLOCK_STEP", disturbance.clock_step_s.to_string())
                .env("INTERPOSE_THREAD_GAP", THREAD_GAP.as_millis().to_string())
                .env("INTERPOSE_LOG", injected);
        }
        if lock(&self.processes).is_empty() {
            self.recorder.note(Event::StartedAnew {
                limiter: self.setup.number,
            });
        }
        let child = command
            .spawn()
            .map_err(LabError::path(&self.setup.program))?;
        let process = child.id();
        lock(&self.processes).push(Process {
            child,
            started: Instant::now(),
        });
        self.wait_ready(process, control)?;
        Ok(process)
    }

    fn wait_ready(&self, process: u32, control: SocketAddr) -> Result<(), LabError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline && self.is_running(process) {
            if call_ready(control).is_ok_and(|answer| answer.starts_with("YES")) {
                return Ok(());
            }
            thread::sleep(POLL);
        }
        Err(LabError::LimiterNotReady {
            limiter: self.setup.number as u32,
        })
    }

    fn is_running(&self, process: u32) -> bool {
        lock(&self.processes)
            .iter()
            .any(|running| running.child.id() == process)
    }

    /// Returns the ids of its processes, the one that was started last at the end.
    pub fn process_ids(&self) -> Vec<u32> {
        let processes = lock(&self.processes);
        processes.iter().map(|running| running.child.id()).collect()
    }

    fn signal(&self, process: u32, signalled: Signalled) {
        self.recorder.note(Event::Signal {
            limiter: self.setup.number,
            process,
            signal: signalled,
        });
        let signal = match signalled {
            Signalled::Terminate => Signal::TERM,
            Signalled::Kill => Signal::KILL,
            Signalled::Reload => Signal::HUP,
        };
        send_signal(process, signal);
    }

    /// Sends SIGTERM, and SIGKILL at the earliest moment, and waits for the end of the process.
    pub fn terminate(&self, process: u32) {
        self.signal(process, Signalled::Terminate);
        let kill_at = Instant::now() + self.setup.longest_deadline + KILL_DELAY;
        while self.is_running(process) && Instant::now() < kill_at {
            thread::sleep(POLL / 10);
        }
        if self.is_running(process) {
            self.kill(process);
        }
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&self, process: u32) {
        self.signal(process, Signalled::Kill);
        while self.is_running(process) {
            thread::sleep(POLL / 10);
        }
    }

    /// Sends SIGHUP to the process that serves.
    pub fn reload(&self) {
        if let Some(process) = self.process_ids().last() {
            self.signal(*process, Signalled::Reload);
        }
    }

    /// Holds the process that serves up for a moment.
    pub fn pause(&self) {
        if let Some(process) = self.process_ids().last() {
            send_signal(*process, Signal::STOP);
            thread::sleep(PAUSE);
            send_signal(*process, Signal::CONT);
        }
    }

    /// Records what its processes hold together, and which of them have ended.
    pub fn observe(&self) {
        let mut processes = lock(&self.processes);
        processes.retain_mut(|running| {
            let Ok(Some(status)) = running.child.try_wait() else {
                return true;
            };
            self.recorder.note(Event::Ended {
                limiter: self.setup.number,
                process: running.child.id(),
                status: status.to_string(),
            });
            false
        });
        let held: Vec<Held> = processes
            .iter()
            .filter(|running| running.started.elapsed() >= EXEC_TIME)
            .filter_map(|running| Held::read(running.child.id()))
            .collect();
        drop(processes);
        // The pages of the program's files are shared.
        let files = held.iter().map(|held| held.file_kib).max().unwrap_or(0);
        self.recorder.note(Event::Measured {
            limiter: self.setup.number,
            resident_kib: files + held.iter().map(|held| held.anonymous_kib).sum::<u64>(),
            descriptors: held.iter().map(|held| held.descriptors).sum(),
        });
    }
}

fn send_signal(process: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(process).ok().and_then(Pid::from_raw) {
        // Fails if the process has just ended.
        _ = kill_process(pid, signal);
    }
}

fn call_ready(control: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&control, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(b"ready\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// What a process holds.
struct Held {
    anonymous_kib: u64,
    file_kib: u64,
    descriptors: u64,
}

impl Held {
    fn read(process: u32) -> Option<Self> {
        let folder = Path::new("/proc").join(process.to_string());
        let status = fs::read_to_string(folder.join("status")).ok()?;
        let figure = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse().ok()
        };
        Some(Self {
            anonymous_kib: figure("RssAnon:")?,
            file_kib: figure("RssFile:")?,
            descriptors: fs::read_dir(folder.join("fd")).ok()?.count() as u64,
        })
    }
}

/// Returns the variable that the command of the deploy file exports.
fn deployed_environment() -> Option<(&'static str, &'static str)> {
    let (_, exported) = DEPLOY_FILE.split_once("export ")?;
    exported.split_once(';')?.0.split_once('=')
}
