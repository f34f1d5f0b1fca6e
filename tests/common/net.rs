//! Views of a fleet on a network of hand-made time: datagrams that are lost, late, repeated and cut off, processes
//! that die, stand still and come back.

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
/// When every world begins.
pub const START: Micros = 1_764_633_600 * SECOND;

enum Happens {
    Wake(usize, u64),
    Arrives(usize, Box<Datagram>),
}

struct Entry(Micros, u64, Happens);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// A process.
pub struct Process {
    pub view: View,
    /// Which start of this limiter it is.
    life: u64,
    /// Stands still until then; what comes meanwhile waits.
    still: Micros,
    /// What its core was told last, and what stands for the way there.
    pub told: QuotaShares,
}

/// Processor time that views took for one kind of event.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    pub events: u64,
    pub spent: Duration,
}

impl Work {
    fn add(&mut self, spent: Duration) {
        self.events += 1;
        self.spent += spent;
    }
}

/// How the processor time of views is measured: none unless a clock is set.
#[derive(Default)]
pub struct Meter {
    /// Processor time of this thread; every `every`-th limiter is measured.
    pub clock: Option<fn() -> Duration>,
    pub every: usize,
    /// Datagrams taken in, wakes, and what the core may count on.
    pub heard: Work,
    pub woken: Work,
    pub standing: Work,
}

impl Meter {
    fn clock_for(&self, who: usize) -> Option<fn() -> Duration> {
        self.clock.filter(|_| who % self.every.max(1) == 0)
    }
}

/// Runs `job` and adds the processor time that it took.
fn measured<T>(clock: Option<fn() -> Duration>, work: &mut Work, job: impl FnOnce() -> T) -> T {
    let Some(clock) = clock else { return job() };
    let began = clock();
    let made = job();
    work.add(clock() - began);
    made
}

pub struct Net {
    pub now: Micros,
    pub rng: StdRng,
    order: u64,
    heap: BinaryHeap<Entry>,
    pub processes: Vec<Option<Process>>,
    lives: u64,
    setup: ViewSettings,
    /// Part of the datagrams that is lost, that comes twice, and how long they take.
    pub loss: f64,
    pub twice: f64,
    pub delay: (Micros, Micros),
    /// Which side each limiter is on, and ways that are cut in one direction.
    pub side: Vec<u8>,
    pub cut: Vec<(usize, usize)>,
    /// Each change of state, when, and who saw it.
    pub changes: Vec<(Micros, usize, StateChange)>,
    pub sent: Vec<u64>,
    pub bytes: Vec<u64>,
    pub longest: usize,
    /// Own clocks of processes are that far off, in ms, at their next start.
    pub clock: Vec<i64>,
    /// Of every so-manieth limiter the core is told with each wake.
    pub tell_every: usize,
    pub meter: Meter,
}

pub fn address(who: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (who >> 8) as u8, who as u8), 7_946)
}

impl Net {
    pub fn new(size: u32, seed: u64) -> Self {
        let setup = ViewSettings {
            limiter: 0,
            limiters: size,
            encoding: Encoding::of(size),
            fleet: "ferry".into(),
            address: address(0),
            version: 1_000,
            seeds: (0..size).map(|who| (who, address(who))).collect(),
            protocol_period: 300_000,
            max_sent_per_second: 40,
            max_received_per_second: 40,
            forget_after: 60 * SECOND,
            guaranteed_share: 0.5,
        };
        let all = size as usize;
        Self {
            now: START,
            rng: StdRng::seed_from_u64(seed),
            order: 0,
            heap: BinaryHeap::new(),
            processes: (0..all).map(|_| None).collect(),
            lives: 0,
            setup,
            loss: 0.0,
            twice: 0.0,
            delay: (1_000, 30_000),
            side: vec![0; all],
            cut: Vec::new(),
            changes: Vec::new(),
            sent: vec![0; all],
            bytes: vec![0; all],
            longest: 0,
            clock: vec![0; all],
            tell_every: 1,
            meter: Meter::default(),
        }
    }

    pub fn with(mut self, change: impl Fn(&mut ViewSettings)) -> Self {
        change(&mut self.setup);
        self
    }

    pub fn start_all(&mut self) {
        (0..self.processes.len()).for_each(|who| self.start(who));
    }

    /// Starts a process, in place of one that runs.
    pub fn start(&mut self, who: usize) {
        let setup = ViewSettings {
            limiter: who as u32,
            address: address(who as u32),
            ..self.setup.clone()
        };
        let clock = (self.now / 1_000) as i64 + self.clock[who];
        let view = View::new(setup, clock as u64, self.rng.random(), self.now);
        self.lives += 1;
        let (told, wake) = (view.quota_shares(self.now), view.next_wake());
        let (life, still) = (self.lives, 0);
        self.processes[who] = Some(Process {
            view,
            life,
            still,
            told,
        });
        self.at(wake, Happens::Wake(who, life));
    }

    pub fn kill(&mut self, who: usize) {
        self.processes[who] = None;
    }

    pub fn leave(&mut self, who: usize) {
        let mut todo = Vec::new();
        if let Some(process) = &mut self.processes[who] {
            process.view.leave(self.now, &mut todo);
        }
        self.carry_out(who, todo);
        self.kill(who);
    }

    /// Lets a process stand still for a while.
    pub fn still(&mut self, who: usize, span: Micros) {
        let until = self.now + span;
        self.processes[who].iter_mut().for_each(|p| p.still = until);
    }

    fn at(&mut self, at: Micros, happens: Happens) {
        self.order += 1;
        self.heap.push(Entry(at, self.order, happens));
    }

    fn passes(&mut self, from: usize, to: usize) -> bool {
        self.side[from] == self.side[to]
            && !self.cut.contains(&(from, to))
            && !(self.loss > 0.0 && self.rng.random_bool(self.loss))
    }

    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.heap.peek().is_some_and(|entry| entry.0 <= end) {
            let Some(Entry(at, _, happens)) = self.heap.pop() else {
                break;
            };
            self.now = at;
            let who = match &happens {
                Happens::Wake(who, _) | Happens::Arrives(who, _) => *who,
            };
            let Some(process) = &mut self.processes[who] else {
                continue;
            };
            if matches!(happens, Happens::Wake(_, life) if life != process.life) {
                continue;
            }
            if at < process.still {
                let later = process.still;
                self.at(later, happens);
                continue;
            }
            let (mut todo, life) = (Vec::new(), process.life);
            let clock = self.meter.clock_for(who);
            let wake = match happens {
                Happens::Wake(..) => {
                    measured(clock, &mut self.meter.woken, || {
                        process.view.wake(at, &mut todo)
                    });
                    // A core is told with every look, not with every datagram.
                    if who % self.tell_every == 0 {
                        let standing = || process.view.quota_shares(at);
                        process.told = measured(clock, &mut self.meter.standing, standing);
                    }
                    Some(process.view.next_wake())
                }
                Happens::Arrives(_, datagram) => {
                    let heard = || process.view.receive(at, *datagram, &mut todo);
                    _ = measured(clock, &mut self.meter.heard, heard);
                    None
                }
            };
            if let Some(wake) = wake.filter(|wake| *wake < Micros::MAX) {
                self.at(wake.max(at + 1_000), Happens::Wake(who, life));
            }
            self.carry_out(who, todo);
        }
        self.now = end;
    }

    fn carry_out(&mut self, who: usize, todo: Vec<Action>) {
        for todo in todo {
            match todo {
                Action::Changed(change) => self.changes.push((self.now, who, change)),
                Action::Send(to, datagram) => {
                    self.sent[who] += 1;
                    self.bytes[who] += datagram.size() as u64;
                    self.longest = self.longest.max(datagram.size());
                    let octets = to.ip().octets();
                    let to = usize::from(octets[2]) << 8 | usize::from(octets[3]);
                    if to >= self.processes.len() || !self.passes(who, to) {
                        continue;
                    }
                    let copies = if self.twice > 0.0 && self.rng.random_bool(self.twice) {
                        2
                    } else {
                        1
                    };
                    for _ in 0..copies {
                        let late = self.now + self.rng.random_range(self.delay.0..=self.delay.1);
                        self.at(late, Happens::Arrives(to, Box::new(datagram.clone())));
                    }
                }
            }
        }
    }

    /// Runs until it is so; the time that took, none if it is not so in time.
    pub fn until(&mut self, within: Micros, so: impl Fn(&Self) -> bool) -> Option<Micros> {
        let began = self.now;
        while !so(self) {
            if self.now >= began + within {
                return None;
            }
            self.run(50_000);
        }
        Some(self.now - began)
    }

    pub fn up(&self) -> impl Iterator<Item = (usize, &Process)> {
        self.processes
            .iter()
            .enumerate()
            .filter_map(|(who, p)| Some((who, p.as_ref()?)))
    }

    /// Every running process of one side holds the same side for living, and nobody else. Where datagrams are lost
    /// somebody is under suspicion at nearly any moment, and lives all the same.
    pub fn settled(&self) -> bool {
        self.up().all(|(own, p)| {
            (0..self.processes.len()).all(|who| {
                let lives = self.processes[who].is_some() && self.side[who] == self.side[own];
                p.view.state(who).is_alive() == lives
            })
        })
    }

    /// What all processes together take of what these limiters share, as their cores have it.
    pub fn taken(&self, set: impl Iterator<Item = u32> + Clone) -> f64 {
        self.up()
            .filter_map(|(_, p)| p.told.share(self.now, set.clone()))
            .sum()
    }
}
