//! The processes of one test: allocators, limiters and upstream servers.

use crate::files::{Addresses, ACCOUNT, ALLOCATORS, BURST, LIFETIME_MS, LIMITERS, RATE};
use crate::load::Load;
use crate::peers::{http_reply, start_http_peer, Program};
use mossrill::quota_lease::message::AccountKey;
use mossrill::quota_lease::placement;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests that reached the upstream servers. A request that is sent more than once is counted once.
#[derive(Default)]
pub struct ServedRequests {
    /// First lines of the requests, and their number.
    pub requests: Mutex<(HashSet<String>, usize)>,
}

impl ServedRequests {
    /// Returns the number of requests.
    pub fn count(&self) -> usize {
        self.requests
            .lock()
            .expect("no thread should panic while it holds the lock")
            .1
    }

    /// Adds a request, identified by its first line.
    pub fn add(&self, request: &str) {
        let mut requests = self
            .requests
            .lock()
            .expect("no thread should panic while it holds the lock");
        if requests.0.insert(request.to_owned()) {
            requests.1 += 1;
        }
    }
}

/// Starts an upstream server that adds all its requests to `served_requests`, and returns its address.
pub fn upstream(served_requests: &Arc<ServedRequests>) -> SocketAddr {
    let served_requests = served_requests.clone();
    start_http_peer(move |first, _, _| {
        served_requests.add(first);
        http_reply("200 OK", "{}")
    })
}

/// All processes of a test, and the requests of its clients.
pub struct Cluster {
    pub addresses: Addresses,
    /// Name in the file names of the processes and in the output of the test.
    pub name: &'static str,
    /// Allocators by number; `None` for one that was killed.
    pub allocators: Vec<Option<Program>>,
    pub limiters: Vec<Program>,
    pub served_requests: Arc<ServedRequests>,
    /// Start of the limiters.
    pub started_at: Instant,
    pub load: Option<Load>,
}

impl Cluster {
    /// Starts all processes. The limiters start once all allocators hold their leases.
    pub fn start(name: &'static str) -> Self {
        let (addresses, started) = (Addresses::new(), Instant::now());
        let mut allocators: Vec<_> = (0..ALLOCATORS)
            .map(|n| addresses.start_allocator(name, n))
            .collect();
        for allocator in &mut allocators {
            wait_for_log_line(allocator, "held: true", |_| true);
        }
        println!(
            "{name}: all allocators hold their leases after {:.1} s",
            started.elapsed().as_secs_f64()
        );
        let served_requests = Arc::new(ServedRequests::default());
        let upstreams = [upstream(&served_requests), upstream(&served_requests)];
        let started_at = Instant::now();
        let limiter = |number| {
            let file = addresses.limiter_file(number, &upstreams);
            Program::start_with(&format!("{name}-limiter-{number}"), &file, |file| {
                let mut command = Command::new(env!("CARGO_BIN_EXE_mossrill"));
                command.arg(file);
                command
            })
        };
        let limiters = (0..LIMITERS).map(limiter).collect();
        let allocators = allocators.into_iter().map(Some).collect();
        Self {
            addresses,
            name,
            allocators,
            limiters,
            served_requests,
            started_at,
            load: None,
        }
    }

    /// Starts clients at all limiters.
    pub fn start_load(&mut self) {
        self.load = Some(Load::start(
            self.limiters.iter().map(|limiter| limiter.client_address),
        ));
    }

    /// Returns the number of the allocator that owns the account while all allocators serve.
    pub fn owner(&self) -> u32 {
        placement::owner(AccountKey::of(ACCOUNT), ALLOCATORS, 0)
            .expect("an account should have an owner while all allocators serve")
    }

    /// Kills the process of an allocator.
    pub fn kill(&mut self, number: u32) {
        self.allocators[number as usize] = None;
    }

    /// Waits until an allocator logs metrics in which the value of `key` is as expected, and returns the
    /// value.
    pub fn wait_for_metric(
        &mut self,
        number: u32,
        key: &str,
        is_expected: impl Fn(u64) -> bool,
    ) -> u64 {
        let line = self.wait_for_line(number, "figures", |line| {
            is_expected(metric_value(line, key))
        });
        metric_value(&line, key)
    }

    /// Waits until an allocator logs an expected line that contains `text`, and returns the line.
    pub fn wait_for_line(
        &mut self,
        number: u32,
        text: &str,
        is_expected: impl Fn(&str) -> bool,
    ) -> String {
        let allocator = self.allocators[number as usize]
            .as_mut()
            .expect("the allocator should be running");
        wait_for_log_line(allocator, text, is_expected)
    }

    /// Waits for `span`. Returns the number of units served meanwhile and the measured time in seconds.
    pub fn units_served_in(&self, span: Duration) -> (f64, f64) {
        let (before, started_at) = (self.served_requests.count(), Instant::now());
        thread::sleep(span);
        (
            (self.served_requests.count() - before) as f64,
            started_at.elapsed().as_secs_f64(),
        )
    }

    /// Asserts that no more units were served since the start than the quota and the leases allow.
    /// `fallback` is the fraction of the quota that limiters may additionally have used as fallback.
    pub fn assert_within_bound(&self, fallback: f64) {
        let served = self.served_requests.count() as f64;
        let span = self.started_at.elapsed().as_secs_f64();
        let lifetime = LIFETIME_MS as f64 / 1e3;
        let bound = BURST + RATE * (span + lifetime) + fallback * (BURST + RATE * span);
        println!(
            "{}: {served} units in {span:.1} s, {bound:.0} allowed",
            self.name
        );
        assert!(
            served <= bound,
            "{served} units in {span} s, expected at most {bound}"
        );
    }

    /// Stops the clients, then the limiters, then the allocators.
    pub fn stop(mut self) {
        let request_count = self.load.take().map_or(0, Load::end);
        println!(
            "{}: {} of {request_count} requests served",
            self.name,
            self.served_requests.count()
        );
        self.limiters.into_iter().for_each(Program::terminate);
        self.allocators
            .into_iter()
            .flatten()
            .for_each(Program::terminate);
    }
}

/// Waits until a program logs an expected line that contains `text`, and returns the line.
pub fn wait_for_log_line(
    program: &mut Program,
    text: &str,
    is_expected: impl Fn(&str) -> bool,
) -> String {
    let started_at = Instant::now();
    loop {
        let line = program.wait_for_log("");
        if line.contains(text) && is_expected(&line) {
            return line;
        }
        assert!(
            started_at.elapsed() < RECOVERY_TIMEOUT,
            "no expected log line with {text:?} within {RECOVERY_TIMEOUT:?}; last line: {line}"
        );
    }
}

/// Returns the value of a key in a log line.
pub fn metric_value(line: &str, key: &str) -> u64 {
    let value = line
        .split(&format!(", {key}: "))
        .nth(1)
        .unwrap_or_else(|| panic!("expected a value of {key} in the log line {line}"));
    let end = value
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(value.len());
    value[..end]
        .parse()
        .expect("the value of a metric should be an integer")
}

/// Timeout for every expected event. The reassignment of a dead allocator's accounts, for example, takes
/// the allocator's lease of 4 s, another 4 s for late messages, and the time to detect the death.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
