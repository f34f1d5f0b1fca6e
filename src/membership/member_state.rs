//! State of a fleet member, as another member believes it to be.

/// State of a limiter. At the same incarnation a later state overrides an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// No datagram or update about it was received, or it was forgotten.
    #[default]
    Unknown,
    /// Answers.
    Alive,
    /// Did not answer, and may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Has left the fleet in a graceful shutdown.
    Left,
}

impl MemberState {
    /// Returns its number on the wire.
    pub fn number(self) -> u32 {
        self as u32
    }

    /// Decodes the number of a gossip update; `None` for [`Unknown`](Self::Unknown), which is never
    /// sent, and for undefined numbers.
    pub fn from_number(number: u32) -> Option<Self> {
        [Self::Alive, Self::Suspect, Self::Dead, Self::Left]
            .into_iter()
            .find(|state| state.number() == number)
    }

    /// Returns its name in logs, metrics and `show-fleet`.
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
