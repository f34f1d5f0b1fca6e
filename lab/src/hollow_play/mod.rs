//! Runs the hollow (simulated) limiters of a scenario in real time: starts the stand-ins and one
//! process for each zone, and carries out the events.

mod result;

pub use result::{ChangeResult, HollowResult, StandInResult};

use crate::child::Child;
use crate::clock;
use crate::error::LabError;
use crate::messages::{Command, HollowReport, HollowStart, Reply, Start, ZoneLoad};
use crate::scenario::{Event, Scenario};
use std::time::{Duration, Instant};

/// Maximum wait for a reply of a child process, apart from waits that the command asks for.
const REPLY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time in seconds for all limiters to get the first list; otherwise the report says that the
/// machine fell behind.
const FIRST_LIST_TIMEOUT_S: u32 = 300;
/// Time in seconds for all limiters to get the last change, which otherwise counts as missing.
const LAST_CHANGE_TIMEOUT_S: u32 = 60;
/// Maximum 99th percentile in ms of the lateness of timer ticks. Beyond it, the process counts as
/// not keeping up.
const MAX_TICK_LATENESS_MS: f64 = 50.0;
/// Microseconds in a second.
const SECOND: f64 = 1e6;

/// The process that runs the limiters of a zone.
struct Host {
    zone: u32,
    /// Unix time of the start in µs.
    started: u64,
    child: Child,
}

/// Final report of a zone's process.
struct Ended {
    /// Unix time of the start in µs.
    started: u64,
    /// Whether the process ran until the end of the play.
    ran_to_end: bool,
    report: HollowReport,
}

/// A published version of the server list.
struct Change {
    event: &'static str,
    generation: u64,
    /// Unix time of the publication in µs.
    at: u64,
    /// Length of the changes in bytes.
    bytes: usize,
}

/// Traffic of discovery and of the counter, by zone.
type Loads = (Vec<ZoneLoad>, Option<Vec<ZoneLoad>>);

/// State of the run: child processes and what they reported.
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

/// Runs the hollow limiters of a scenario and returns the measurements.
pub fn play(scenario: &Scenario, seed: u64) -> Result<HollowResult, LabError> {
    let mut play = Play::start(scenario, seed)?;
    let mut fell_behind = Vec::new();
    let lacking = play.await_version(1, FIRST_LIST_TIMEOUT_S)?;
    if lacking > 0 {
        fell_behind.push(format!(
            "{lacking} limiters had no server list after {FIRST_LIST_TIMEOUT_S} s"
        ));
    }
    let before = play.loads()?;
    play.send_to_hosts(&Command::Begin)?;
    let began = Instant::now();
    for timed in &scenario.events {
        sleep_until(began + Duration::from_secs_f64(timed.at_s));
        play.apply_event(&timed.event)?;
    }
    sleep_until(began + Duration::from_secs(u64::from(scenario.duration_s)));
    let last = play.changes.last().map_or(1, |change| change.generation);
    play.await_version(last, LAST_CHANGE_TIMEOUT_S)?;
    let elapsed = began.elapsed().as_secs_f64();
    let after = play.loads()?;
    play.finish()?;
    let total = play.loads()?;
    Ok(play.result([&before, &after, &total], elapsed, fell_behind))
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Waits until a child process is ready and returns its ports.
fn await_ready(child: &Child) -> Result<Vec<u16>, LabError> {
    match child.next_reply(REPLY_TIMEOUT)? {
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
        let discovery_ports = await_ready(&discovery)?;
        let calls_counter = scenario
            .hollow
            .as_ref()
            .is_some_and(|hollow| hollow.counter);
        let counter = match calls_counter {
            true => {
                let child = Child::start(
                    "counter",
                    &Start::Counter {
                        zones: scenario.sizes.zones,
                    },
                )?;
                let ports = await_ready(&child)?;
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
        play.await_published("start")?;
        // Zones start one after another: reading the whole list by all limiters at the same time
        // would exceed the resources of the machine.
        for zone in 0..scenario.sizes.zones {
            play.start_host(zone)?;
            if let Some(host) = play.hosts.last_mut() {
                await_ready(&host.child)?;
                host.child.send(&Command::AwaitVersion {
                    generation: 1,
                    seconds: FIRST_LIST_TIMEOUT_S,
                })?;
                read_lacking(&host.child, FIRST_LIST_TIMEOUT_S)?;
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

    /// Waits until discovery has published a version that `event` caused.
    fn await_published(&mut self, event: &'static str) -> Result<(), LabError> {
        match self.discovery.next_reply(REPLY_TIMEOUT)? {
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
            other => Err(LabError::unexpected("a published version", &other)),
        }
    }

    fn apply_event(&mut self, event: &Event) -> Result<(), LabError> {
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
            // These events concern the other plays.
            Event::ControlMachineLost { .. }
            | Event::ControlMachineBack { .. }
            | Event::ConfigurationChanged { .. }
            | Event::LimiterPaused { .. } => return Ok(()),
        }
        self.events.push(name);
        Ok(())
    }

    fn change_list(&mut self, event: &'static str, command: &Command) -> Result<(), LabError> {
        self.discovery.send(command)?;
        self.await_published(event)
    }

    /// Starts the processes of these zones together, and their traffic once they are ready.
    fn restart(&mut self, zones: Vec<u32>) -> Result<(), LabError> {
        let first = self.hosts.len();
        for zone in zones {
            self.start_host(zone)?;
        }
        for host in &mut self.hosts[first..] {
            await_ready(&host.child)?;
            host.child.send(&Command::Begin)?;
        }
        Ok(())
    }

    /// Cuts the zones of a region off from the stand-ins, or reconnects them.
    fn cut(&mut self, region: u32, silent: bool) -> Result<(), LabError> {
        let zones: Vec<u32> = (0..self.scenario.sizes.zones)
            .filter(|zone| self.scenario.region_of_zone(*zone) == region)
            .collect();
        let command = Command::Cut { zones, silent };
        self.discovery.send(&command)?;
        match &mut self.counter {
            Some((counter, _)) => counter.send(&command),
            None => Ok(()),
        }
    }

    fn send_to_hosts(&mut self, command: &Command) -> Result<(), LabError> {
        self.hosts
            .iter_mut()
            .try_for_each(|host| host.child.send(command))
    }

    /// Waits until all limiters have this version and returns how many do not have it in time.
    fn await_version(&mut self, generation: u64, seconds: u32) -> Result<u32, LabError> {
        self.send_to_hosts(&Command::AwaitVersion {
            generation,
            seconds,
        })?;
        self.hosts
            .iter()
            .map(|host| read_lacking(&host.child, seconds))
            .sum()
    }

    fn loads(&mut self) -> Result<Loads, LabError> {
        let counter = self
            .counter
            .as_mut()
            .map(|(counter, _)| request_load(counter))
            .transpose()?;
        Ok((request_load(&mut self.discovery)?, counter))
    }

    /// Ends the selected processes and keeps their reports.
    fn end_hosts(&mut self, selected: impl Fn(&Host) -> bool) -> Result<(), LabError> {
        let (ending, staying): (Vec<Host>, Vec<Host>) = std::mem::take(&mut self.hosts)
            .into_iter()
            .partition(selected);
        self.hosts = staying;
        for mut host in ending {
            host.child.send(&Command::Finish)?;
            let report = match host.child.next_reply(REPLY_TIMEOUT)? {
                Reply::Hollow(report) => report,
                other => return Err(LabError::unexpected("a report", &other)),
            };
            self.ended.push(Ended {
                started: host.started,
                ran_to_end: false,
                report: *report,
            });
        }
        Ok(())
    }

    /// Ends all remaining processes, which have then run to the end of the play.
    fn finish(&mut self) -> Result<(), LabError> {
        let ended_before = self.ended.len();
        self.end_hosts(|_| true)?;
        self.ended[ended_before..]
            .iter_mut()
            .for_each(|ended| ended.ran_to_end = true);
        Ok(())
    }
}

/// Waits for the number of limiters of a child that do not have the awaited version.
fn read_lacking(child: &Child, seconds: u32) -> Result<u32, LabError> {
    match child.next_reply(Duration::from_secs(u64::from(seconds)) + REPLY_TIMEOUT)? {
        Reply::Lacking(count) => Ok(count),
        other => Err(LabError::unexpected("a count of limiters", &other)),
    }
}

/// Requests the traffic that a stand-in has counted so far.
fn request_load(child: &mut Child) -> Result<Vec<ZoneLoad>, LabError> {
    child.send(&Command::Report)?;
    match child.next_reply(REPLY_TIMEOUT)? {
        Reply::Load(zones) => Ok(zones),
        other => Err(LabError::unexpected("traffic counts", &other)),
    }
}
