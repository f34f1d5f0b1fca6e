//! Simulates the fleet's membership in virtual time: real views (`mossrill::membership::view`) on a
//! simulated network.

use crate::net::{SimulatedNetwork, SECOND};
use crate::scenario::{Event, Membership, Scenario};
use serde::Serialize;

/// Maximum virtual time in µs until all members know each other. If it passes, `settled_s` in
/// the report is null.
const SETTLE_TIMEOUT: u64 = 600 * SECOND;
/// Maximum virtual time in µs after an event until all members know its consequences.
const EVENT_TIMEOUT: u64 = 120 * SECOND;

/// Results of the membership run.
#[derive(Debug, Serialize)]
pub struct MembershipResult {
    /// Number of members.
    pub members: u32,
    /// "virtual": times are simulated, not measured on the machine.
    pub time: &'static str,
    /// Seconds from the start until all members know each other; `None` if they do not in time.
    pub settled_s: Option<f64>,
    /// Datagrams per member and second while there are no events.
    pub datagrams_per_member_s: f64,
    /// Bytes per member and second while there are no events.
    pub bytes_per_member_s: f64,
    /// Length of the longest datagram in bytes.
    pub longest_datagram: usize,
    /// CPU seconds per member and virtual second, including the simulation of the network.
    pub cpu_s_per_member_s: f64,
    /// Results by event.
    pub events: Vec<EventResult>,
}

/// Result of an event.
#[derive(Debug, Serialize)]
pub struct EventResult {
    /// Name of the event.
    pub event: &'static str,
    /// Seconds until every running member considers exactly the running members on its side of a
    /// partition alive; `None` if that does not happen in time.
    pub known_s: Option<f64>,
    /// Bytes per member and second during this time.
    pub bytes_per_member_s: f64,
}

/// State of the simulation.
struct Play<'a> {
    scenario: &'a Scenario,
    net: SimulatedNetwork,
    members: u32,
}

/// Simulates the membership of a scenario and returns the results.
pub fn play(scenario: &Scenario, membership: &Membership, seed: u64) -> MembershipResult {
    let members = membership.members;
    let mut net = SimulatedNetwork::new(members, seed);
    net.start_all();
    let settled = net.run_until(SETTLE_TIMEOUT, SimulatedNetwork::is_settled);
    net.loss = membership.loss;
    let mut play = Play {
        scenario,
        net,
        members,
    };
    let idle_time = u64::from(scenario.duration_s.min(60)) * SECOND;
    let cpu_before = crate::process_figures::cpu_seconds(None);
    let (datagrams, bytes) = play.rates(|play| play.net.run(idle_time));
    let cpu_s = crate::process_figures::cpu_seconds(None) - cpu_before;
    let member_seconds = f64::from(members) * idle_time as f64 / SECOND as f64;
    let events = scenario
        .events
        .iter()
        .filter_map(|timed| play.apply_event(&timed.event))
        .collect();
    MembershipResult {
        members,
        time: "virtual",
        settled_s: settled.map(seconds),
        datagrams_per_member_s: datagrams,
        bytes_per_member_s: bytes,
        longest_datagram: play.net.max_datagram_bytes,
        cpu_s_per_member_s: cpu_s / member_seconds,
        events,
    }
}

fn seconds(span: u64) -> f64 {
    span as f64 / SECOND as f64
}

impl Play<'_> {
    /// Runs `work` and returns the datagrams and bytes sent per member and second meanwhile.
    fn rates(&mut self, work: impl FnOnce(&mut Self)) -> (f64, f64) {
        let before: (u64, u64) = (self.net.sent.iter().sum(), self.net.sent_bytes.iter().sum());
        let began = self.net.now;
        work(self);
        let span = seconds(self.net.now - began).max(1e-6) * f64::from(self.members);
        let after: (u64, u64) = (self.net.sent.iter().sum(), self.net.sent_bytes.iter().sum());
        (
            (after.0 - before.0) as f64 / span,
            (after.1 - before.1) as f64 / span,
        )
    }

    fn zone_of(&self, member: u32) -> u32 {
        let zones = u64::from(self.scenario.sizes.zones);
        (u64::from(member) * zones / u64::from(self.members)) as u32
    }

    fn members_of_zone(&self, zone: u32) -> Vec<usize> {
        (0..self.members)
            .filter(|member| self.zone_of(*member) == zone)
            .map(|m| m as usize)
            .collect()
    }

    fn apply_event(&mut self, event: &Event) -> Option<EventResult> {
        match event {
            Event::ZoneLost { zone } => self
                .members_of_zone(*zone)
                .into_iter()
                .for_each(|member| self.net.kill(member)),
            Event::ZoneBack { zone } => self
                .members_of_zone(*zone)
                .into_iter()
                .for_each(|member| self.net.start(member)),
            Event::HalfRestarted => (0..self.members as usize)
                .step_by(2)
                .for_each(|member| self.net.start(member)),
            Event::RegionCut { region } => self.set_side(*region, 1),
            Event::RegionHealed { region } => self.set_side(*region, 0),
            Event::LimiterPaused { limiter, seconds } => {
                let member = limiter % self.members;
                self.net
                    .pause(member as usize, (seconds * SECOND as f64) as u64);
                self.net.run((seconds * SECOND as f64) as u64);
            }
            Event::ListChanges { .. }
            | Event::ControlMachineLost { .. }
            | Event::ControlMachineBack { .. }
            | Event::ConfigurationChanged { .. } => return None,
        }
        let mut known = None;
        let (_, bytes) = self.rates(|play| {
            known = play
                .net
                .run_until(EVENT_TIMEOUT, SimulatedNetwork::is_settled)
        });
        Some(EventResult {
            event: event.name(),
            known_s: known.map(seconds),
            bytes_per_member_s: bytes,
        })
    }

    /// Moves all members of a region to a side of the network partition.
    fn set_side(&mut self, region: u32, side: u8) {
        for member in 0..self.members {
            if self.scenario.region_of_zone(self.zone_of(member)) == region {
                self.net.partition[member as usize] = side;
            }
        }
    }
}
