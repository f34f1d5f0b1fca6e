//! Limiters that run as processes of their own.

use super::client::call;
use super::servers::command;
use super::wait::{until, WAIT_TIMEOUT};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

/// The program itself, with its configuration in a file; ended when dropped.
pub struct Program {
    pub at: SocketAddr,
    pub control: Option<SocketAddr>,
    file: PathBuf,
    child: Child,
    /// Its lines; read off it all the time, as a full pipe would hold it up.
    log: Receiver<String>,
}

impl Program {
    pub fn start(name: &str, settings: &Value) -> Self {
        Self::start_in(name, settings, None)
    }

    /// The same, with a folder that it has in common with others.
    pub fn start_in(name: &str, settings: &Value, folder: Option<&Path>) -> Self {
        Self::spawn(name, settings, folder).listening()
    }

    /// A program of this project that is given its file as `command` says.
    pub fn start_with(name: &str, file: &Value, command: impl FnOnce(&Path) -> Command) -> Self {
        Self::spawn_with(name, file, command).listening()
    }

    /// Waits until it listens, and where.
    fn listening(mut self) -> Self {
        let line = self.logged("listening");
        let address = line
            .split("address: ")
            .nth(1)
            .and_then(|at| at.split(',').next()?.trim().parse().ok());
        self.at = address.expect("an address");
        self.control = line
            .split("control: ")
            .nth(1)
            .and_then(|at| at.split(',').next()?.parse().ok());
        self
    }

    /// One that can't start.
    pub fn fails_in(name: &str, settings: &Value, folder: &Path) {
        let mut program = Self::spawn(name, settings, Some(folder));
        program.logged("cannot start");
        assert!(!program.child.wait().expect("an end").success());
    }

    /// One that the system gives no more descriptors than its configuration says.
    pub fn start_bounded(name: &str, settings: &Value) -> Self {
        let mut shell = Command::new("sh");
        let most = settings["limits"]["sockets"].to_string();
        shell.args([
            "-c",
            "ulimit -n \"$1\" && exec \"$0\"",
            env!("CARGO_BIN_EXE_mossrill"),
            &most,
        ]);
        Self::spawn_by(shell, name, settings, None).listening()
    }

    /// One with an OpenAPI front, its file and description in a folder.
    pub fn start_openapi(name: &str, file: &Value, description: &str, folder: &Path) -> Self {
        let path = folder.join("openapi.json");
        std::fs::write(&path, file.to_string()).expect("a file");
        std::fs::write(
            folder.join(file["description"].as_str().expect("a name")),
            description,
        )
        .expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_mossrill"));
        command.arg(path);
        Self::spawn_by(command, name, file, None).listening()
    }

    fn spawn(name: &str, settings: &Value, folder: Option<&Path>) -> Self {
        Self::spawn_by(
            Command::new(env!("CARGO_BIN_EXE_mossrill")),
            name,
            settings,
            folder,
        )
    }

    fn spawn_by(mut command: Command, name: &str, settings: &Value, folder: Option<&Path>) -> Self {
        Self::spawn_with(name, settings, |file| {
            command
                .env("EDGE_CONFIG", file)
                .env_remove("TMPDIR")
                .envs(folder.map(|at| ("TMPDIR", at)));
            command
        })
    }

    fn spawn_with(name: &str, settings: &Value, command: impl FnOnce(&Path) -> Command) -> Self {
        let file =
            std::env::temp_dir().join(format!("mossrill-{name}-{}.json", std::process::id()));
        std::fs::write(&file, settings.to_string()).expect("a file");
        let mut child = command(&file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("a start");
        let (line, log) = channel();
        let lines = BufReader::new(child.stderr.take().expect("a log")).lines();
        thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .all(|text| line.send(text + "\n").is_ok())
        });
        Self {
            at: SocketAddr::from(([0; 4], 0)),
            control: None,
            file,
            child,
            log,
        }
    }

    /// What an operator is told.
    pub fn call(&self, line: &str) -> String {
        call(
            self.control.expect("an operators' line"),
            &format!("{line}\n"),
        )
    }

    /// Waits until it has ended.
    pub fn logged_end(&mut self) {
        self.log.iter().for_each(drop);
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("a shell")
            .success());
    }

    /// Processor time that it has used, in hundredths of a second, and its memory in kB.
    pub fn used(&self) -> (u64, u64) {
        let read = |file: &str| {
            std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).expect("a process")
        };
        let (stat, status) = (read("stat"), read("status"));
        let fields: Vec<_> = stat
            .rsplit(") ")
            .next()
            .unwrap_or_default()
            .split(' ')
            .collect();
        let ticks = |at: usize| fields[at].parse::<u64>().expect("a number");
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory = memory.and_then(|text| text.trim().split(' ').next()?.parse().ok());
        (ticks(11) + ticks(12), memory.expect("a number"))
    }

    /// Its number in the system.
    pub fn number(&self) -> u32 {
        self.child.id()
    }

    /// How many descriptors it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("a process")
            .count()
    }

    /// Stops it, and waits until each of its threads stands still.
    pub fn stands_still(&self) {
        kill_process(Pid::from_child(&self.child), Signal::STOP).expect("a process");
        let still = || {
            let tasks =
                std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("a process");
            let stats = tasks
                .filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("stat")).ok());
            stats.into_iter().all(|stat| {
                stat.rsplit(") ")
                    .next()
                    .is_some_and(|rest| rest.starts_with('T'))
            })
        };
        until(still, |still| *still);
    }

    /// Lets it go on.
    pub fn goes_on(&self) {
        kill_process(Pid::from_child(&self.child), Signal::CONT).expect("a process");
    }

    /// How many threads it has.
    pub fn threads(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/task", self.child.id()))
            .expect("a process")
            .count()
    }

    /// Calls until the answer begins so.
    pub fn call_until(&self, line: &str, so: &str) {
        until(|| self.call(line), |answer| answer.starts_with(so));
    }

    /// Says that it is to stop, and waits until it has, in order.
    pub fn ends(mut self) {
        let kill = format!("kill -TERM {} 2>/dev/null", self.child.id());
        _ = Command::new("sh")
            .args(["-c", &kill])
            .status()
            .expect("a shell");
        let status = self.child.wait().expect("an end");
        let log: Vec<_> = self.log.iter().collect();
        assert!(status.success(), "{status}: {}", log.join("\n"));
    }

    /// Reads the log up to a line with these words.
    pub fn logged(&mut self, words: &str) -> String {
        let mut lines = std::iter::from_fn(|| self.log.recv_timeout(WAIT_TIMEOUT).ok());
        let found = lines.find(|line| line.contains(words));
        found.unwrap_or_else(|| panic!("ended or silent without {words:?}"))
    }

    /// What it has logged and nobody has read.
    pub fn log(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Replaces the file and says so.
    pub fn reload(&mut self, text: &str) {
        std::fs::write(&self.file, text).expect("a file");
        self.signal("HUP");
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = std::fs::remove_file(&self.file);
    }
}
