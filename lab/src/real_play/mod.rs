//! Plays real limiter processes under open-loop traffic: upstream servers and counter are stand-ins, all else is real.

mod result;

pub use result::{ConfigurationChange, Latency, RealResult};

use crate::audit::{AuditResult, QuotaAudit};
use crate::child::Child;
use crate::error::LabError;
use crate::load_generator::{LoadGenerator, Outcomes};
use crate::messages::{Command, Reply, Start, ZoneLoad};
use crate::population::Population;
use crate::process_figures::{cpu_seconds, memory_bytes};
use crate::real_files::{Files, Place};
use crate::real_process::RealProcess;
use crate::scenario::{Event, Real, Scenario};
use crate::summary::Summary;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A child that says nothing for so long is lost.
const PATIENCE: Duration = Duration::from_secs(30);
/// A configuration is in force by then, or counts as missing.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(30);
/// Ports of limiters, and how many are tried.
const PORTS: std::ops::Range<u16> = 12_000..30_000;
const PORT_TRIES: usize = 1_000;
/// A limiter is started so often, on other ports each time.
const START_TRIES: usize = 5;
const POLL: Duration = Duration::from_millis(20);
/// Of a hundred requests one may be written so late before the generator counts as behind.
const LAG_LIMIT_MS: f64 = 20.0;

/// A step of the play: an event, or what follows from one.
#[derive(Clone, Copy)]
enum Step {
    Pause { process: usize },
    Resume { process: usize },
    RestartHalf,
    ChangeConfiguration,
}

struct Play {
    population: Arc<Population>,
    folder: PathBuf,
    upstream_ports: Vec<u16>,
    counter: Child,
    counter_port: u16,
    _upstream: Child,
    most_units: u32,
    program: PathBuf,
    processes: Vec<RealProcess>,
    /// Processor time of processes that were ended.
    ended_cpu_s: f64,
    further: u32,
    configuration_changes: Vec<ConfigurationChange>,
    events: Vec<&'static str>,
}

/// Plays the real processes of a scenario; `program` is the limiter.
pub fn play(
    scenario: &Scenario,
    real: &Real,
    seed: u64,
    program: &Path,
) -> Result<RealResult, LabError> {
    let mut play = Play::start(scenario, real, seed, program)?;
    let ports: Vec<u16> = play
        .processes
        .iter()
        .map(|process| process.place.port)
        .collect();
    let (counter_before, cpu_before) = (play.counter_load()?, play.cpu_s());
    let began = Instant::now();
    let generator = LoadGenerator::start(play.population.clone(), &ports, seed);
    for (at, event, step) in steps(scenario, real) {
        std::thread::sleep(Duration::from_secs_f64(at).saturating_sub(began.elapsed()));
        play.carry_out(step)?;
        play.events.extend(event);
    }
    std::thread::sleep(
        Duration::from_secs(u64::from(scenario.duration_s)).saturating_sub(began.elapsed()),
    );
    let elapsed = began.elapsed().as_secs_f64();
    let cpu_s = play.cpu_s() - cpu_before;
    let memory = play
        .processes
        .iter()
        .map(|process| memory_bytes(Some(process.id())) as f64)
        .sum::<f64>();
    let outcomes = generator.finish()?;
    let counter_after = play.counter_load()?;
    Ok(play.result(
        &outcomes,
        elapsed,
        cpu_s,
        memory,
        (&counter_before, &counter_after),
    ))
}

/// The events of a scenario that concern real processes, as steps by time.
fn steps(scenario: &Scenario, real: &Real) -> Vec<(f64, Option<&'static str>, Step)> {
    let mut steps = Vec::new();
    for timed in &scenario.events {
        let (at, name) = (timed.at_s, Some(timed.event.name()));
        match &timed.event {
            Event::LimiterPaused { limiter, seconds } => {
                let process = (limiter % real.limiters) as usize;
                steps.push((at, name, Step::Pause { process }));
                steps.push((at + seconds, None, Step::Resume { process }));
            }
            Event::HalfRestarted => steps.push((at, name, Step::RestartHalf)),
            Event::ConfigurationChanged { every_s } => {
                let times = (0..).map(|n| at + f64::from(n) * f64::from(*every_s));
                let within = times.take_while(|at| *at < f64::from(scenario.duration_s));
                steps.extend(within.map(|at| (at, name, Step::ChangeConfiguration)));
            }
            _ => {}
        }
    }
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    steps
}

/// Two ports that nobody has now, below those that the system gives to outgoing connections.
fn free_ports(rng: &mut StdRng) -> Result<(u16, u16), LabError> {
    let mut free = Vec::new();
    for _ in 0..PORT_TRIES {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, rng.random_range(PORTS)));
        // Held while the other one is looked for.
        free.extend(listener);
        if let [first, second] = &free[..] {
            let port = |listener: &TcpListener| listener.local_addr().map(|at| at.port());
            return Ok((port(first)?, port(second)?));
        }
    }
    Err(LabError::NoFreePorts)
}

fn ports(child: &Child) -> Result<Vec<u16>, LabError> {
    match child.reply(PATIENCE)? {
        Reply::Ready(ports) => Ok(ports),
        other => Err(LabError::unexpected("ports", &other)),
    }
}

/// The same tenants' traffic, on so many processes and accounts.
fn population(scenario: &Scenario, real: &Real, seed: u64) -> Population {
    let mut own = scenario.clone();
    (own.sizes.limiters, own.sizes.tenants) = (real.limiters, real.accounts);
    (own.traffic.requests_per_s, own.traffic.scale) = (real.requests_per_s, 1.0);
    own.traffic.small_tenants = 0;
    Population::new(&own, seed)
}

impl Play {
    fn start(
        scenario: &Scenario,
        real: &Real,
        seed: u64,
        program: &Path,
    ) -> Result<Self, LabError> {
        let folder =
            std::env::temp_dir().join(format!("mossrill-lab-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(LabError::path(&folder))?;
        let start = Start::Upstream {
            servers: real.servers,
            mean_ms: real.server_mean_ms,
            seed,
        };
        let upstream = Child::start("upstream", &start)?;
        let counter = Child::start("counter", &Start::Counter { zones: 1 })?;
        let (upstream_ports, counter_ports) = (ports(&upstream)?, ports(&counter)?);
        let mut play = Self {
            population: Arc::new(population(scenario, real, seed)),
            folder,
            upstream_ports,
            counter,
            counter_port: counter_ports[0],
            _upstream: upstream,
            most_units: (2.0 * scenario.traffic.mean_units - 1.0).round().max(1.0) as u32,
            program: program.to_owned(),
            processes: Vec::new(),
            ended_cpu_s: 0.0,
            further: 0,
            configuration_changes: Vec::new(),
            events: Vec::new(),
        };
        play.files(real.limiters).write_description()?;
        // Other runs on this machine look for ports too.
        let mut rng = StdRng::seed_from_u64(u64::from(std::process::id()));
        for number in 0..real.limiters {
            let file = play.folder.join(format!("limiter-{number}.json"));
            let process = play.start_process(number, real.limiters, file, &mut rng)?;
            play.processes.push(process);
        }
        Ok(play)
    }

    /// Starts a limiter; on other ports if somebody took its own meanwhile.
    fn start_process(
        &self,
        number: u32,
        limiters: u32,
        file: PathBuf,
        rng: &mut StdRng,
    ) -> Result<RealProcess, LabError> {
        let mut last_error = LabError::NoFreePorts;
        for _ in 0..START_TRIES {
            let (port, control) = free_ports(rng)?;
            let place = Place {
                number,
                port,
                control,
                file: file.clone(),
            };
            self.files(limiters).write_configuration(&place, 0)?;
            match RealProcess::start(&self.program, place) {
                Ok(process) => return Ok(process),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    fn files(&self, limiters: u32) -> Files<'_> {
        Files {
            folder: &self.folder,
            population: &self.population,
            upstream: &self.upstream_ports,
            counter: self.counter_port,
            limiters,
            most_units: self.most_units,
        }
    }

    fn cpu_s(&self) -> f64 {
        let running: f64 = self
            .processes
            .iter()
            .map(|process| cpu_seconds(Some(process.id())))
            .sum();
        running + self.ended_cpu_s
    }

    fn counter_load(&mut self) -> Result<Vec<ZoneLoad>, LabError> {
        self.counter.tell(&Command::Report)?;
        match self.counter.reply(PATIENCE)? {
            Reply::Load(zones) => Ok(zones),
            other => Err(LabError::unexpected("a load", &other)),
        }
    }

    fn carry_out(&mut self, step: Step) -> Result<(), LabError> {
        match step {
            Step::Pause { process } => self.processes[process].signal(Signal::STOP),
            Step::Resume { process } => self.processes[process].signal(Signal::CONT),
            Step::RestartHalf => self.restart_half(),
            Step::ChangeConfiguration => self.change_configuration(),
        }
    }

    /// Every second process ends at once and is started again.
    fn restart_half(&mut self) -> Result<(), LabError> {
        for number in (0..self.processes.len()).step_by(2) {
            let process = &mut self.processes[number];
            self.ended_cpu_s += cpu_seconds(Some(process.id()));
            process.kill()?;
        }
        for number in (0..self.processes.len()).step_by(2) {
            let place = self.processes[number].place.clone();
            self.processes[number] = RealProcess::start(&self.program, place)?;
        }
        Ok(())
    }

    /// One more entry in each configuration, and the word to read it again; then waits until all use it.
    fn change_configuration(&mut self) -> Result<(), LabError> {
        self.further += 1;
        let limiters = self.processes.len() as u32;
        for process in &self.processes {
            self.files(limiters)
                .write_configuration(&process.place, self.further)?;
        }
        let began = Instant::now();
        self.processes
            .iter()
            .try_for_each(|process| process.signal(Signal::HUP))?;
        let wanted = self.upstream_ports.len() as u32 + self.further;
        let mut lacking: Vec<&RealProcess> = self.processes.iter().collect();
        let mut delays = Vec::new();
        while !lacking.is_empty() && began.elapsed() < CONFIGURATION_LIMIT {
            let before = lacking.len();
            lacking.retain(|process| process.servers_known().is_none_or(|known| known < wanted));
            delays.extend(vec![began.elapsed().as_secs_f64(); before - lacking.len()]);
            std::thread::sleep(POLL);
        }
        let change = ConfigurationChange {
            missing: lacking.len(),
            delay_s: Summary::of(delays),
        };
        self.configuration_changes.push(change);
        Ok(())
    }

    fn result(
        mut self,
        outcomes: &Outcomes,
        elapsed: f64,
        cpu_s: f64,
        memory: f64,
        (before, after): (&[ZoneLoad], &[ZoneLoad]),
    ) -> RealResult {
        let limiters = self.processes.len() as f64;
        let lag = Latency::of(&outcomes.lag);
        let mut fell_behind = Vec::new();
        if lag.p99_ms > LAG_LIMIT_MS {
            fell_behind.push(format!(
                "the generator wrote requests late by {:.0} ms (p99)",
                lag.p99_ms
            ));
        }
        let rate =
            |of: fn(&ZoneLoad) -> u64| (of(&after[0]) - of(&before[0])) as f64 / elapsed / limiters;
        RealResult {
            limiters: self.processes.len() as u32,
            requests_per_s: outcomes.requests() as f64 / elapsed,
            requests: outcomes.requests(),
            served: outcomes.served,
            refused: outcomes.refused,
            failed: outcomes.failed,
            broken: outcomes.broken,
            latency: Latency::of(&outcomes.latency),
            added: Latency::of(&outcomes.added),
            generator_lag: lag,
            cpu_cores_per_limiter: cpu_s / elapsed / limiters,
            memory_bytes_per_limiter: memory / limiters,
            counter_calls_per_limiter_s: rate(|load| load.calls),
            counter_bytes_per_limiter_s: rate(|load| load.bytes_in + load.bytes_out),
            audit: self.audit(outcomes),
            configuration_changes: std::mem::take(&mut self.configuration_changes),
            events: std::mem::take(&mut self.events),
            fell_behind,
        }
    }

    fn audit(&self, outcomes: &Outcomes) -> AuditResult {
        let mut units: Vec<_> = outcomes.units.iter().collect();
        units.sort_by_key(|((second, tenant), _)| (*second, *tenant));
        let mut audit = QuotaAudit::default();
        for ((second, tenant), units) in units {
            audit.sent(
                u64::from(*second) * 1_000_000,
                *tenant,
                *units,
                self.population.plan(*tenant),
            );
        }
        audit.result(&self.population)
    }
}

impl Drop for Play {
    fn drop(&mut self) {
        // The run's own files; nothing else is in there.
        _ = std::fs::remove_dir_all(&self.folder);
    }
}
