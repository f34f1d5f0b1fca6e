//! Actions that a view requests from its caller.

use crate::membership::datagram::Datagram;
use crate::membership::member_state::MemberState;
use std::net::SocketAddrV4;

/// An action that the caller of a [`View`](super::View) must execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this datagram to this address.
    Send(SocketAddrV4, Datagram),
    /// Log that the state of a member has changed.
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
    /// Incarnation of the member in which it has the new state.
    pub incarnation: u64,
    /// Number of the limiter that first reported the new state.
    pub reported_by: u32,
}
