//! State of a fleet member in the view of another member.

/// State of a limiter. At the same incarnation, an update with a state further down this list
/// overrides one further up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// No datagram from the limiter and no update about it was received, or it has been forgotten.
    #[default]
    Unknown,
    /// The limiter answers probes.
    Alive,
    /// The limiter did not answer a probe, but may still refute the suspicion that it is dead.
    Suspect,
    /// The limiter did not refute the suspicion in time.
    Dead,
    /// The limiter has left the fleet in a graceful shutdown.
    Left,
}

impl MemberState {
    /// Returns the number of the state on the wire.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// Returns the state with this number on the wire; `None` for [`Unknown`](Self::Unknown), which
    /// is never sent, and for undefined numbers.
    pub fn from_number(number: u32) -> Option<Self> {
        [Self::Alive, Self::Suspect, Self::Dead, Self::Left]
            .into_iter()
            .find(|state| state.number() == number)
    }

    /// Returns the name of the state in logs, metrics and the reply to `show-fleet`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }

    /// Returns whether a member in this state counts as alive.
    pub fn is_alive(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}
