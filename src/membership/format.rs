//! Wire formats of datagrams and how each carries the set of revoked leases.

/// The format of fleets that carry the whole set of revoked leases in every datagram, as all did in
/// the versions before [`PARTS_FORMAT`].
pub const FORMAT: u32 = 1;
/// The format of fleets that carry the set in parts, and the number of configured limiters.
///
/// No member of a fleet accepts the other format, as it would misread its revocations.
pub const PARTS_FORMAT: u32 = 2;
/// The largest fleet, in limiters, whose whole set goes into every datagram.
pub const MAX_WHOLE_SET_LIMITERS: u32 = 1_000;
/// Limiters in one window. Its 96 bytes of bits leave space for gossip updates beside them.
pub const WINDOW: u32 = 768;
/// The whole set goes into one part if its run lengths take at most this many bytes.
const MAX_RUN_BYTES: u32 = 96;

/// How datagrams carry the set of revoked leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Encoding {
    /// One bit for each limiter in every datagram.
    Whole,
    /// One [`RevocationPart`](super::revocation::RevocationPart) in a datagram.
    Parts {
        /// Limiters in one window, a multiple of eight.
        window: u32,
        /// The whole set goes into one part if its run lengths take at most this many bytes.
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
