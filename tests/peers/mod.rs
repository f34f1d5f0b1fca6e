//! Scripted peers on loopback for the stories: agents, ticket nodes, node list and counters.
#![allow(dead_code)]

use mossrill::client::ClientProtocol;
use mossrill::platform;
use mossrill::process::{Limiter, Reload, Stopper};
use mossrill::protocol::resp;
use mossrill::{config, openapi};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use slog::{o, Discard, Logger};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Long enough for anything that is to happen at all.
const PATIENCE: Duration = Duration::from_secs(20);

/// Looks until what it sees is so, with patience.
pub fn until<T: std::fmt::Debug>(look: impl Fn() -> T, so: impl Fn(&T) -> bool) -> T {
    let began = std::time::Instant::now();
    loop {
        let seen = look();
        if so(&seen) {
            return seen;
        }
        assert!(began.elapsed() < PATIENCE, "still {seen:?}");
        thread::yield_now();
    }
}

/// A peer: each connection that it takes is handled by `work`, with its number.
pub fn peer(work: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let work = Arc::new(work);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let work = work.clone();
            stream.set_nodelay(true).expect("a socket");
            thread::spawn(move || work(number, stream));
        }
    });
    at
}

/// What a scripted peer does with a command or request.
pub enum Act {
    Say(String),
    Hang,
    Close,
}

/// What a ticket node serves.
pub fn serve(value: &str) -> Act {
    Act::Say(format!(
        "*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n",
        value.len()
    ))
}

/// The next RESP command of a connection.
pub fn command(stream: &mut TcpStream, seen: &mut Vec<u8>) -> Option<Vec<String>> {
    loop {
        if let Ok(Some((words, end))) = resp::command(seen) {
            let words = words
                .into_iter()
                .map(|w| String::from_utf8_lossy(&seen[w]).into_owned())
                .collect();
            seen.drain(..end);
            return Some(words);
        }
        let mut part = [0; 4096];
        let read = stream.read(&mut part).ok().filter(|n| *n > 0)?;
        seen.extend_from_slice(&part[..read]);
    }
}

/// Commands that a peer saw: the connection's number and the words; `None` where the connection ended.
pub type Seen = Receiver<(usize, Option<Vec<String>>)>;

/// A peer that speaks RESP by a script.
pub fn resp_peer(
    script: impl Fn(usize, &[String]) -> Act + Send + Sync + 'static,
) -> (SocketAddr, Seen) {
    let (tell, seen) = channel();
    let tell = Mutex::new(tell);
    let at = peer(move |number, mut stream| {
        let mut bytes = Vec::new();
        while let Some(words) = command(&mut stream, &mut bytes) {
            _ = tell
                .lock()
                .expect("whole")
                .send((number, Some(words.clone())));
            match script(number, &words) {
                Act::Say(text) => _ = stream.write_all(text.as_bytes()),
                Act::Hang => {}
                Act::Close => return,
            }
        }
        _ = tell.lock().expect("whole").send((number, None));
    });
    (at, seen)
}

/// The next command that a peer sees.
pub fn next(seen: &Seen) -> (usize, Option<Vec<String>>) {
    seen.recv_timeout(PATIENCE).expect("something to happen")
}

/// One HTTP message off a connection: first line, header lines, body.
pub fn http(
    from: &mut BufReader<TcpStream>,
    bare: bool,
) -> io::Result<(String, Vec<String>, String)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_owned()),
        }
    }
    let length = lines.iter().find_map(|l| {
        l.to_ascii_lowercase()
            .strip_prefix("content-length: ")?
            .parse()
            .ok()
    });
    let mut body = vec![0; if bare { 0 } else { length.unwrap_or(0) }];
    from.read_exact(&mut body)?;
    let first = lines.remove(0);
    Ok((first, lines, String::from_utf8_lossy(&body).into_owned()))
}

/// A peer that speaks HTTP by a script, which gets the first line, the header lines and the body.
pub fn http_peer(
    script: impl Fn(&str, &[String], &str) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    peer(move |_, stream| {
        let mut from = BufReader::new(stream);
        while let Ok((first, headers, body)) = http(&mut from, false) {
            match script(&first, &headers, &body) {
                Act::Say(text) => _ = from.get_mut().write_all(text.as_bytes()),
                Act::Hang => {}
                Act::Close => return,
            }
        }
    })
}

/// An HTTP answer with a body.
pub fn answer(status: &str, body: &str) -> Act {
    Act::Say(format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// The name and the amount of a call of the counter.
pub fn counted(first: &str) -> (String, f64) {
    let (name, rest) = first
        .trim_start_matches("POST /v1/count/")
        .split_once('?')
        .expect("a call");
    let by = rest
        .trim_start_matches("add=")
        .split('&')
        .next()
        .and_then(|b| b.parse().ok());
    (name.to_owned(), by.expect("an amount"))
}

/// A counter that adds, over HTTP.
pub fn quota_counter() -> (SocketAddr, Arc<Mutex<HashMap<String, f64>>>) {
    let totals: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let own = totals.clone();
    let at = http_peer(move |first, _, _| {
        let (name, by) = counted(first);
        let mut totals = own.lock().expect("whole");
        let total = totals.entry(name).or_default();
        *total += by;
        answer("200 OK", &total.to_string())
    });
    (at, totals)
}

/// A node list that tells of these nodes when asked for it whole, and has no further news.
pub fn whole_list(nodes: Vec<Value>) -> SocketAddr {
    let list = json!({"generation": 3, "reset": true, "instances": nodes}).to_string();
    http_peer(move |first, _, _| match first.contains("watch") {
        true => Act::Say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into()),
        false => answer("200 OK", &list),
    })
}

/// A node list that says nothing after the head of its watch.
pub fn quiet_list() -> SocketAddr {
    http_peer(|_, _, _| Act::Say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".into()))
}

/// An entry of the node list.
pub fn entry(name: &str, at: SocketAddr, lifecycle: &str) -> Value {
    json!({"instanceId": name, "hostPort": at.to_string(), "zone": "z", "cell": 0, "lifecycle": lifecycle,
        "weight": 1.0, "startedAtMs": 0})
}

/// A limiter that runs in this process until it is dropped or stopped.
pub struct Running {
    pub at: SocketAddr,
    pub control: Option<SocketAddr>,
    stopper: Option<Stopper>,
    core: JoinHandle<()>,
}

impl Running {
    fn new<P: ClientProtocol, C>((limiter, _): (Limiter<P>, Reload<C>)) -> Self {
        let (at, control, stopper) = (limiter.bound, limiter.control, Some(limiter.stopper()));
        Self {
            at,
            control,
            stopper,
            core: thread::spawn(move || limiter.run()),
        }
    }

    /// Says that it is to stop, and waits until it has.
    pub fn stop(mut self) {
        self.stopper.take().expect("running").stop();
        self.core.join().expect("an end in order");
    }
}

/// The configuration of a limiter on the platform: three classes, one plan, these ticket nodes.
pub fn settings(list: SocketAddr, counter: SocketAddr, nodes: &[(&str, SocketAddr)]) -> Value {
    let nodes: Vec<Value> = nodes
        .iter()
        .map(|(name, at)| entry(name, *at, "in_service"))
        .collect();
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "slo": 800_000, "deadline": 2_000_000, "importance": 1.0,
            "group": "all", "memorySpan": 10_000_000})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": list.to_string(), "counter": counter.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"sockets": 1024},
        "known": {"generation": 7, "reset": true, "instances": nodes},
        "settings": {"me": 0, "balancers": 1, "tick": 2000, "az": "z",
            "classes": [class("look", "read_like"), class("hold", "idempotency_key"), class("pay", "non_idempotent")],
            "tariffs": [{"name": "basic", "refill": 100.0, "peakUnits": 200.0, "worthFactor": 1.0}],
            "limits": {"maxAttempts": 4, "mayCancel": true, "secondCopies": true, "retryAfter": true,
                "maxRetryAfter": 1_000_000, "connIdle": 30_000_000, "connectTimeout": 250_000, "maxOpen": 20_000},
            "loadInfo": {"fields": ["queue", "inflight", "util"], "source": "pull"},
            "specifics": {"mayCount": true, "unitsTop": 6, "counterTimeout": 50_000}}})
}

/// Starts a limiter on the platform.
pub fn limiter(settings: &Value) -> Running {
    let config = config::platform(&settings.to_string(), |_| None).expect("a good configuration");
    Running::new(platform::start(config, &quiet()).expect("a start"))
}

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
        let mut lines = std::iter::from_fn(|| self.log.recv_timeout(PATIENCE).ok());
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

/// Starts a limiter with an OpenAPI front.
pub fn openapi_limiter(file: &Value, description: &str) -> Running {
    openapi_reloaded(file, None, description)
}

/// The same, given another file at once.
pub fn openapi_reloaded(file: &Value, other: Option<&Value>, description: &str) -> Running {
    let read = |file: &Value| config::openapi(&file.to_string(), |_| Ok(description.to_owned()));
    let (limiter, mut reload) =
        openapi::start(read(file).expect("a good file"), &quiet()).expect("a start");
    other
        .into_iter()
        .for_each(|file| reload(read(file).expect("a good file")));
    Running::new((limiter, reload))
}

fn quiet() -> Logger {
    Logger::root(Discard, o!())
}

/// What an operator is told who calls there.
pub fn call(at: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream.write_all(line.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

/// An agent's connection.
pub struct Agent(pub BufReader<TcpStream>);

impl Agent {
    /// Connects, and waits until the limiter says that it is ready.
    pub fn ready(limiter: &Running) -> Self {
        Self::ready_at(limiter.at)
    }

    pub fn ready_at(at: SocketAddr) -> Self {
        let mut agent = Self::connect_at(at);
        loop {
            agent.say("*1\r\n$4\r\nPING\r\n");
            if agent.line() == "+PONG" {
                return agent;
            }
            thread::yield_now();
        }
    }

    /// Connects if somebody is there and ready.
    pub fn try_at(at: SocketAddr) -> Option<Self> {
        Self::try_on(TcpStream::connect(at).ok()?)
    }

    /// Takes a connection if whoever is at its other end is ready.
    pub fn try_on(stream: TcpStream) -> Option<Self> {
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        let mut agent = Self(BufReader::new(stream));
        (agent.try_ask("*1\r\n$4\r\nPING\r\n")? == "+PONG").then_some(agent)
    }

    /// Asks and waits for the answer; none if the connection ends first.
    pub fn try_ask(&mut self, text: &str) -> Option<String> {
        self.0.get_mut().write_all(text.as_bytes()).ok()?;
        let mut line = String::new();
        let mut next = || match self.0.read_line(&mut line) {
            Ok(read) if read > 0 => Some(std::mem::take(&mut line).trim_end().to_owned()),
            Ok(_) => None,
            Err(fault) => {
                let waits = matches!(
                    fault.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                );
                assert!(
                    !waits,
                    "no answer and no end of {:?} at {:?}",
                    text,
                    self.0.get_ref()
                );
                None
            }
        };
        let first = next()?;
        if first.starts_with('$') {
            next()
        } else {
            Some(first)
        }
    }

    pub fn connect(limiter: &Running) -> Self {
        Self::connect_at(limiter.at)
    }

    pub fn connect_at(at: SocketAddr) -> Self {
        let stream = TcpStream::connect(at).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        Self(BufReader::new(stream))
    }

    pub fn say(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .expect("written");
    }

    /// Asks for a class with an id, an account and a time to wait.
    pub fn ask(&mut self, class: &str, id: &str, wait: u64) {
        self.say(&asking(class, id, wait));
    }

    /// The next line; empty at the end of the connection.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(_) => line.trim_end().to_owned(),
            Err(fault) if fault.kind() == io::ErrorKind::ConnectionReset => String::new(),
            Err(fault) => panic!("no line: {fault}"),
        }
    }

    /// The next answer: a value, or the line.
    pub fn answer(&mut self) -> String {
        let line = self.line();
        match line.starts_with('$') {
            true => self.line(),
            false => line,
        }
    }
}

/// A command of an agent.
pub fn asking(class: &str, id: &str, wait: u64) -> String {
    asking_for("00000000b4d65521", 1, class, id, wait)
}

/// A command of an agent for an account that comes through so many limiters.
pub fn asking_for(account: &str, spread: usize, class: &str, id: &str, wait: u64) -> String {
    let fields = format!("c={class},t=basic,d={wait},k=5c0f,units=2,spread={spread},first=0");
    let verb = if class == "look" {
        "SVC.QUERY"
    } else {
        "SVC.SUBMIT"
    };
    let mut text = Vec::new();
    let words = [verb, account, id, &fields, "BODY"];
    resp::write_command(&mut text, words.iter().map(|w| w.as_bytes()));
    String::from_utf8(text).expect("text")
}
