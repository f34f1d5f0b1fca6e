//! Simulated network of the quota runs: which limiter reaches which control machine, and with which
//! delay.

use crate::population::Population;
use crate::scenario::{Event, Quota, Scenario};
use mossrill::decision::Micros;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1e3;

/// State of limiters and control machines, and the network between them.
pub struct QuotaNetwork {
    region_of_limiter: Vec<u32>,
    region_of_machine: Vec<u32>,
    region_cut: Vec<bool>,
    machine_up: Vec<bool>,
    limiter_up: Vec<bool>,
    paused_until: Vec<Micros>,
    /// One-way delay within a region in µs.
    near_delay: Micros,
    /// One-way delay between regions in µs.
    far_delay: Micros,
}

/// Change that an event made, as far as it concerns the mechanism.
#[derive(Debug, PartialEq)]
pub enum NetworkChange {
    /// A control machine failed.
    MachineLost(u32),
    /// A control machine started again with empty state.
    MachineBack(u32),
    /// These limiters started with empty state.
    LimitersStarted(Vec<u32>),
    /// A partition between regions began or ended.
    Regions,
    /// Nothing that concerns the mechanism.
    Nothing,
}

impl QuotaNetwork {
    /// Creates a network in which everything is running. Control machines are assigned to the
    /// regions in turn.
    pub fn new(scenario: &Scenario, quota: &Quota) -> Self {
        let sizes = &scenario.sizes;
        let region = |limiter| scenario.region_of_zone(scenario.zone_of_limiter(limiter));
        let one_way = |round_trip_ms: f64| (round_trip_ms * MICROS_PER_MS / 2.0) as Micros;
        Self {
            region_of_limiter: (0..sizes.limiters).map(region).collect(),
            region_of_machine: (0..quota.control_machines)
                .map(|machine| machine % sizes.regions)
                .collect(),
            region_cut: vec![false; sizes.regions as usize],
            machine_up: vec![true; quota.control_machines as usize],
            limiter_up: vec![true; sizes.limiters as usize],
            paused_until: vec![0; sizes.limiters as usize],
            near_delay: one_way(quota.round_trip_ms),
            far_delay: one_way(quota.far_round_trip_ms),
        }
    }

    /// Returns the number of control machines.
    pub fn machines(&self) -> u32 {
        self.machine_up.len() as u32
    }

    /// Returns the number of limiters.
    pub fn limiters(&self) -> u32 {
        self.limiter_up.len() as u32
    }

    /// Whether this control machine is running.
    pub fn is_machine_up(&self, machine: u32) -> bool {
        self.machine_up[machine as usize]
    }

    /// Returns the side of the network partition that a control machine is on: 0 while its region
    /// is connected, else a number of its own region.
    pub fn side_of_machine(&self, machine: u32) -> u8 {
        let region = self.region_of_machine[machine as usize];
        if self.region_cut[region as usize] {
            region as u8 + 1
        } else {
            0
        }
    }

    /// Returns the one-way delay in µs between a limiter and a control machine, or `None` if a
    /// partition separates them.
    pub fn one_way(&self, limiter: u32, machine: u32) -> Option<Micros> {
        let limiter_region = self.region_of_limiter[limiter as usize];
        let machine_region = self.region_of_machine[machine as usize];
        if limiter_region == machine_region {
            return Some(self.near_delay);
        }
        let cut =
            self.region_cut[limiter_region as usize] || self.region_cut[machine_region as usize];
        (!cut).then_some(self.far_delay)
    }

    /// Returns the time until which a limiter is paused.
    pub fn paused_until(&self, limiter: u32) -> Micros {
        self.paused_until[limiter as usize]
    }

    /// Returns the limiter that serves a request sent to `limiter`: this one, or if it is down, the
    /// next running one of the tenant's limiters. `None` if none of them is running.
    pub fn serving_limiter(
        &self,
        population: &Population,
        tenant: usize,
        limiter: u32,
    ) -> Option<u32> {
        let traffic = population.tenants[tenant];
        let count = self.limiters();
        let offset = (limiter + count - traffic.first) % count;
        let candidates =
            (0..traffic.spread).map(|n| (traffic.first + (offset + n) % traffic.spread) % count);
        candidates
            .into_iter()
            .find(|limiter| self.limiter_up[*limiter as usize])
    }

    /// Applies an event and returns what it changed.
    pub fn apply_event(
        &mut self,
        now: Micros,
        scenario: &Scenario,
        event: &Event,
    ) -> NetworkChange {
        match event {
            Event::ZoneLost { zone } => {
                scenario
                    .limiters_of_zone(*zone)
                    .for_each(|l| self.limiter_up[l as usize] = false);
                NetworkChange::Nothing
            }
            Event::ZoneBack { zone } => {
                scenario
                    .limiters_of_zone(*zone)
                    .for_each(|l| self.limiter_up[l as usize] = true);
                NetworkChange::LimitersStarted(scenario.limiters_of_zone(*zone).collect())
            }
            Event::HalfRestarted => {
                NetworkChange::LimitersStarted((0..self.limiters()).step_by(2).collect())
            }
            Event::RegionCut { region } => {
                self.region_cut[*region as usize] = true;
                NetworkChange::Regions
            }
            Event::RegionHealed { region } => {
                self.region_cut[*region as usize] = false;
                NetworkChange::Regions
            }
            Event::ControlMachineLost { machine } => {
                self.machine_up[*machine as usize] = false;
                NetworkChange::MachineLost(*machine)
            }
            Event::ControlMachineBack { machine } => {
                self.machine_up[*machine as usize] = true;
                NetworkChange::MachineBack(*machine)
            }
            Event::LimiterPaused { limiter, seconds } => {
                self.paused_until[*limiter as usize] = now + (seconds * 1e6) as Micros;
                NetworkChange::Nothing
            }
            Event::ListChanges { .. } | Event::ConfigurationChanged { .. } => {
                NetworkChange::Nothing
            }
        }
    }
}
