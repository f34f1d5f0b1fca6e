//! Plays the hollow limiters of a scenario in real time: stand-ins, one process for each zone, and the events.

mod result;

pub use result::{ChangeResult, HollowResult, StandInResult};

use crate::child::Child;
use crate::clock;
use crate::error::LabError;
use crate::messages::{Command, HollowReport, HollowStart, Reply, Start, ZoneLoad};
use crate::scenario::{Event, Scenario};
use std::time::{Duration, Instant};

/// A child that says nothing for so long is lost.
const PATIENCE: Duration = Duration::from_secs(60);
/// All limiters have the first list by then, or the run is marked.
const FIRST_LIST_SECONDS: u32 = 300;
/// All limiters have the last change by then, or it counts as missing.
const LAST_CHANGE_SECONDS: u32 = 60;
/// A process that is woken later than this, for one tick in a hundred, does not keep up.
const LATE_MS: f64 = 50.0;
const SECOND: f64 = 1e6;

/// A zone's process.
struct Host {
    zone: u32,
    started: u64,
    child: Child,
}

/// What a zone's process reported when it ended.
struct Ended {
    started: u64,
    /// It ran to the end of the play.
    to_the_end: bool,
    report: HollowReport,
}

struct Change {
    event: &'static str,
    generation: u64,
    at: u64,
    bytes: usize,
}

/// What discovery and counter carried, by zone.
type Loads = (Vec<ZoneLoad>, Option<Vec<ZoneLoad>>);

struct Play<'a> {
    scenario: &'a Scenario,
    seed: u64,
    discovery: Child,
    discovery_ports: Vec<u16>,
    counter: Option<(Child, Vec<u16>)>,
    hosts: Vec<Host>,
    ended: Vec<Ended>,
    changes: Vec<Change>,
    events: Vec<&'static str>,
}

/// Plays the hollow limiters of a scenario.
pub fn play(scenario: &Scenario, seed: u64) -> Result<HollowResult, LabError> {
    let mut play = Play::start(scenario, seed)?;
    let mut fell_behind = Vec::new();
    let lacking = play.await_version(1, FIRST_LIST_SECONDS)?;
    if lacking > 0 {
        fell_behind.push(format!(
            "{lacking} limiters without a list after {FIRST_LIST_SECONDS} s"
        ));
    }
    let before = play.loads()?;
    play.tell_hosts(&Command::Begin)?;
    let began = Instant::now();
    for timed in &scenario.events {
        sleep_until(began + Duration::from_secs_f64(timed.at_s));
        play.happen(&timed.event)?;
    }
    sleep_until(began + Duration::from_secs(u64::from(scenario.duration_s)));
    let last = play.changes.last().map_or(1, |change| change.generation);
    play.await_version(last, LAST_CHANGE_SECONDS)?;
    let elapsed = began.elapsed().as_secs_f64();
    let after = play.loads()?;
    play.finish()?;
    let total = play.loads()?;
    Ok(play.result([&before, &after, &total], elapsed, fell_behind))
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn ready(child: &Child) -> Result<Vec<u16>, LabError> {
    match child.reply(PATIENCE)? {
        Reply::Ready(ports) => Ok(ports),
        other => Err(LabError::unexpected("ports", &other)),
    }
}

impl<'a> Play<'a> {
    fn start(scenario: &'a Scenario, seed: u64) -> Result<Self, LabError> {
        let start = Start::Discovery {
            scenario: Box::new(scenario.clone()),
            seed,
        };
        let discovery = Child::start("discovery", &start)?;
        let discovery_ports = ready(&discovery)?;
        let counted = scenario
            .hollow
            .as_ref()
            .is_some_and(|hollow| hollow.counter);
        let counter = match counted {
            true => {
                let child = Child::start(
                    "counter",
                    &Start::Counter {
                        zones: scenario.sizes.zones,
                    },
                )?;
                let ports = ready(&child)?;
                Some((child, ports))
            }
            false => None,
        };
        let (hosts, ended, changes, events) = Default::default();
        let mut play = Self {
            scenario,
            seed,
            discovery,
            discovery_ports,
            counter,
            hosts,
            ended,
            changes,
            events,
        };
        play.published("start")?;
        // One zone after another: limiters that read the whole list together would take more than the machine has.
        for zone in 0..scenario.sizes.zones {
            play.start_host(zone)?;
            if let Some(host) = play.hosts.last_mut() {
                ready(&host.child)?;
                host.child.tell(&Command::AwaitVersion {
                    generation: 1,
                    seconds: FIRST_LIST_SECONDS,
                })?;
                lacking(&host.child, FIRST_LIST_SECONDS)?;
            }
        }
        Ok(play)
    }

    fn start_host(&mut self, zone: u32) -> Result<(), LabError> {
        let start = HollowStart {
            scenario: self.scenario.clone(),
            seed: self.seed,
            zone,
            discovery: self.discovery_ports[zone as usize],
            counter: self.counter.as_ref().map(|(_, ports)| ports[zone as usize]),
        };
        let started = clock::now();
        let child = Child::start(&format!("zone {zone}"), &Start::Hollow(Box::new(start)))?;
        self.hosts.push(Host {
            zone,
            started,
            child,
        });
        Ok(())
    }

    fn published(&mut self, event: &'static str) -> Result<(), LabError> {
        match self.discovery.reply(PATIENCE)? {
            Reply::Published {
                generation,
                at,
                bytes,
            } => {
                self.changes.push(Change {
                    event,
                    generation,
                    at,
                    bytes,
                });
                Ok(())
            }
            other => Err(LabError::unexpected("a version", &other)),
        }
    }

    fn happen(&mut self, event: &Event) -> Result<(), LabError> {
        let name = event.name();
        match event {
            Event::ZoneLost { zone } => {
                self.end_hosts(|host| host.zone == *zone)?;
                self.change_list(
                    name,
                    &Command::SetZone {
                        zone: *zone,
                        in_service: false,
                    },
                )?;
            }
            Event::ZoneBack { zone } => {
                self.change_list(
                    name,
                    &Command::SetZone {
                        zone: *zone,
                        in_service: true,
                    },
                )?;
                self.restart(vec![*zone])?;
            }
            Event::HalfRestarted => {
                let even: Vec<u32> = (0..self.scenario.sizes.zones).step_by(2).collect();
                self.end_hosts(|host| host.zone % 2 == 0)?;
                self.restart(even)?;
            }
            Event::ListChanges { count } => self.change_list(name, &Command::ChangeList(*count))?,
            Event::RegionCut { region } => self.cut(*region, true)?,
            Event::RegionHealed { region } => self.cut(*region, false)?,
            // These concern the other plays.
            Event::ControlMachineLost { .. }
            | Event::ControlMachineBack { .. }
            | Event::ConfigurationChanged { .. }
            | Event::LimiterPaused { .. } => return Ok(()),
        }
        self.events.push(name);
        Ok(())
    }

    fn change_list(&mut self, event: &'static str, command: &Command) -> Result<(), LabError> {
        self.discovery.tell(command)?;
        self.published(event)
    }

    /// Starts the processes of these zones together; traffic goes on there once they are up.
    fn restart(&mut self, zones: Vec<u32>) -> Result<(), LabError> {
        let first = self.hosts.len();
        for zone in zones {
            self.start_host(zone)?;
        }
        for host in &mut self.hosts[first..] {
            ready(&host.child)?;
            host.child.tell(&Command::Begin)?;
        }
        Ok(())
    }

    fn cut(&mut self, region: u32, silent: bool) -> Result<(), LabError> {
        let zones: Vec<u32> = (0..self.scenario.sizes.zones)
            .filter(|zone| self.scenario.region_of_zone(*zone) == region)
            .collect();
        let command = Command::Cut { zones, silent };
        self.discovery.tell(&command)?;
        match &mut self.counter {
            Some((counter, _)) => counter.tell(&command),
            None => Ok(()),
        }
    }

    fn tell_hosts(&mut self, command: &Command) -> Result<(), LabError> {
        self.hosts
            .iter_mut()
            .try_for_each(|host| host.child.tell(command))
    }

    fn await_version(&mut self, generation: u64, seconds: u32) -> Result<u32, LabError> {
        self.tell_hosts(&Command::AwaitVersion {
            generation,
            seconds,
        })?;
        self.hosts
            .iter()
            .map(|host| lacking(&host.child, seconds))
            .sum()
    }

    fn loads(&mut self) -> Result<Loads, LabError> {
        let counter = self
            .counter
            .as_mut()
            .map(|(counter, _)| load(counter))
            .transpose()?;
        Ok((load(&mut self.discovery)?, counter))
    }

    /// Ends these processes and keeps their reports.
    fn end_hosts(&mut self, which: impl Fn(&Host) -> bool) -> Result<(), LabError> {
        let (ending, staying): (Vec<Host>, Vec<Host>) =
            std::mem::take(&mut self.hosts).into_iter().partition(which);
        self.hosts = staying;
        for mut host in ending {
            host.child.tell(&Command::Finish)?;
            let report = match host.child.reply(PATIENCE)? {
                Reply::Hollow(report) => report,
                other => return Err(LabError::unexpected("a report", &other)),
            };
            self.ended.push(Ended {
                started: host.started,
                to_the_end: false,
                report: *report,
            });
        }
        Ok(())
    }

    fn finish(&mut self) -> Result<(), LabError> {
        let early = self.ended.len();
        self.end_hosts(|_| true)?;
        self.ended[early..]
            .iter_mut()
            .for_each(|ended| ended.to_the_end = true);
        Ok(())
    }
}

/// Limiters of a child that lack the version that was waited for.
fn lacking(child: &Child, seconds: u32) -> Result<u32, LabError> {
    match child.reply(Duration::from_secs(u64::from(seconds)) + PATIENCE)? {
        Reply::Lacking(count) => Ok(count),
        other => Err(LabError::unexpected("a count of limiters", &other)),
    }
}

fn load(child: &mut Child) -> Result<Vec<ZoneLoad>, LabError> {
    child.tell(&Command::Report)?;
    match child.reply(PATIENCE)? {
        Reply::Load(zones) => Ok(zones),
        other => Err(LabError::unexpected("a load", &other)),
    }
}
