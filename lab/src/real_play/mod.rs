//! Runs real limiter processes under open-loop traffic. Upstream servers and the counter are
//! stand-ins; everything else is real.

mod result;

pub use result::{ConfigurationChange, Latency, RealResult};

use crate::audit::{AuditResult, QuotaAudit};
use crate::child::Child;
use crate::error::LabError;
use crate::load_generator::{LoadGenerator, Outcomes};
use crate::messages::{Command, Reply, Start, ZoneLoad};
use crate::population::Population;
use crate::process_figures::{cpu_seconds, memory_bytes};
use crate::real_files::{Files, ProcessSetup};
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

/// Maximum wait for a reply of a child process.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for a process to apply a new configuration, which otherwise counts as missing.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Range from which the ports of limiters are drawn.
const PORTS: std::ops::Range<u16> = 12_000..30_000;
/// Maximum number of ports that are tried for one process.
const MAX_PORT_TRIES: usize = 1_000;
/// Maximum number of attempts to start a limiter, each on other ports.
const MAX_START_TRIES: usize = 5;
/// Interval at which processes are asked whether they use a new configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum 99th percentile in ms of the delay with which requests are written. Beyond it, the
/// generator counts as falling behind.
const MAX_LAG_MS: f64 = 20.0;

/// A step of the run: an event, or a later consequence of one.
#[derive(Clone, Copy)]
enum Step {
    Pause { process: usize },
    Resume { process: usize },
    RestartHalf,
    ChangeConfiguration,
}

/// State of the run: child processes, limiter processes and measurements.
struct Play {
    population: Arc<Population>,
    folder: PathBuf,
    upstream_ports: Vec<u16>,
    counter: Child,
    counter_port: u16,
    _upstream: Child,
    max_units: u32,
    program: PathBuf,
    processes: Vec<RealProcess>,
    /// CPU time in seconds of processes that have been killed.
    ended_cpu_s: f64,
    /// Number of entries of the configured server list beyond the upstream servers; grows with each
    /// change of the configuration, so that a process shows which one it uses.
    extra_entries: u32,
    configuration_changes: Vec<ConfigurationChange>,
    events: Vec<&'static str>,
}

/// Runs the real processes of a scenario and returns the measurements. `program` is the path of the
/// limiter.
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
        .map(|process| process.setup.port)
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

/// Returns the events of a scenario that concern real processes as steps, sorted by time in
/// seconds.
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

/// Finds two ports that are free now. The range is below the ephemeral ports, which the system
/// assigns to outgoing connections.
fn free_ports(rng: &mut StdRng) -> Result<(u16, u16), LabError> {
    let mut free = Vec::new();
    for _ in 0..MAX_PORT_TRIES {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, rng.random_range(PORTS)));
        // The listener stays open until the second port is found.
        free.extend(listener);
        if let [first, second] = &free[..] {
            let port = |listener: &TcpListener| listener.local_addr().map(|at| at.port());
            return Ok((port(first)?, port(second)?));
        }
    }
    Err(LabError::NoFreePorts)
}

/// Waits until a child process is ready and returns its ports.
fn await_ports(child: &Child) -> Result<Vec<u16>, LabError> {
    match child.next_reply(REPLY_TIMEOUT)? {
        Reply::Ready(ports) => Ok(ports),
        other => Err(LabError::unexpected("ports", &other)),
    }
}

/// Creates the population of the scenario with the limiters, accounts and request rate of `real`.
fn population(scenario: &Scenario, real: &Real, seed: u64) -> Population {
    let mut scaled = scenario.clone();
    (scaled.sizes.limiters, scaled.sizes.tenants) = (real.limiters, real.accounts);
    (scaled.traffic.requests_per_s, scaled.traffic.scale) = (real.requests_per_s, 1.0);
    scaled.traffic.small_tenants = 0;
    Population::new(&scaled, seed)
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
        let (upstream_ports, counter_ports) = (await_ports(&upstream)?, await_ports(&counter)?);
        let mut play = Self {
            population: Arc::new(population(scenario, real, seed)),
            folder,
            upstream_ports,
            counter,
            counter_port: counter_ports[0],
            _upstream: upstream,
            max_units: (2.0 * scenario.traffic.mean_units - 1.0).round().max(1.0) as u32,
            program: program.to_owned(),
            processes: Vec::new(),
            ended_cpu_s: 0.0,
            extra_entries: 0,
            configuration_changes: Vec::new(),
            events: Vec::new(),
        };
        play.files(real.limiters).write_description()?;
        // Seeded with the process id, because other runs on this machine look for ports too and
        // would otherwise try the same ones.
        let mut rng = StdRng::seed_from_u64(u64::from(std::process::id()));
        for number in 0..real.limiters {
            let file = play.folder.join(format!("limiter-{number}.json"));
            let process = play.start_process(number, real.limiters, file, &mut rng)?;
            play.processes.push(process);
        }
        Ok(play)
    }

    /// Starts a limiter. Tries other ports if another process has taken the free ones in the
    /// meantime.
    fn start_process(
        &self,
        number: u32,
        limiters: u32,
        file: PathBuf,
        rng: &mut StdRng,
    ) -> Result<RealProcess, LabError> {
        let mut last_error = LabError::NoFreePorts;
        for _ in 0..MAX_START_TRIES {
            let (port, control) = free_ports(rng)?;
            let setup = ProcessSetup {
                number,
                port,
                control,
                file: file.clone(),
            };
            self.files(limiters).write_configuration(&setup, 0)?;
            match RealProcess::start(&self.program, setup) {
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
            max_units: self.max_units,
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
        self.counter.send(&Command::Report)?;
        match self.counter.next_reply(REPLY_TIMEOUT)? {
            Reply::Load(zones) => Ok(zones),
            other => Err(LabError::unexpected("traffic counts", &other)),
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

    /// Kills every second process and starts it again.
    fn restart_half(&mut self) -> Result<(), LabError> {
        for number in (0..self.processes.len()).step_by(2) {
            let process = &mut self.processes[number];
            self.ended_cpu_s += cpu_seconds(Some(process.id()));
            process.kill()?;
        }
        for number in (0..self.processes.len()).step_by(2) {
            let setup = self.processes[number].setup.clone();
            self.processes[number] = RealProcess::start(&self.program, setup)?;
        }
        Ok(())
    }

    /// Adds an entry to the server list of each configuration, signals all processes to reload it,
    /// and waits until all use it.
    fn change_configuration(&mut self) -> Result<(), LabError> {
        self.extra_entries += 1;
        let limiters = self.processes.len() as u32;
        for process in &self.processes {
            self.files(limiters)
                .write_configuration(&process.setup, self.extra_entries)?;
        }
        let began = Instant::now();
        self.processes
            .iter()
            .try_for_each(|process| process.signal(Signal::HUP))?;
        let expected = self.upstream_ports.len() as u32 + self.extra_entries;
        let mut pending: Vec<&RealProcess> = self.processes.iter().collect();
        let mut delays = Vec::new();
        while !pending.is_empty() && began.elapsed() < CONFIGURATION_TIMEOUT {
            let before = pending.len();
            pending.retain(|process| process.servers_known().is_none_or(|known| known < expected));
            delays.extend(vec![began.elapsed().as_secs_f64(); before - pending.len()]);
            std::thread::sleep(POLL_INTERVAL);
        }
        let change = ConfigurationChange {
            missing: pending.len(),
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
        if lag.p99_ms > MAX_LAG_MS {
            fell_behind.push(format!(
                "the load generator wrote requests {:.0} ms late (p99)",
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
        // The folder holds only files of this run.
        _ = std::fs::remove_dir_all(&self.folder);
    }
}
