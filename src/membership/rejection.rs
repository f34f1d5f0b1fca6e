//! Why datagrams are rejected.

use thiserror::Error;

/// Why a datagram was rejected. The messages are also the suffixes of the `fleet.dropped.` metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error)]
pub enum Rejection {
    /// Too short for an authentication tag, or longer than any limiter sends.
    #[error("size")]
    InvalidSize,
    /// Not authenticated with this fleet's key, or modified on the way.
    #[error("foreign")]
    Unauthenticated,
    /// Authenticated, but it can't be decoded.
    #[error("garbled")]
    Malformed,
    /// Has another format.
    #[error("format")]
    WrongFormat,
    /// Belongs to another fleet with the same key, or to this one configured with another size.
    #[error("fleet")]
    WrongFleet,
    /// Names an impossible limiter, state, incarnation or address.
    #[error("strange")]
    OutOfRange,
    /// Received before, or from an earlier process of the sender or to one of the receiver.
    #[error("stale")]
    Stale,
    /// Exceeds the rate limit.
    #[error("flood")]
    RateLimited,
}

impl Rejection {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 8] = [
        Self::InvalidSize,
        Self::Unauthenticated,
        Self::Malformed,
        Self::WrongFormat,
        Self::WrongFleet,
        Self::OutOfRange,
        Self::Stale,
        Self::RateLimited,
    ];
}
