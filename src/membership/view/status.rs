//! Status of a view for operators: its members and counters.

use crate::decision::Micros;
use crate::membership::member_state::MemberState;
use crate::membership::rejection::Rejection;
use std::net::SocketAddrV4;

/// A member as the view knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// Number of the member.
    pub limiter: u32,
    /// Address of the member, if known.
    pub address: Option<SocketAddrV4>,
    /// State of the member.
    pub state: MemberState,
    /// Time in µs at which the state last changed, on the view's clock.
    pub since: Micros,
    /// Incarnation of the member.
    pub incarnation: u64,
    /// Encoded version of the member's program.
    pub version: u32,
    /// Number of the limiter that first reported the state.
    pub reported_by: u32,
    /// Time in µs at which the last datagram proven to be fresh was received from the member.
    pub last_received: Option<Micros>,
}

/// Counters since the start of a view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Number of datagrams sent.
    pub sent: u64,
    /// Number of bytes sent.
    pub sent_bytes: u64,
    /// Number of datagrams not sent because of the rate limit.
    pub send_limited: u64,
    /// Number of datagrams accepted.
    pub accepted: u64,
    /// Number of datagrams rejected, indexed by [`Rejection`].
    pub rejected: [u64; Rejection::ALL.len()],
    /// Number of times that this limiter declared a member dead.
    pub declared_dead: u64,
    /// Number of times that this limiter refuted an update about itself with a higher incarnation.
    pub refuted: u64,
}
