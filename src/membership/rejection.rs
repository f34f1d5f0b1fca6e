//! Why datagrams are rejected.

use thiserror::Error;

/// Why a datagram was rejected. The messages are also the suffixes of the `fleet.dropped.` metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error)]
pub enum Rejection {
    /// The datagram is too short for an authentication tag, or longer than any limiter sends.
    #[error("size")]
    InvalidSize,
    /// The datagram is not authenticated with this fleet's key, or was modified on the way.
    #[error("foreign")]
    Unauthenticated,
    /// The datagram is authenticated, but can't be decoded or lacks a required field.
    #[error("garbled")]
    Malformed,
    /// The datagram has a format that is unknown or that this fleet does not use.
    #[error("format")]
    WrongFormat,
    /// The datagram belongs to another fleet with the same key, or its sender's configuration has
    /// another number of limiters.
    #[error("fleet")]
    WrongFleet,
    /// The datagram has a limiter number, state, incarnation, address or set of revoked leases that
    /// is out of range.
    #[error("strange")]
    OutOfRange,
    /// The datagram was received before, or was written by an earlier process of the sender or for
    /// an earlier process of the receiver.
    #[error("stale")]
    Stale,
    /// The datagram exceeds the rate limit.
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
