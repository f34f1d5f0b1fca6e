//! Wire formats of datagrams and how each carries the set of revoked leases.

/// Format of fleets that carry the whole set of revoked leases in every datagram. Versions that do
/// not know [`PARTS_FORMAT`] use it for fleets of any size.
pub const FORMAT: u32 = 1;
/// Format of fleets that carry the set in parts, together with the number of configured limiters.
///
/// A member rejects datagrams of the format that its fleet does not use, as it would misread their
/// revocations.
pub const PARTS_FORMAT: u32 = 2;
/// Maximum number of limiters in a fleet that carries the whole set in every datagram.
pub const MAX_WHOLE_SET_LIMITERS: u32 = 1_000;
/// Number of limiters in one window. The 96 bytes of its bits leave space for gossip updates in a
/// datagram.
pub const WINDOW: u32 = 768;
/// Maximum length in bytes of the run lengths with which the whole set goes into one part.
const MAX_RUN_BYTES: u32 = 96;

/// How datagrams carry the set of revoked leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Encoding {
    /// One bit for each limiter in every datagram.
    Whole,
    /// One [`RevocationPart`](super::revocation::RevocationPart) in each datagram, or none.
    Parts {
        /// Number of limiters in one window, a multiple of eight.
        window: u32,
        /// Maximum length in bytes of the run lengths with which the whole set goes into one part.
        max_run_bytes: u32,
    },
}

impl Encoding {
    /// Returns the encoding of a fleet with this number of configured limiters.
    pub fn of(limiters: u32) -> Self {
        if limiters <= MAX_WHOLE_SET_LIMITERS {
            return Self::Whole;
        }
        Self::Parts {
            window: WINDOW,
            max_run_bytes: MAX_RUN_BYTES,
        }
    }

    /// Returns the format number of datagrams with this encoding.
    pub fn format(self) -> u32 {
        match self {
            Self::Whole => FORMAT,
            Self::Parts { .. } => PARTS_FORMAT,
        }
    }

    /// Returns the number of limiters in one window, for a fleet of `limiters`.
    pub fn window(self, limiters: usize) -> usize {
        match self {
            Self::Whole => limiters.next_multiple_of(8).max(8),
            Self::Parts { window, .. } => window as usize,
        }
    }
}
