//! What a view asks its caller to do.

use crate::membership::datagram::Datagram;
use crate::membership::member_state::MemberState;
use std::net::SocketAddrV4;

/// What the caller of a [`View`](super::View) has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this datagram to this address.
    Send(SocketAddrV4, Datagram),
    /// Report that the state of a member has changed.
    Changed(StateChange),
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq)]
pub struct StateChange {
    /// Number of the member.
    pub limiter: u32,
    /// State before the change.
    pub previous: MemberState,
    /// State after the change.
    pub state: MemberState,
    /// The member's incarnation that the state belongs to.
    pub incarnation: u64,
    /// Number of the limiter that reported the state first.
    pub reported_by: u32,
}
