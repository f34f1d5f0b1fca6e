//! Events of a scenario.

use serde::{Deserialize, Serialize};

/// An event and when it happens.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedEvent {
    /// Time in seconds after the start of the play.
    pub at_s: f64,
    /// The event.
    pub event: Event,
}

/// An event of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Event {
    /// All servers and limiters of a zone fail at once.
    ZoneLost {
        /// Number of the zone.
        zone: u32,
    },
    /// All servers and limiters of a failed zone are running again within one second.
    ZoneBack {
        /// Number of the zone.
        zone: u32,
    },
    /// Half of all limiters are restarted at once.
    HalfRestarted,
    /// This number of entries of the server list changes at once.
    ListChanges {
        /// Number of entries.
        count: u32,
    },
    /// A network partition separates a region from all others.
    RegionCut {
        /// Number of the region.
        region: u32,
    },
    /// The partition of a region ends.
    RegionHealed {
        /// Number of the region.
        region: u32,
    },
    /// A control machine (host of counter or allocator) fails.
    ControlMachineLost {
        /// Number of the control machine.
        machine: u32,
    },
    /// A failed control machine starts again with empty state.
    ControlMachineBack {
        /// Number of the control machine.
        machine: u32,
    },
    /// The configuration of the real processes changes, and again after each interval.
    ConfigurationChanged {
        /// Interval between changes in seconds.
        every_s: u32,
    },
    /// A limiter is suspended and then resumes with its previous state.
    LimiterPaused {
        /// Number of the limiter.
        limiter: u32,
        /// Length of the pause in seconds.
        seconds: f64,
    },
}

impl Event {
    /// Returns the name of the event in scenario files and reports.
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
