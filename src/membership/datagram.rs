//! The messages between limiters: datagrams of at most 256 bytes with one protocol buffer each.
//!
//! [`key`](super::key) authenticates them.

use super::member_state::MemberState;
use super::revocation::RevocationPart;
use prost::{Message as _, Oneof};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The longest datagram in bytes, with its tag: what the platform carries between limiters.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Bytes of the authentication tag before the protocol buffer.
pub const TAG_BYTES: usize = 16;
/// The most limiters of a fleet: six windows of the set of revoked leases.
pub const MAX_LIMITERS: u32 = 4_096;
/// Bound on incarnations, which are Unix time in ms. A higher one was not made by a limiter.
pub(super) const MAX_INCARNATION: u64 = 1 << 53;

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// [`FORMAT`](super::format::FORMAT) or [`PARTS_FORMAT`](super::format::PARTS_FORMAT).
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// The fleet's name.
    #[prost(string, tag = "2")]
    pub fleet: String,
    /// The sender's number.
    #[prost(uint32, tag = "3")]
    pub sender: u32,
    /// The sender's incarnation.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Drawn at random by the sender's process at its start, not 0.
    #[prost(fixed64, tag = "5")]
    pub session: u64,
    /// The receiver's session as the sender knows it, 0 if it does not. A receiver that finds its own
    /// session here knows that the datagram was written after its process started.
    #[prost(fixed64, tag = "6")]
    pub receiver_session: u64,
    /// Sequence number of the sender's datagrams to this receiver, from 1.
    #[prost(uint64, tag = "7")]
    pub sequence: u64,
    /// The highest sequence number that the sender received in the receiver's session. The datagram
    /// was written after that one had arrived.
    #[prost(uint64, tag = "8")]
    pub acknowledged: u64,
    /// The sender believes the receiver alive and renews its lease.
    #[prost(bool, tag = "9")]
    pub renews_lease: bool,
    /// The sender's IPv4 address.
    #[prost(fixed32, tag = "10")]
    pub ip: u32,
    /// The sender's UDP port.
    #[prost(uint32, tag = "11")]
    pub port: u32,
    /// The sender's version of the program, as [`version::encode`](super::version::encode) has it.
    #[prost(uint32, tag = "12")]
    pub version: u32,
    /// Kind of the message.
    #[prost(oneof = "MessageKind", tags = "20, 21, 22, 23, 24, 25")]
    pub message: Option<MessageKind>,
    /// Gossip: updates about members.
    #[prost(message, repeated, tag = "13")]
    pub updates: Vec<GossipUpdate>,
    /// One bit for each limiter whose lease the sender has revoked. [`FORMAT`](super::format::FORMAT) only.
    #[prost(bytes = "vec", tag = "14")]
    pub revoked: Vec<u8>,
    /// A part of that set. Without it the datagram carries no revocations. [`PARTS_FORMAT`](super::format::PARTS_FORMAT) only.
    #[prost(message, optional, tag = "15")]
    pub revoked_part: Option<RevocationPart>,
    /// Limiters in the sender's configuration. [`PARTS_FORMAT`](super::format::PARTS_FORMAT) only.
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
    /// This limiter has answered a ping sent for an [`PingRequest`](Self::PingRequest) (indirect ack).
    #[prost(uint32, tag = "23")]
    IndirectAck(u32),
    /// Carries gossip updates only.
    #[prost(bool, tag = "24")]
    Gossip(bool),
    /// The sender leaves the fleet in a graceful shutdown.
    #[prost(bool, tag = "25")]
    Leave(bool),
}

/// Gossip about one limiter.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GossipUpdate {
    /// Its number.
    #[prost(uint32, tag = "1")]
    pub limiter: u32,
    /// Its [`MemberState`], by number.
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// The incarnation that the state belongs to.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Number of the limiter that reported the state first.
    #[prost(uint32, tag = "4")]
    pub reported_by: u32,
    /// Its IPv4 address.
    #[prost(fixed32, tag = "5")]
    pub ip: u32,
    /// Its UDP port.
    #[prost(uint32, tag = "6")]
    pub port: u32,
    /// Its version of the program.
    #[prost(uint32, tag = "7")]
    pub version: u32,
}

/// The checked contents of a [`GossipUpdate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckedUpdate {
    /// Number of the limiter.
    pub member: usize,
    /// Its state.
    pub state: MemberState,
    /// Its address.
    pub address: SocketAddrV4,
}

impl Datagram {
    /// Returns the length in bytes of the sealed datagram.
    pub fn size(&self) -> usize {
        self.encoded_len() + TAG_BYTES
    }

    /// Returns the sender's address, `None` if no limiter can have it.
    pub fn address(&self) -> Option<SocketAddrV4> {
        unicast_address(self.ip, self.port)
    }
}

impl GossipUpdate {
    /// Checks the update in a fleet of `limiters`; `None` if a number, state, incarnation or address
    /// is out of range.
    pub fn read(&self, limiters: u32) -> Option<CheckedUpdate> {
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
