//! Messages between limiters: datagrams of at most 256 bytes, each with one protocol buffer.
//!
//! [`key`](super::key) authenticates them.

use super::member_state::MemberState;
use super::revocation::RevocationPart;
use prost::{Message as _, Oneof};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Maximum length of a datagram in bytes, including its tag. The platform carries no longer ones
/// between limiters.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Length in bytes of the authentication tag, which precedes the protocol buffer.
pub const TAG_BYTES: usize = 16;
/// Maximum number of limiters in a fleet. The set of revoked leases then takes six windows.
pub const MAX_LIMITERS: u32 = 4_096;
/// Exclusive upper bound on incarnations. They start from Unix time in ms, so no limiter can have a
/// larger one.
pub(super) const MAX_INCARNATION: u64 = 1 << 53;

/// A message from one limiter to another, with gossip and votes on leases.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// Wire format: [`FORMAT`](super::format::FORMAT) or
    /// [`PARTS_FORMAT`](super::format::PARTS_FORMAT).
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// Name of the fleet.
    #[prost(string, tag = "2")]
    pub fleet: String,
    /// Number of the sender.
    #[prost(uint32, tag = "3")]
    pub sender: u32,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Session of the sender's process: a random number drawn at its start, never 0.
    #[prost(fixed64, tag = "5")]
    pub session: u64,
    /// Session of the receiver's process as far as the sender knows it, 0 if unknown. A receiver
    /// that finds its own session here knows that the datagram was written after its process
    /// started.
    #[prost(fixed64, tag = "6")]
    pub receiver_session: u64,
    /// Sequence number of the datagram among those of the sender to this receiver, from 1.
    #[prost(uint64, tag = "7")]
    pub sequence: u64,
    /// Highest sequence number that the sender has received in the receiver's session. This
    /// datagram was written after the one with that number had arrived.
    #[prost(uint64, tag = "8")]
    pub acknowledged: u64,
    /// Whether the sender renews the receiver's lease. It can do so only while it believes the
    /// receiver alive.
    #[prost(bool, tag = "9")]
    pub renews_lease: bool,
    /// IPv4 address of the sender.
    #[prost(fixed32, tag = "10")]
    pub ip: u32,
    /// UDP port of the sender.
    #[prost(uint32, tag = "11")]
    pub port: u32,
    /// Version of the sender's program, encoded by [`version::encode`](super::version::encode).
    #[prost(uint32, tag = "12")]
    pub version: u32,
    /// Kind of the message.
    #[prost(oneof = "MessageKind", tags = "20, 21, 22, 23, 24, 25")]
    pub message: Option<MessageKind>,
    /// Gossip updates about members.
    #[prost(message, repeated, tag = "13")]
    pub updates: Vec<GossipUpdate>,
    /// Set of the limiters whose leases the sender has voted to revoke, one bit for each.
    /// [`FORMAT`](super::format::FORMAT) only.
    #[prost(bytes = "vec", tag = "14")]
    pub revoked: Vec<u8>,
    /// Part of that set. A datagram without it carries no votes.
    /// [`PARTS_FORMAT`](super::format::PARTS_FORMAT) only.
    #[prost(message, optional, tag = "15")]
    pub revoked_part: Option<RevocationPart>,
    /// Number of limiters in the sender's configuration.
    /// [`PARTS_FORMAT`](super::format::PARTS_FORMAT) only.
    #[prost(uint32, tag = "16")]
    pub limiters: u32,
}

/// Kind of a message. The values of the `bool` variants have no meaning.
#[derive(Clone, Copy, PartialEq, Eq, Oneof)]
pub enum MessageKind {
    /// Asks the receiver for an [`Ack`](Self::Ack).
    #[prost(bool, tag = "20")]
    Ping(bool),
    /// Answers a [`Ping`](Self::Ping).
    #[prost(bool, tag = "21")]
    Ack(bool),
    /// Asks the receiver to ping this limiter, which has not answered the sender (ping-req).
    #[prost(uint32, tag = "22")]
    PingRequest(u32),
    /// Reports that this limiter has answered a ping sent for a [`PingRequest`](Self::PingRequest)
    /// (indirect ack).
    #[prost(uint32, tag = "23")]
    IndirectAck(u32),
    /// Neither asks for nor answers anything. Carries gossip updates and, after an
    /// [`Ack`](Self::Ack), further parts of the set of revoked leases.
    #[prost(bool, tag = "24")]
    Gossip(bool),
    /// Announces that the sender leaves the fleet in a graceful shutdown.
    #[prost(bool, tag = "25")]
    Leave(bool),
}

/// Gossip about one limiter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GossipUpdate {
    /// Number of the limiter.
    #[prost(uint32, tag = "1")]
    pub limiter: u32,
    /// Number of its [`MemberState`].
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// Incarnation of the limiter in which it has this state.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Number of the limiter that reported the state first.
    #[prost(uint32, tag = "4")]
    pub reported_by: u32,
    /// IPv4 address of the limiter.
    #[prost(fixed32, tag = "5")]
    pub ip: u32,
    /// UDP port of the limiter.
    #[prost(uint32, tag = "6")]
    pub port: u32,
    /// Encoded version of the limiter's program.
    #[prost(uint32, tag = "7")]
    pub version: u32,
}

/// Contents of a [`GossipUpdate`] whose values are all in range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckedUpdate {
    /// Number of the limiter.
    pub member: usize,
    /// State of the limiter.
    pub state: MemberState,
    /// Address of the limiter.
    pub address: SocketAddrV4,
}

impl Datagram {
    /// Returns the length in bytes of the sealed datagram, including its tag.
    pub fn size(&self) -> usize {
        self.encoded_len() + TAG_BYTES
    }

    /// Returns the sender's address; `None` if it is not a unicast address with a valid port.
    pub fn address(&self) -> Option<SocketAddrV4> {
        unicast_address(self.ip, self.port)
    }
}

impl GossipUpdate {
    /// Checks the update for a fleet of `limiters`. Returns `None` if a number, state, incarnation
    /// or address is out of range.
    pub fn check(&self, limiters: u32) -> Option<CheckedUpdate> {
        if self.limiter >= limiters
            || self.reported_by >= limiters
            || self.incarnation >= MAX_INCARNATION
        {
            return None;
        }
        Some(CheckedUpdate {
            member: self.limiter as usize,
            state: MemberState::from_number(self.state)?,
            address: unicast_address(self.ip, self.port)?,
        })
    }
}

/// Returns the address if a limiter can have it: a unicast IPv4 address with a valid port.
fn unicast_address(ip: u32, port: u32) -> Option<SocketAddrV4> {
    let ip = Ipv4Addr::from(ip);
    let port = u16::try_from(port).ok().filter(|port| *port > 0)?;
    if ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast() {
        return None;
    }
    Some(SocketAddrV4::new(ip, port))
}
