//! Quota leases with real processes on loopback: three allocators, three limiters with an OpenAPI front, and stand-ins for
//! the upstream servers that keep a record of what reached them; and a crowd of limiters at one allocator.

mod peers;

use mossrill::quota_lease::frame::{self, Timeouts};
use mossrill::quota_lease::message::{AccountKey, Grant, PlanLimits, Report, ReportEntry, FORMAT};
use mossrill::quota_lease::placement;
use peers::*;
use prost::Message;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const ALLOCATORS: u32 = 3;
const LIMITERS: u32 = 3;
const ACCOUNT: &str = "agen-utama";
/// Units a second, and the burst, of the account's plan. A request is one unit.
const RATE: f64 = 30.0;
const BURST: f64 = 20.0;
const LIFETIME_MS: u64 = 1_000;
/// Share of the quota that limiters may use together while its owner does not answer.
const FALLBACK: f64 = 0.5;
/// Agents at each limiter, and how long one waits between two requests: together they ask for several times the quota.
const AGENTS: u32 = 2;
const AGENT_PAUSE: Duration = Duration::from_millis(12);
/// An allocator closes a connection without a report after this time.
const IDLE_MS: u64 = 3_000;
/// Metrics are logged so often.
const FIGURES_MS: u64 = 200;

/// Upstream servers' record: when each request came, counted once however often it was sent.
#[derive(Default)]
struct Record {
    seen: Mutex<(HashSet<String>, usize)>,
}

impl Record {
    fn served(&self) -> usize {
        self.seen.lock().expect("whole").1
    }

    fn note(&self, request: &str) {
        let mut seen = self.seen.lock().expect("whole");
        if seen.0.insert(request.to_owned()) {
            seen.1 += 1;
        }
    }
}

fn upstream(record: &Arc<Record>) -> SocketAddr {
    let record = record.clone();
    http_peer(move |first, _, _| {
        record.note(first);
        answer("200 OK", "{}")
    })
}

/// Ports at which allocators listen, above which each adds its number.
const SERVICE_PORT: u16 = 7_300;
const FLEET_PORT: u16 = 7_946;

/// An address on loopback that no other story has while this process runs.
///
/// Guards against ports that the system gives to somebody else while an allocator is down: connections that others open come
/// from 127.0.0.1, where no allocator of these stories listens.
fn own_host() -> Ipv4Addr {
    static HOSTS: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(
        127,
        1 + high % 250,
        low,
        1 + HOSTS.fetch_add(1, Ordering::Relaxed),
    )
}

/// Addresses of the allocators: for limiters, and for each other.
struct Places {
    service: Vec<SocketAddr>,
    fleet: Vec<SocketAddr>,
}

impl Places {
    fn new() -> Self {
        let host = own_host();
        let from = |port: u16| {
            (port..)
                .take(ALLOCATORS as usize)
                .map(|port| (host, port).into())
                .collect()
        };
        Self {
            service: from(SERVICE_PORT),
            fleet: from(FLEET_PORT),
        }
    }

    fn allocator_file(&self, number: u32) -> Value {
        let seed = |(number, at): (usize, &SocketAddr)| json!({"limiter": number, "address": at.to_string()});
        let seeds: Vec<Value> = self.fleet.iter().enumerate().map(seed).collect();
        let own = number as usize;
        json!({"number": number, "allocators": ALLOCATORS, "limiters": LIMITERS + 1,
            "listen": self.service[own].to_string(), "lifetime_ms": LIFETIME_MS, "idle_ms": IDLE_MS, "frame_ms": 500,
            "log_interval_ms": FIGURES_MS,
            "fleet": {"name": "allocators", "key": "00112233445566778899aabbccddeeff", "period_ms": 100,
                "out_per_s": 100, "in_per_s": 100, "listen": self.fleet[own].to_string(), "seeds": seeds}})
    }

    fn limiter_file(&self, me: u32, upstreams: &[SocketAddr]) -> Value {
        let allocator = |(number, at): (usize, &SocketAddr)| json!({"number": number, "address": at.to_string()});
        let allocators: Vec<Value> = self.service.iter().enumerate().map(allocator).collect();
        let node = |(number, at): (usize, &SocketAddr)| json!({"name": format!("node-{number}"), "address": at.to_string()});
        let nodes: Vec<Value> = upstreams.iter().enumerate().map(node).collect();
        json!({"name": format!("limiter-{me}"), "listen": "127.0.0.1:0", "limiters": {"me": me, "all": LIMITERS},
            "description": concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/ferry.openapi.json"),
            "plans": [{"name": "utama", "rate": RATE, "burst": BURST}],
            "accounts": [{"name": ACCOUNT, "plan": "utama"}],
            "ticket_nodes": nodes,
            "store": {"kind": "leases", "allocators": allocators, "lifetime_ms": LIFETIME_MS, "interval_ms": 200,
                "answer_ms": 2_000, "fallback": FALLBACK}})
    }

    fn start_allocator(&self, story: &str, number: u32) -> Program {
        let name = format!("{story}-allocator-{number}");
        Program::start_with(&name, &self.allocator_file(number), allocator_command)
    }
}

fn allocator_command(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mossrill-allocator"));
    command.arg(file);
    command
}

/// All processes of a story, and the load on them.
struct Story {
    places: Places,
    name: &'static str,
    allocators: Vec<Option<Program>>,
    limiters: Vec<Program>,
    record: Arc<Record>,
    began: Instant,
    load: Option<Load>,
}

impl Story {
    /// Starts everything, and waits until all allocators hold their leases.
    fn start(name: &'static str) -> Self {
        let (places, started) = (Places::new(), Instant::now());
        let mut allocators: Vec<_> = (0..ALLOCATORS)
            .map(|n| places.start_allocator(name, n))
            .collect();
        for allocator in &mut allocators {
            until_logged(allocator, "held: true", |_| true);
        }
        println!(
            "{name}: all hold their leases after {:.1} s",
            started.elapsed().as_secs_f64()
        );
        let record = Arc::new(Record::default());
        let upstreams = [upstream(&record), upstream(&record)];
        let began = Instant::now();
        let limiter = |me| {
            let file = places.limiter_file(me, &upstreams);
            Program::start_with(&format!("{name}-limiter-{me}"), &file, |file| {
                let mut command = Command::new(env!("CARGO_BIN_EXE_mossrill"));
                command.arg(file);
                command
            })
        };
        let limiters = (0..LIMITERS).map(limiter).collect();
        let allocators = allocators.into_iter().map(Some).collect();
        Self {
            places,
            name,
            allocators,
            limiters,
            record,
            began,
            load: None,
        }
    }

    fn load(&mut self) {
        self.load = Some(Load::start(self.limiters.iter().map(|limiter| limiter.at)));
    }

    /// The allocator that owns the account while all serve.
    fn owner(&self) -> u32 {
        placement::owner(AccountKey::of(ACCOUNT), ALLOCATORS, 0).expect("an owner")
    }

    fn kill(&mut self, number: u32) {
        self.allocators[number as usize] = None;
    }

    /// Waits until an allocator's figures say so.
    fn until_figure(&mut self, number: u32, key: &str, so: impl Fn(u64) -> bool) -> u64 {
        let line = self.until_line(number, "figures", |line| so(figure(line, key)));
        figure(&line, key)
    }

    /// Waits until an allocator logs a line with these words that is so.
    fn until_line(&mut self, number: u32, words: &str, so: impl Fn(&str) -> bool) -> String {
        let allocator = self.allocators[number as usize].as_mut().expect("running");
        until_logged(allocator, words, so)
    }

    /// Units that were served in so long, and how long that was.
    fn served_in(&self, span: Duration) -> (f64, f64) {
        let (before, began) = (self.record.served(), Instant::now());
        thread::sleep(span);
        (
            (self.record.served() - before) as f64,
            began.elapsed().as_secs_f64(),
        )
    }

    /// Nothing was served beyond the bound since the start; `fallback` is the part of the quota that limiters may have used
    /// besides.
    fn keeps_the_bound(&self, fallback: f64) {
        let served = self.record.served() as f64;
        let span = self.began.elapsed().as_secs_f64();
        let lifetime = LIFETIME_MS as f64 / 1e3;
        let bound = BURST + RATE * (span + lifetime) + fallback * (BURST + RATE * span);
        println!(
            "{}: {served} units in {span:.1} s, {bound:.0} allowed",
            self.name
        );
        assert!(
            served <= bound,
            "{served} units in {span} s, {bound} allowed"
        );
    }

    /// Ends the load and all processes, each in order.
    fn ends(mut self) {
        let asked = self.load.take().map_or(0, Load::end);
        println!(
            "{}: {} served of {asked} asked for",
            self.name,
            self.record.served()
        );
        self.limiters.into_iter().for_each(Program::ends);
        self.allocators
            .into_iter()
            .flatten()
            .for_each(Program::ends);
    }
}

/// Waits until a program logs a line with these words that is so.
fn until_logged(program: &mut Program, words: &str, so: impl Fn(&str) -> bool) -> String {
    let began = Instant::now();
    loop {
        let line = program.logged("");
        if line.contains(words) && so(&line) {
            return line;
        }
        assert!(began.elapsed() < PATIENCE, "no such {words:?}, but {line}");
    }
}

/// The value of a key in a log line.
fn figure(line: &str, key: &str) -> u64 {
    let value = line
        .split(&format!(", {key}: "))
        .nth(1)
        .unwrap_or_else(|| panic!("no {key} in {line}"));
    let end = value
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(value.len());
    value[..end].parse().expect("a number")
}

/// Agents that ask one request after another.
struct Load {
    stop: Arc<AtomicBool>,
    asked: Arc<AtomicUsize>,
    agents: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(limiters: impl Iterator<Item = SocketAddr>) -> Self {
        let (stop, asked) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let agents = limiters
            .flat_map(|at| (0..AGENTS).map(move |_| at))
            .map(|at| {
                let (stop, asked) = (stop.clone(), asked.clone());
                thread::spawn(move || {
                    while !stop.load(Ordering::SeqCst) {
                        agent(at, &stop, &asked);
                        thread::sleep(AGENT_PAUSE);
                    }
                })
            });
        let agents = agents.collect();
        Self {
            stop,
            asked,
            agents,
        }
    }

    /// Ends it; how many requests there were.
    fn end(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        self.agents
            .into_iter()
            .for_each(|agent| agent.join().expect("an end"));
        self.asked.load(Ordering::SeqCst)
    }
}

/// Asks on one connection, with a number of its own in each request, until it is told to stop or the connection ends.
fn agent(at: SocketAddr, stop: &AtomicBool, asked: &AtomicUsize) {
    let Ok(stream) = TcpStream::connect(at) else {
        return;
    };
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    stream.set_nodelay(true).expect("a socket");
    let mut from = std::io::BufReader::new(stream);
    while !stop.load(Ordering::SeqCst) {
        let number = asked.fetch_add(1, Ordering::SeqCst);
        let text = format!(
            "GET /v1/sailings/{number}/seats HTTP/1.1\r\nHost: x\r\nX-Agent-Account: {ACCOUNT}\r\n\r\n"
        );
        if from.get_mut().write_all(text.as_bytes()).is_err() || http(&mut from, false).is_err() {
            return;
        }
        thread::sleep(AGENT_PAUSE);
    }
}

/// Long enough for anything that is to happen at all, as for a dead allocator's accounts to go to others: its lease of 4 s,
/// as much again for what was heard late, and the time to find it dead.
const PATIENCE: Duration = Duration::from_secs(30);

#[test]
fn three_limiters_use_one_quota_and_no_more() {
    let mut story = Story::start("steady");
    story.load();
    // Until the holders know what they need.
    thread::sleep(Duration::from_secs(2));
    let (served, span) = story.served_in(Duration::from_secs(6));
    let allowed = RATE * span;
    println!(
        "steady: {served} units in {span:.1} s, {:.2} of the rate",
        served / allowed
    );
    assert!(served >= 0.8 * allowed, "{served} units of {allowed}");
    story.keeps_the_bound(0.0);
    story.ends();
}

#[test]
fn a_lost_owner_is_replaced_and_may_come_back() {
    let mut story = Story::start("owner");
    let owner = story.owner();
    let others: Vec<u32> = (0..ALLOCATORS).filter(|number| *number != owner).collect();
    story.load();
    story.until_figure(owner, "granted_milli_units", |granted| granted > 0);
    story.kill(owner);
    let (served, span) = story.served_in(Duration::from_secs(2));
    println!("owner: {served} units in {span:.1} s without it");
    assert!(served > 0.0, "nothing served without the owner");
    story.keeps_the_bound(FALLBACK);
    let granted_elsewhere = |story: &mut Story| -> u64 {
        others
            .iter()
            .map(|n| story.until_figure(*n, "granted_milli_units", |_| true))
            .sum()
    };
    let began = Instant::now();
    while granted_elsewhere(&mut story) == 0 {
        assert!(began.elapsed() < PATIENCE, "nobody took over");
    }
    println!(
        "owner: replaced {:.1} s later",
        began.elapsed().as_secs_f64()
    );
    story.keeps_the_bound(FALLBACK);
    // Back under another incarnation, it grants again once the others have given its accounts back.
    let back = story.places.start_allocator(story.name, owner);
    story.allocators[owner as usize] = Some(back);
    let began = Instant::now();
    story.until_figure(owner, "granted_milli_units", |granted| granted > 0);
    println!("owner: back after {:.1} s", began.elapsed().as_secs_f64());
    let (served, span) = story.served_in(Duration::from_secs(3));
    println!("owner: {served} units in {span:.1} s after it came back");
    assert!(served > 0.0);
    story.keeps_the_bound(FALLBACK);
    story.ends();
}

#[test]
fn without_a_majority_of_allocators_limiters_keep_to_the_fallback() {
    let mut story = Story::start("minority");
    let owner = story.owner();
    story.load();
    story.until_figure(owner, "granted_milli_units", |granted| granted > 0);
    let survivor = (0..ALLOCATORS)
        .find(|number| *number != owner)
        .expect("another one");
    (0..ALLOCATORS)
        .filter(|number| *number != survivor)
        .for_each(|number| story.kill(number));
    story.until_line(survivor, "held: false", |_| true);
    let granted = story.until_figure(survivor, "granted_milli_units", |_| true);
    // What was granted before may still be in use for a lifetime.
    thread::sleep(Duration::from_millis(2 * LIFETIME_MS));
    let (served, span) = story.served_in(Duration::from_secs(4));
    let bound = FALLBACK * (BURST + RATE * span);
    println!("minority: {served} units in {span:.1} s, {bound:.0} allowed");
    assert!(
        served > 0.0 && served <= bound,
        "{served} units in {span} s, {bound} allowed"
    );
    assert_eq!(
        story.until_figure(survivor, "granted_milli_units", |_| true),
        granted
    );
    story.keeps_the_bound(FALLBACK);
    story.ends();
}

#[test]
fn a_limiter_that_stood_still_does_not_use_old_leases() {
    let mut story = Story::start("paused");
    let owner = story.owner();
    story.load();
    let before = story.until_figure(owner, "granted_milli_units", |granted| granted > 0);
    story.limiters[0].signal("STOP");
    let (served, _) = story.served_in(Duration::from_millis(4 * LIFETIME_MS));
    assert!(served > 0.0, "the others are served meanwhile");
    story.limiters[0].signal("CONT");
    _ = story.served_in(Duration::from_millis(2 * LIFETIME_MS));
    story.until_figure(owner, "granted_milli_units", |granted| granted > before);
    // For all that it knows, the allocators were silent for so long: it may use its part of the fallback.
    story.keeps_the_bound(FALLBACK / f64::from(LIMITERS));
    story.ends();
}

/// Connections of limiters to one allocator, reports on each, and accounts in each report.
const CROWD: u32 = 400;
const CROWD_REPORTS: u64 = 5;
const CROWD_ACCOUNTS: u32 = 50;
/// Resident memory that an allocator may take with such a crowd, in kB: each connection has a thread.
const CROWD_MEMORY: u64 = 128 * 1_024;

#[test]
fn a_crowd_of_limiters_is_answered_by_one_allocator() {
    let places = Places::new();
    let mut file = places.allocator_file(0);
    // Alone it has a majority, and holds its lease at once.
    file["allocators"] = json!(1);
    file["limiters"] = json!(CROWD);
    // Whether a busy machine is quick is not asked here.
    file["idle_ms"] = json!(PATIENCE.as_millis() as u64);
    file["frame_ms"] = json!(PATIENCE.as_millis() as u64);
    file["fleet"]["seeds"] = json!([file["fleet"]["seeds"][0]]);
    let mut allocator = Program::start_with("crowd-allocator-0", &file, allocator_command);
    until_logged(&mut allocator, "held: true", |_| true);
    let timeouts = Timeouts {
        idle: PATIENCE,
        frame: PATIENCE,
    };
    let connect = |_| TcpStream::connect(allocator.at).expect("a connection");
    let began = Instant::now();
    let limiters: Vec<TcpStream> = (0..CROWD).map(connect).collect();
    println!(
        "crowd: {CROWD} connections in {:.2} s",
        began.elapsed().as_secs_f64()
    );
    let limits = PlanLimits {
        rate: 1_000_000,
        burst: 1_000_000,
    };
    for sequence in 1..=CROWD_REPORTS {
        for (number, stream) in limiters.iter().enumerate() {
            let limiter = number as u32;
            let mut report = Report {
                format: FORMAT,
                limiter,
                incarnation: 1,
                sequence,
                ..Report::default()
            };
            for account in 0..CROWD_ACCOUNTS {
                let account = AccountKey(u64::from((limiter * 7 + account) % 2_000));
                report.push(&ReportEntry {
                    expected: 1_000,
                    ..ReportEntry::new(account, limits)
                });
            }
            frame::write(stream, &report.encode_to_vec(), PATIENCE).expect("written");
        }
        for stream in &limiters {
            let answer = frame::read(stream, timeouts);
            let answer =
                answer.unwrap_or_else(|fault| panic!("{fault}, and {:?}", allocator.log()));
            let grant = Grant::read(&answer).expect("an answer");
            assert_eq!(
                (grant.sequence, grant.entries, grant.serving),
                (sequence, CROWD_ACCOUNTS, true)
            );
        }
    }
    let (ticks, memory) = allocator.used();
    let reports = u64::from(CROWD) * CROWD_REPORTS;
    println!(
        "crowd: {reports} reports of {CROWD_ACCOUNTS} accounts, {ticks} hundredths of a second, {memory} kB"
    );
    assert!(memory < CROWD_MEMORY, "{memory} kB");
    let line = until_logged(&mut allocator, "figures", |line| {
        figure(line, "reports") >= reports
    });
    assert_eq!(
        figure(&line, "entries"),
        reports * u64::from(CROWD_ACCOUNTS)
    );
    assert_eq!(figure(&line, "connections"), u64::from(CROWD));
    drop(limiters);
    until_logged(&mut allocator, "figures", |line| {
        figure(line, "connections") == 0
    });
    allocator.ends();
}

/// Sends these bytes and waits for the end of the connection.
fn is_closed_after(at: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    stream.write_all(bytes).expect("written");
    let mut rest = Vec::new();
    // A reset is an end too.
    let end = stream.read_to_end(&mut rest).map_err(|fault| fault.kind());
    assert!(
        matches!(end, Ok(0) | Err(std::io::ErrorKind::ConnectionReset)),
        "{end:?} {rest:?}"
    );
}

fn framed(message: &[u8]) -> Vec<u8> {
    [&(message.len() as u32).to_be_bytes(), message].concat()
}

#[test]
fn what_no_limiter_sends_is_closed_and_counted_and_slows_nobody() {
    let mut story = Story::start("garbage");
    let owner = story.owner();
    let at = story.places.service[owner as usize];
    story.load();
    let good = {
        // A limiter that is configured and does not run.
        let mut report = Report {
            format: FORMAT,
            limiter: LIMITERS,
            incarnation: 1,
            sequence: 1,
            ..Report::default()
        };
        let limits = PlanLimits {
            rate: 1_000,
            burst: 1_000,
        };
        let account = AccountKey::of("somebody");
        report.push(&ReportEntry {
            expected: 1_000,
            ..ReportEntry::new(account, limits)
        });
        report
    };
    let foreign = Report {
        format: FORMAT + 1,
        ..good.clone()
    };
    let unknown = Report {
        limiter: LIMITERS + 1,
        ..good.clone()
    };
    let uneven = Report {
        expected: vec![1; 2],
        ..good.clone()
    };
    is_closed_after(at, &framed(b"\xff\xff\xff garbage"));
    is_closed_after(at, &framed(&foreign.encode_to_vec()));
    is_closed_after(at, &framed(&unknown.encode_to_vec()));
    is_closed_after(at, &framed(&uneven.encode_to_vec()));
    is_closed_after(at, &u32::MAX.to_be_bytes());
    is_closed_after(at, &[0; 4]);
    // Nothing at all, and half a frame: the rest never comes.
    is_closed_after(at, &[]);
    is_closed_after(at, &framed(&good.encode_to_vec())[..9]);
    let cut = TcpStream::connect(at).expect("a connection");
    (&cut)
        .write_all(&framed(&good.encode_to_vec())[..9])
        .expect("written");
    drop(cut);
    for (key, least) in [
        ("dropped_malformed", 2),
        ("dropped_format", 1),
        ("dropped_unknown_sender", 1),
        ("dropped_entries", 1),
        ("dropped_too_long", 1),
        ("closed_idle", 1),
        ("closed_slow", 1),
        ("closed_cut", 1),
    ] {
        story.until_figure(owner, key, |count| count >= least);
    }
    // A good one is answered as if nothing had been.
    let stream = TcpStream::connect(at).expect("a connection");
    let timeouts = Timeouts {
        idle: Duration::from_secs(20),
        frame: Duration::from_secs(20),
    };
    frame::write(&stream, &good.encode_to_vec(), timeouts.frame).expect("written");
    let grant = Grant::read(&frame::read(&stream, timeouts).expect("a frame")).expect("an answer");
    assert_eq!(
        (grant.allocator, grant.sequence, grant.entries),
        (owner, 1, 1)
    );
    let (served, _) = story.served_in(Duration::from_secs(1));
    assert!(served > 0.0, "nobody served beside the garbage");
    story.keeps_the_bound(0.0);
    story.ends();
}
