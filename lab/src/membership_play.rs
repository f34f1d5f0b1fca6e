//! Plays the fleet's membership in virtual time: real views (`mossrill::membership::view`) on a network of hand-made time.

use crate::net::{SimulatedNetwork, SECOND};
use crate::scenario::{Event, Membership, Scenario};
use serde::Serialize;

/// All members know each other by then, or the play is marked.
const SETTLE_LIMIT: u64 = 600 * SECOND;
/// After an event, what it brings about is waited for so long at most.
const EVENT_LIMIT: u64 = 120 * SECOND;

/// What the play of the membership showed.
#[derive(Debug, Serialize)]
pub struct MembershipResult {
    /// Members.
    pub members: u32,
    /// "virtual": times are the network's, not the machine's.
    pub time: &'static str,
    /// Seconds from the start until all know each other; none if they do not.
    pub settled_s: Option<f64>,
    /// Datagrams a member and second while nothing happens.
    pub datagrams_per_member_s: f64,
    /// Bytes a member and second while nothing happens.
    pub bytes_per_member_s: f64,
    /// Longest datagram in bytes.
    pub longest_datagram: usize,
    /// Processor time for a member and virtual second, in seconds of a core; the network's own work is in it.
    pub cpu_s_per_member_s: f64,
    /// By event: seconds until all members that run have it; none if they have not.
    pub events: Vec<EventResult>,
}

/// What an event brought about.
#[derive(Debug, Serialize)]
pub struct EventResult {
    /// The event.
    pub event: &'static str,
    /// Seconds until every running member of one side holds just the others of its side for living.
    pub known_s: Option<f64>,
    /// Bytes a member and second meanwhile.
    pub bytes_per_member_s: f64,
}

struct Play<'a> {
    scenario: &'a Scenario,
    net: SimulatedNetwork,
    members: u32,
}

/// Plays the membership of a scenario.
pub fn play(scenario: &Scenario, membership: &Membership, seed: u64) -> MembershipResult {
    let members = membership.members;
    let mut net = SimulatedNetwork::new(members, seed);
    net.start_all();
    let settled = net.run_until(SETTLE_LIMIT, SimulatedNetwork::is_settled);
    net.loss = membership.loss;
    let mut play = Play {
        scenario,
        net,
        members,
    };
    let quiet = u64::from(scenario.duration_s.min(60)) * SECOND;
    let cpu = crate::process_figures::cpu_seconds(None);
    let (datagrams, bytes) = play.rates(|play| play.net.run(quiet));
    let cpu = crate::process_figures::cpu_seconds(None) - cpu;
    let member_seconds = f64::from(members) * quiet as f64 / SECOND as f64;
    let events = scenario
        .events
        .iter()
        .filter_map(|timed| play.happen(&timed.event))
        .collect();
    MembershipResult {
        members,
        time: "virtual",
        settled_s: settled.map(seconds),
        datagrams_per_member_s: datagrams,
        bytes_per_member_s: bytes,
        longest_datagram: play.net.max_datagram_bytes,
        cpu_s_per_member_s: cpu / member_seconds,
        events,
    }
}

fn seconds(span: u64) -> f64 {
    span as f64 / SECOND as f64
}

impl Play<'_> {
    /// Datagrams and bytes a member and second while this goes on.
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

    fn of_zone(&self, zone: u32) -> Vec<usize> {
        (0..self.members)
            .filter(|member| self.zone_of(*member) == zone)
            .map(|m| m as usize)
            .collect()
    }

    fn happen(&mut self, event: &Event) -> Option<EventResult> {
        match event {
            Event::ZoneLost { zone } => self
                .of_zone(*zone)
                .into_iter()
                .for_each(|who| self.net.kill(who)),
            Event::ZoneBack { zone } => self
                .of_zone(*zone)
                .into_iter()
                .for_each(|who| self.net.start(who)),
            Event::HalfRestarted => (0..self.members as usize)
                .step_by(2)
                .for_each(|who| self.net.start(who)),
            Event::RegionCut { region } => self.set_side(*region, 1),
            Event::RegionHealed { region } => self.set_side(*region, 0),
            Event::LimiterPaused { limiter, seconds } => {
                let who = limiter % self.members;
                self.net
                    .pause(who as usize, (seconds * SECOND as f64) as u64);
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
                .run_until(EVENT_LIMIT, SimulatedNetwork::is_settled)
        });
        Some(EventResult {
            event: event.name(),
            known_s: known.map(seconds),
            bytes_per_member_s: bytes,
        })
    }

    fn set_side(&mut self, region: u32, side: u8) {
        for member in 0..self.members {
            if self.scenario.region_of_zone(self.zone_of(member)) == region {
                self.net.partition[member as usize] = side;
            }
        }
    }
}
