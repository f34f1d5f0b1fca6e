//! A fleet of views on a simulated network in virtual time. Datagrams can be lost, delayed,
//! duplicated or blocked by a partition; processes can be killed, paused and restarted.

use mossrill::decision::Micros;
use mossrill::decision::QuotaShares;
use mossrill::membership::datagram::Datagram;
use mossrill::membership::format::Encoding;
use mossrill::membership::view::{Action, StateChange, View, ViewSettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

pub const SECOND: Micros = 1_000_000;
/// Virtual time in µs at which every simulation starts: Unix time of 2 December 2025.
pub const START: Micros = 1_764_633_600 * SECOND;

enum NetworkEvent {
    /// Wake this limiter's process if it is still the one with this start number.
    Wake(usize, u64),
    /// Deliver the datagram to this limiter.
    Delivery(usize, Box<Datagram>),
}

/// An event with its due time in µs and its sequence number, which orders events of the same time.
struct ScheduledEvent(Micros, u64, NetworkEvent);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// A running process of a limiter.
pub struct Process {
    pub view: View,
    /// Number of this process in the order in which the processes of all limiters were started.
    start_number: u64,
    /// Virtual time in µs until which the process is paused; its events wait until then.
    paused_until: Micros,
    /// The quota shares last reported to the core of this process.
    pub reported_shares: QuotaShares,
}

/// CPU time that the measured views took for one kind of event.
#[derive(Clone, Copy, Debug, Default)]
pub struct CpuUsage {
    pub events: u64,
    pub cpu_time: Duration,
}

impl CpuUsage {
    fn add(&mut self, cpu_time: Duration) {
        self.events += 1;
        self.cpu_time += cpu_time;
    }
}

/// Measures the CPU time of views. Without a clock, nothing is measured.
#[derive(Default)]
pub struct CpuMeter {
    /// Returns the CPU time of the current thread.
    pub clock: Option<fn() -> Duration>,
    /// Only limiters whose number is a multiple of this are measured.
    pub every: usize,
    /// Usage by received datagrams.
    pub receive: CpuUsage,
    /// Usage by wakes.
    pub wake: CpuUsage,
    /// Usage by computing the quota shares for the core.
    pub quota_shares: CpuUsage,
}

impl CpuMeter {
    fn clock_for(&self, limiter: usize) -> Option<fn() -> Duration> {
        self.clock.filter(|_| limiter % self.every.max(1) == 0)
    }
}

/// Runs `job` and adds the CPU time that it took to `usage`.
fn measure<T>(clock: Option<fn() -> Duration>, usage: &mut CpuUsage, job: impl FnOnce() -> T) -> T {
    let Some(clock) = clock else { return job() };
    let began = clock();
    let result = job();
    usage.add(clock() - began);
    result
}

/// A fleet of views, indexed by limiter, and the network between them.
pub struct SimulatedNetwork {
    /// Current virtual time in µs.
    pub now: Micros,
    pub rng: StdRng,
    /// Sequence number of the event scheduled last.
    last_order: u64,
    queue: BinaryHeap<ScheduledEvent>,
    /// The process of each limiter, `None` while it is down.
    pub processes: Vec<Option<Process>>,
    /// Number of processes started so far.
    starts: u64,
    /// Settings of every view, apart from its number and address.
    view_settings: ViewSettings,
    /// Fraction of the datagrams that is lost, from 0 to 1.
    pub loss: f64,
    /// Fraction of the datagrams that is delivered twice, from 0 to 1.
    pub duplication: f64,
    /// Shortest and longest delay of a datagram in µs.
    pub delay: (Micros, Micros),
    /// Number of the partition that each limiter is in. Datagrams do not pass between partitions.
    pub partition: Vec<u8>,
    /// Sender and receiver of each link whose datagrams are all lost, in this direction only.
    pub cut_links: Vec<(usize, usize)>,
    /// Each change of a member's state, with its time and the limiter whose view changed.
    pub changes: Vec<(Micros, usize, StateChange)>,
    /// Number of datagrams that each limiter has sent.
    pub sent: Vec<u64>,
    /// Number of bytes that each limiter has sent.
    pub sent_bytes: Vec<u64>,
    /// Length in bytes of the longest datagram sent.
    pub max_datagram_bytes: usize,
    /// Offset in ms of each limiter's own clock at its next start.
    pub clock_offset_ms: Vec<i64>,
    /// Quota shares are computed at each wake of the limiters whose number is a multiple of this.
    pub shares_every: usize,
    pub meter: CpuMeter,
}

/// Returns the address of a limiter; its last two octets are the number of the limiter.
pub fn address(limiter: u32) -> SocketAddrV4 {
    let ip = Ipv4Addr::new(10, 0, (limiter >> 8) as u8, limiter as u8);
    SocketAddrV4::new(ip, 7_946)
}

impl SimulatedNetwork {
    /// Returns a network of `size` limiters, none of which runs yet.
    pub fn new(size: u32, seed: u64) -> Self {
        let view_settings = ViewSettings {
            limiter: 0,
            limiters: size,
            encoding: Encoding::of(size),
            fleet: "ferry".into(),
            address: address(0),
            version: 1_000,
            seeds: (0..size)
                .map(|limiter| (limiter, address(limiter)))
                .collect(),
            protocol_period: 300_000,
            max_sent_per_second: 40,
            max_received_per_second: 40,
            forget_after: 60 * SECOND,
            guaranteed_share: 0.5,
        };
        let size = size as usize;
        Self {
            now: START,
            rng: StdRng::seed_from_u64(seed),
            last_order: 0,
            queue: BinaryHeap::new(),
            processes: (0..size).map(|_| None).collect(),
            starts: 0,
            view_settings,
            loss: 0.0,
            duplication: 0.0,
            delay: (1_000, 30_000),
            partition: vec![0; size],
            cut_links: Vec::new(),
            changes: Vec::new(),
            sent: vec![0; size],
            sent_bytes: vec![0; size],
            max_datagram_bytes: 0,
            clock_offset_ms: vec![0; size],
            shares_every: 1,
            meter: CpuMeter::default(),
        }
    }

    /// Changes the settings of the views that are started later.
    pub fn with_settings(mut self, change: impl Fn(&mut ViewSettings)) -> Self {
        change(&mut self.view_settings);
        self
    }

    pub fn start_all(&mut self) {
        (0..self.processes.len()).for_each(|limiter| self.start(limiter));
    }

    /// Starts a process of the limiter, in place of the one that runs, if any.
    pub fn start(&mut self, limiter: usize) {
        let view_settings = ViewSettings {
            limiter: limiter as u32,
            address: address(limiter as u32),
            ..self.view_settings.clone()
        };
        let clock_ms = (self.now / 1_000) as i64 + self.clock_offset_ms[limiter];
        let view = View::new(view_settings, clock_ms as u64, self.rng.random(), self.now);
        self.starts += 1;
        let (reported_shares, wake) = (view.quota_shares(self.now), view.next_wake());
        let (start_number, paused_until) = (self.starts, 0);
        self.processes[limiter] = Some(Process {
            view,
            start_number,
            paused_until,
            reported_shares,
        });
        self.schedule(wake, NetworkEvent::Wake(limiter, start_number));
    }

    /// Stops the limiter's process without notice to the others.
    pub fn kill(&mut self, limiter: usize) {
        self.processes[limiter] = None;
    }

    /// Lets the limiter leave the fleet, then stops its process.
    pub fn leave(&mut self, limiter: usize) {
        let mut actions = Vec::new();
        if let Some(process) = &mut self.processes[limiter] {
            process.view.leave(self.now, &mut actions);
        }
        self.execute(limiter, actions);
        self.kill(limiter);
    }

    /// Pauses the limiter's process for `duration` µs.
    pub fn pause(&mut self, limiter: usize, duration: Micros) {
        let until = self.now + duration;
        self.processes[limiter]
            .iter_mut()
            .for_each(|p| p.paused_until = until);
    }

    fn schedule(&mut self, due: Micros, event: NetworkEvent) {
        self.last_order += 1;
        self.queue.push(ScheduledEvent(due, self.last_order, event));
    }

    /// Returns whether a datagram sent now gets through; draws whether it is lost.
    fn gets_through(&mut self, from: usize, to: usize) -> bool {
        self.partition[from] == self.partition[to]
            && !self.cut_links.contains(&(from, to))
            && !(self.loss > 0.0 && self.rng.random_bool(self.loss))
    }

    /// Processes the events of the next `duration` µs.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.queue.peek().is_some_and(|event| event.0 <= end) {
            let Some(ScheduledEvent(now, _, event)) = self.queue.pop() else {
                break;
            };
            self.now = now;
            let limiter = match &event {
                NetworkEvent::Wake(limiter, _) | NetworkEvent::Delivery(limiter, _) => *limiter,
            };
            let Some(process) = &mut self.processes[limiter] else {
                continue;
            };
            let start_number = process.start_number;
            if matches!(event, NetworkEvent::Wake(_, number) if number != start_number) {
                continue;
            }
            if now < process.paused_until {
                let resumed_at = process.paused_until;
                self.schedule(resumed_at, event);
                continue;
            }
            let mut actions = Vec::new();
            let clock = self.meter.clock_for(limiter);
            let wake = match event {
                NetworkEvent::Wake(..) => {
                    measure(clock, &mut self.meter.wake, || {
                        process.view.wake(now, &mut actions)
                    });
                    // As in the daemon, shares are reported at wakes, not at each datagram.
                    if limiter % self.shares_every == 0 {
                        let shares = || process.view.quota_shares(now);
                        process.reported_shares =
                            measure(clock, &mut self.meter.quota_shares, shares);
                    }
                    Some(process.view.next_wake())
                }
                NetworkEvent::Delivery(_, datagram) => {
                    let receive = || process.view.receive(now, *datagram, &mut actions);
                    _ = measure(clock, &mut self.meter.receive, receive);
                    None
                }
            };
            if let Some(wake) = wake.filter(|wake| *wake < Micros::MAX) {
                let due = wake.max(now + 1_000);
                self.schedule(due, NetworkEvent::Wake(limiter, start_number));
            }
            self.execute(limiter, actions);
        }
        self.now = end;
    }

    fn execute(&mut self, limiter: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Changed(change) => self.changes.push((self.now, limiter, change)),
                Action::Send(to, datagram) => {
                    self.sent[limiter] += 1;
                    self.sent_bytes[limiter] += datagram.size() as u64;
                    self.max_datagram_bytes = self.max_datagram_bytes.max(datagram.size());
                    let octets = to.ip().octets();
                    let to = usize::from(octets[2]) << 8 | usize::from(octets[3]);
                    if to >= self.processes.len() || !self.gets_through(limiter, to) {
                        continue;
                    }
                    let copies = if self.duplication > 0.0 && self.rng.random_bool(self.duplication)
                    {
                        2
                    } else {
                        1
                    };
                    for _ in 0..copies {
                        let due = self.now + self.rng.random_range(self.delay.0..=self.delay.1);
                        let copy = Box::new(datagram.clone());
                        self.schedule(due, NetworkEvent::Delivery(to, copy));
                    }
                }
            }
        }
    }

    /// Runs until `condition` holds. Returns the time in µs that this took; `None` if the condition
    /// does not hold within `timeout` µs.
    pub fn run_until(
        &mut self,
        timeout: Micros,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Micros> {
        let began = self.now;
        while !condition(self) {
            if self.now >= began + timeout {
                return None;
            }
            self.run(50_000);
        }
        Some(self.now - began)
    }

    /// Returns the running processes, each with its limiter's number.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Process)> {
        self.processes
            .iter()
            .enumerate()
            .filter_map(|(limiter, p)| Some((limiter, p.as_ref()?)))
    }

    /// Returns whether each running process believes exactly the running limiters of its partition
    /// alive. A suspect counts as alive: while datagrams are lost, some member is suspected at
    /// nearly any moment.
    pub fn is_settled(&self) -> bool {
        self.running().all(|(own, p)| {
            (0..self.processes.len()).all(|other| {
                let reachable =
                    self.processes[other].is_some() && self.partition[other] == self.partition[own];
                p.view.state(other).is_alive() == reachable
            })
        })
    }

    /// Returns the sum of the shares that all processes use of a quota of the limiters in `set`,
    /// according to the shares reported to their cores; 1 is the whole quota.
    pub fn total_share(&self, set: impl Iterator<Item = u32> + Clone) -> f64 {
        self.running()
            .filter_map(|(_, p)| p.reported_shares.share(self.now, set.clone()))
            .sum()
    }
}
