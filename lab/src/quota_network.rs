//! Which limiter reaches which control machine in a quota play, and how long that takes.

use crate::population::Population;
use crate::scenario::{Event, Quota, Scenario};
use mossrill::decision::Micros;

const MICROS_PER_MS: f64 = 1e3;

/// Limiters, control machines, and what lies between them.
pub struct QuotaNetwork {
    region_of_limiter: Vec<u32>,
    region_of_machine: Vec<u32>,
    region_cut: Vec<bool>,
    machine_up: Vec<bool>,
    limiter_up: Vec<bool>,
    paused_until: Vec<Micros>,
    near: Micros,
    far: Micros,
}

/// What an event changed, for the mechanism that is played.
#[derive(Debug, PartialEq)]
pub enum Changed {
    /// A control machine was lost.
    MachineLost(u32),
    /// A control machine is back, empty.
    MachineBack(u32),
    /// These limiters start anew.
    LimitersStarted(Vec<u32>),
    /// Regions lost or found each other.
    Regions,
    /// Nothing that a mechanism is told of.
    Nothing,
}

impl QuotaNetwork {
    /// All is up; control machines are dealt out among the regions.
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
            near: one_way(quota.round_trip_ms),
            far: one_way(quota.far_round_trip_ms),
        }
    }

    /// Control machines.
    pub fn machines(&self) -> u32 {
        self.machine_up.len() as u32
    }

    /// Limiters.
    pub fn limiters(&self) -> u32 {
        self.limiter_up.len() as u32
    }

    /// Is this control machine up?
    pub fn machine_is_up(&self, machine: u32) -> bool {
        self.machine_up[machine as usize]
    }

    /// The side of a control machine: 0 with the others, else that of its own region.
    pub fn side_of_machine(&self, machine: u32) -> u8 {
        let region = self.region_of_machine[machine as usize];
        if self.region_cut[region as usize] {
            region as u8 + 1
        } else {
            0
        }
    }

    /// Time from a limiter to a control machine or back; none if nothing gets through.
    pub fn one_way(&self, limiter: u32, machine: u32) -> Option<Micros> {
        let own = self.region_of_limiter[limiter as usize];
        let other = self.region_of_machine[machine as usize];
        if own == other {
            return Some(self.near);
        }
        let cut = self.region_cut[own as usize] || self.region_cut[other as usize];
        (!cut).then_some(self.far)
    }

    /// Until when a limiter stands still.
    pub fn paused_until(&self, limiter: u32) -> Micros {
        self.paused_until[limiter as usize]
    }

    /// The limiter that takes a request in place of this one, if it is down: the next of the account's.
    pub fn limiter_in_place(
        &self,
        population: &Population,
        tenant: usize,
        limiter: u32,
    ) -> Option<u32> {
        let shape = population.tenants[tenant];
        let all = self.limiters();
        let place = (limiter + all - shape.first) % all;
        let of_account =
            (0..shape.spread).map(|n| (shape.first + (place + n) % shape.spread) % all);
        of_account
            .into_iter()
            .find(|limiter| self.limiter_up[*limiter as usize])
    }

    /// Takes an event; what it changed.
    pub fn happen(&mut self, now: Micros, scenario: &Scenario, event: &Event) -> Changed {
        match event {
            Event::ZoneLost { zone } => {
                scenario
                    .limiters_of_zone(*zone)
                    .for_each(|l| self.limiter_up[l as usize] = false);
                Changed::Nothing
            }
            Event::ZoneBack { zone } => {
                scenario
                    .limiters_of_zone(*zone)
                    .for_each(|l| self.limiter_up[l as usize] = true);
                Changed::LimitersStarted(scenario.limiters_of_zone(*zone).collect())
            }
            Event::HalfRestarted => {
                Changed::LimitersStarted((0..self.limiters()).step_by(2).collect())
            }
            Event::RegionCut { region } => {
                self.region_cut[*region as usize] = true;
                Changed::Regions
            }
            Event::RegionHealed { region } => {
                self.region_cut[*region as usize] = false;
                Changed::Regions
            }
            Event::ControlMachineLost { machine } => {
                self.machine_up[*machine as usize] = false;
                Changed::MachineLost(*machine)
            }
            Event::ControlMachineBack { machine } => {
                self.machine_up[*machine as usize] = true;
                Changed::MachineBack(*machine)
            }
            Event::LimiterPaused { limiter, seconds } => {
                self.paused_until[*limiter as usize] = now + (seconds * 1e6) as Micros;
                Changed::Nothing
            }
            Event::ListChanges { .. } | Event::ConfigurationChanged { .. } => Changed::Nothing,
        }
    }
}
