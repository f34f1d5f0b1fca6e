//! What can happen in a run.

use serde::{Deserialize, Serialize};

/// An event with its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedEvent {
    /// Seconds after the start of the play.
    pub at_s: f64,
    /// What happens.
    pub event: Event,
}

/// What can happen in a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Event {
    /// All servers and limiters of a zone are gone at once.
    ZoneLost {
        /// Its number.
        zone: u32,
    },
    /// All servers and limiters of a lost zone are back within one second.
    ZoneBack {
        /// Its number.
        zone: u32,
    },
    /// Half of all limiters are restarted at once.
    HalfRestarted,
    /// So many entries of the server list change at once.
    ListChanges {
        /// Entries.
        count: u32,
    },
    /// A region loses the others.
    RegionCut {
        /// Its number.
        region: u32,
    },
    /// It has them again.
    RegionHealed {
        /// Its number.
        region: u32,
    },
    /// A control machine is lost.
    ControlMachineLost {
        /// Its number.
        machine: u32,
    },
    /// It is back, empty.
    ControlMachineBack {
        /// Its number.
        machine: u32,
    },
    /// The configuration of the real processes changes, and again after every interval.
    ConfigurationChanged {
        /// The interval.
        every_s: u32,
    },
    /// A limiter stands still and then goes on with what it knew.
    LimiterPaused {
        /// Its number.
        limiter: u32,
        /// For so long.
        seconds: f64,
    },
}

impl Event {
    /// Its name in scenario files and reports.
    pub fn name(&self) -> &'static str {
        match self {
            Self::ZoneLost { .. } => "zone-lost",
            Self::ZoneBack { .. } => "zone-back",
            Self::HalfRestarted => "half-restarted",
            Self::ListChanges { .. } => "list-changes",
            Self::RegionCut { .. } => "region-cut",
            Self::RegionHealed { .. } => "region-healed",
            Self::ControlMachineLost { .. } => "control-machine-lost",
            Self::ControlMachineBack { .. } => "control-machine-back",
            Self::ConfigurationChanged { .. } => "configuration-changed",
            Self::LimiterPaused { .. } => "limiter-paused",
        }
    }
}
