//! The processes of one test: allocators, limiters and upstream servers.

use crate::files::{Addresses, ACCOUNT, ALLOCATORS, BURST, LIFETIME_MS, LIMITERS, RATE};
use crate::load::Load;
use crate::peers::{answer, http_peer, Program};
use mossrill::quota_lease::message::AccountKey;
use mossrill::quota_lease::placement;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Upstream servers' record: when each request came, counted once however often it was sent.
#[derive(Default)]
pub struct Record {
    pub seen: Mutex<(HashSet<String>, usize)>,
}

impl Record {
    pub fn served(&self) -> usize {
        self.seen.lock().expect("whole").1
    }

    pub fn note(&self, request: &str) {
        let mut seen = self.seen.lock().expect("whole");
        if seen.0.insert(request.to_owned()) {
            seen.1 += 1;
        }
    }
}

pub fn upstream(record: &Arc<Record>) -> SocketAddr {
    let record = record.clone();
    http_peer(move |first, _, _| {
        record.note(first);
        answer("200 OK", "{}")
    })
}

/// All processes of a test, and the load on them.
pub struct Cluster {
    pub places: Addresses,
    pub name: &'static str,
    pub allocators: Vec<Option<Program>>,
    pub limiters: Vec<Program>,
    pub record: Arc<Record>,
    pub began: Instant,
    pub load: Option<Load>,
}

impl Cluster {
    /// Starts everything, and waits until all allocators hold their leases.
    pub fn start(name: &'static str) -> Self {
        let (places, started) = (Addresses::new(), Instant::now());
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

    pub fn load(&mut self) {
        self.load = Some(Load::start(self.limiters.iter().map(|limiter| limiter.at)));
    }

    /// The allocator that owns the account while all serve.
    pub fn owner(&self) -> u32 {
        placement::owner(AccountKey::of(ACCOUNT), ALLOCATORS, 0).expect("an owner")
    }

    pub fn kill(&mut self, number: u32) {
        self.allocators[number as usize] = None;
    }

    /// Waits until an allocator's figures say so.
    pub fn until_figure(&mut self, number: u32, key: &str, so: impl Fn(u64) -> bool) -> u64 {
        let line = self.until_line(number, "figures", |line| so(figure(line, key)));
        figure(&line, key)
    }

    /// Waits until an allocator logs a line with these words that is so.
    pub fn until_line(&mut self, number: u32, words: &str, so: impl Fn(&str) -> bool) -> String {
        let allocator = self.allocators[number as usize].as_mut().expect("running");
        until_logged(allocator, words, so)
    }

    /// Units that were served in so long, and how long that was.
    pub fn served_in(&self, span: Duration) -> (f64, f64) {
        let (before, began) = (self.record.served(), Instant::now());
        thread::sleep(span);
        (
            (self.record.served() - before) as f64,
            began.elapsed().as_secs_f64(),
        )
    }

    /// Nothing was served beyond the bound since the start; `fallback` is the part of the quota that limiters may have used
    /// besides.
    pub fn keeps_the_bound(&self, fallback: f64) {
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
    pub fn ends(mut self) {
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
pub fn until_logged(program: &mut Program, words: &str, so: impl Fn(&str) -> bool) -> String {
    let began = Instant::now();
    loop {
        let line = program.logged("");
        if line.contains(words) && so(&line) {
            return line;
        }
        assert!(
            began.elapsed() < RECOVERY_TIMEOUT,
            "no such {words:?}, but {line}"
        );
    }
}

/// The value of a key in a log line.
pub fn figure(line: &str, key: &str) -> u64 {
    let value = line
        .split(&format!(", {key}: "))
        .nth(1)
        .unwrap_or_else(|| panic!("no {key} in {line}"));
    let end = value
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(value.len());
    value[..end].parse().expect("a number")
}

/// Long enough for anything that is to happen at all, as for a dead allocator's accounts to go to others: its lease of 4 s,
/// as much again for what was heard late, and the time to find it dead.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
