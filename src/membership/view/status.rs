//! What operators can see of a view: its members and counters.

use crate::decision::Micros;
use crate::membership::member_state::MemberState;
use crate::membership::rejection::Rejection;
use std::net::SocketAddrV4;

/// A member as the view knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// Its number.
    pub limiter: u32,
    /// Its address, if known.
    pub address: Option<SocketAddrV4>,
    /// Its state.
    pub state: MemberState,
    /// When the state changed last, on the view's clock.
    pub since: Micros,
    /// Its incarnation.
    pub incarnation: u64,
    /// Encoded version of its program.
    pub version: u32,
    /// Number of the limiter that reported the state first.
    pub reported_by: u32,
    /// When the last datagram proven to be fresh came from it.
    pub last_received: Option<Micros>,
}

/// Counters since the start of a view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams not sent because of the rate limit.
    pub send_limited: u64,
    /// Datagrams accepted.
    pub accepted: u64,
    /// Datagrams rejected, indexed by [`Rejection`].
    pub rejected: [u64; Rejection::ALL.len()],
    /// Members that this limiter declared dead.
    pub declared_dead: u64,
    /// Times that this limiter refuted a suspicion of itself.
    pub refuted: u64,
}
