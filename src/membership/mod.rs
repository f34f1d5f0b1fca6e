//! Fleet membership: which limiters are alive (SWIM), and which shares of the quotas each may use
//! (majority leases).
//!
//! [`view::View`] is a state machine without I/O; [`fleet::Fleet`] runs it on a UDP socket. The
//! design is in `docs/fleet.md`.

pub mod bitset;
pub mod datagram;
pub mod fleet;
pub mod format;
pub mod key;
pub mod lease;
pub mod majority;
pub mod member_state;
pub mod quota_shares;
pub mod rejection;
mod report;
pub mod revocation;
mod transport;
pub mod version;
pub mod view;
