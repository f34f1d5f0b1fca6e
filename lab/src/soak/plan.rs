//! The faults of a run, which follow from its seed.

use super::peers::Conduct;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// When the first fault may begin.
const QUIET_TIME: Duration = Duration::from_millis(700);
/// Limits of memory in MiB, and of descriptors, of the machines of a run.
const MACHINES: [(u64, u64); 3] = [(32, 256), (32, 1_024), (64, 512)];
/// Numbers of servers of a run.
const SERVERS: std::ops::RangeInclusive<usize> = 5..=8;
/// Numbers of limiters of a run.
const LIMITERS: std::ops::RangeInclusive<usize> = 2..=3;
/// Numbers of usual clients of a run.
const CLIENTS: std::ops::RangeInclusive<usize> = 8..=16;
/// Numbers of clients of a run that read long values slowly.
const SLOW_CLIENTS: std::ops::RangeInclusive<usize> = 0..=6;
/// One in this many runs with slow clients has a server that stands still in values, for those that it
/// begins within this time.
const STALL_ONE_IN: u32 = 3;
const STALL_SPAN: Duration = Duration::from_millis(4_000);
/// One in this many runs has a flood.
const FLOOD_ONE_IN: u32 = 4;
/// How long a flood lasts.
const FLOOD_TIME: Duration = Duration::from_millis(4_000);
/// Steps by which the wall clock may be off, in seconds.
const CLOCK_STEPS: [i64; 4] = [-3_600, -5, 5, 3_600];

/// How a bad client acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadConduct {
    /// It connects and says nothing.
    Idle,
    /// It stops in the middle of a large request.
    StopInRequest,
    /// It writes a large request slowly.
    WriteSlowly,
    /// It reads long values slowly.
    ReadSlowly,
    /// It sends what can't be read, at full speed.
    SendNoise,
    /// It sends hundreds of requests at once.
    ManyAtOnce,
    /// It sends hundreds of requests at once, large ones among them, reads all replies at full speed
    /// and comes again.
    Flood,
}

/// What is done to a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// SIGTERM, SIGKILL at the earliest moment of the pages, and a new start.
    Restart,
    /// SIGKILL and a new start.
    Kill,
    /// A new process takes over; the old one gets SIGTERM, and SIGKILL as in a restart.
    Upgrade,
    /// SIGHUP.
    Reload,
    /// The process is held up for a moment.
    Pause,
    /// The wall clock steps by so many seconds, and system calls fail for a while, at the next start.
    Disturb,
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// An operation on a limiter.
    Limiter(usize, Operation),
    /// A server treats attempts in another way for a while.
    Conduct(usize, Conduct, Duration),
    /// A server resets all its connections.
    ResetServer(usize),
    /// A server drains and goes; another takes its place at its address.
    Replace(usize),
    /// Discovery is silent for a while.
    SilentDiscovery(Duration),
    /// Discovery ends all watches.
    ResetWatches,
    /// The counter is silent for a while.
    SilentCounter(Duration),
    /// Bad clients act for a while.
    BadClients(BadConduct, usize, Duration),
}

impl Fault {
    /// Whether connections to servers fail by it.
    pub fn fails_servers(&self) -> bool {
        matches!(
            self,
            Self::ResetServer(_)
                | Self::Replace(_)
                | Self::Conduct(_, Conduct::Reset, _)
                | Self::Limiter(_, Operation::Disturb)
        )
    }
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of limiters.
    pub limiters: usize,
    /// Number of servers.
    pub servers: usize,
    /// Number of usual clients.
    pub clients: usize,
    /// Number of clients that read long values slowly.
    pub slow_clients: usize,
    /// Memory limit of a limiter, in MiB.
    pub memory_mib: u64,
    /// Number of descriptors of a limiter.
    pub descriptors: u64,
    /// How far the wall clock of disturbed processes is off, in seconds.
    pub clock_step_s: i64,
    /// The faults, and when they begin.
    pub faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Draws the plan of a run that lasts for `time`.
    pub fn draw(seed: u64, time: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let (memory_mib, descriptors) = pick(&mut rng, &MACHINES);
        let mut plan = Self {
            limiters: rng.random_range(LIMITERS),
            servers: rng.random_range(SERVERS),
            clients: rng.random_range(CLIENTS),
            slow_clients: 0,
            memory_mib,
            descriptors,
            clock_step_s: pick(&mut rng, &CLOCK_STEPS),
            faults: Vec::new(),
        };
        plan.draw_operations(&mut rng, time);
        plan.draw_peer_faults(&mut rng, time);
        plan.draw_bad_clients(&mut rng, time);
        plan.draw_flood(&mut rng);
        plan.draw_slow_clients(&mut rng, time);
        plan.faults.sort_by_key(|(at, _)| *at);
        plan
    }

    fn add(&mut self, rng: &mut StdRng, time: Duration, fault: Fault) {
        let at = rng.random_range(QUIET_TIME..time.max(QUIET_TIME * 2));
        self.faults.push((at, fault));
    }

    /// Signals, in series: an operation is often followed by others on the same limiter.
    fn draw_operations(&mut self, rng: &mut StdRng, time: Duration) {
        let operations = [
            Operation::Restart,
            Operation::Restart,
            Operation::Kill,
            Operation::Upgrade,
            Operation::Upgrade,
            Operation::Reload,
            Operation::Pause,
            Operation::Disturb,
        ];
        for _ in 0..rng.random_range(1..=3) {
            let limiter = rng.random_range(0..self.limiters);
            let mut at = rng.random_range(QUIET_TIME..time.max(QUIET_TIME * 2));
            for _ in 0..rng.random_range(1..=3) {
                let operation = pick(rng, &operations);
                self.faults.push((at, Fault::Limiter(limiter, operation)));
                at += Duration::from_millis(rng.random_range(100..600));
            }
        }
    }

    fn draw_peer_faults(&mut self, rng: &mut StdRng, time: Duration) {
        let conducts = [
            Conduct::Slow,
            Conduct::Silent,
            Conduct::TurnAway,
            Conduct::Reset,
        ];
        for _ in 0..rng.random_range(2..=5) {
            let server = rng.random_range(0..self.servers);
            let span = Duration::from_millis(rng.random_range(200..1_500));
            let fault = match rng.random_range(0..8) {
                0..=2 => Fault::Conduct(server, pick(rng, &conducts), span),
                3 => Fault::ResetServer(server),
                4 => Fault::Replace(server),
                5 => Fault::SilentDiscovery(span),
                6 => Fault::ResetWatches,
                _ => Fault::SilentCounter(span),
            };
            self.add(rng, time, fault);
        }
    }

    /// Bad clients, a crowd of them in some runs.
    fn draw_bad_clients(&mut self, rng: &mut StdRng, time: Duration) {
        let conducts = [
            BadConduct::Idle,
            BadConduct::StopInRequest,
            BadConduct::WriteSlowly,
            BadConduct::ReadSlowly,
            BadConduct::SendNoise,
            BadConduct::ManyAtOnce,
        ];
        for _ in 0..rng.random_range(0..=3) {
            let conduct = pick(rng, &conducts);
            let crowd = match conduct {
                BadConduct::SendNoise | BadConduct::ManyAtOnce => 4,
                _ if rng.random_bool(0.3) => self.limiters * self.descriptors as usize / 3,
                _ => 20,
            };
            let span = Duration::from_millis(rng.random_range(800..3_000));
            self.add(rng, time, Fault::BadClients(conduct, crowd, span));
        }
    }
}

impl Plan {
    /// Clients that read long values slowly, and a restart meanwhile in half of the runs with them.
    fn draw_slow_clients(&mut self, rng: &mut StdRng, time: Duration) {
        self.slow_clients = rng.random_range(SLOW_CLIENTS);
        if self.slow_clients > 0 && rng.random_bool(0.5) {
            let limiter = rng.random_range(0..self.limiters);
            self.add(rng, time, Fault::Limiter(limiter, Operation::Restart));
        }
        if self.slow_clients > 0 && rng.random_ratio(1, STALL_ONE_IN) {
            // Values may only be cut off where connections to servers fail.
            self.faults.retain(|(_, fault)| !fault.fails_servers());
            let server = rng.random_range(0..self.servers);
            self.add(
                rng,
                time,
                Fault::Conduct(server, Conduct::Stall, STALL_SPAN),
            );
        }
    }

    /// A flood of requests on a quarter of the descriptors of each limiter, while a server is slow:
    /// replies queue behind its answers.
    fn draw_flood(&mut self, rng: &mut StdRng) {
        if !rng.random_ratio(1, FLOOD_ONE_IN) {
            return;
        }
        let clients = self.limiters * self.descriptors as usize / 4;
        let flood = Fault::BadClients(BadConduct::Flood, clients, FLOOD_TIME);
        let slow = Fault::Conduct(rng.random_range(0..self.servers), Conduct::Slow, FLOOD_TIME);
        self.faults.push((QUIET_TIME, flood));
        self.faults.push((QUIET_TIME, slow));
    }
}

fn pick<T: Copy>(rng: &mut StdRng, from: &[T]) -> T {
    *from.choose(rng).unwrap_or(&from[0])
}
